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

// TestReload changes the settings file without a signal. Seeds change in place, other
// keys are named as waiting for a restart, and a file with a fault changes nothing; each
// is logged once.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.ini")
	moment := time.Unix(1_800_000_000, 0)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		// File systems don't tell two writes in the same tick apart.
		moment = moment.Add(time.Second)
		if err := os.Chtimes(file, moment, moment); err != nil {
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
	look := func() string {
		log.Reset()
		r.look()
		return log.String()
	}
	if text := look(); text != "" || seeds != nil {
		t.Errorf("an unchanged file was read: %s", text)
	}
	write(strings.Replace(settingsText, "seeds = 127.0.0.1:3", "seeds = 127.0.0.1:3, 127.0.0.2:3", 1))
	if text := look(); len(seeds) != 2 || !strings.Contains(text, `"why":"file changed"`) || strings.Contains(text, "needs-restart") {
		t.Errorf("seeds %v, log %s", seeds, text)
	}
	if text := look(); text != "" {
		t.Errorf("read twice: %s", text)
	}
	write(strings.Replace(settingsText, "retry-free = 54", "retry-free = 7", 1))
	if text := look(); len(seeds) != 1 || !strings.Contains(text, `"needs-restart":["bounds"]`) {
		t.Errorf("seeds %v, log %s", seeds, text)
	}
	write(strings.Replace(settingsText, "zone = west-1", "zone = west-9", 1))
	if text := look(); len(seeds) != 1 || !strings.Contains(text, "those in force stay") {
		t.Errorf("seeds %v, log %s", seeds, text)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if text := look(); text != "" {
		t.Errorf("a file that is being replaced was read: %s", text)
	}
}
