package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/poison"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/quota"
	"arbutustrestle/core/reach"
	"arbutustrestle/core/result"
	"arbutustrestle/core/resume"
	"arbutustrestle/core/spec"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/relay"
	"arbutustrestle/io/syncer"
	"arbutustrestle/io/syntax"
	"arbutustrestle/io/unread"
)

// Proxy serves callers' requests and relayed requests. Its fields are set before the
// first request.
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
	Poison         *poison.Detector
	Reach          *reach.Detector
	Streams        *resume.Table
	Quota          *quota.Ledger
	UpstreamClient *http1.Client
	Links          *link.Pool
	Latencies      *Latencies
	// Memory bounds the bodies of all requests together; nil if nothing does.
	Memory *memory.Budget
	// AnswerMemory bounds what is held of all answers together; nil if nothing does.
	AnswerMemory *memory.Budget
	// UpstreamConns bounds the connections to upstreams; nil if nothing does.
	UpstreamConns ConnLimiter
	// QueueRequests is set if requests wait here while upstreams have no capacity for them; it
	// is the settings key queue.enabled.
	QueueRequests bool

	activity  activity
	waiting   entryQueue
	handovers handovers
	unread    unread.Writes
	// refusalLines bounds the log lines about refusals.
	refusalLines logs.Sampler
	// endChecks are the checks under way whether an upstream has ended.
	endChecks singleflight.Group
}

// ConnLimiter bounds the number of connections.
type ConnLimiter interface {
	// StartUpstream reports whether there may be another connection to an upstream.
	StartUpstream() bool
	// EndUpstream is called once for each StartUpstream that has returned true.
	EndUpstream()
}

// destination is where the next attempt goes: an upstream in this region, another
// instance of this region, or another region.
type destination struct {
	// lease and peer are nil if the destination is another region.
	lease  *pool.Lease
	peer   *gossip.Record
	remote spill.Choice
}

// run makes attempts until the request is answered or may not be retried. It returns nil
// if the answer was passed on completely.
func (p *Proxy) run(ctx context.Context, call *Call, sink Sink) *result.Failure {
	for {
		to, refusal := p.chooseOrWait(ctx, call)
		if refusal != nil && refusal.Reason == result.NoUpstream && p.awaitUpstream(ctx, call) {
			continue
		}
		if refusal != nil {
			return p.finish(call, sink, call.finalFailure(refusal))
		}
		failure := p.attempt(ctx, call, to, sink)
		if failure == nil {
			return nil
		}
		call.recordFailure(failure)
		if !p.shouldRetry(ctx, call, failure) {
			return p.finish(call, sink, call.finalFailure(failure))
		}
		p.Metrics.CountRetry(failure)
		p.Log.Info().
			Str("request-id", logs.ShortID(call.ID)).
			Str("step", failure.Step.String()).
			Str("reason", failure.Reason.String()).
			Str("outcome", failure.Outcome.String()).
			Str("peer", failure.Peer).
			Str("upstream-version", call.upstreamVersion).
			Str("last-event", logs.ShortID(call.LastEventID)).
			Int("sends", call.sends).
			Msg("request tried again")
	}
}

// finish passes on an upstream's held error answer if there is no better answer.
// Otherwise it returns the failure, with a Retry-After value if the request has not run.
func (p *Proxy) finish(call *Call, sink Sink, f *result.Failure) *result.Failure {
	if call.heldAnswer != nil && !call.headSent {
		return p.passWhole(call, sink, call.heldAnswer)
	}
	if f.Outcome == result.NotRun && f.RetryAfter == 0 {
		refusal := *f
		refusal.RetryAfter = p.retryAfter(noUpstreamRetryAfter, call.Deadline.Sub(p.Clock.Now()))
		return &refusal
	}
	return f
}

// attempt makes one attempt and passes its answer on.
func (p *Proxy) attempt(ctx context.Context, call *Call, to destination, sink Sink) *result.Failure {
	if to.lease != nil {
		return p.attemptLocal(ctx, call, to.lease, sink)
	}
	if to.peer != nil {
		return p.attemptPeer(ctx, call, to.peer, sink)
	}
	return p.attemptRemote(ctx, call, to.remote, sink)
}

func (p *Proxy) attemptLocal(ctx context.Context, call *Call, lease *pool.Lease, sink Sink) *result.Failure {
	call.tried = append(call.tried, lease.Upstream.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstByteTimer := p.startFirstByteTimer(call, lease.FirstByte, cancel)
	defer firstByteTimer.Stop()
	return p.useLease(ctx, cancel, call, lease, func(answer *http1.Answer, onPart func()) *result.Failure {
		if !firstByteTimer.Stop() {
			// The head arrived just as the attempt was cancelled, so the body won't arrive.
			return p.answerFailure(ctx, call, result.FirstByteTimeout, nil)
		}
		return p.passAnswer(ctx, cancel, call, answer, sink, onPart)
	})
}

// connsRetryAfter is the Retry-After value while there are too many connections: the time that ordinary
// answers take to end.
const connsRetryAfter = time.Second

// useLease sends the request to its leased upstream and ends the lease. pass passes the
// answer on and calls onPart whenever a part of it arrives.
func (p *Proxy) useLease(ctx context.Context, cancel context.CancelCauseFunc, call *Call, lease *pool.Lease, pass func(a *http1.Answer, onPart func()) *result.Failure) *result.Failure {
	if p.UpstreamConns != nil {
		if !p.UpstreamConns.StartUpstream() {
			p.endLease(lease, pool.Cancelled)
			return refuse(result.StepAdmit, result.Overloaded, connsRetryAfter)
		}
		defer p.UpstreamConns.EndUpstream()
	}
	call.peer = string(lease.Upstream.ID)
	call.upstreamVersion, call.upstreamUnproved = lease.Upstream.Version, false
	call.lease = lease
	call.countSend()
	watch := p.watchUpstream(ctx, call, lease, cancel)
	defer watch.stop()
	evidence := p.Reach.Begin(p.Clock.Now(), call.Service, lease.Upstream.ID, lease.FirstByte, call.probe)
	answer, failure := p.UpstreamClient.Send(ctx, p.upstreamAttempt(call, lease))
	if failure != nil {
		p.endEvidence(call, evidence, failure)
		p.endLease(lease, outcomeOf(failure))
		p.recordLoss(ctx, call, lease, evidence, failure, poison.Waiting)
		call.uncountSend(failure)
		return failure
	}
	answer.Meta.Version = lease.Upstream.Version
	defer func() { answer.Memory.Release() }()
	defer func() { _ = answer.Body.Close() }()
	evidence.Received(p.Clock.Now())
	begun := false
	start := p.beginAnswer(call, answer)
	failure = pass(answer, func() {
		evidence.Received(p.Clock.Now())
		start.partArrived()
		if !begun {
			begun = true
			defer p.madeRoom(call.Service, halfRequest)
		}
		watch.partReceived()
		lease.ResponseReceived(p.Clock.Now())
	})
	if failure != nil && errors.Is(failure.Cause, http1.ErrUpstreamEnded) {
		p.Metrics.Events.Add("answers-ended-with-upstream", 1)
	}
	if failure == nil {
		start.whole()
	}
	p.recordCache(call, lease)
	p.endLease(lease, answerOutcome(answer, failure))
	p.recordLoss(ctx, call, lease, evidence, failure, start.progress())
	return failure
}

// admitSend reports whether a request may be sent to its upstream now, and counts and
// logs one to an upstream that is cold or names a limit.
func (p *Proxy) admitSend(call *Call, lease *pool.Lease) bool {
	if _, refused := p.Poison.AdmitSend(p.Clock.Now(), call.traits()); refused {
		return false
	}
	send, admitted := lease.AdmitSend(p.Clock.Now())
	if !admitted || send == nil {
		return admitted
	}
	line := p.Log.Info().
		Str("request-id", logs.ShortID(call.ID)).
		Str("peer", string(lease.Upstream.ID)).
		Int64("since-last-ms", send.SinceLast.Milliseconds()).
		Int("region-instances", send.Instances)
	if send.ColdLeft > 0 {
		p.Metrics.Events.Add("cold-sends", 1)
		line = line.Int64("cold-left-ms", send.ColdLeft.Milliseconds())
	}
	if send.Limit.Named {
		p.Metrics.Events.Add("limited-sends", 1)
		line = line.Float64("limit-per-second", send.Limit.PerSecond).Int64("limit-age-ms", send.LimitAge.Milliseconds())
	}
	line.Msg("request sent to an upstream that is cold or names a limit")
	return true
}

// upstreamAttempt returns the message of an attempt at a leased upstream.
func (p *Proxy) upstreamAttempt(call *Call, lease *pool.Lease) *http1.Attempt {
	a := p.newAttempt(call)
	a.Upstream = lease.Upstream.ID
	a.Address = lease.Upstream.Address
	a.Admit = func() bool { return p.admitSend(call, lease) }
	a.NewConnection = call.probe
	a.Dialed = func(began time.Time, err error) {
		p.Reach.Dialed(p.Clock.Now(), began, call.Service, lease.Upstream.ID, err == nil)
	}
	a.Received = func(m http1.AnswerMeta) { p.recordSelfReport(call, lease, m) }
	return &a
}

func (p *Proxy) newAttempt(call *Call) http1.Attempt {
	return http1.Attempt{
		RequestID:   call.ID,
		Workspace:   call.workspaceName(),
		Method:      call.Method,
		Target:      call.Target,
		Host:        call.Host,
		Header:      call.Header,
		Body:        call.Body,
		Remaining:   call.Deadline.Sub(p.Clock.Now()),
		Priority:    call.Priority(),
		LastEventID: call.LastEventID,
		EventStream: call.Route.Kind == spec.Stream,
	}
}

func (p *Proxy) endLease(lease *pool.Lease, e pool.Outcome) {
	lease.End(p.Clock.Now(), e)
	p.madeRoom(lease.Upstream.Service, halfRequest)
}

func outcomeOf(f *result.Failure) pool.Outcome {
	switch f.Reason {
	case result.CallerGone, result.DeadlinePassed, result.UpstreamChanged, result.AnswerMemory:
		return pool.Cancelled
	case result.ConnectFailed:
		return pool.Unreachable
	case result.UpstreamRefused:
		return pool.Refused
	case result.UpstreamLeaving:
		return pool.Replaced
	case result.FirstByteTimeout, result.IdleTimeout:
		return pool.Silent
	default:
		return pool.Broken
	}
}

func answerOutcome(a *http1.Answer, f *result.Failure) pool.Outcome {
	switch {
	case f != nil && f.Reason == result.UpstreamStatus, f == nil && a.Status >= 500:
		return pool.Errored
	case f != nil:
		return outcomeOf(f)
	default:
		return pool.Answered
	}
}

// attemptRemote relays the request to an instance in another region.
func (p *Proxy) attemptRemote(ctx context.Context, call *Call, to spill.Choice, sink Sink) *result.Failure {
	call.visited = append(call.visited, to.Region.Name)
	address, found := p.pickInstance(call, to)
	if !found {
		return refuse(result.StepForward, result.PeerUnreachable, 0)
	}
	call.peer = string(to.Region.Name) + "@" + address.String()
	p.Spill.RecordSent(p.Clock.Now(), to.Region.Name, call.Service, call.PromptTokens)
	p.Pool.RecordRelayed(p.Clock.Now(), to.Region.Name, call.poolRequest())
	p.Metrics.Events.Add("relayed", 1)
	return p.relayTo(ctx, call, address, to.FirstByte, sink)
}

// relayTo relays the request to another instance, with the projected time to the first byte
// there, and passes the answer on.
func (p *Proxy) relayTo(ctx context.Context, call *Call, address netip.AddrPort, firstByte time.Duration, sink Sink) *result.Failure {
	call.upstreamVersion, call.upstreamUnproved = "", false
	call.lease = nil
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	firstByteTimer := p.startFirstByteTimer(call, firstByte, cancel)
	defer firstByteTimer.Stop()
	call.countSend()
	answer, failure := relay.Send(ctx, p.Links, address, &relay.Request{
		Attempt:          p.newAttempt(call),
		Service:          call.Service,
		Kind:             call.Route.Kind,
		Resumable:        call.Route.Resumable,
		LatencyObjective: call.Route.LatencyObjective,
		Model:            call.Model,
		PromptTokens:     call.PromptTokens,
		OutputTokens:     call.OutputTokens,
		Parts:            call.Parts,
		VersionBound:     call.versionBound,
		UnprovedSuffices: p.unprovedSuffices(call),
		RouteHomes:       call.Route.HomeRegions,
		WorkspaceHomes:   call.workspaceHomes(),
	})
	if failure == nil && !firstByteTimer.Stop() {
		failure = p.answerFailure(ctx, call, result.FirstByteTimeout, nil)
		_ = answer.Body.Close()
	}
	if failure != nil {
		call.uncountSend(failure)
		return failure
	}
	answer.Memory = p.AnswerMemory.NewShare()
	defer func() { answer.Memory.Release() }()
	if !answer.Memory.Add(int64(syntax.HeldBytes(answer.Header))) {
		_ = answer.Body.Close()
		return p.answerFailure(ctx, call, result.AnswerMemory, http1.ErrNoMemory)
	}
	call.upstreamVersion, call.upstreamUnproved = answer.Meta.Version, answer.Meta.VersionUnproved
	start := p.beginAnswer(call, answer)
	failure = p.passAnswer(ctx, cancel, call, answer, &relaySink{Sink: sink, budget: p.AnswerMemory, unread: &p.unread, clock: p.Clock}, start.partArrived)
	if failure == nil {
		start.whole()
	}
	return failure
}

// unprovedSuffices reports whether a stream that another region is asked to begin may begin there at an
// upstream whose version isn't proved: there is no other place for it.
func (p *Proxy) unprovedSuffices(call *Call) bool {
	if !call.Route.Resumable || call.versionBound.Bound {
		return false
	}
	now := p.Clock.Now()
	_, local := p.Pool.Project(now, call.poolRequest())
	if local && call.Allows(p.Region) && !call.elsewhere && len(call.peersTried) == 0 {
		return false
	}
	_, found := p.chooseRemote(now, call, pool.Projection{}, false)
	return !found
}

// pickInstance picks a random instance of the region among those that the request may be relayed to
// and that aren't cut off from the upstreams of its service.
func (p *Proxy) pickInstance(call *Call, to spill.Choice) (netip.AddrPort, bool) {
	instances := to.Region.Instances
	first := rand.IntN(len(instances))
	for i := range instances {
		instance := &instances[(first+i)%len(instances)]
		address := instance.PeerAddress
		if !instance.CutOffFrom(call.Service) && p.mayRelayTo(call, address) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}
