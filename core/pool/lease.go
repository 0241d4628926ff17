package pool

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/prefix"
)

// Outcome is the result of an attempt, classified by its implications for the upstream.
type Outcome uint8

const (
	// Answered means that the response arrived in full.
	Answered Outcome = iota
	// Errored means that the upstream reported a failure of its own. Some requests cause
	// such failures at any upstream.
	Errored
	// Refused means that the upstream rejected the request without running it.
	Refused
	// Broken means that the connection broke, the response couldn't be parsed, or the
	// upstream stopped responding.
	Broken
	// Silent means that the upstream sent nothing for longer than the request could wait.
	Silent
	// Unreachable means that no connection could be opened.
	Unreachable
	// Replaced means that another upstream has the address now.
	Replaced
	// Cancelled means that the attempt ended for a reason other than the upstream.
	Cancelled
)

var outcomeNames = [...]string{"answered", "errored", "refused", "broken", "silent", "unreachable", "replaced", "cancelled"}

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Lease is a request's place at an upstream, from the choice to the end of the attempt.
// It belongs to one goroutine.
type Lease struct {
	Projection
	// TokensAhead is the number of prompt tokens that waited at the upstream to be read,
	// by priority class.
	TokensAhead gossip.ByPriority[int]
	// Upstream, InFlight and UncachedTokens are as of the choice.
	Upstream       Upstream
	InFlight       int
	UncachedTokens int
	// CachedTokens is the part of the prompt that the upstream was expected to hold, and
	// Cache whether the time to the first event agrees.
	CachedTokens int
	Cache        CacheVerdict

	// versionBound is that of the request, asked again where it leaves.
	versionBound VersionBound
	// excess is the part of FirstByte that applies to the whole service.
	excess time.Duration
	// held and affinity are as of the choice; affinity is nil once the answer has been
	// compared with held.
	held       prefix.Estimate
	affinity   affinity
	request    *pendingRequest
	pool       *Pool
	replica    *replica
	started    time.Time
	promptRead bool
	// admitted is set while the request counts as sent and running.
	admitted bool
	ended    bool
}

// ResponseReceived records that a response, or a further part of one, has arrived.
func (l *Lease) ResponseReceived(now time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.replica.lastActivity = now
	l.pool.recordReturn(now, l.started, l.replica)
	if !l.removeFromBacklog() {
		return
	}
	l.replica.lastFirstByte = now
	l.judgeCache(now)
	l.updateSlowdown(now)
	l.pool.recordExcess(now, l.Upstream.Service, l.request.priority, now.Sub(l.started), l.FirstByte-l.excess)
	if l.Wait == 0 {
		l.pool.samplePromptRate(l.UncachedTokens, now.Sub(l.started))
	}
}

// removeFromBacklog removes the prompt from the backlog. It reports false if the prompt
// was removed before.
func (l *Lease) removeFromBacklog() bool {
	if l.promptRead {
		return false
	}
	l.promptRead = true
	r := l.replica
	r.waiting = slices.DeleteFunc(r.waiting, func(w *pendingRequest) bool { return w == l.request })
	return true
}

const (
	// minComparedTime is the time to the first byte below which a comparison with the
	// projection carries no information.
	minComparedTime = 150 * time.Millisecond
)

// updateSlowdown compares the time to the first byte with the projection.
func (l *Lease) updateSlowdown(now time.Time) {
	took := max(now.Sub(l.started), minComparedTime)
	expected := max(l.FirstByte, minComparedTime)
	ratio := min(float64(took)/float64(expected), maxSlowdown)
	l.replica.slowdown += averageWeight * (ratio - l.replica.slowdown)
}

// End ends the lease; further calls do nothing.
func (l *Lease) End(now time.Time, outcome Outcome) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.removeFromBacklog()
	r := l.replica
	if outcome == Answered || outcome == Errored || outcome == Refused {
		r.lastActivity = now
	}
	r.inFlight--
	l.endBrittle(now, outcome)
	switch outcome {
	case Answered:
		r.recordSuccess()
		holdTime := now.Sub(l.started)
		r.holdTime += time.Duration(averageWeight * float64(holdTime-r.holdTime))
	case Errored:
		r.failures = 0
		r.failureRate += averageWeight / 4 * (1 - r.failureRate)
	case Refused:
		r.failureRate += averageWeight / 2 * (1 - r.failureRate)
	case Broken:
		r.recordFailure(now)
	case Silent:
		r.recordSilence(now, l.started)
	case Unreachable:
		r.recordFailure(now)
		r.recordUnreachable(now, l.pool.services[r.Service].Warmup)
		if r.end.isOpen(now) {
			r.recordEnd(now)
		}
	case Replaced:
		r.backoffUntil = now.Add(maxBackoff)
	case Cancelled:
	}
}

// MarkCold records that the upstream reported itself cold for the given time.
func (l *Lease) MarkCold(now time.Time, d time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.replica.markCold(now, d)
}
