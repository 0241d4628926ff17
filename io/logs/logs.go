// Package logs writes the program's log as JSON lines. A line names steps, peers and
// reasons; it never contains a workspace's data.
package logs

import (
	"io"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

// timeFormat has milliseconds, so that the lines of one request can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() {
	zerolog.TimeFieldFormat = timeFormat
}

// New returns a logger that writes lines of the given level ("debug", "info", "warn" or
// "error") and above. It returns a NotValid error for any other level.
func New(w io.Writer, level, instance string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), errors.NotValidf("log level %q", level)
	}
	return zerolog.New(zerolog.SyncWriter(w)).Level(l).With().Timestamp().Str("instance", instance).Logger(), nil
}
