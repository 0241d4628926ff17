package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutustrestle/core/drain"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
)

// flight tracks what runs in an instance, for its shutdown.
type flight struct {
	// retryAfter is zero while new requests are taken, in nanoseconds.
	retryAfter atomic.Int64

	mu       sync.Mutex
	requests int
	// latest is the latest deadline since requests was last zero.
	latest time.Time
	// running holds the requests that a change of the table may end.
	running map[*Call]*run
}

// run is where the data of a running request is being processed.
type run struct {
	workspace ident.Workspace
	// zones are those of the upstreams that have had the data.
	zones  []ident.Zone
	cancel context.CancelCauseFunc
}

// errRevoked ends a request whose workspace may not be where it runs any more.
var errRevoked = &result.Failure{Step: result.StepResidency, Reason: result.PlaceForbidden}

// run notes how to end a request; it replaces what was noted of it before.
func (f *flight) run(c *Call, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[*Call]*run{}
	}
	f.running[c] = &run{workspace: c.Workspace, cancel: cancel}
}

// place notes the zone of an upstream that a request goes to.
func (f *flight) place(c *Call, zone ident.Zone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, found := f.running[c]; found {
		r.zones = append(r.zones, zone)
	}
}

func (f *flight) forget(c *Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, c)
}

// CancelDisallowed ends the running requests whose data may not be here, or at their
// upstream, under the table of a new view.
func (c *Server) CancelDisallowed(v *node.View) {
	c.flight.mu.Lock()
	defer c.flight.mu.Unlock()
	for _, r := range c.flight.running {
		at := places{table: v.Table, workspace: r.workspace, region: v.Region}
		forbidden := slices.ContainsFunc(r.zones, func(z ident.Zone) bool { return !at.AllowsZone(z) })
		if forbidden || !v.Allows(r.workspace) {
			r.cancel(errRevoked)
		}
	}
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

// RefuseNewRequests makes the instance refuse new requests and new keys from now on.
func (c *Server) RefuseNewRequests(retryAfter time.Duration) {
	c.Records.Seal()
	c.flight.retryAfter.Store(int64(retryAfter))
}

// leaving is true from RefuseNew on.
func (c *Server) leaving() bool {
	return c.flight.retryAfter.Load() > 0
}

// InFlight says what runs in this instance.
func (c *Server) InFlight() drain.InFlight {
	keyed := c.Records.Usage().Running
	c.flight.mu.Lock()
	defer c.flight.mu.Unlock()
	return drain.InFlight{Requests: c.flight.requests, Keyed: keyed, LastDeadline: c.flight.latest}
}
