package proxy

import (
	"context"
	"time"

	"arbutustrestle/core/result"
)

// again decides whether a request goes to another upstream after a failed attempt,
// and takes what that costs out of the budget.
func (c *Proxy) again(ctx context.Context, call *Call, f *result.Failure) bool {
	if ctx.Err() != nil || f.Outcome == result.Unknown && !call.Route.Repeatable() {
		return false
	}
	if call.begun && (call.LastEventID == "" || !call.Route.Resumable) {
		return false
	}
	if call.sends >= call.Route.MaxAttempts {
		return false
	}
	if len(call.tried)+len(call.visited) > maxTries {
		return false
	}
	if call.arrivals == 0 {
		return true
	}
	if !c.Budget.Take(c.Clock.Now(), call.Service) {
		c.Metrics.Events.Add("retry-budget-spent", 1)
		return false
	}
	return true
}

// maxTries bounds the places that one request looks for, unreachable ones included.
const maxTries = 4

// patience gives an attempt up when its first byte is long overdue and the request
// may be repeated elsewhere. The timer does nothing for other requests: an upstream's
// silence is no reason to end what may not run twice.
func (c *Proxy) patience(call *Call, projected time.Duration, cancel context.CancelCauseFunc) *time.Timer {
	if !call.Route.Repeatable() || call.sends >= call.Route.MaxAttempts {
		return time.NewTimer(time.Hour)
	}
	left := call.Deadline.Sub(c.Clock.Now())
	wait := min(max(overdue*projected, call.Route.LatencyObjective, minPatience), left/2)
	return time.AfterFunc(wait, func() {
		cancel(&result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.FirstByteTimeout})
	})
}

const (
	// overdue is how many times the projected time an attempt is waited for.
	overdue = 3
	// minPatience is waited for whatever was projected.
	minPatience = 500 * time.Millisecond
)
