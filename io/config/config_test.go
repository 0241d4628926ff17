package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// The cases are whole settings files. "usual" puts a valid [instance] section and
// [platform] section before them.
func TestParseEntry(t *testing.T) {
	validPrefix := "[instance]\nid = entry-1\nzone = west-1\nregion = west\ncaller-address = 10.0.0.1:1\npeer-address = 10.0.0.1:2\nadmin-address = 10.0.0.1:3\n[platform]\naddresses = 10.0.0.9:1\n"
	datadriven.RunTest(t, "testdata/entry", func(_ *testing.T, d *datadriven.TestData) string {
		text := d.Input + "\n"
		if d.Cmd == "usual" {
			text = validPrefix + text
		}
		e, faults := ParseEntry("entry.ini", []byte(text))
		if len(faults) > 0 {
			return faults.Error() + "\n"
		}
		return fmt.Sprintf("%s %s %s %s %s %s %v %s\n%+v\n%+v\n", e.ID, e.Zone, e.Region, e.CallerAddress, e.PeerAddress, e.AdminAddress, e.PlatformAddresses, e.LogLevel, e.Timeouts, e.Limits)
	})
}

func TestExamples(t *testing.T) {
	table, err := ReadTable("../../examples/table")
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("../../examples/*.ini")
	if len(files) < 3 {
		t.Fatalf("found %v", files)
	}
	used := map[netip.AddrPort]string{}
	for _, file := range files {
		entry, err := ReadEntry(file)
		if err != nil {
			t.Fatal(err)
		}
		if faults := entry.CheckAgainst(table); faults != nil {
			t.Error(faults)
		}
		for _, address := range []netip.AddrPort{entry.CallerAddress, entry.PeerAddress, entry.AdminAddress, entry.PlatformAddresses[0]} {
			if other := used[address]; other != "" && address != entry.PlatformAddresses[0] {
				t.Errorf("%s and %s use %s", file, other, address)
			}
			used[address] = file
		}
	}
}

func TestInvalidFiles(t *testing.T) {
	folder := t.TempDir()
	text := "zone;region\nwest-1;west\n"
	if err := os.WriteFile(filepath.Join(folder, "zones.csv"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadTable(folder)
	if err == nil || !strings.Contains(err.Error(), "semicolons") || !strings.Contains(err.Error(), "pools.csv: is missing") {
		t.Errorf("got %v", err)
	}
	if _, err := ReadTable(filepath.Join(folder, "absent")); err == nil {
		t.Error("an absent folder was read")
	}
	if _, err := ReadEntry(filepath.Join(folder, "absent.ini")); err == nil {
		t.Error("an absent file was read")
	}
	entry, _ := ParseEntry("entry.ini", []byte("[instance]\n\nzone = west-9\n"))
	table, err := ReadTable("../../examples/table")
	if err != nil {
		t.Fatal(err)
	}
	want := `entry.ini:3: instance.zone: "west-9" is not a zone of the table; correct it or add it to zones.csv`
	if got := entry.CheckAgainst(table).Error(); got != want {
		t.Errorf("got %s", got)
	}
}
