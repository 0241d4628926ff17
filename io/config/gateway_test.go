package config

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// The cases are lines that follow valid [instance], [places] and [platform] sections:
// bounds as installations publish them, as integers, as fractions or not at all, and
// typing errors of operators. "whole" is a complete file.
func TestParseGateway(t *testing.T) {
	validPrefix := "[instance]\nid = entry-1\nzone = west-1\nregion = west\ncaller-address = 10.0.0.1:1\nready-address = 10.0.0.1:2\npeer-address = 10.0.0.1:3\ndirectory-address = 10.0.0.1:4\nmetrics-address = 10.0.0.1:5\n[places]\nzones = west-1:west, north-1:north\n[platform]\naddress = 10.0.0.9:1\n"
	datadriven.RunTest(t, "testdata/gateway", func(_ *testing.T, d *datadriven.TestData) string {
		text := d.Input + "\n"
		if d.Cmd == "after" {
			text = validPrefix + text
		}
		g, faults := ParseGateway("entry.ini", []byte(text))
		if len(faults) > 0 {
			return faults.Error() + "\n"
		}
		return fmt.Sprintf("%s %s %s seeds %v zones %v store %s\n%+v prompt rate %v\n", g.ID, g.Zone, g.Region, g.Seeds, g.Zones, g.PlatformAddress, g.Bounds, g.PromptRate)
	})
}
