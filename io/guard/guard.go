// Package guard keeps an unexpected error in one exchange from ending the whole process.
package guard

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Recover ends the panic of the function that defers it, and reports it. during names the
// exchange, such as "stream of a peer".
func Recover(log zerolog.Logger, events *expvar.Map, during string) {
	if cause := recover(); cause != nil {
		Report(log, events, during, cause)
	}
}

// Report logs a panic that was recovered, with its stack, and counts it as "panics". events may
// be nil.
func Report(log zerolog.Logger, events *expvar.Map, during string, cause any) {
	if events != nil {
		events.Add("panics", 1)
	}
	log.Error().Str("during", during).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("unexpected error; only this exchange ends")
}
