// Package clock provides the current time through an interface, so that tests can
// substitute a manual clock.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the clock has one.
	Now() time.Time
}

// System is the machine's clock.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time {
	return time.Now()
}

// Manual is a clock that moves only when Advance is called. Its zero value starts
// at the zero time.
type Manual struct {
	mu sync.Mutex
	// now never decreases.
	now time.Time
}

// NewManual returns a manual clock set to the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time to which the clock is set.
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
