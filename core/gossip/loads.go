package gossip

import (
	"time"

	"arbutustrestle/core/ident"
)

// PriorityClasses is the number of ranks that are told apart; less urgent requests count with
// the last.
const PriorityClasses = 4

// ByPriority holds a value for each rank; zero is the most urgent.
type ByPriority[T any] [PriorityClasses]T

// PriorityClass returns the index of a route's priority.
func PriorityClass(priority int) int {
	return min(max(priority, 0), PriorityClasses-1)
}

// UpstreamLoad is what one entry has in flight at an upstream.
type UpstreamLoad struct {
	Upstream ident.Upstream
	InFlight int
	// PromptTokens were sent and have not been read yet.
	PromptTokens ByPriority[int]
	// Prefill is the one of these prompts that is read first.
	Prefill Prefill
}

// Prefill is what is left of a prompt that an engine is reading. Engines read a prompt
// to its end before they turn to the next one, however urgent.
type Prefill struct {
	Priority int
	Tokens   int
}

// ServiceLoad is what a further request for a service would meet in a region.
type ServiceLoad struct {
	Service ident.Service
	// Waits are those of requests of each rank, until an upstream turns to them.
	Waits ByPriority[time.Duration]
	// Upstreams is the number of upstreams that take new work.
	Upstreams int
	// TokensPerMilli is the sum of prompt tokens read in a millisecond; zero for a
	// plain service.
	TokensPerMilli float64
}
