package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"arbutustrestle/core/drain"
)

// flight tracks what runs in an instance, for its shutdown.
type flight struct {
	// retryAfter is zero while new requests are taken, in nanoseconds.
	retryAfter atomic.Int64

	mu       sync.Mutex
	requests int
	// latest is the latest deadline since requests was last zero.
	latest time.Time
}

func (f *flight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == 0 {
		f.latest = time.Time{}
	}
	f.requests++
}

func (f *flight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests--
}

func (f *flight) until(deadline time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if deadline.After(f.latest) {
		f.latest = deadline
	}
}

// RefuseNew makes the instance refuse new requests and new keys from now on.
func (c *Core) RefuseNew(retryAfter time.Duration) {
	c.Records.Seal()
	c.flight.retryAfter.Store(int64(retryAfter))
}

// Flight says what runs in this instance.
func (c *Core) Flight() drain.Flight {
	keyed := c.Records.Usage().Running
	c.flight.mu.Lock()
	defer c.flight.mu.Unlock()
	return drain.Flight{Requests: c.flight.requests, Keyed: keyed, LastDeadline: c.flight.latest}
}
