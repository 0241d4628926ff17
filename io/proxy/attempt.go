package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"

	"github.com/rs/zerolog"

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/relay"
	"arbutustrestle/io/syncer"
)

// Proxy is what requests are served with. Its fields are set before the first request.
type Proxy struct {
	Self           ident.Instance
	Region         ident.Region
	Clock          clock.Clock
	Log            zerolog.Logger
	Metrics        *metric.Set
	Loop           *syncer.Loop
	Pool           *pool.Pool
	Spill          *spill.Table
	Budget         *budget.Budget
	UpstreamClient *http1.Client
	Links          *link.Pool
	Latencies      *Latencies

	flight flight
}

// place is where a request goes next: to an upstream here, or to another region.
type place struct {
	// lease is nil for another region.
	lease  *pool.Lease
	remote spill.Choice
}

// run makes attempts until the request is answered or may not be tried again. The
// failure is nil when the answer was passed on in whole.
func (c *Proxy) run(ctx context.Context, call *Call, sink Sink) *result.Failure {
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
		c.Metrics.CountRetry(failure)
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
func (c *Proxy) give(call *Call, sink Sink, f *result.Failure) *result.Failure {
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

// attempt makes one attempt and passes its answer on.
func (c *Proxy) attempt(ctx context.Context, call *Call, to place, sink Sink) *result.Failure {
	if to.lease != nil {
		return c.attemptHere(ctx, call, to.lease, sink)
	}
	return c.attemptAway(ctx, call, to.remote, sink)
}

func (c *Proxy) attemptHere(ctx context.Context, call *Call, lease *pool.Lease, sink Sink) *result.Failure {
	call.peer = string(lease.Upstream.ID)
	call.tried = append(call.tried, lease.Upstream.ID)
	call.count()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := c.patience(call, lease.FirstByte, cancel)
	defer patience.Stop()
	silence := c.listen(ctx, call, lease, cancel)
	defer silence.stop()
	answer, failure := c.UpstreamClient.Send(ctx, c.describe(call, lease))
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
	if answer.Meta.ColdFor > 0 {
		lease.MarkCold(c.Clock.Now(), answer.Meta.ColdFor)
	}
	failure = c.pass(ctx, cancel, call, answer, sink, func() {
		silence.heard()
		lease.ResponseReceived(c.Clock.Now())
	})
	c.endLease(lease, answerEnding(answer, failure))
	return failure
}

// describe makes the message of an attempt.
func (c *Proxy) describe(call *Call, lease *pool.Lease) *http1.Attempt {
	a := c.message(call)
	a.Upstream = lease.Upstream.ID
	a.Address = lease.Upstream.Address
	return &a
}

func (c *Proxy) message(call *Call) http1.Attempt {
	return http1.Attempt{
		RequestID:   call.ID,
		Method:      call.Method,
		Target:      call.Target,
		Host:        call.Host,
		Header:      call.Header,
		Body:        call.Body,
		Remaining:   call.Deadline.Sub(c.Clock.Now()),
		Priority:    call.Route.Priority,
		LastEventID: call.LastEventID,
	}
}

func (c *Proxy) endLease(lease *pool.Lease, e pool.Outcome) {
	lease.End(c.Clock.Now(), e)
}

func endingOf(f *result.Failure) pool.Outcome {
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

func answerEnding(a *http1.Answer, f *result.Failure) pool.Outcome {
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
func (c *Proxy) attemptAway(ctx context.Context, call *Call, to spill.Choice, sink Sink) *result.Failure {
	call.visited = append(call.visited, to.Region.Name)
	address, found := c.pickEntry(to)
	if !found {
		return refuse(result.StepForward, result.PeerUnreachable, 0)
	}
	call.peer = string(to.Region.Name) + "@" + address.String()
	call.count()
	c.Spill.RecordSent(c.Clock.Now(), to.Region.Name, call.Service, call.PromptTokens)
	c.Metrics.Events.Add("relayed", 1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := c.patience(call, to.FirstByte, cancel)
	defer patience.Stop()
	answer, failure := relay.Send(ctx, c.Links, address, &relay.Request{
		Attempt:          c.message(call),
		Service:          call.Service,
		Kind:             call.Route.Kind,
		Resumable:        call.Route.Resumable,
		LatencyObjective: call.Route.LatencyObjective,
		Model:            call.Model,
		PromptTokens:     call.PromptTokens,
		OutputTokens:     call.OutputTokens,
		Parts:            call.Parts,
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
func (c *Proxy) pickEntry(to spill.Choice) (netip.AddrPort, bool) {
	entries := to.Region.Instances
	first := rand.IntN(len(entries))
	for i := range entries {
		address := entries[(first+i)%len(entries)].PeerAddress
		if c.Links.Connected(address) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}
