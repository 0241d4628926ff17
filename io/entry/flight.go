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

// inFlight tracks what runs in an instance, for its shutdown.
type inFlight struct {
	// retryAfter is zero while new requests are taken, in nanoseconds.
	retryAfter atomic.Int64

	mu       sync.Mutex
	requests int
	// lastDeadline is the lastDeadline deadline since requests was last zero.
	lastDeadline time.Time
	// running holds the requests that a change of the table may end.
	running map[*Call]*runningRequest
}

// runningRequest is where the data of a running request is being processed.
type runningRequest struct {
	workspace ident.Workspace
	// zones are those of the upstreams that have had the data.
	zones  []ident.Zone
	cancel context.CancelCauseFunc
}

// errDisallowed ends a request whose workspace may not be where it runs any more.
var errDisallowed = &result.Failure{Step: result.StepResidency, Reason: result.PlaceForbidden}

// track notes how to end a request; it replaces what was noted of it before.
func (f *inFlight) track(c *Call, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[*Call]*runningRequest{}
	}
	f.running[c] = &runningRequest{workspace: c.Workspace, cancel: cancel}
}

// addZone notes the zone of an upstream that a request goes to.
func (f *inFlight) addZone(c *Call, zone ident.Zone) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, found := f.running[c]; found {
		r.zones = append(r.zones, zone)
	}
}

func (f *inFlight) untrack(c *Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, c)
}

// CancelDisallowed ends the running requests whose data may not be here, or at their
// upstream, under the table of a new view.
func (c *Server) CancelDisallowed(v *node.View) {
	c.inFlight.mu.Lock()
	defer c.inFlight.mu.Unlock()
	for _, r := range c.inFlight.running {
		at := residency{table: v.Table, workspace: r.workspace, region: v.Region}
		forbidden := slices.ContainsFunc(r.zones, func(z ident.Zone) bool { return !at.AllowsZone(z) })
		if forbidden || !v.Allows(r.workspace) {
			r.cancel(errDisallowed)
		}
	}
}

func (f *inFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == 0 {
		f.lastDeadline = time.Time{}
	}
	f.requests++
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests--
}

func (f *inFlight) extendDeadline(deadline time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if deadline.After(f.lastDeadline) {
		f.lastDeadline = deadline
	}
}

// RefuseNewRequests makes the instance refuse new requests and new keys from now on.
func (c *Server) RefuseNewRequests(retryAfter time.Duration) {
	c.Records.Seal()
	c.inFlight.retryAfter.Store(int64(retryAfter))
}

// draining is true from RefuseNew on.
func (c *Server) draining() bool {
	return c.inFlight.retryAfter.Load() > 0
}

// InFlight says what runs in this instance.
func (c *Server) InFlight() drain.InFlight {
	keyed := c.Records.Usage().Running
	c.inFlight.mu.Lock()
	defer c.inFlight.mu.Unlock()
	return drain.InFlight{Requests: c.inFlight.requests, Keyed: keyed, LastDeadline: c.inFlight.lastDeadline}
}
