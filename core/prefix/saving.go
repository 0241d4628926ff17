package prefix

import (
	"math"
	"time"
)

// maxResidence is the longest residence time that is assumed: what happens at an engine in
// so long isn't foreseen, even if little is sent there.
const maxResidence = 2 * time.Minute

// minFree is the part of the memory that cached parts are assumed to have at least while
// running requests fill it.
const minFree = 0.05

// Residence returns how long a section stays in an engine's cache after its last use. Least
// recently used sections are evicted first, so that is the time in which the engine reads as
// many new tokens as the memory holds beside running requests. memory and running are in
// tokens, inflow in tokens per second.
func Residence(memory, running, inflow float64) time.Duration {
	free := max(memory-running, memory*minFree)
	if inflow*maxResidence.Seconds() <= free {
		return maxResidence
	}
	return time.Duration(free / inflow * float64(time.Second))
}

// survival is the likelihood that a section is still held some time after its last use. It
// falls around the residence time, and is one half there: eviction is in order of use, but
// the residence time is known only to a fraction.
func survival(age, residence time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	if residence <= 0 {
		return 0
	}
	ratio := float64(age) / float64(residence)
	ratio *= ratio
	return 1 / (1 + ratio*ratio)
}

// ArrivalLikelihood returns the likelihood that a request arrives in a window, at a rate
// per second.
func ArrivalLikelihood(rate float64, window time.Duration) float64 {
	return -math.Expm1(-rate * window.Seconds())
}

// RankShare returns the fraction of the requests for a prefix that goes to the upstream of
// a rank, from 1, in the ranking of upstreams for that prefix. Requests go to the first
// upstream that isn't busy; overflow is the fraction that passes an upstream over. copies
// is the number of upstreams that the demand needs at least.
func RankShare(rank int, overflow, copies float64) float64 {
	passed := max(overflow, 1-1/max(copies, 1))
	return (1 - passed) * math.Pow(passed, float64(rank-1))
}

// Load is what reading again costs at an engine.
type Load struct {
	// Rate is the number of prompt tokens that the engine reads in a millisecond.
	Rate float64
	// Delayed is the number of other requests that reading delays.
	Delayed float64
	// Reuse is the likelihood that a token which is evicted is asked for again.
	Reuse float64
}

// maxBusy bounds the fraction of an engine's time that reading takes in Delayed. Beyond it
// the engine is overloaded, and the formula for a steady queue no longer holds.
const maxBusy = 0.85

// Delayed returns how many other requests at an engine are delayed by reading further
// tokens: those that arrive until it has read all that waits before, and on average half of
// the tokens themselves. work is the mean number of tokens read for a request, and busy the
// fraction of its time in which the engine reads.
func Delayed(backlog, tokens, work, busy float64) float64 {
	if work <= 0 {
		return 0
	}
	busy = min(busy, maxBusy)
	return busy * (backlog + tokens/2) / (work * (1 - busy))
}

// RereadCost returns the cost, in milliseconds of the time of requests, of reading shared
// tokens again, beyond the time of the request itself: the delay of the others there, and
// reading what the copy evicts.
func RereadCost(tokens float64, l Load) float64 {
	return tokens / l.Rate * (l.Delayed + l.Reuse)
}

// FoundLikelihood returns the likelihood that a prefix was held, given the time to the
// first event. prior is the likelihood before; ifHeld and ifRead are the expected times in
// either case, and spread is the standard deviation of both.
func FoundLikelihood(prior float64, took, ifHeld, ifRead, spread time.Duration) float64 {
	held := prior * gauss(took-ifHeld, spread)
	read := (1 - prior) * gauss(took-ifRead, spread)
	if held+read == 0 {
		return prior
	}
	return held / (held + read)
}

// gauss is the density at a distance from the mean, relative to the density there. It isn't
// below that at five standard deviations, since delays have other causes too.
func gauss(distance, spread time.Duration) float64 {
	z := float64(distance) / float64(spread)
	return math.Exp(-min(z*z, 25) / 2)
}
