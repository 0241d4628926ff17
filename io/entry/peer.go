package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/hops"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// frameBytes bounds the data in one frame between entries.
const frameBytes = 16 << 10

// errFrame means that a peer sent a frame of another request, or out of order.
var errFrame = errors.New("a frame of another request, or out of order")

// frameWriter writes the frames of one direction of a forwarded request.
type frameWriter struct {
	stream    *link.Stream
	requestID string
	// sequence is that of the next frame.
	sequence uint64
	// length counts the data bytes sent.
	length uint64
}

func (w *frameWriter) send(f *wire.Frame) error {
	f.RequestId = w.requestID
	f.Sequence = w.sequence
	w.sequence++
	return w.stream.Send(f)
}

func (w *frameWriter) data(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), frameBytes)
		if err := w.send(&wire.Frame{Kind: &wire.Frame_Data{Data: p[:n]}}); err != nil {
			return err
		}
		w.length += uint64(n)
		p = p[n:]
	}
	return nil
}

func (w *frameWriter) end(f *result.Failure, trailerPeer string) error {
	end := &wire.End{Length: w.length, Failure: wire.FailureToWire(f), Peer: trailerPeer}
	return w.send(&wire.Frame{Kind: &wire.Frame_End{End: end}})
}

// frameReader reads the frames of one direction and checks that they belong to
// the request and come in order.
type frameReader struct {
	stream    *link.Stream
	requestID string
	sequence  uint64
	length    uint64
}

// next returns the next frame. The error is errFrame, or of the connection.
func (r *frameReader) next() (*wire.Frame, error) {
	var f wire.Frame
	if err := r.stream.Receive(&f); err != nil {
		return nil, err
	}
	if f.GetRequestId() != r.requestID || f.GetSequence() != r.sequence {
		return nil, errFrame
	}
	r.sequence++
	r.length += uint64(len(f.GetData()))
	if end := f.GetEnd(); end != nil && end.GetLength() != r.length {
		return nil, errFrame
	}
	return &f, nil
}

// peerSource reads the body of a forwarded request. The peer sends it only after
// the verdict that accepts the request.
type peerSource struct {
	stream  *link.Stream
	request *wire.Forward
	limit   int
	// decided is true once a verdict was sent.
	decided bool
	// cancel ends the request when the forwarding entry closes the stream.
	cancel context.CancelCauseFunc
	// done is set when the answer is complete, after which the stream's end is no
	// reason to cancel.
	done atomic.Bool
}

// Read accepts the request and reads its body.
func (s *peerSource) Read(context.Context) ([]byte, *result.Failure) {
	if int(s.request.GetBodyLength()) > s.limit {
		return nil, refuse(result.StepIdentify, result.BodyTooLarge)
	}
	s.decided = true
	if err := s.stream.Send(&wire.Verdict{RequestId: s.request.GetRequestId(), Accepted: true}); err != nil {
		return nil, s.gone(err)
	}
	s.stream.SetReadDeadline(time.Now().Add(peerBodyTimeout))
	body, failure := s.readBody()
	s.stream.SetReadDeadline(time.Time{})
	if failure == nil {
		go s.watch()
	}
	return body, failure
}

func (s *peerSource) readBody() ([]byte, *result.Failure) {
	reader := frameReader{stream: s.stream, requestID: s.request.GetRequestId()}
	body := make([]byte, 0, s.request.GetBodyLength())
	for {
		f, err := reader.next()
		if err != nil {
			return nil, s.gone(err)
		}
		body = append(body, f.GetData()...)
		if len(body) > s.limit {
			return nil, refuse(result.StepIdentify, result.BodyTooLarge)
		}
		if f.GetEnd() != nil {
			return body, nil
		}
	}
}

func (s *peerSource) gone(err error) *result.Failure {
	f := refuse(result.StepIdentify, result.CallerGone)
	f.Cause = err
	return f
}

// watch notices that the forwarding entry gave up: nothing more is due on the
// stream, so whatever Receive returns ends the request.
func (s *peerSource) watch() {
	var unexpected wire.Frame
	err := s.stream.Receive(&unexpected)
	if s.done.Load() {
		return
	}
	s.cancel(errors.Annotate(err, "the forwarding entry closed the stream"))
}

// peerSink passes an answer back to the forwarding entry.
type peerSink struct {
	frames frameWriter
	// idle bounds one write to a peer that has stopped reading.
	idle time.Duration
	// extended is when the deadline was last moved.
	extended time.Time
	begun    bool
}

// Begin sends the status and the headers.
func (s *peerSink) Begin(h invoke.ResponseHead) error {
	s.begun = true
	s.extend()
	head := &wire.Head{Status: uint32(h.Status), Headers: headersToWire(h.Header)}
	return s.frames.send(&wire.Frame{Kind: &wire.Frame_Head{Head: head}})
}

// Write sends the next bytes.
func (s *peerSink) Write(p []byte) error {
	s.extend()
	return s.frames.data(p)
}

// extend moves the deadline, at most once in a step: each move wakes the goroutine
// that watches the stream.
func (s *peerSink) extend() {
	now := time.Now()
	if now.Sub(s.extended) < writeDeadlineStep {
		return
	}
	s.extended = now
	s.frames.stream.SetWriteDeadline(now.Add(s.idle + writeDeadlineStep))
}

// peerBodyTimeout bounds the time in which a peer sends a body it has at hand.
const peerBodyTimeout = 10 * time.Second

// ForwardHandler serves the requests that other entries forward. Its fields are set before
// the first use.
type ForwardHandler struct {
	Server *Server
}

// Forward serves one forwarded request.
func (p *ForwardHandler) Forward(ctx context.Context, s *link.Stream, f *wire.Forward) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	source := &peerSource{stream: s, request: f, limit: p.Server.Limits.BodyBytes, cancel: cancel}
	sink := &peerSink{
		frames: frameWriter{stream: s, requestID: f.GetRequestId()},
		idle:   p.Server.Limits.WriteTimeout,
	}
	c, failure := p.call(f, source, sink)
	if failure == nil {
		failure = p.Server.Serve(ctx, c)
	} else {
		failure = c.known(failure)
		p.Server.Metrics.CountRequest(failure)
	}
	source.done.Store(true)
	p.finish(source, sink, c, failure)
}

// finish sends the last word: a verdict when the request was refused before its
// body was read, else the closing frame.
func (p *ForwardHandler) finish(source *peerSource, sink *peerSink, c *Call, f *result.Failure) {
	if f != nil && f.Peer == "" {
		f.Peer = string(p.Server.Self.Instance)
	}
	sink.extend()
	if !source.decided {
		verdict := &wire.Verdict{RequestId: source.request.GetRequestId(), Failure: wire.FailureToWire(f)}
		_ = source.stream.Send(verdict)
		return
	}
	_ = sink.frames.end(f, c.Upstream)
}

// call makes the request that a Forward message describes. It is refused when it
// was here before, has no hops left, or was decided on a newer table than the one
// in force here.
func (p *ForwardHandler) call(f *wire.Forward, source BodyReader, sink invoke.Sink) (*Call, *result.Failure) {
	view := p.Server.Views.View()
	c := &Call{
		ID:         f.GetRequestId(),
		Workspace:  ident.Workspace(f.GetWorkspace()),
		Class:      table.Class(f.GetClass()),
		Model:      ident.Model(f.GetModel()),
		Service:    ident.Service(f.GetService()),
		Method:     f.GetMethod(),
		Path:       f.GetPath(),
		Header:     wire.HeadersFromWire(f.GetHeaders()),
		Session:    f.GetSession(),
		Key:        f.GetKey(),
		Repeatable: f.GetKey() == "",
		Deadline:   p.Server.Clock.Now().Add(time.Duration(f.GetRemainingMs()) * time.Millisecond),
		View:       view,
		BodyReader: source,
		Sink:       sink,
	}
	for _, v := range f.GetVisited() {
		c.Via.Instances = append(c.Via.Instances, ident.Instance(v))
	}
	for _, v := range f.GetVisitedRegions() {
		c.Via.Regions = append(c.Via.Regions, ident.Region(v))
	}
	return c, p.check(c, ident.Revision(f.GetTableRevision()))
}

func (p *ForwardHandler) check(c *Call, revision ident.Revision) *result.Failure {
	if !validRequestID(c.ID) || c.Class == table.AnyClass || c.Class >= table.ClassCount {
		return refuse(result.StepIdentify, result.BadRequest)
	}
	here := hops.LocalState{Instance: p.Server.Self.Instance}
	if t := c.View.Table; t != nil {
		here.TableRevision = t.Version().Revision
		here.MaxHops = t.Policy().MaxHops
	}
	return c.Via.CheckArrival(here, revision)
}

// headersToWire writes what a peer may have of a header.
func headersToWire(h http.Header) []*wire.Header {
	public := make(http.Header, len(h))
	for name, values := range h {
		if !isPrivateHeader(name) {
			public[name] = values
		}
	}
	return wire.HeadersToWire(public)
}
