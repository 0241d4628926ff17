package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/hops"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// frameBytes bounds the data in one frame between instances.
const frameBytes = 16 << 10

// errUnexpectedFrame means that a peer sent a frame of another request, out of sequence, or
// with a wrong length.
var errUnexpectedFrame = errors.New("frame of another request, out of sequence or with a wrong length")

// frameWriter writes the frames of one direction of a forwarded request.
type frameWriter struct {
	stream    *link.Stream
	requestID string
	// sequence is the sequence number of the next frame.
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

// frameReader reads the frames of one direction. It checks their request ID, their sequence
// numbers and the total length.
type frameReader struct {
	stream    *link.Stream
	requestID string
	sequence  uint64
	length    uint64
}

// next returns the next frame. The error is errUnexpectedFrame or an error of the
// connection.
func (r *frameReader) next() (*wire.Frame, error) {
	var f wire.Frame
	if err := r.stream.Receive(&f); err != nil {
		return nil, err
	}
	if f.GetRequestId() != r.requestID || f.GetSequence() != r.sequence {
		return nil, errUnexpectedFrame
	}
	r.sequence++
	r.length += uint64(len(f.GetData()))
	if end := f.GetEnd(); end != nil && end.GetLength() != r.length {
		return nil, errUnexpectedFrame
	}
	return &f, nil
}

// peerBodyReader reads the body of a forwarded request. The peer sends the body only after
// a verdict that accepts the request.
type peerBodyReader struct {
	stream  *link.Stream
	request *wire.Forward
	limit   int
	// memory is what the body takes.
	memory *memory.Share
	// verdictSent is true once a verdict was sent.
	verdictSent bool
	// cancel ends the request when the forwarding instance closes the stream.
	cancel context.CancelCauseFunc
	// answered is set when the response is complete. After that, the end of the stream must
	// not cancel the request.
	answered atomic.Bool
}

// Read accepts the request and reads its body.
func (s *peerBodyReader) Read(context.Context) ([]byte, *result.Failure) {
	if int(s.request.GetBodyLength()) > s.limit {
		return nil, notRun(result.StepIdentify, result.BodyTooLarge)
	}
	if !s.memory.Grow(int64(s.request.GetBodyLength())) {
		f := notRun(result.StepIdentify, result.Overloaded)
		f.RetryAfter = memoryRetryAfter
		return nil, f
	}
	s.verdictSent = true
	if err := s.stream.Send(&wire.Verdict{RequestId: s.request.GetRequestId(), Accepted: true}); err != nil {
		return nil, s.callerGone(err)
	}
	s.stream.SetReadDeadline(time.Now().Add(peerBodyTimeout))
	body, failure := s.readBody()
	s.stream.SetReadDeadline(time.Time{})
	if failure == nil {
		go s.cancelOnClose()
	}
	return body, failure
}

func (s *peerBodyReader) readBody() ([]byte, *result.Failure) {
	reader := frameReader{stream: s.stream, requestID: s.request.GetRequestId()}
	body := make([]byte, 0, s.request.GetBodyLength())
	for {
		f, err := reader.next()
		if err != nil {
			return nil, s.callerGone(err)
		}
		// Only the announced length has memory.
		if len(body)+len(f.GetData()) > cap(body) {
			return nil, notRun(result.StepIdentify, result.BodyTooLarge)
		}
		body = append(body, f.GetData()...)
		if f.GetEnd() != nil {
			return body, nil
		}
	}
}

func (s *peerBodyReader) callerGone(err error) *result.Failure {
	f := notRun(result.StepIdentify, result.CallerGone)
	f.Cause = err
	return f
}

// cancelOnClose cancels the request when the forwarding instance abandons it. No more
// frames are expected on the stream, so any result of Receive cancels the request.
func (s *peerBodyReader) cancelOnClose() {
	var unexpected wire.Frame
	err := s.stream.Receive(&unexpected)
	if s.answered.Load() {
		return
	}
	s.cancel(errors.Annotate(err, "the forwarding instance closed the stream"))
}

// peerSink sends a response back to the forwarding instance.
type peerSink struct {
	frames frameWriter
	// writeTimeout bounds one write to a peer that has stopped reading.
	writeTimeout time.Duration
	// deadlineSetAt is the time when the write deadline was last extended.
	deadlineSetAt time.Time
	headSent      bool
}

// Begin sends the status and the headers.
func (s *peerSink) Begin(h invoke.ResponseHead) error {
	s.headSent = true
	s.extendWriteDeadline()
	head := &wire.Head{Status: uint32(h.Status), Headers: headersToWire(h.Header)}
	return s.frames.send(&wire.Frame{Kind: &wire.Frame_Head{Head: head}})
}

// Write sends the next bytes of the body.
func (s *peerSink) Write(p []byte) error {
	s.extendWriteDeadline()
	return s.frames.data(p)
}

// extendWriteDeadline extends the write deadline, at most once in writeDeadlineStep,
// because each change of it wakes the goroutine that reads the stream.
func (s *peerSink) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSetAt) < writeDeadlineStep {
		return
	}
	s.deadlineSetAt = now
	s.frames.stream.SetWriteDeadline(now.Add(s.writeTimeout + writeDeadlineStep))
}

// peerBodyTimeout bounds the time in which a peer must send a body that it already holds.
const peerBodyTimeout = 10 * time.Second

// ForwardHandler serves the requests that other instances forward. Its fields are set
// before the first use.
type ForwardHandler struct {
	Server *Server
}

// Forward serves one forwarded request.
func (p *ForwardHandler) Forward(ctx context.Context, s *link.Stream, f *wire.Forward) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	share := p.Server.ForwardMemory.NewShare()
	defer share.Release()
	source := &peerBodyReader{stream: s, request: f, limit: p.Server.Limits.BodyBytes, memory: share, cancel: cancel}
	sink := &peerSink{
		frames:       frameWriter{stream: s, requestID: f.GetRequestId()},
		writeTimeout: p.Server.Limits.WriteTimeout,
	}
	c, failure := p.newCall(f, source, sink)
	if failure == nil {
		failure = p.Server.Serve(ctx, c)
	} else {
		failure = c.downgradeUnasked(failure)
		p.Server.Metrics.CountRequest(failure)
	}
	source.answered.Store(true)
	p.finish(source, sink, c, failure)
}

// finish ends the exchange: with a verdict if the request was refused before its body was
// read, else with the End frame.
func (p *ForwardHandler) finish(source *peerBodyReader, sink *peerSink, c *Call, f *result.Failure) {
	if f != nil && f.Peer == "" {
		f.Peer = string(p.Server.Self.Instance)
	}
	sink.extendWriteDeadline()
	if !source.verdictSent {
		verdict := &wire.Verdict{RequestId: source.request.GetRequestId(), Failure: wire.FailureToWire(f)}
		_ = source.stream.Send(verdict)
		return
	}
	_ = sink.frames.end(f, c.Upstream)
}

// newCall returns the call that a Forward message describes. The call is refused if it has
// passed this instance before, has no hops left, or was decided on a newer table than the
// active one here.
func (p *ForwardHandler) newCall(f *wire.Forward, source BodyReader, sink invoke.Sink) (*Call, *result.Failure) {
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
		return notRun(result.StepIdentify, result.BadRequest)
	}
	here := hops.LocalState{Instance: p.Server.Self.Instance}
	if t := c.View.Table; t != nil {
		here.TableRevision = t.Version().Revision
		here.MaxHops = t.Policy().MaxHops
	}
	return c.Via.CheckArrival(here, revision)
}

// headersToWire converts the headers that may be sent to a peer.
func headersToWire(h http.Header) []*wire.Header {
	public := make(http.Header, len(h))
	for name, values := range h {
		if !isInternalHeader(name) {
			public[name] = values
		}
	}
	return wire.HeadersToWire(public)
}
