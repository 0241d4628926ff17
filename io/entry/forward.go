package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// target is the entry to which a request is forwarded.
type target struct {
	instance ident.Instance
	address  netip.AddrPort
	// wanted is the incarnation that must answer; zero when any will do.
	wanted ident.Incarnation
}

// forwarder sends requests to other entries. It is safe for concurrent use.
type forwarder struct {
	core *Server
}

// forward passes the request to the target and its answer back. Nothing of a
// call runs before its body has been sent, which happens only after the target
// accepted the request; so every failure before that is NotRun.
func (f *forwarder) forward(ctx context.Context, c *Call, t target) *result.Failure {
	stream, err := f.core.Links.Forward(ctx, t.address, t.wanted, f.message(c))
	if err != nil {
		return f.failure(result.NotRun, result.PeerUnreachable, t, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	if failure := f.await(stream, c, t); failure != nil {
		return failure
	}
	stream.SetDeadline(time.Time{})
	writer := frameWriter{stream: stream, requestID: c.ID}
	err = writer.data(c.Body)
	if err == nil {
		err = writer.end(nil, "")
	}
	if err != nil {
		// The target acts only on a whole body, but the last frame may have arrived.
		return f.blame(ctx, f.failure(result.Unknown, result.PeerUnreachable, t, err))
	}
	return f.relay(ctx, c, stream, t)
}

// message describes the request as the next entry is to see it.
func (f *forwarder) message(c *Call) *wire.Forward {
	via := c.Via.Append(f.core.Self.Instance, f.core.Region)
	m := &wire.Forward{
		RequestId:     c.ID,
		Workspace:     string(c.Workspace),
		Class:         uint32(c.Class),
		Model:         string(c.Model),
		Service:       string(c.Service),
		Method:        c.Method,
		Path:          c.Path,
		Session:       c.Session,
		Key:           c.Key,
		RemainingMs:   uint64(max(0, c.Deadline.Sub(f.core.Clock.Now()).Milliseconds())),
		TableRevision: uint64(c.View.Table.Version().Revision),
		BodyLength:    uint32(len(c.Body)),
		Headers:       headersToWire(c.Header),
	}
	for _, v := range via.Regions {
		m.VisitedRegions = append(m.VisitedRegions, string(v))
	}
	for _, v := range via.Instances {
		m.Visited = append(m.Visited, string(v))
	}
	return m
}

// await reads the verdict, within the deadline that the link set for it.
func (f *forwarder) await(stream *link.Stream, c *Call, t target) *result.Failure {
	var v wire.Verdict
	if err := stream.Receive(&v); err != nil {
		return f.failure(result.NotRun, result.PeerUnreachable, t, err)
	}
	if v.GetRequestId() != c.ID {
		return f.failure(result.NotRun, result.AnswerMismatch, t, nil)
	}
	if v.GetAccepted() {
		return nil
	}
	if v.GetFailure() == nil {
		return f.failure(result.NotRun, result.AnswerMismatch, t, nil)
	}
	return f.refused(c, v.GetFailure())
}

// refused returns the failure with which the target ended the request. Of a keyed
// call the target says itself what its records know.
func (f *forwarder) refused(c *Call, failure *wire.Failure) *result.Failure {
	c.asked = true
	return wire.FailureFromWire(failure)
}

// relay passes the answer's frames on until the closing one.
func (f *forwarder) relay(ctx context.Context, c *Call, stream *link.Stream, t target) *result.Failure {
	reader := frameReader{stream: stream, requestID: c.ID}
	for {
		frame, err := reader.next()
		if err != nil {
			return f.blame(ctx, f.failure(result.Unknown, cutReason(err), t, err))
		}
		switch kind := frame.GetKind().(type) {
		case *wire.Frame_Head:
			c.HeadSent = true
			h := invoke.ResponseHead{Status: int(kind.Head.GetStatus()), Header: wire.HeadersFromWire(kind.Head.GetHeaders()), Peer: string(t.instance)}
			err = c.Sink.Begin(h)
		case *wire.Frame_Data:
			c.Tokens++
			err = c.Sink.Write(kind.Data)
		case *wire.Frame_End:
			return f.ended(c, kind.End, t)
		default:
			return f.failure(result.Unknown, result.AnswerMismatch, t, nil)
		}
		if err != nil {
			return f.failure(result.Unknown, result.CallerGone, t, err)
		}
	}
}

func (f *forwarder) ended(c *Call, end *wire.End, t target) *result.Failure {
	if end.GetFailure() != nil {
		return f.refused(c, end.GetFailure())
	}
	if !c.HeadSent {
		return f.failure(result.Unknown, result.AnswerCut, t, nil)
	}
	c.Upstream = end.GetPeer()
	return nil
}

func cutReason(err error) result.Reason {
	if errors.Is(err, errFrame) {
		return result.AnswerMismatch
	}
	return result.AnswerCut
}

func (f *forwarder) failure(o result.Outcome, r result.Reason, t target, cause error) *result.Failure {
	return &result.Failure{Outcome: o, Step: result.StepForward, Reason: r, Peer: string(t.instance), Cause: cause}
}

// blame replaces the reason when the request's own end closed the stream.
func (f *forwarder) blame(ctx context.Context, failure *result.Failure) *result.Failure {
	if ctx.Err() != nil {
		failure.Reason = invoke.EndReason(ctx)
	}
	return failure
}

// forwardedHeader picks the headers of a caller's request that an upstream gets.
func forwardedHeader(from http.Header) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		switch name {
		case headerWorkspace, headerClass, headerTimeout, headerSession, headerKey, headerRequestID,
			"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
			"Proxy-Authorization", "Proxy-Connection", "Accept-Encoding", "Content-Length":
			continue
		default:
			to[name] = values
		}
	}
	return to
}
