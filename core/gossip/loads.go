package gossip

import (
	"time"

	"arbutustrestle/core/ident"
)

// Ranks is the number of ranks that are told apart; less urgent requests count with
// the last.
const Ranks = 4

// ByRank holds a value for each rank; zero is the most urgent.
type ByRank[T any] [Ranks]T

// Rank returns the index of a route's priority.
func Rank(priority int) int {
	return min(max(priority, 0), Ranks-1)
}

// ReplicaLoad is what one entry has in flight at an upstream.
type ReplicaLoad struct {
	Upstream ident.Upstream
	InFlight int
	// PromptTokens were sent and have not been read yet.
	PromptTokens ByRank[int]
	// Reading is the one of these prompts that is read first.
	Reading Reading
}

// Reading is what is left of a prompt that an engine is reading. Engines read a prompt
// to its end before they turn to the next one, however urgent.
type Reading struct {
	Rank   int
	Tokens int
}

// ServiceLoad is what a further request for a service would meet in a region.
type ServiceLoad struct {
	Service ident.Service
	// Waits are those of requests of each rank, until an upstream turns to them.
	Waits ByRank[time.Duration]
	// Replicas is the number of upstreams that take new work.
	Replicas int
	// TokensPerMilli is the sum of prompt tokens read in a millisecond; zero for a
	// plain service.
	TokensPerMilli float64
}
