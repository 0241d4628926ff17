package logs

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
)

const (
	// MaxSampledLines is the number of lines in a second that a Sampler passes.
	MaxSampledLines = 100
	maxIDBytes      = 64
	maxCauseBytes   = 256
)

// Sampler passes 100 lines in a second of a kind that others may cause in any number. Its zero value is ready to
// use.
type Sampler struct {
	once    sync.Once
	sampler zerolog.BurstSampler
}

// Sample reports whether a line is logged.
func (s *Sampler) Sample(level zerolog.Level) bool {
	s.once.Do(func() { s.sampler = zerolog.BurstSampler{Burst: MaxSampledLines, Period: time.Second} })
	return s.sampler.Sample(level)
}

// ShortID shortens an id or a name that a caller or an upstream chose.
func ShortID(id string) string {
	return id[:min(len(id), maxIDBytes)]
}

// ShortCause shortens an error that may quote what a caller or an upstream sent.
func ShortCause(err error) error {
	if err == nil || len(err.Error()) <= maxCauseBytes {
		return err
	}
	return errors.New(err.Error()[:maxCauseBytes])
}
