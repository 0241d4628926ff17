package proxy

import (
	"context"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/poison"
	"arbutustrestle/core/result"
)

// shouldRetry decides whether a request is sent to another upstream after a failed
// attempt, and takes the cost of the retry from the budget.
func (p *Proxy) shouldRetry(ctx context.Context, call *Call, f *result.Failure) bool {
	if ctx.Err() != nil || f.Outcome == result.Unknown && !call.Route.Repeatable() {
		return false
	}
	if f.Reason == result.PoisonedPrompt || f.Reason == result.PoisonedRequest {
		return false
	}
	if f.Outcome == result.Unknown && p.Poison.Suspects(poison.LossID(call.ID, ident.Upstream(call.peer)), call.traits()) {
		return false
	}
	if call.headSent && (call.LastEventID == "" || !call.Route.Resumable) {
		return false
	}
	if !p.mayRetryRejection(call, f) || call.sends >= call.Route.MaxAttempts {
		return false
	}
	if len(call.tried)+len(call.visited)+len(call.peersTried) > maxDestinations {
		return false
	}
	if call.arrivals == 0 {
		return true
	}
	if !p.Budget.Take(p.Clock.Now(), call.Service) {
		p.Metrics.Events.Add("retry-budget-spent", 1)
		return false
	}
	return true
}

// maxDestinations bounds the destinations that one request tries, including unreachable
// ones.
const maxDestinations = 4

// startFirstByteTimer starts a timer that cancels an attempt when its first byte is long
// overdue and the request may be repeated elsewhere after this attempt, which isn't counted
// yet. For other requests the timer does nothing: a slow upstream is no reason to end a
// request that goes nowhere else.
func (p *Proxy) startFirstByteTimer(call *Call, projected time.Duration, cancel context.CancelCauseFunc) *time.Timer {
	if !call.Route.Repeatable() || call.sends+1 >= call.Route.MaxAttempts {
		return time.NewTimer(time.Hour)
	}
	left := call.Deadline.Sub(p.Clock.Now())
	wait := min(max(firstByteFactor*projected, call.Route.LatencyObjective, minFirstByteTimeout), left/2)
	return time.AfterFunc(wait, func() {
		cancel(&result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.FirstByteTimeout})
	})
}

const (
	// firstByteFactor is the first-byte timeout in multiples of the projected time.
	firstByteFactor = 3
	// minFirstByteTimeout is the lower bound of the timeout, whatever the projection.
	minFirstByteTimeout = 500 * time.Millisecond
)
