package daemon

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/io/config"
)

const settingsText = `[instance]
id = entry-1
zone = west-1
region = west
caller-address = 127.0.0.1:1
ready-address = 127.0.0.1:2
peer-address = 127.0.0.1:3
directory-address = 127.0.0.1:4
metrics-address = 127.0.0.1:5
seeds = 127.0.0.1:3
[places]
zones = west-1:west
[platform]
address = 127.0.0.1:9
[bounds]
retry-free = 54
`

// TestReload changes the settings file without a signal. New seeds must be applied while
// the instance runs, other changed keys must be reported as waiting for a restart, and a
// file with a fault must change nothing. Each change must be logged once.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.ini")
	modTime := time.Unix(1_800_000_000, 0)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		// Two writes within the resolution of the file system's timestamps would get
		// the same modification time.
		modTime = modTime.Add(time.Second)
		if err := os.Chtimes(file, modTime, modTime); err != nil {
			t.Fatal(err)
		}
	}
	write(settingsText)
	settings, err := config.ReadGateway(file)
	if err != nil {
		t.Fatal(err)
	}
	var seeds []netip.AddrPort
	var log strings.Builder
	r := newReloader(file, settings, func(s []netip.AddrPort) { seeds = s }, zerolog.New(&log))
	reloadIfChanged := func() string {
		log.Reset()
		r.reloadIfChanged()
		return log.String()
	}
	if text := reloadIfChanged(); text != "" || seeds != nil {
		t.Errorf("an unchanged file was read: %s", text)
	}
	write(strings.Replace(settingsText, "seeds = 127.0.0.1:3", "seeds = 127.0.0.1:3, 127.0.0.2:3", 1))
	if text := reloadIfChanged(); len(seeds) != 2 || !strings.Contains(text, `"why":"file changed"`) || strings.Contains(text, "needs-restart") {
		t.Errorf("seeds %v, log %s", seeds, text)
	}
	if text := reloadIfChanged(); text != "" {
		t.Errorf("read twice: %s", text)
	}
	write(strings.Replace(settingsText, "retry-free = 54", "retry-free = 7", 1))
	if text := reloadIfChanged(); len(seeds) != 1 || !strings.Contains(text, `"needs-restart":["bounds"]`) {
		t.Errorf("seeds %v, log %s", seeds, text)
	}
	write(strings.Replace(settingsText, "zone = west-1", "zone = west-9", 1))
	if text := reloadIfChanged(); len(seeds) != 1 || !strings.Contains(text, "the active settings stay") {
		t.Errorf("seeds %v, log %s", seeds, text)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if text := reloadIfChanged(); text != "" {
		t.Errorf("a file that is being replaced was read: %s", text)
	}
}
