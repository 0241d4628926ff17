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

// inFlight tracks the requests that run on an instance. The shutdown waits for them.
type inFlight struct {
	// retryAfter is the retry time sent with refusals during a drain, in nanoseconds. It is
	// zero while new requests are accepted.
	retryAfter atomic.Int64

	mu       sync.Mutex
	requests int
	// lastDeadline is the latest deadline of all requests since the count was last zero.
	lastDeadline time.Time
	// running holds the requests that a change of the table may cancel.
	running map[*Call]*runningRequest
}

// runningRequest holds the places where the data of a running request is processed.
type runningRequest struct {
	workspace ident.Workspace
	// zones holds the zones of the upstreams that have received the data.
	zones  []ident.Zone
	cancel context.CancelCauseFunc
}

// errDisallowed cancels a request whose workspace is no longer allowed where it runs.
var errDisallowed = &result.Failure{Step: result.StepResidency, Reason: result.PlaceForbidden}

// track registers the cancel function of a request. It replaces an earlier registration of
// the same request.
func (f *inFlight) track(c *Call, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running = map[*Call]*runningRequest{}
	}
	f.running[c] = &runningRequest{workspace: c.Workspace, cancel: cancel}
}

// addZone adds the zone of an upstream that a request is about to be sent to.
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

// CancelDisallowed cancels the running requests whose data is not allowed on this instance,
// or at their upstreams, by the table of a new view.
func (s *Server) CancelDisallowed(v *node.View) {
	s.inFlight.mu.Lock()
	defer s.inFlight.mu.Unlock()
	for _, r := range s.inFlight.running {
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
func (s *Server) RefuseNewRequests(retryAfter time.Duration) {
	s.Records.Seal()
	s.inFlight.retryAfter.Store(int64(retryAfter))
}

// draining reports whether RefuseNewRequests was called.
func (s *Server) draining() bool {
	return s.inFlight.retryAfter.Load() > 0
}

// InFlight returns the number of running requests, of running keyed calls, and the latest
// deadline.
func (s *Server) InFlight() drain.InFlight {
	keyed := s.Records.Usage().Running
	s.inFlight.mu.Lock()
	defer s.inFlight.mu.Unlock()
	return drain.InFlight{Requests: s.inFlight.requests, Keyed: keyed, LastDeadline: s.inFlight.lastDeadline}
}
