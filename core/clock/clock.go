// Package clock gives the rest of the system the time, so that a test can give
// it another one.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time, with a monotonic reading where there is one.
	Now() time.Time
}

// System is the clock of the machine.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time {
	return time.Now()
}

// Manual is a clock that moves only when it is told to. Its zero value starts at
// the zero time.
type Manual struct {
	mu sync.Mutex
	// now never decreases.
	now time.Time
}

// NewManual returns a manual clock that stands at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time at which the clock stands.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward; a negative step is ignored.
func (m *Manual) Advance(step time.Duration) {
	if step < 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(step)
}
