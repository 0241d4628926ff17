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

// hedgedAttempt is one attempt of a request at one upstream. A request gets a second
// attempt if the first has sent no token within the hedging delay of the table. The attempt
// that sends the first token answers the caller, and the other one is cancelled.
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
	sink   invoke.Sink

	mu       sync.Mutex
	attempts []*hedgedAttempt
	// winner is the attempt whose response goes to the caller; nil before the first token.
	winner *hedgedAttempt
}

// errSuperseded ends an attempt after another one has sent its first token.
var errSuperseded = errors.New("another attempt has answered the request first")

// Begin makes this attempt the one that answers, unless another one already does.
func (a *hedgedAttempt) Begin(h invoke.ResponseHead) error {
	if !a.call.claim(a) {
		return errSuperseded
	}
	now := a.call.filter.server.Clock.Now()
	a.decision.Upstream.ObserveFirstToken(now, now.Sub(a.started))
	// The load in the header is as old as the response head, so it is recorded now and not
	// at the end.
	a.call.filter.observeLoad(a.decision.Upstream, h.Header.Get(invoke.HeaderLoad))
	return a.call.sink.Begin(h)
}

// Write sends on the response of the attempt that answers.
func (a *hedgedAttempt) Write(p []byte) error {
	return a.call.sink.Write(p)
}

// claim reports whether the attempt answers the request. The first claim cancels the other
// attempts.
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

// undecided reports whether no attempt answers yet.
func (h *hedgedCall) undecided() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner == nil
}

// attempt calls an upstream, and a second one if the hedging delay of the table passes, and
// updates the state of the upstreams with the results.
func (f *routeFilter) attempt(ctx context.Context, p *progress, d *route.Attempt) *result.Failure {
	h := &hedgedCall{filter: f, sink: p.call.Sink}
	ended := make(chan *hedgedAttempt, 2)
	if failure := h.start(ctx, p, d, ended); failure != nil {
		return failure
	}
	hedge := f.hedgeTimer(p.call)
	defer hedge.Stop()
	for running := 1; running > 0; {
		select {
		case a := <-ended:
			running--
			f.recordAttempt(a.decision.Upstream, a.started, a.report, a.failure)
		case <-hedge.C:
			if f.startHedge(ctx, p, h, ended) {
				running++
			}
		}
	}
	return h.finish(p.call)
}

// start begins an attempt, or returns the reason why the upstream may not be called.
func (h *hedgedCall) start(ctx context.Context, p *progress, d *route.Attempt, ended chan<- *hedgedAttempt) *result.Failure {
	c := p.call
	f := h.filter
	upstream, found := c.View.Upstream(d.Upstream.ID)
	if !found {
		return notRun(result.StepRoute, result.NoUpstream)
	}
	p.request.Tried = append(p.request.Tried, d.Upstream.ID)
	f.server.inFlight.addZone(c, upstream.Zone)
	// If a new table was activated before addZone, CancelDisallowed did not see this zone.
	if !f.isAllowed(c, upstream.Zone) {
		return notRun(result.StepResidency, result.PlaceForbidden)
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &hedgedAttempt{call: h, attempt: f.newAttempt(c, upstream, d.Version), decision: d, started: f.server.Clock.Now(), cancel: cancel}
	h.mu.Lock()
	h.attempts = append(h.attempts, a)
	h.mu.Unlock()
	d.Upstream.Begin(a.started)
	go func() {
		defer cancel()
		a.report, a.failure = f.server.UpstreamClient.Do(ctx, a.attempt, a)
		ended <- a
	}()
	return nil
}

// neverHedge is longer than any request lasts.
const neverHedge = 24 * time.Hour

// hedgeTimer returns a timer that fires when a second attempt is due.
func (f *routeFilter) hedgeTimer(c *Call) *time.Timer {
	after := c.View.Table.Policy().HedgeAfter
	if after == 0 || !c.Repeatable || c.Service != "" {
		after = neverHedge
	}
	return time.NewTimer(after)
}

// startHedge begins a second attempt at an upstream with an estimated free slot, if the
// retry budget allows. It reports whether the attempt was started.
func (f *routeFilter) startHedge(ctx context.Context, p *progress, h *hedgedCall, ended chan<- *hedgedAttempt) bool {
	if !h.undecided() || ctx.Err() != nil {
		return false
	}
	view, found := f.routeView(p.call)
	if !found {
		return false
	}
	second := p.request
	second.MaxWait = 1
	var d *route.Attempt
	f.server.Random.With(func(source *rand.Rand) {
		d, found = route.Pick(f.server.Clock.Now(), source, view, &second).(*route.Attempt)
	})
	call := retry.Call{Repeatable: p.call.Repeatable, Attempts: p.attempts + 1}
	if !found || !f.server.RetryBudget.AllowHedge(f.server.Clock.Now(), call) {
		return false
	}
	f.server.Metrics.Events.Add("hedges", 1)
	p.attempts++
	return h.start(ctx, p, d, ended) == nil
}

// finish returns the result of the request: that of the attempt that answered, or else that
// of an attempt with an unknown outcome, or else of any.
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
