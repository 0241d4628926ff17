// Package retry decides whether a request whose attempt failed may be retried. Only
// entry instances retry, and only within a budget, so that a failure of the upstreams
// multiplies the load by little more than one.
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
	// defaultPercent is the share of the recent requests that may be retried before
	// Configure.
	defaultPercent = 10
	// minRetriesPerSecond is the rate of retries that is permitted even with few
	// requests.
	minRetriesPerSecond = 1.0
	// defaultMaxAttempts limits the attempts of one request before Configure.
	defaultMaxAttempts = 3
	// firstBackoff doubles with each further retry. The second attempt of a request
	// goes to another upstream or region and doesn't wait.
	firstBackoff = 50 * time.Millisecond
)

// Budget limits an instance's retries to a share of its recent requests. It is safe for
// concurrent use; its zero value is ready to use.
type Budget struct {
	mu sync.Mutex
	// configured is set once Configure was called; until then the defaults apply.
	configured         bool
	percent            float64
	maxRequestAttempts int
	// credit is the number of retries left. It is never negative and never above
	// maxCredit.
	credit float64
	// recentRequests is a decaying count of the requests in the window.
	recentRequests float64
	at             time.Time
}

// Configure sets the share of the recent requests, in percent, that may be retried, and
// the limit on the attempts of one request, the first included. Zero percent disables
// retries.
func (b *Budget) Configure(percent float64, attempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configured = true
	b.percent = percent
	b.maxRequestAttempts = attempts
}

// AddRequest counts a new request and adds its share of a retry to the credit.
func (b *Budget) AddRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.recentRequests++
	b.credit = min(b.credit+b.retryRatio(), b.maxCredit())
}

// Call holds the properties of a request that the decision depends on.
type Call struct {
	// Repeatable calls may be retried even if it is unknown whether they ran.
	Repeatable bool
	// Streamed is set once part of the response has been sent to the caller.
	Streamed bool
	// Attempts is the number of attempts made so far, at least one.
	Attempts int
	// Deadline is the time from which the response is no longer of use; zero means
	// none.
	Deadline time.Time
	// MinResponseTime is the shortest expected time until a further attempt is
	// answered.
	MinResponseTime time.Duration
}

// Decision is one of Again and Stop.
type Decision interface {
	decision()
}

// Again starts a further attempt after a pause.
type Again struct {
	After time.Duration
}

// Stop ends the request with the failure of the last attempt, or with the failure
// RetryBudget if the budget prevented a retry.
type Stop struct {
	Failure *result.Failure
}

func (Again) decision() {}
func (Stop) decision()  {}

// Decide decides whether a request whose last attempt failed is retried. A retry is
// taken from the budget.
func (b *Budget) Decide(now time.Time, random *rand.Rand, c Call, last *result.Failure) Decision {
	if c.Streamed || !mayRepeat(c, last) || !isRetryable(last.Reason) {
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
	if !b.takeCredit(now) {
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

// AllowHedge reports whether a second attempt may be started in parallel to one that
// has not been answered yet, and takes it from the budget. Only repeatable calls are
// hedged.
func (b *Budget) AllowHedge(now time.Time, c Call) bool {
	if !c.Repeatable || c.Streamed {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Attempts < b.maxAttempts() && b.takeCredit(now)
}

// mayRepeat is the rule that guarantees that a call that isn't repeatable runs at most
// once.
func mayRepeat(c Call, last *result.Failure) bool {
	return last.Outcome == result.NotRun || c.Repeatable
}

// isRetryable reports whether an attempt at another upstream or region could succeed.
func isRetryable(reason result.Reason) bool {
	switch reason {
	case result.ConnectFailed, result.UpstreamRefused, result.UpstreamFailed, result.UpstreamLeaving,
		result.FirstByteTimeout, result.IdleTimeout, result.AnswerCut, result.AnswerMismatch,
		result.PeerUnreachable, result.PeerRefused, result.OlderTable:
		return true
	default:
		return false
	}
}

// backoff returns zero for the first retry, then 25 to 75 ms, then twice that.
func backoff(random *rand.Rand, attempts int) time.Duration {
	if attempts < 2 {
		return 0
	}
	step := firstBackoff << (attempts - 2)
	return step/2 + time.Duration(random.Int64N(int64(step)))
}

// takeCredit takes one retry from the budget, and returns false if none is left.
func (b *Budget) takeCredit(now time.Time) bool {
	b.advance(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// advance decays the request count and adds the credit of the minimum rate.
func (b *Budget) advance(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		b.credit = b.minRate()
		return
	}
	age := now.Sub(b.at)
	if age <= 0 {
		return
	}
	b.at = now
	b.recentRequests *= max(0, 1-float64(age)/float64(budgetWindow))
	b.credit = min(b.credit+b.minRate()*age.Seconds(), b.maxCredit())
}

// maxCredit returns the limit of the accumulated credit.
func (b *Budget) maxCredit() float64 {
	return max(b.minRate(), b.recentRequests*b.retryRatio())
}

// retryRatio returns the credit that one request adds.
func (b *Budget) retryRatio() float64 {
	if b.configured {
		return b.percent / 100
	}
	return defaultPercent / 100.0
}

// minRate returns the retries per second that are permitted regardless of the requests;
// zero if retries are disabled.
func (b *Budget) minRate() float64 {
	if b.retryRatio() <= 0 {
		return 0
	}
	return minRetriesPerSecond
}

func (b *Budget) maxAttempts() int {
	if b.configured {
		return b.maxRequestAttempts
	}
	return defaultMaxAttempts
}
