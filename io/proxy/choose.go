package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spill"
)

// choose returns the destination with the earliest projected first byte, or the reason
// why the request is refused.
func (p *Proxy) choose(call *Call) (destination, *result.Failure) {
	now := p.Clock.Now()
	left := call.Deadline.Sub(now)
	if left <= 0 {
		return destination{}, refuse(result.StepDeadline, result.DeadlinePassed, 0)
	}
	if refusal := p.refusePoisoned(call); refusal != nil {
		return destination{}, refusal
	}
	if to, found := p.chooseReaching(now, call); found {
		return to, nil
	}
	request := call.poolRequest()
	local, localFound := p.Pool.Project(now, request)
	localFound = localFound && call.Allows(p.Region)
	if !localFound {
		if to, found := p.chooseHolder(now, call); found {
			return to, nil
		}
	}
	remote, remoteFound := p.chooseRemote(now, call, local, localFound && !call.elsewhere)
	if call.waits && localFound && remoteFound && remote.Wait > maxWait(now, call, left, remote.Transit) {
		// The other region can't take it now, so that it is decided by the wait here.
		remote, remoteFound = spill.Choice{}, false
	}
	if !localFound && !remoteFound {
		return destination{}, p.refuseNoUpstream(now, call)
	}
	call.projection = local
	if remoteFound {
		call.projection = pool.Projection{Wait: remote.Wait, FirstByte: remote.FirstByte}
	}
	wait := call.projection.Wait
	if call.localFull && !remoteFound {
		return destination{}, refuse(result.StepAdmit, result.Overloaded, p.retryAfter(wait, left))
	}
	if limit := maxWait(now, call, left, remote.Transit); wait > limit || call.postpones(now) {
		return destination{}, refuse(result.StepAdmit, result.Overloaded, p.retryAfter(wait-limit/2, left))
	}
	if remoteFound {
		return destination{remote: remote}, nil
	}
	lease, found := p.Pool.Pick(now, request)
	if !found {
		return destination{}, p.refuseNoUpstream(now, call)
	}
	call.recordLease(lease)
	return destination{lease: lease}, nil
}

// refuseNoUpstream refuses a request that no upstream takes now. If all of the region have
// asked for a pause, the caller may come back when the first one ends.
func (p *Proxy) refuseNoUpstream(now time.Time, call *Call) *result.Failure {
	wait := max(noUpstreamRetryAfter, p.Pool.PauseLeft(now, call.poolRequest()))
	return refuse(result.StepRoute, result.NoUpstream, p.retryAfter(wait, call.Deadline.Sub(now)))
}

// chooseRemote returns another region that would serve the request sooner, if there is
// one.
func (p *Proxy) chooseRemote(now time.Time, call *Call, local pool.Projection, localFound bool) (spill.Choice, bool) {
	return p.Spill.Pick(now, spill.Request{
		Service:        call.Service,
		UncachedTokens: call.PromptTokens,
		CachedTokens: func(region ident.Region) int {
			return p.Pool.CachedInRegion(now, region, call.poolRequest())
		},
		LocalFirstByte: local.FirstByte + call.queueDelay(now, local),
		LocalAvailable: localFound,
		OnTime:         call.Route.LatencyObjective - now.Sub(call.Arrived),
		Priority:       call.Priority(),
		PrefixKey:      call.prefixKey(),
		Allowed:        call.Allows,
		Excluded:       call.visited,
		VersionBound:   call.versionBound,
	})
}

const (
	// noUpstreamRetryAfter is the Retry-After value while no upstream accepts requests.
	noUpstreamRetryAfter = 700 * time.Millisecond
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 150 * time.Millisecond
	// maxWaitFraction is the fraction of a route's latency objective that a request may
	// wait at an upstream before it is processed. A request that waits longer misses its
	// objective and makes others miss theirs.
	maxWaitFraction = 0.85
	// defaultObjective is used for routes without a latency objective.
	defaultObjective = 2 * time.Second
)

// maxWait returns the longest projected wait with which a request is still sent. A
// stream that has begun is continued as long as its caller waits. One that may wait here
// is sent only when little of the wait is left, to which the transit to another region
// doesn't count.
func maxWait(now time.Time, call *Call, left, transit time.Duration) time.Duration {
	if call.headSent {
		return left
	}
	if call.waits {
		return min(call.maxSendWait(now)+transit, time.Duration(maxWaitFraction*float64(latencyObjective(call))), left)
	}
	return min(time.Duration(maxWaitFraction*float64(latencyObjective(call))), left)
}

func latencyObjective(call *Call) time.Duration {
	if call.Route.LatencyObjective <= 0 {
		return defaultObjective
	}
	return call.Route.LatencyObjective
}

// retryAfter returns a Retry-After value with jitter, so that refused callers don't
// retry all at once. It is at most a third of the time left until the deadline.
func (p *Proxy) retryAfter(wait, left time.Duration) time.Duration {
	limit := max(left/3, time.Millisecond)
	jitter := time.Duration(rand.Float64() * retryAfterJitter * float64(wait))
	if wait = max(wait, minRetryAfter) + jitter; wait <= limit {
		return wait
	}
	return limit - time.Duration(rand.Float64()*retryAfterJitter*float64(limit)/2)
}

// retryAfterJitter is the maximum jitter as a fraction of the wait.
const retryAfterJitter = 0.5

func refuse(step result.Step, reason result.Reason, after time.Duration) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: step, Reason: reason, RetryAfter: after}
}

const (
	// upstreamPollInterval is the time between two checks for an upstream while there is
	// none.
	upstreamPollInterval = 40 * time.Millisecond
	// upstreamPollFraction is the fraction of a route's latency objective for which a
	// request waits for an upstream to appear, for example at an instance that has just
	// started and has received no state of other regions yet.
	upstreamPollFraction = 0.25
)

// awaitUpstream waits one poll interval while no upstream accepts the request. It
// returns false once the request has waited long enough.
func (p *Proxy) awaitUpstream(ctx context.Context, call *Call) bool {
	limit := time.Duration(upstreamPollFraction * float64(latencyObjective(call)))
	now := p.Clock.Now()
	if now.Sub(call.Arrived) >= limit || p.Pool.PauseLeft(now, call.poolRequest()) > limit {
		return false
	}
	return clock.Sleep(ctx, upstreamPollInterval)
}
