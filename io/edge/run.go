package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spend"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/follow"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/relay"
	"arbutustrestle/io/sender"
)

// Core is what requests are served with. Its fields are set before the first request.
type Core struct {
	Self    ident.Instance
	Region  ident.Region
	Clock   clock.Clock
	Log     zerolog.Logger
	Metrics *metric.Set
	Loop    *follow.Loop
	Pool    *pool.Pool
	Spill   *spill.Table
	Budget  *spend.Budget
	Sender  *sender.Client
	Links   *link.Pool
	Times   *Times

	flight flight
}

const (
	// awaitStep is the time between two looks for an upstream while there is none.
	awaitStep = 40 * time.Millisecond
	// awaitShare is the part of a route's objective for which a request waits for one to
	// appear, as when an entry has just started and has not heard from other regions.
	awaitShare = 0.25
)

// awaitPlace waits a little while no upstream takes a request, and reports false when it
// has waited long enough.
func (c *Core) awaitPlace(ctx context.Context, call *Call) bool {
	limit := time.Duration(awaitShare * float64(objectiveOf(call)))
	if c.Clock.Now().Sub(call.Arrived) >= limit {
		return false
	}
	timer := time.NewTimer(awaitStep)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// place is where a request goes next: to an upstream here, or to another region.
type place struct {
	// lease is nil for another region.
	lease  *pool.Lease
	remote spill.Choice
}

// run makes attempts until the request is answered or may not be tried again. The
// failure is nil when the answer was passed on in whole.
func (c *Core) run(ctx context.Context, call *Call, sink Sink) *result.Failure {
	for {
		to, refusal := c.choose(call)
		if refusal != nil && refusal.Reason == result.NoUpstream && c.awaitPlace(ctx, call) {
			continue
		}
		if refusal != nil {
			return c.give(call, sink, call.final(refusal))
		}
		failure := c.attempt(ctx, call, to, sink)
		if failure == nil {
			return nil
		}
		call.note(failure)
		if !c.again(ctx, call, failure) {
			return c.give(call, sink, call.final(failure))
		}
		c.Metrics.Retried(failure)
		c.Log.Info().
			Str("request-id", call.ID).
			Str("step", failure.Step.String()).
			Str("reason", failure.Reason.String()).
			Str("outcome", failure.Outcome.String()).
			Str("peer", failure.Peer).
			Int("sends", call.sends).
			Msg("request tried again")
	}
}

// give passes an upstream's own failure on when that is all there is. A caller whose
// request has not run is told when to come back.
func (c *Core) give(call *Call, sink Sink, f *result.Failure) *result.Failure {
	if call.held != nil && !call.begun {
		return c.passWhole(call, sink, call.held)
	}
	if f.Outcome == result.NotRun && f.RetryAfter == 0 {
		told := *f
		told.RetryAfter = c.comeBack(noUpstreamWait, call.Deadline.Sub(c.Clock.Now()))
		return &told
	}
	return f
}

// choose finds the place where the first answer is due soonest, or says why the
// request is refused.
func (c *Core) choose(call *Call) (place, *result.Failure) {
	now := c.Clock.Now()
	left := call.Deadline.Sub(now)
	if left <= 0 {
		return place{}, refuse(result.StepDeadline, result.DeadlinePassed, 0)
	}
	ask := call.ask()
	local, here := c.Pool.Project(now, ask)
	here = here && call.Route.Allows(c.Region)
	remote, away := c.away(now, call, local, here)
	if !here && !away {
		return place{}, refuse(result.StepRoute, result.NoUpstream, c.comeBack(noUpstreamWait, left))
	}
	call.projected = local
	if away {
		call.projected = pool.Projection{Wait: remote.Wait, First: remote.First}
	}
	wait := call.projected.Wait
	if limit := waitLimit(call, left); wait > limit {
		return place{}, refuse(result.StepAdmit, result.Overloaded, c.comeBack(wait-limit/2, left))
	}
	if away {
		return place{remote: remote}, nil
	}
	lease, found := c.Pool.Pick(now, ask)
	if !found {
		return place{}, refuse(result.StepRoute, result.NoUpstream, c.comeBack(noUpstreamWait, left))
	}
	call.uncached = lease.Uncached
	call.ahead = lease.Ahead
	call.inFlight = lease.InFlight
	return place{lease: lease}, nil
}

// away looks for another region that serves the request sooner.
func (c *Core) away(now time.Time, call *Call, local pool.Projection, here bool) (spill.Choice, bool) {
	if len(call.Body) > relay.MaxBodyBytes {
		return spill.Choice{}, false
	}
	return c.Spill.Pick(now, spill.Ask{
		Service:  call.Service,
		Tokens:   call.Prompt,
		Local:    local.First,
		Here:     here,
		Rank:     call.Route.Priority,
		Subject:  call.subject(),
		Allowed:  call.Route.Allows,
		Excluded: call.visited,
	})
}

const (
	// noUpstreamWait is when callers may come back while no upstream takes requests.
	noUpstreamWait = 700 * time.Millisecond
	// minComeBack keeps refused callers from coming back at once.
	minComeBack = 150 * time.Millisecond
	// admitShare is the part of a route's objective that a request may wait before
	// an upstream turns to it. What waits longer is late, and makes others late.
	admitShare = 0.85
	// defaultObjective is taken for routes without one.
	defaultObjective = 2 * time.Second
)

// waitLimit returns the longest projected wait with which a request is still sent. A
// stream that has begun is gone on with as long as its caller waits.
func waitLimit(call *Call, left time.Duration) time.Duration {
	if call.begun {
		return left
	}
	return min(time.Duration(admitShare*float64(objectiveOf(call))), left)
}

func objectiveOf(call *Call) time.Duration {
	if call.Route.Objective <= 0 {
		return defaultObjective
	}
	return call.Route.Objective
}

// comeBack spreads the return of refused callers. They may come back within a third
// of the time that they have left.
func (c *Core) comeBack(wait, left time.Duration) time.Duration {
	limit := max(left/3, time.Millisecond)
	spread := time.Duration(rand.Float64() * comeBackSpread * float64(wait))
	if wait = max(wait, minComeBack) + spread; wait <= limit {
		return wait
	}
	return limit - time.Duration(rand.Float64()*comeBackSpread*float64(limit)/2)
}

// comeBackSpread is the part of a wait over which the return of callers is spread.
const comeBackSpread = 0.5

func refuse(step result.Step, reason result.Reason, after time.Duration) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: step, Reason: reason, RetryAfter: after}
}

// attempt makes one attempt and passes its answer on.
func (c *Core) attempt(ctx context.Context, call *Call, to place, sink Sink) *result.Failure {
	if to.lease != nil {
		return c.attemptHere(ctx, call, to.lease, sink)
	}
	return c.attemptAway(ctx, call, to.remote, sink)
}

func (c *Core) attemptHere(ctx context.Context, call *Call, lease *pool.Lease, sink Sink) *result.Failure {
	call.peer = string(lease.Listed.ID)
	call.tried = append(call.tried, lease.Listed.ID)
	call.count()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := c.patience(call, lease.First, cancel)
	defer patience.Stop()
	answer, failure := c.Sender.Send(ctx, c.describe(call, lease))
	if failure == nil && !patience.Stop() {
		// The head came as the attempt was given up, and the rest won't come.
		failure = c.fail(ctx, call, result.FirstByteTimeout, nil)
		_ = answer.Body.Close()
	}
	if failure != nil {
		c.endLease(lease, endingOf(failure))
		call.uncount(failure)
		return failure
	}
	if answer.Meta.Cold > 0 {
		lease.Cool(c.Clock.Now(), answer.Meta.Cold)
	}
	failure = c.pass(ctx, cancel, call, answer, sink, func() { lease.Answered(c.Clock.Now()) })
	c.endLease(lease, answerEnding(answer, failure))
	return failure
}

// describe makes the message of an attempt.
func (c *Core) describe(call *Call, lease *pool.Lease) *sender.Attempt {
	a := c.message(call)
	a.Upstream = lease.Listed.ID
	a.Address = lease.Listed.Address
	return &a
}

func (c *Core) message(call *Call) sender.Attempt {
	return sender.Attempt{
		RequestID: call.ID,
		Method:    call.Method,
		Target:    call.Target,
		Host:      call.Host,
		Header:    call.Header,
		Body:      call.Body,
		Remaining: call.Deadline.Sub(c.Clock.Now()),
		Priority:  call.Route.Priority,
		LastEvent: call.LastEvent,
	}
}

func (c *Core) endLease(lease *pool.Lease, e pool.Ending) {
	lease.End(c.Clock.Now(), e)
}

func endingOf(f *result.Failure) pool.Ending {
	switch f.Reason {
	case result.CallerGone, result.DeadlinePassed:
		return pool.Cancelled
	case result.ConnectFailed:
		return pool.Unreachable
	case result.UpstreamRefused:
		return pool.Refused
	case result.UpstreamLeaving:
		return pool.Replaced
	default:
		return pool.Broken
	}
}

func answerEnding(a *sender.Answer, f *result.Failure) pool.Ending {
	switch {
	case f != nil && f.Reason == result.UpstreamStatus, f == nil && a.Status >= 500:
		return pool.Errored
	case f != nil:
		return endingOf(f)
	default:
		return pool.Answered
	}
}

// attemptAway relays the request to an entry of another region.
func (c *Core) attemptAway(ctx context.Context, call *Call, to spill.Choice, sink Sink) *result.Failure {
	call.visited = append(call.visited, to.Region.Name)
	address, found := c.pickEntry(to)
	if !found {
		return refuse(result.StepForward, result.PeerUnreachable, 0)
	}
	call.peer = string(to.Region.Name) + "@" + address.String()
	call.count()
	c.Spill.Sent(c.Clock.Now(), to.Region.Name, call.Service, call.Prompt)
	c.Metrics.Events.Add("relayed", 1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := c.patience(call, to.First, cancel)
	defer patience.Stop()
	answer, failure := relay.Send(ctx, c.Links, address, &relay.Request{
		Attempt:   c.message(call),
		Service:   call.Service,
		Kind:      call.Route.Kind,
		Resumable: call.Route.Resumable,
		Objective: call.Route.Objective,
		Model:     call.Model,
		Prompt:    call.Prompt,
		Output:    call.Output,
		Parts:     call.Parts,
	})
	if failure == nil && !patience.Stop() {
		failure = c.fail(ctx, call, result.FirstByteTimeout, nil)
		_ = answer.Body.Close()
	}
	if failure != nil {
		call.uncount(failure)
		return failure
	}
	return c.pass(ctx, cancel, call, answer, sink, func() {})
}

// pickEntry draws one of the region's entries to which a link is open.
func (c *Core) pickEntry(to spill.Choice) (netip.AddrPort, bool) {
	entries := to.Region.Entries
	first := rand.IntN(len(entries))
	for i := range entries {
		address := entries[(first+i)%len(entries)].Peer
		if c.Links.Open(address) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// again decides whether a request goes to another upstream after a failed attempt,
// and takes what that costs out of the budget.
func (c *Core) again(ctx context.Context, call *Call, f *result.Failure) bool {
	if ctx.Err() != nil || f.Outcome == result.Unknown && !call.Route.Repeatable() {
		return false
	}
	if call.begun && (call.LastEvent == "" || !call.Route.Resumable) {
		return false
	}
	if call.sends >= call.Route.Attempts {
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
func (c *Core) patience(call *Call, projected time.Duration, cancel context.CancelCauseFunc) *time.Timer {
	if !call.Route.Repeatable() || call.sends >= call.Route.Attempts {
		return time.NewTimer(time.Hour)
	}
	left := call.Deadline.Sub(c.Clock.Now())
	wait := min(max(overdue*projected, call.Route.Objective, minPatience), left/2)
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
