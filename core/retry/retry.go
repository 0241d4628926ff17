// Package retry decides whether a request that an attempt did not answer may be
// tried again. Only entry instances retry, and only out of a budget, so that a
// fault upstream multiplies the load by little more than one.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutustrestle/core/result"
)

const (
	// budgetWindow is the time over which requests are counted.
	budgetWindow = 10 * time.Second
	// defaultPercent of the recent requests may be retried under a zero Budget.
	defaultPercent = 10
	// floorPerSecond is the number of retries a second that few requests earn.
	floorPerSecond = 1.0
	// defaultAttempts bounds the attempts of one request under a zero Budget.
	defaultAttempts = 3
	// firstBackoff doubles with each further retry; the second attempt of a request
	// goes elsewhere and doesn't wait.
	firstBackoff = 50 * time.Millisecond
)

// Budget bounds an entry's retries to a part of its recent requests. It is safe for
// concurrent use; its zero value works.
type Budget struct {
	mu sync.Mutex
	// configured is set once Configure was called; until then the defaults hold.
	configured bool
	percent    float64
	attempts   int
	// credit is never negative and never above what the window earns.
	credit float64
	// recent counts the requests of the window, decaying.
	recent float64
	at     time.Time
}

// Configure sets the part of the recent requests, in percent, that may be retried,
// and the most attempts of one request, the first included. Zero percent stops all
// retries.
func (b *Budget) Configure(percent float64, attempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configured = true
	b.percent = percent
	b.attempts = attempts
}

// AddRequest earns the part of a retry that a new request brings.
func (b *Budget) AddRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.recent++
	b.credit = min(b.credit+b.part(), b.most())
}

// Call is what the decision has to know of a request.
type Call struct {
	// Repeatable calls may be tried again when it isn't known whether they ran.
	Repeatable bool
	// Streamed is set once part of the answer has gone to the caller.
	Streamed bool
	// Attempts is the number of attempts made so far, at least one.
	Attempts int
	// Deadline is when the answer is of no more use; zero is none.
	Deadline time.Time
	// MinResponseTime is the shortest time in which a further attempt could be answered.
	MinResponseTime time.Duration
}

// Decision is one of Again and Stop.
type Decision interface {
	decision()
}

// Again makes a further attempt after a pause.
type Again struct {
	After time.Duration
}

// Stop gives the final answer with the failure of the last attempt, or with a
// failure that says what kept it from being retried.
type Stop struct {
	Failure *result.Failure
}

func (Again) decision() {}
func (Stop) decision()  {}

// Decide decides about a request whose last attempt ended with a failure. It takes
// the retry that it allows out of the budget.
func (b *Budget) Decide(now time.Time, random *rand.Rand, c Call, last *result.Failure) Decision {
	if c.Streamed || !mayRepeat(c, last) || !worthwhile(last.Reason) {
		return Stop{last}
	}
	after := backoff(random, c.Attempts)
	if !c.Deadline.IsZero() && now.Add(after+c.MinResponseTime).After(c.Deadline) {
		return Stop{last}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Attempts >= b.maxAttempts() {
		return Stop{last}
	}
	if !b.take(now) {
		return Stop{&result.Failure{
			Outcome:    last.Outcome,
			Step:       last.Step,
			Reason:     result.RetryBudget,
			Peer:       last.Peer,
			RetryAfter: last.RetryAfter,
			Cause:      last,
		}}
	}
	return Again{After: after}
}

// AllowHedge reports whether a second attempt may be started beside one that has not
// answered yet, and takes it out of the budget. Only calls that may be repeated are
// hedged.
func (b *Budget) AllowHedge(now time.Time, c Call) bool {
	if !c.Repeatable || c.Streamed {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Attempts < b.maxAttempts() && b.take(now)
}

// mayRepeat is the rule on which at most one run rests.
func mayRepeat(c Call, last *result.Failure) bool {
	return last.Outcome == result.NotRun || c.Repeatable
}

// worthwhile reports whether another upstream or region could do better.
func worthwhile(reason result.Reason) bool {
	switch reason {
	case result.ConnectFailed, result.UpstreamRefused, result.UpstreamFailed, result.UpstreamLeaving,
		result.FirstByteTimeout, result.IdleTimeout, result.AnswerCut, result.AnswerMismatch,
		result.PeerUnreachable, result.PeerRefused, result.OlderTable:
		return true
	default:
		return false
	}
}

// backoff returns nothing for the first retry, then 25 to 75 ms, then twice that.
func backoff(random *rand.Rand, attempts int) time.Duration {
	if attempts < 2 {
		return 0
	}
	step := firstBackoff << (attempts - 2)
	return step/2 + time.Duration(random.Int64N(int64(step)))
}

// take spends one retry, and reports false when there is none.
func (b *Budget) take(now time.Time) bool {
	b.advance(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// advance lets the window pass and earns the floor.
func (b *Budget) advance(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.credit = b.floor()
		return
	}
	age := now.Sub(b.at)
	if age <= 0 {
		return
	}
	b.at = now
	b.recent *= max(0, 1-float64(age)/float64(budgetWindow))
	b.credit = min(b.credit+b.floor()*age.Seconds(), b.most())
}

// most is the credit that may be saved up.
func (b *Budget) most() float64 {
	return max(b.floor(), b.recent*b.part())
}

// part is what one request earns.
func (b *Budget) part() float64 {
	if b.configured {
		return b.percent / 100
	}
	return defaultPercent / 100.0
}

// floor is the number of retries a second that few requests earn as well.
func (b *Budget) floor() float64 {
	if b.part() <= 0 {
		return 0
	}
	return floorPerSecond
}

func (b *Budget) maxAttempts() int {
	if b.configured {
		return b.attempts
	}
	return defaultAttempts
}
