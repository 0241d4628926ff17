package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/relay"
	"arbutustrestle/io/wire"
)

// Relay serves a request that an instance in another region has sent. It makes one
// attempt at an upstream of this region, chosen by this instance's own state. The
// sending instance decides whether to retry.
func (p *Proxy) Relay(ctx context.Context, s *link.Stream, m *wire.Relay) {
	request := relay.FromWire(m)
	reply := &relay.Reply{Stream: s, RequestID: request.Attempt.RequestID}
	now := p.Clock.Now()
	call := &Call{
		Request: Request{
			ID:           request.Attempt.RequestID,
			Model:        request.Model,
			PromptTokens: request.PromptTokens,
			OutputTokens: request.OutputTokens,
			Parts:        request.Parts,
			LastEventID:  request.Attempt.LastEventID,
			Header:       request.Attempt.Header,
		},
		versionBound: request.VersionBound,
		relayed:      true,
		Host:         request.Attempt.Host,
		Method:       request.Attempt.Method,
		Target:       request.Attempt.Target,
		Body:         request.Attempt.Body,
		Service:      request.Service,
		Arrived:      now,
		Deadline:     now.Add(request.Attempt.Remaining),
		Route: &spec.Route{
			Name:             "relayed",
			Kind:             request.Kind,
			Resumable:        request.Resumable,
			Priority:         request.Attempt.Priority,
			LatencyObjective: request.LatencyObjective,
			MaxAttempts:      1,
			HomeRegions:      request.RouteHomes,
		},
		Workspace: relayedWorkspace(request),

		unprovedSuffices: request.UnprovedSuffices,
	}
	p.activity.requests.Add(1)
	defer p.activity.requests.Add(-1)
	call.memory = p.Memory.NewShare()
	defer call.memory.Release()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	failure := p.admitRelayed(call)
	if failure == nil {
		failure = p.readParts(call, s, m.GetPartsBytes())
	}
	if failure == nil {
		go relay.CancelOnClose(s, cancel)
		failure = p.relayOnce(ctx, call, reply)
	}
	p.recordEnd(call, failure)
	if err := reply.End(failure); err != nil {
		p.Log.Debug().Err(err).Str("request-id", logs.ShortID(call.ID)).Str("peer", string(s.Peer.Incarnation.Instance)).Msg("reply not sent")
	}
}

// relayedWorkspace returns what a relayed request tells of its workspace; nil if it has none.
// Its priority is that of the request.
func relayedWorkspace(r *relay.Request) *spec.Workspace {
	if r.Attempt.Workspace == "" {
		return nil
	}
	return &spec.Workspace{Name: r.Attempt.Workspace, HomeRegions: r.WorkspaceHomes}
}

// admitRelayed refuses a relayed request that may not be served here, before its body is read.
func (p *Proxy) admitRelayed(call *Call) *result.Failure {
	if !call.Allows(p.Region) {
		return refuse(result.StepResidency, result.PlaceForbidden, 0)
	}
	if !p.admits(call.Deadline) {
		return refuse(result.StepAdmit, result.Draining, 0)
	}
	if !call.memory.Grow(int64(len(call.Body))) {
		return refuse(result.StepAdmit, result.Overloaded, 0)
	}
	return nil
}

// readParts reads the body of a relayed request that is sent in parts. The request has not run if
// that fails.
func (p *Proxy) readParts(call *Call, s *link.Stream, size uint64) *result.Failure {
	if size == 0 {
		return nil
	}
	limit := int64(0)
	if config := p.Loop.View().Config; config != nil {
		limit = config.Limits.BodyBytes
	}
	if size > uint64(bodyLimit(limit)) {
		return badRequest(result.BodyTooLarge, errors.Errorf("relayed body of %d bytes", size))
	}
	s.SetReadDeadline(time.Now().Add(call.Deadline.Sub(p.Clock.Now())))
	defer s.SetReadDeadline(time.Time{})
	body, err := relay.ReadParts(s, size, call.memory.Grow)
	if errors.Is(err, relay.ErrNoRoom) {
		return refuse(result.StepAdmit, result.Overloaded, 0)
	}
	if err != nil {
		return &result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.CallerGone, Cause: err}
	}
	call.Body = body
	return nil
}

func (p *Proxy) relayOnce(ctx context.Context, call *Call, reply *relay.Reply) *result.Failure {
	now := p.Clock.Now()
	if refusal := p.refusePoisoned(call); refusal != nil {
		return refusal
	}
	if p.Reach.Unreached(now, call.Service) {
		return refuse(result.StepRoute, result.NoUpstream, noUpstreamRetryAfter)
	}
	lease, found := p.Pool.Pick(now, call.poolRequest())
	if !found {
		return refuse(result.StepRoute, result.NoUpstream, noUpstreamRetryAfter)
	}
	call.projection = lease.Projection
	call.recordLease(lease)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	return p.useLease(ctx, cancel, call, lease, func(answer *http1.Answer, onPart func()) *result.Failure {
		answer.Meta.VersionUnproved = call.Route.Resumable && !lease.ProvesVersion(p.Clock.Now())
		return p.copyAnswer(ctx, call, answer, reply, onPart)
	})
}

// copyAnswer writes an answer to the reply as it arrives. onPart is called for each
// part.
func (p *Proxy) copyAnswer(ctx context.Context, call *Call, a *http1.Answer, reply *relay.Reply, onPart func()) *result.Failure {
	call.headSent = true
	call.status = a.Status
	defer p.recordFraming(call, a)
	length := a.Header["Content-Length"]
	RemoveHopByHopHeaders(a.Header)
	if call.Method == http.MethodHead && len(length) > 0 {
		a.Header["Content-Length"] = length
	}
	if err := reply.WriteHead(a); err != nil {
		return callerGone(call, err)
	}
	return p.eachPart(ctx, call, a.Body, func(part []byte) *result.Failure {
		if call.firstByteAt.IsZero() {
			call.firstByteAt = p.Clock.Now()
		}
		onPart()
		call.bodyBytes += len(part)
		if _, err := reply.Write(part); err != nil {
			return callerGone(call, err)
		}
		return nil
	})
}
