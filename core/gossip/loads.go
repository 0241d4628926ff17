package gossip

import (
	"time"

	"arbutustrestle/core/ident"
)

// PriorityClasses is the number of priority classes. Less urgent requests count in the
// last one.
const PriorityClasses = 4

// ByPriority holds a value for each priority class; zero is the most urgent.
type ByPriority[T any] [PriorityClasses]T

// PriorityClass returns the class of a route's priority, an index of ByPriority.
func PriorityClass(priority int) int {
	return min(max(priority, 0), PriorityClasses-1)
}

// UpstreamLoad is the load that one instance has in flight at an upstream.
type UpstreamLoad struct {
	Upstream ident.Upstream
	InFlight int
	// PromptTokens is the number of prompt tokens that were sent and have not been read
	// yet.
	PromptTokens ByPriority[int]
	// Prefill is the prompt of these that is read first.
	Prefill Prefill
}

// Prefill is the unread rest of a prompt that an engine is reading. Engines read a prompt
// to its end before they begin the next one, however urgent.
type Prefill struct {
	Priority int
	Tokens   int
}

// ServiceLoad is the projected wait and the capacity for a further request of a service
// in a region.
type ServiceLoad struct {
	Service ident.Service
	// Waits are the projected times until an upstream begins to process a request, by
	// priority class.
	Waits ByPriority[time.Duration]
	// Upstreams is the number of upstreams that accept new requests.
	Upstreams int
	// TokensPerMilli is the number of prompt tokens that all of them together read in a
	// millisecond; zero for a plain service.
	TokensPerMilli float64
	// Versions are the versions of the software of these upstreams.
	Versions []string
}

// RateLimit is the number of requests a second that an upstream takes from all instances
// together, as it says in its answers. Its zero value means that it names no limit.
type RateLimit struct {
	Named     bool
	PerSecond float64
}

// UpstreamRun is one run of an upstream.
type UpstreamRun struct {
	Upstream ident.Upstream
	// StartTime is zero if the upstream doesn't publish it.
	StartTime time.Time
}

// UpstreamEnd tells that a run of an upstream has ended, as the sender of a heartbeat has found
// itself.
type UpstreamEnd struct {
	UpstreamRun
	// Returned is set once something at its address has answered again: it may have started just
	// before that.
	Returned bool
	// Age is the time since the run was last found to have ended, or since it returned.
	Age time.Duration
}

// UpstreamLimit is what an instance knows of the limit of an upstream.
type UpstreamLimit struct {
	Upstream ident.Upstream
	// StartTime is the start of the run of the upstream that said so.
	StartTime time.Time
	RateLimit
	// Age is the time since the answer from which it is known.
	Age time.Duration
}
