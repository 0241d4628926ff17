package proxy

import (
	"context"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/relay"
	"arbutustrestle/io/wire"
)

// Relay serves a request that an entry of another region has sent: one attempt at an
// upstream of this region, chosen on what is believed here. Whether to try again is
// for the other entry to decide.
func (c *Proxy) Relay(ctx context.Context, s *link.Stream, m *wire.Relay) {
	request := relay.FromWire(m)
	reply := &relay.Reply{Stream: s, RequestID: request.Attempt.RequestID}
	now := c.Clock.Now()
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
		Host:     request.Attempt.Host,
		Method:   request.Attempt.Method,
		Target:   request.Attempt.Target,
		Body:     request.Attempt.Body,
		Service:  request.Service,
		Arrived:  now,
		Deadline: now.Add(request.Attempt.Remaining),
		Route: &spec.Route{
			Name:             "relayed",
			Kind:             request.Kind,
			Resumable:        request.Resumable,
			Priority:         request.Attempt.Priority,
			LatencyObjective: request.LatencyObjective,
			MaxAttempts:      1,
		},
	}
	c.flight.requests.Add(1)
	defer c.flight.requests.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	go relay.CancelOnClose(s, cancel)
	failure := c.relayOnce(ctx, call, reply)
	c.ended(call, failure)
	if err := reply.End(failure); err != nil {
		c.Log.Debug().Err(err).Str("request-id", call.ID).Str("peer", string(s.Peer.Incarnation.Instance)).Msg("reply not sent")
	}
}

func (c *Proxy) relayOnce(ctx context.Context, call *Call, reply *relay.Reply) *result.Failure {
	now := c.Clock.Now()
	if !c.admits(call.Deadline) {
		return refuse(result.StepAdmit, result.Draining, 0)
	}
	lease, found := c.Pool.Pick(now, call.ask())
	if !found {
		return refuse(result.StepRoute, result.NoUpstream, noUpstreamWait)
	}
	call.projected = lease.Projection
	call.lease(lease)
	call.peer = string(lease.Upstream.ID)
	call.count()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := c.listen(ctx, call, lease, cancel)
	defer silence.stop()
	answer, failure := c.UpstreamClient.Send(ctx, c.describe(call, lease))
	if failure != nil {
		c.endLease(lease, endingOf(failure))
		return failure
	}
	defer func() { _ = answer.Body.Close() }()
	failure = c.copyAnswer(ctx, call, answer, reply, func(now time.Time) {
		silence.heard()
		lease.ResponseReceived(now)
	})
	c.endLease(lease, answerEnding(answer, failure))
	return failure
}

// copyAnswer passes an answer back as it comes.
func (c *Proxy) copyAnswer(ctx context.Context, call *Call, a *http1.Answer, reply *relay.Reply, heard func(time.Time)) *result.Failure {
	call.begun = true
	call.status = a.Status
	RemoveHopByHopHeaders(a.Header)
	if err := reply.WriteHead(a); err != nil {
		return gone(call, err)
	}
	return c.eachPart(ctx, call, a.Body, func(p []byte) *result.Failure {
		now := c.Clock.Now()
		if call.first.IsZero() {
			call.first = now
		}
		heard(now)
		call.bytes += len(p)
		if _, err := reply.Write(p); err != nil {
			return gone(call, err)
		}
		return nil
	})
}
