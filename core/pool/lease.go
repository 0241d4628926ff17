package pool

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

// Outcome says how an attempt ended, as far as it speaks for or against its upstream.
type Outcome uint8

const (
	// Answered in whole.
	Answered Outcome = iota
	// Errored answers are the upstream's own failures, which some requests bring about
	// at any upstream.
	Errored
	// Refused without having run.
	Refused
	// Broken connections, answers that can't be read, silence.
	Broken
	// Unreachable upstreams took no connection.
	Unreachable
	// Replaced means that another upstream has the address.
	Replaced
	// Cancelled for a reason that is not the upstream's.
	Cancelled
)

var endingNames = [...]string{"answered", "errored", "refused", "broken", "unreachable", "replaced", "cancelled"}

// String returns the kebab-case name of the ending.
func (e Outcome) String() string {
	if int(e) < len(endingNames) {
		return endingNames[e]
	}
	return "unknown"
}

// Lease is a request's place at an upstream, from the choice to the end. It belongs to
// one goroutine.
type Lease struct {
	Projection
	// TokensAhead is the prompt tokens that waited there to be read, by rank.
	TokensAhead gossip.ByPriority[int]
	// Upstream, Cold, InFlight and Uncached are as of the choice.
	Upstream       Upstream
	Cold           bool
	InFlight       int
	UncachedTokens int

	// excess is the part of First that is not the upstream's own.
	excess  time.Duration
	request *waiting
	pool    *Pool
	replica *replica
	started time.Time
	first   bool
	ended   bool
}

// ResponseReceived notes that an answer, or a further part of one, has come.
func (l *Lease) ResponseReceived(now time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.replica.heard = now
	if !l.readPrompt() {
		return
	}
	l.replica.turned = now
	l.noteSpeed(now)
	l.pool.noteLate(now, l.Upstream.Service, l.request.rank, now.Sub(l.started), l.FirstByte-l.excess)
	if l.Wait == 0 {
		l.pool.learn(l.UncachedTokens, now.Sub(l.started))
	}
}

// readPrompt takes the prompt out of the backlog, once.
func (l *Lease) readPrompt() bool {
	if l.first {
		return false
	}
	l.first = true
	r := l.replica
	r.waiting = slices.DeleteFunc(r.waiting, func(w *waiting) bool { return w == l.request })
	return true
}

const (
	// speedFloor is the time to a first answer below which a comparison with the
	// projection says nothing.
	speedFloor = 150 * time.Millisecond
)

// noteSpeed compares the time to the first answer with what was projected.
func (l *Lease) noteSpeed(now time.Time) {
	took := max(now.Sub(l.started), speedFloor)
	expected := max(l.FirstByte, speedFloor)
	ratio := min(float64(took)/float64(expected), maxSlow)
	l.replica.slow += averageStep * (ratio - l.replica.slow)
}

// End ends the lease; further calls do nothing.
func (l *Lease) End(now time.Time, e Outcome) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.readPrompt()
	r := l.replica
	if e == Answered || e == Errored || e == Refused {
		r.heard = now
	}
	r.inFlight--
	switch e {
	case Answered:
		r.succeeded()
		held := now.Sub(l.started)
		r.hold += time.Duration(averageStep * float64(held-r.hold))
	case Errored:
		r.failures = 0
		r.trouble += averageStep / 4 * (1 - r.trouble)
	case Refused:
		r.trouble += averageStep / 2 * (1 - r.trouble)
	case Broken:
		r.failed(now)
	case Unreachable:
		r.failed(now)
		// What comes back after it could not be reached has lost what it knew.
		r.chill(now, l.pool.services[r.Service].Warmup)
	case Replaced:
		r.avoidUntil = now.Add(maxAvoid)
	case Cancelled:
	}
}

// MarkCold notes that the upstream said that it is cold for some time.
func (l *Lease) MarkCold(now time.Time, d time.Duration) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.replica.chill(now, d)
}
