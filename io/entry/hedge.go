package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/route"
	"arbutustrestle/io/invoke"
)

// hedgedAttempt is one attempt of a request at one upstream. A request has a second one when
// the first has no token after the table's hedging time; the first token decides
// whose answer the caller gets, and the other attempt is cancelled.
type hedgedAttempt struct {
	call     *hedgedCall
	attempt  *invoke.Attempt
	decision *route.Attempt
	started  time.Time
	cancel   context.CancelFunc
	// report and failure are set when the attempt has ended.
	report  invoke.Report
	failure *result.Failure
}

// hedgedCall is the state that the attempts of one request share.
type hedgedCall struct {
	filter *routeFilter
	answer invoke.Sink

	mu       sync.Mutex
	attempts []*hedgedAttempt
	// winner is the attempt whose answer goes to the caller; nil before the first token.
	winner *hedgedAttempt
}

// errLost ends an attempt that another one was faster than.
var errLost = errors.New("another attempt answers the request")

// Begin makes the attempt the one that answers, unless another one does.
func (a *hedgedAttempt) Begin(h invoke.ResponseHead) error {
	if !a.call.claim(a) {
		return errLost
	}
	now := a.call.filter.core.Clock.Now()
	a.decision.Upstream.ObserveFirstToken(now, now.Sub(a.started))
	// The header's figure is as old as the answer's head, not as its end.
	a.call.filter.observe(a.decision.Upstream, h.Header.Get(invoke.HeaderLoad))
	return a.call.answer.Begin(h)
}

// Write passes on the answer of the attempt that won.
func (a *hedgedAttempt) Write(p []byte) error {
	return a.call.answer.Write(p)
}

// claim reports whether the attempt answers, and cancels the others once it does.
func (h *hedgedCall) claim(a *hedgedAttempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil {
		h.winner = a
		for _, other := range h.attempts {
			if other != a {
				other.cancel()
			}
		}
	}
	return h.winner == a
}

// open reports whether no attempt answers yet.
func (h *hedgedCall) open() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner == nil
}

// attempt calls an upstream, and a second one when the table says so, and tells
// what it learned of their load.
func (f *routeFilter) attempt(ctx context.Context, j *progress, d *route.Attempt) *result.Failure {
	h := &hedgedCall{filter: f, answer: j.call.Sink}
	ended := make(chan *hedgedAttempt, 2)
	if failure := h.start(ctx, j, d, ended); failure != nil {
		return failure
	}
	hedge := f.hedgeTimer(j.call)
	defer hedge.Stop()
	for running := 1; running > 0; {
		select {
		case a := <-ended:
			running--
			f.learn(a.decision.Upstream, a.started, a.report, a.failure)
		case <-hedge.C:
			if f.hedge(ctx, j, h, ended) {
				running++
			}
		}
	}
	return h.finish(j.call)
}

// start begins an attempt, or says why its upstream may not be called.
func (h *hedgedCall) start(ctx context.Context, j *progress, d *route.Attempt, ended chan<- *hedgedAttempt) *result.Failure {
	c := j.call
	f := h.filter
	upstream, found := c.View.Upstream(d.Upstream.ID)
	if !found {
		return refuse(result.StepRoute, result.NoUpstream)
	}
	j.request.Tried = append(j.request.Tried, d.Upstream.ID)
	f.core.flight.place(c, upstream.Zone)
	// A table that came in force before the place was noted didn't end the request.
	if !f.allowed(c, upstream.Zone) {
		return refuse(result.StepResidency, result.PlaceForbidden)
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &hedgedAttempt{call: h, attempt: f.describe(c, upstream, d.Version), decision: d, started: f.core.Clock.Now(), cancel: cancel}
	h.mu.Lock()
	h.attempts = append(h.attempts, a)
	h.mu.Unlock()
	d.Upstream.Begin(a.started)
	go func() {
		defer cancel()
		a.report, a.failure = f.core.UpstreamClient.Do(ctx, a.attempt, a)
		ended <- a
	}()
	return nil
}

// neverHedge is longer than any request lasts.
const neverHedge = 24 * time.Hour

// hedgeTimer fires when a second attempt is due.
func (f *routeFilter) hedgeTimer(c *Call) *time.Timer {
	after := c.View.Table.Policy().HedgeAfter
	if after == 0 || !c.Repeatable || c.Service != "" {
		after = neverHedge
	}
	return time.NewTimer(after)
}

// hedge begins a second attempt where a slot is believed to be free, out of the retry
// budget.
func (f *routeFilter) hedge(ctx context.Context, j *progress, h *hedgedCall, ended chan<- *hedgedAttempt) bool {
	if !h.open() || ctx.Err() != nil {
		return false
	}
	view, found := f.view(j.call)
	if !found {
		return false
	}
	second := j.request
	second.MaxWait = 1
	var d *route.Attempt
	f.core.Random.With(func(source *rand.Rand) {
		d, found = route.Pick(f.core.Clock.Now(), source, view, &second).(*route.Attempt)
	})
	call := retry.Call{Repeatable: j.call.Repeatable, Attempts: j.attempts + 1}
	if !found || !f.core.RetryBudget.AllowHedge(f.core.Clock.Now(), call) {
		return false
	}
	f.core.Metrics.Events.Add("hedges", 1)
	j.attempts++
	return h.start(ctx, j, d, ended) == nil
}

// finish returns how the request ended: as the attempt that answered, or as the attempt of
// which least is known.
func (h *hedgedCall) finish(c *Call) *result.Failure {
	last := h.winner
	for _, a := range h.attempts {
		if h.winner == nil && (last == nil || a.failure.Outcome == result.Unknown) {
			last = a
		}
	}
	c.HeadSent = c.HeadSent || last.report.HeadSent
	c.Tokens += last.report.Frames
	c.Upstream = string(last.decision.Upstream.ID)
	return last.failure
}
