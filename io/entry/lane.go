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
	"arbutustrestle/io/upcall"
)

// lane is one attempt of a request at one upstream. A request has a second one when
// the first has no token after the table's hedging time; the first token decides
// whose answer the caller gets, and the other lane is cancelled.
type lane struct {
	race     *race
	attempt  *upcall.Attempt
	decision *route.Attempt
	started  time.Time
	cancel   context.CancelFunc
	// report and failure are set when the lane has ended.
	report  upcall.Report
	failure *result.Failure
}

// race is the state that the lanes of one request share.
type race struct {
	filter *routeFilter
	answer upcall.Sink

	mu    sync.Mutex
	lanes []*lane
	// winner is the lane whose answer goes to the caller; nil before the first token.
	winner *lane
}

// errLost ends a lane that another one was faster than.
var errLost = errors.New("another attempt answers the request")

// Begin makes the lane the one that answers, unless another one does.
func (l *lane) Begin(h upcall.Head) error {
	if !l.race.claim(l) {
		return errLost
	}
	now := l.race.filter.core.Clock.Now()
	l.decision.Upstream.FirstToken(now, now.Sub(l.started))
	// The header's figure is as old as the answer's head, not as its end.
	l.race.filter.observe(l.decision.Upstream, h.Header.Get(upcall.HeaderLoad))
	return l.race.answer.Begin(h)
}

// Write passes on the answer of the lane that won.
func (l *lane) Write(p []byte) error {
	return l.race.answer.Write(p)
}

// claim reports whether the lane answers, and cancels the others once it does.
func (r *race) claim(l *lane) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil {
		r.winner = l
		for _, other := range r.lanes {
			if other != l {
				other.cancel()
			}
		}
	}
	return r.winner == l
}

// open reports whether no lane answers yet.
func (r *race) open() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == nil
}

// attempt calls an upstream, and a second one when the table says so, and tells
// what it learned of their load.
func (f *routeFilter) attempt(ctx context.Context, j *journey, d *route.Attempt) *result.Failure {
	r := &race{filter: f, answer: j.call.Answer}
	ended := make(chan *lane, 2)
	if failure := r.start(ctx, j, d, ended); failure != nil {
		return failure
	}
	hedge := f.hedgeTimer(j.call)
	defer hedge.Stop()
	for running := 1; running > 0; {
		select {
		case l := <-ended:
			running--
			f.learn(l.decision.Upstream, l.started, l.report, l.failure)
		case <-hedge.C:
			if f.hedge(ctx, j, r, ended) {
				running++
			}
		}
	}
	return r.finish(j.call)
}

// start begins a lane, or says why its upstream may not be called.
func (r *race) start(ctx context.Context, j *journey, d *route.Attempt, ended chan<- *lane) *result.Failure {
	c := j.call
	f := r.filter
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
	l := &lane{race: r, attempt: f.describe(c, upstream, d.Version), decision: d, started: f.core.Clock.Now(), cancel: cancel}
	r.mu.Lock()
	r.lanes = append(r.lanes, l)
	r.mu.Unlock()
	d.Upstream.Begin(l.started)
	go func() {
		defer cancel()
		l.report, l.failure = f.core.Upcall.Do(ctx, l.attempt, l)
		ended <- l
	}()
	return nil
}

// neverHedge is longer than any request lasts.
const neverHedge = 24 * time.Hour

// hedgeTimer fires when a second lane is due.
func (f *routeFilter) hedgeTimer(c *Call) *time.Timer {
	after := c.View.Table.Policy().HedgeAfter
	if after == 0 || !c.Repeatable || c.Service != "" {
		after = neverHedge
	}
	return time.NewTimer(after)
}

// hedge begins a second lane where a slot is believed to be free, out of the retry
// budget.
func (f *routeFilter) hedge(ctx context.Context, j *journey, r *race, ended chan<- *lane) bool {
	if !r.open() || ctx.Err() != nil {
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
	if !found || !f.core.Retries.Hedge(f.core.Clock.Now(), call) {
		return false
	}
	f.core.Metrics.Events.Add("hedges", 1)
	j.attempts++
	return r.start(ctx, j, d, ended) == nil
}

// finish returns how the request ended: as the lane that answered, or as the lane of
// which least is known.
func (r *race) finish(c *Call) *result.Failure {
	last := r.winner
	for _, l := range r.lanes {
		if r.winner == nil && (last == nil || l.failure.Outcome == result.Unknown) {
			last = l
		}
	}
	c.Begun = c.Begun || last.report.Begun
	c.Tokens += last.report.Frames
	c.Peer = string(last.decision.Upstream.ID)
	return last.failure
}
