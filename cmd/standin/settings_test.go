package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSettings reads settings files and -set flags.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		var c allCommand
		f := flag.NewFlagSet("all", flag.ContinueOnError)
		f.SetOutput(&strings.Builder{})
		c.SetFlags(f)
		path := filepath.Join(t.TempDir(), "standin.ini")
		args := strings.Fields(d.Input)
		if d.Cmd == "file" {
			args = []string{"-settings", path}
			if err := os.WriteFile(path, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if err := f.Parse(args); err != nil {
			return err.Error() + "\n"
		}
		units, err := c.units()
		if err != nil {
			return strings.ReplaceAll(err.Error(), path, "FILE") + "\n"
		}
		var text strings.Builder
		for _, u := range units {
			fmt.Fprintf(&text, "%s %s %s", u.kind, u.id, u.address)
			fmt.Fprintf(&text, " rate=%d slots=%d step=%s models=%v work=%s\n", u.platform.ReadRate, u.engine.Slots, u.engine.StepTime, u.engine.Loaded, u.service.WorkTime)
		}
		return text.String()
	})
}
