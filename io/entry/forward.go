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
	"arbutustrestle/io/syntax"
	"arbutustrestle/io/wire"
)

// target is the instance that a request is forwarded to.
type target struct {
	instance ident.Instance
	address  netip.AddrPort
	// incarnation is the incarnation that must answer; zero if any may.
	incarnation ident.Incarnation
}

// forwarder forwards requests to other instances. It is safe for concurrent use.
type forwarder struct {
	server *Server
}

// forward sends the request to the target and its response back to the caller. Nothing of a
// call runs before its body has been sent, and the body is sent only after the target has
// accepted the request. So every earlier failure is NotRun.
func (f *forwarder) forward(ctx context.Context, c *Call, t target) *result.Failure {
	stream, err := f.server.Links.Forward(ctx, t.address, t.incarnation, f.newMessage(c))
	if err != nil {
		return f.newFailure(result.NotRun, result.PeerUnreachable, t, err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	if failure := f.awaitVerdict(stream, c, t); failure != nil {
		return failure
	}
	stream.SetDeadline(time.Time{})
	writer := frameWriter{stream: stream, requestID: c.ID}
	err = writer.data(c.Body)
	if err == nil {
		err = writer.end(nil, "")
	}
	if err != nil {
		// The target runs a call only after the whole body, but the last frame may have
		// arrived.
		return f.withContextReason(ctx, f.newFailure(result.Unknown, result.PeerUnreachable, t, err))
	}
	return f.relayAnswer(ctx, c, stream, t)
}

// newMessage returns the Forward message for a request.
func (f *forwarder) newMessage(c *Call) *wire.Forward {
	via := c.Via.Append(f.server.Self.Instance, f.server.Region)
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
		RemainingMs:   uint64(max(0, c.Deadline.Sub(f.server.Clock.Now()).Milliseconds())),
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

// awaitVerdict reads the verdict, within the deadline that the link has set for it.
func (f *forwarder) awaitVerdict(stream *link.Stream, c *Call, t target) *result.Failure {
	var v wire.Verdict
	if err := stream.Receive(&v); err != nil {
		return f.newFailure(result.NotRun, result.PeerUnreachable, t, err)
	}
	if v.GetRequestId() != c.ID {
		return f.newFailure(result.NotRun, result.AnswerMismatch, t, nil)
	}
	if v.GetAccepted() {
		return nil
	}
	if v.GetFailure() == nil {
		return f.newFailure(result.NotRun, result.AnswerMismatch, t, nil)
	}
	return f.remoteFailure(c, v.GetFailure())
}

// remoteFailure returns the failure that the target sent. For a keyed call, the target has
// already included the state of its idempotency records.
func (f *forwarder) remoteFailure(c *Call, failure *wire.Failure) *result.Failure {
	c.recordsAsked = true
	return wire.FailureFromWire(failure)
}

// relayAnswer sends on the frames of the response, up to the End frame.
func (f *forwarder) relayAnswer(ctx context.Context, c *Call, stream *link.Stream, t target) *result.Failure {
	reader := frameReader{stream: stream, requestID: c.ID}
	for {
		frame, err := reader.next()
		if err != nil {
			return f.withContextReason(ctx, f.newFailure(result.Unknown, readErrorReason(err), t, err))
		}
		switch kind := frame.GetKind().(type) {
		case *wire.Frame_Head:
			h := invoke.ResponseHead{Status: int(kind.Head.GetStatus()), Header: wire.HeadersFromWire(kind.Head.GetHeaders()), Peer: string(t.instance)}
			if err := syntax.CheckHead(h.Status, h.Header); err != nil {
				return f.newFailure(result.Unknown, result.AnswerMismatch, t, err)
			}
			c.HeadSent = true
			err = c.Sink.Begin(h)
		case *wire.Frame_Data:
			c.Tokens++
			err = f.writeRelayed(c.Sink, kind.Data)
		case *wire.Frame_End:
			return f.finishAnswer(c, kind.End, t)
		default:
			return f.newFailure(result.Unknown, result.AnswerMismatch, t, nil)
		}
		if err != nil {
			return f.newFailure(result.Unknown, writeReason(err), t, err)
		}
	}
}

// writeRelayed passes on a part of an answer. While the caller reads nothing, what still arrives stays in the buffer
// of the link.
func (f *forwarder) writeRelayed(sink invoke.Sink, p []byte) error {
	share := f.server.AnswerMemory.NewShare()
	defer share.Release()
	return f.server.write(sink, share, link.MaxBufferBytes, p)
}

func (f *forwarder) finishAnswer(c *Call, end *wire.End, t target) *result.Failure {
	if end.GetFailure() != nil {
		return f.remoteFailure(c, end.GetFailure())
	}
	if !c.HeadSent {
		return f.newFailure(result.Unknown, result.AnswerCut, t, nil)
	}
	c.Upstream = end.GetPeer()
	return nil
}

func readErrorReason(err error) result.Reason {
	if errors.Is(err, errUnexpectedFrame) {
		return result.AnswerMismatch
	}
	return result.AnswerCut
}

func (f *forwarder) newFailure(o result.Outcome, r result.Reason, t target, cause error) *result.Failure {
	return &result.Failure{Outcome: o, Step: result.StepForward, Reason: r, Peer: string(t.instance), Cause: cause}
}

// withContextReason replaces the reason if the stream was closed because the request's
// context ended.
func (f *forwarder) withContextReason(ctx context.Context, failure *result.Failure) *result.Failure {
	if ctx.Err() != nil {
		failure.Reason = invoke.EndReason(ctx)
	}
	return failure
}

// forwardedHeader returns the headers of a caller's request that are sent to an upstream.
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
