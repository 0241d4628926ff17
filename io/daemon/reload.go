package daemon

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/io/config"
)

// reloadInterval is how often the settings file is looked at: platforms may change it
// without a signal. One look costs a system call.
const reloadInterval = 5 * time.Second

// reloader takes in what can change while an entry runs. Settings with a fault change
// nothing.
type reloader struct {
	file string
	// inForce is what the entry runs by; of later files only what took effect.
	inForce config.Gateway
	seen    fileMark
	seeds   func([]netip.AddrPort)
	log     zerolog.Logger
}

// fileMark tells two states of a file apart.
type fileMark struct {
	changed time.Time
	size    int64
}

func newReloader(file string, inForce config.Gateway, seeds func([]netip.AddrPort), log zerolog.Logger) *reloader {
	r := &reloader{file: file, inForce: inForce, seeds: seeds, log: log}
	r.seen, _ = r.mark()
	return r
}

// mark returns the file's state, and false while there is none, as when it is replaced.
func (r *reloader) mark() (fileMark, bool) {
	info, err := os.Stat(r.file)
	if err != nil {
		return fileMark{}, false
	}
	return fileMark{info.ModTime(), info.Size()}, true
}

// look reads the settings again when the file has changed.
func (r *reloader) look() {
	if now, found := r.mark(); found && now != r.seen {
		r.read("file changed")
	}
}

// read reads the settings again.
func (r *reloader) read(why string) {
	if now, found := r.mark(); found {
		r.seen = now
	}
	settings, err := config.ReadGateway(r.file)
	if err != nil {
		r.log.Error().Err(err).Str("step", "reload").Str("why", why).Msg("settings not read again; those in force stay")
		return
	}
	r.seeds(settings.Seeds)
	r.inForce.Seeds = settings.Seeds
	line := r.log.Info()
	if waiting := r.inForce.RestartKeys(settings); len(waiting) > 0 {
		line = r.log.Warn().Strs("needs-restart", waiting)
	}
	line.Str("why", why).Int("seeds", len(settings.Seeds)).Msg("settings read again")
}
