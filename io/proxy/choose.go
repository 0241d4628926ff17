package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/relay"
)

// choose finds the place where the first answer is due soonest, or says why the
// request is refused.
func (c *Proxy) choose(call *Call) (place, *result.Failure) {
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
		call.projected = pool.Projection{Wait: remote.Wait, FirstByte: remote.FirstByte}
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
	call.lease(lease)
	return place{lease: lease}, nil
}

// away looks for another region that serves the request sooner.
func (c *Proxy) away(now time.Time, call *Call, local pool.Projection, here bool) (spill.Choice, bool) {
	if len(call.Body) > relay.MaxBodyBytes {
		return spill.Choice{}, false
	}
	return c.Spill.Pick(now, spill.Request{
		Service:        call.Service,
		UncachedTokens: call.PromptTokens,
		LocalFirstByte: local.FirstByte,
		LocalAvailable: here,
		Priority:       call.Route.Priority,
		PrefixKey:      call.subject(),
		Allowed:        call.Route.Allows,
		Excluded:       call.visited,
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
	if call.Route.LatencyObjective <= 0 {
		return defaultObjective
	}
	return call.Route.LatencyObjective
}

// comeBack spreads the return of refused callers. They may come back within a third
// of the time that they have left.
func (c *Proxy) comeBack(wait, left time.Duration) time.Duration {
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

const (
	// awaitStep is the time between two looks for an upstream while there is none.
	awaitStep = 40 * time.Millisecond
	// awaitShare is the part of a route's objective for which a request waits for one to
	// appear, as when an entry has just started and has not heard from other regions.
	awaitShare = 0.25
)

// awaitPlace waits a little while no upstream takes a request, and reports false when it
// has waited long enough.
func (c *Proxy) awaitPlace(ctx context.Context, call *Call) bool {
	limit := time.Duration(awaitShare * float64(objectiveOf(call)))
	if c.Clock.Now().Sub(call.Arrived) >= limit {
		return false
	}
	return clock.Sleep(ctx, awaitStep)
}
