package daemon

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/io/config"
)

// reloadInterval is the time between two checks of the settings file, which platforms may
// change without a signal. One check takes one system call.
const reloadInterval = 5 * time.Second

// reloader applies the settings that can change while an instance runs. A file with a
// fault changes nothing.
type reloader struct {
	file string
	// active holds the settings that the instance runs with: those read at the start,
	// with the changes from later files that were applied without a restart.
	active   config.Gateway
	lastRead fileState
	setSeeds func([]netip.AddrPort)
	log      zerolog.Logger
}

// fileState holds the properties of a file by which a change is detected.
type fileState struct {
	modTime time.Time
	size    int64
}

func newReloader(file string, active config.Gateway, setSeeds func([]netip.AddrPort), log zerolog.Logger) *reloader {
	r := &reloader{file: file, active: active, setSeeds: setSeeds, log: log}
	r.lastRead, _ = r.stat()
	return r
}

// stat returns the state of the file. It returns false when the file does not exist, for
// example while it is being replaced.
func (r *reloader) stat() (fileState, bool) {
	info, err := os.Stat(r.file)
	if err != nil {
		return fileState{}, false
	}
	return fileState{info.ModTime(), info.Size()}, true
}

// reloadIfChanged reloads the settings when the file has changed.
func (r *reloader) reloadIfChanged() {
	if now, found := r.stat(); found && now != r.lastRead {
		r.reload("file changed")
	}
}

// reload reads the file, applies what can change without a restart, and logs the keys
// that need one. The trigger is logged.
func (r *reloader) reload(trigger string) {
	if now, found := r.stat(); found {
		r.lastRead = now
	}
	settings, err := config.ReadGateway(r.file)
	if err != nil {
		r.log.Error().Err(err).Str("step", "reload").Str("why", trigger).Msg("settings not read again; the active settings stay")
		return
	}
	r.setSeeds(settings.Seeds)
	r.active.Seeds = settings.Seeds
	line := r.log.Info()
	if waiting := r.active.RestartKeys(settings); len(waiting) > 0 {
		line = r.log.Warn().Strs("needs-restart", waiting)
	}
	line.Str("why", trigger).Int("seeds", len(settings.Seeds)).Msg("settings read again")
}
