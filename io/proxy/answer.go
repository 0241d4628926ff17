package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"arbutustrestle/core/event"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/http1"
)

const (
	// maxHeldBytes bounds the answers that are read whole before they are passed on, so
	// that a truncated answer can be told from a whole one.
	maxHeldBytes = 128 << 10
	// initialHeldBytes is the first buffer for such an answer, or for an event that is held.
	initialHeldBytes = 2 << 10
	// readBufferBytes is the size of the buffer that a stream is read into.
	readBufferBytes = 8 << 10
	// maxEventBytes bounds one event of a resumable stream, which is held until it is whole.
	maxEventBytes = 128 << 10
)

// passAnswer passes an answer on to the caller. onPart is called whenever a part of it
// arrives.
func (p *Proxy) passAnswer(ctx context.Context, cancel context.CancelCauseFunc, call *Call, a *http1.Answer, sink Sink, onPart func()) *result.Failure {
	defer func() { _ = a.Body.Close() }()
	defer p.recordFraming(call, a)
	success := a.Status >= 200 && a.Status < 300
	if success && !a.Meta.Signed {
		return p.answerFailure(ctx, call, result.AnswerMismatch, errors.New("successful answer without a signature"))
	}
	if success && call.Route.Kind == spec.Stream && (!call.headSent || a.Status == call.status) {
		return p.passStream(ctx, cancel, call, a, sink, onPart)
	}
	if call.headSent {
		// The caller has received the first part of a stream, which this answer doesn't
		// continue.
		return p.answerFailure(ctx, call, result.UpstreamStatus, errors.Errorf("status %d instead of the rest of a stream", a.Status))
	}
	return p.passBody(ctx, call, a, sink, onPart)
}

// recordFraming records and counts how an answer ended.
func (p *Proxy) recordFraming(call *Call, a *http1.Answer) {
	call.recordFraming(a)
	p.Metrics.Events.Add("answers-framed-by-"+a.Framing.String(), 1)
	if a.InsideEvent() {
		p.Metrics.Events.Add("streams-ended-inside-event", 1)
	}
	if a.Fault() != nil {
		p.Metrics.Events.Add("answers-with-connection-fault", 1)
	}
}

func (p *Proxy) answerFailure(ctx context.Context, call *Call, reason result.Reason, err error) *result.Failure {
	var inner *result.Failure
	if errors.As(err, &inner) {
		return inner
	}
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		reason = result.AnswerTooLarge
	case errors.Is(err, http1.ErrNoMemory):
		reason = result.AnswerMemory
	}
	if ctx.Err() != nil {
		reason = http1.CancelReason(ctx)
	}
	return &result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: reason, Peer: call.peer, Cause: err}
}

// passBody reads an answer whole and passes it on. A longer answer is streamed once
// maxHeldBytes of it have arrived, or there is no memory for more.
func (p *Proxy) passBody(ctx context.Context, call *Call, a *http1.Answer, sink Sink, onPart func()) *result.Failure {
	data, whole, err := readHeld(a)
	if err == nil || len(data) > 0 {
		onPart()
	}
	if err != nil {
		return p.answerFailure(ctx, call, result.AnswerCut, err)
	}
	answer := &wholeAnswer{status: a.Status, header: a.Header, framing: a.Framing, body: data}
	if !whole {
		return p.passLong(ctx, call, answer, a, sink)
	}
	if a.Status >= 500 && call.Route.Repeatable() && call.sends < call.Route.MaxAttempts {
		call.keepAnswer(answer, &a.Memory)
		return &result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.UpstreamStatus, Peer: call.peer}
	}
	return p.passWhole(call, sink, answer)
}

// readHeld reads the body of an answer to its end, to maxHeldBytes, or as far as there is memory for
// it. While its buffer grows, the old one is held as well.
func readHeld(a *http1.Answer) (data []byte, whole bool, err error) {
	for {
		if len(data) == cap(data) {
			size := min(max(2*cap(data), initialHeldBytes), maxHeldBytes)
			if len(data) == maxHeldBytes || !a.Memory.Add(int64(size)) {
				return data, false, nil
			}
			a.Memory.Sub(int64(cap(data)))
			data = append(make([]byte, 0, size), data...)
		}
		n, err := a.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, errors.Trace(err)
		}
	}
}

func (p *Proxy) passWhole(call *Call, sink Sink, w *wholeAnswer) *result.Failure {
	p.markHeadSent(call, w.status)
	if err := sink.WriteHead(w.head()); err != nil {
		return callerGone(call, err)
	}
	n, err := sink.Write(w.body)
	call.bodyBytes += n
	if err != nil {
		return callerGone(call, err)
	}
	return nil
}

// markHeadSent records that the head of the answer is passed on.
func (p *Proxy) markHeadSent(call *Call, status int) {
	call.headSent = true
	call.status = status
	call.firstByteAt = p.Clock.Now()
}

func (p *Proxy) passLong(ctx context.Context, call *Call, w *wholeAnswer, a *http1.Answer, sink Sink) *result.Failure {
	p.markHeadSent(call, w.status)
	head := w.head()
	head.Length = -1
	if err := sink.WriteHead(head); err != nil {
		return callerGone(call, err)
	}
	if _, err := sink.Write(w.body); err != nil {
		return callerGone(call, err)
	}
	a.Memory.Sub(int64(cap(w.body)))
	w.body = nil
	return p.eachPart(ctx, call, a.Body, func(part []byte) *result.Failure {
		if _, err := sink.Write(part); err != nil {
			return callerGone(call, err)
		}
		return nil
	})
}

// eachPart calls onPart with each part of a body as it arrives, until onPart fails or
// the body ends.
func (p *Proxy) eachPart(ctx context.Context, call *Call, body io.Reader, onPart func(p []byte) *result.Failure) *result.Failure {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if failure := onPart(buffer[:n]); failure != nil {
				return failure
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return p.answerFailure(ctx, call, result.AnswerCut, err)
		}
	}
}

// callerGone returns the failure of a write to the caller.
func callerGone(call *Call, err error) *result.Failure {
	reason := result.CallerGone
	if errors.Is(err, http1.ErrNoMemory) {
		reason = result.AnswerMemory
	}
	return &result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: reason, Peer: call.peer, Cause: err}
}

// passStream passes events on as they arrive. If the stream is resumable, only whole
// events are passed on, so that another upstream can continue after the last of them.
func (p *Proxy) passStream(ctx context.Context, cancel context.CancelCauseFunc, call *Call, a *http1.Answer, sink Sink, onPart func()) *result.Failure {
	goesOn := call.headSent
	stall := p.startStallTimer(call, cancel)
	defer stall.stop()
	splitter := &eventSplitter{wholeOnly: call.Route.Resumable, memory: a.Memory}
	if err := splitter.holdID(call.LastEventID); err != nil {
		return p.answerFailure(ctx, call, result.AnswerMemory, err)
	}
	failure := p.eachPart(ctx, call, a.Body, func(part []byte) *result.Failure {
		// A caller that reads slowly doesn't make the upstream stalled.
		stall.stop()
		call.recordPart(p.Clock.Now())
		onPart()
		failure := p.passEvents(ctx, call, a, splitter, part, sink)
		stall.reset(p.Clock.Now(), splitter.events.Count())
		return failure
	})
	if failure != nil {
		return failure
	}
	if goesOn && splitter.events.Count() == 0 {
		// Nothing shows that the stream had its last event before it broke off.
		return p.answerFailure(ctx, call, result.AnswerMismatch, errors.New("no event instead of the rest of a stream"))
	}
	if goesOn && a.Framing == http1.FramedByClose && call.headFraming != http1.FramedByClose {
		// The end that the caller gets must not prove more than this one does.
		return p.answerFailure(ctx, call, result.AnswerCut, errors.New("the end of the rest of a stream proves nothing"))
	}
	return p.finishStream(call, a, splitter, sink)
}

func (p *Proxy) passEvents(ctx context.Context, call *Call, a *http1.Answer, e *eventSplitter, part []byte, sink Sink) *result.Failure {
	ready, err := e.add(part)
	if err != nil {
		return p.answerFailure(ctx, call, result.AnswerTooLarge, err)
	}
	if len(ready) == 0 {
		return nil
	}
	if failure := p.writeHead(call, a, sink); failure != nil {
		return failure
	}
	n, err := sink.Write(ready)
	call.bodyBytes += n
	if err != nil {
		return callerGone(call, err)
	}
	if e.lastID != "" {
		call.LastEventID = e.lastID
		p.bindVersion(call)
	}
	if err := e.passed(); err != nil {
		return p.answerFailure(ctx, call, result.AnswerTooLarge, err)
	}
	return nil
}

// writeHead passes the head on, once for all upstreams that the stream comes from.
func (p *Proxy) writeHead(call *Call, a *http1.Answer, sink Sink) *result.Failure {
	if call.headSent {
		return nil
	}
	p.markHeadSent(call, a.Status)
	call.headFraming = a.Framing
	if err := sink.WriteHead(AnswerHead{Status: a.Status, Header: a.Header, Framing: a.Framing, Length: -1}); err != nil {
		return callerGone(call, err)
	}
	return nil
}

// finishStream passes on the bytes after the last whole event of a stream that wasn't cut
// off.
func (p *Proxy) finishStream(call *Call, a *http1.Answer, e *eventSplitter, sink Sink) *result.Failure {
	if failure := p.writeHead(call, a, sink); failure != nil {
		return failure
	}
	if len(e.partial) == 0 {
		return nil
	}
	n, err := sink.Write(e.partial)
	call.bodyBytes += n
	if err != nil {
		return callerGone(call, err)
	}
	return nil
}

// eventSplitter splits a stream between its events.
type eventSplitter struct {
	// wholeOnly makes add hold back an incomplete event.
	wholeOnly bool
	events    event.Scanner
	// memory counts the capacity of partial and idBytes.
	memory  *memory.Share
	partial []byte
	// rest is what follows the events that add has returned, until passed.
	rest []byte
	// lastID is the id of the last whole event.
	lastID string
	// idBytes is the length of the id that the stream may go on after elsewhere.
	idBytes int64
}

// add appends p and returns the bytes that can be passed on. They are valid until passed is called
// or p changes.
func (e *eventSplitter) add(p []byte) ([]byte, error) {
	if !e.wholeOnly {
		return p, nil
	}
	end := e.events.Add(p)
	if end == 0 {
		if len(e.partial)+len(p) > maxEventBytes {
			return nil, http1.ErrTooLarge
		}
		return nil, e.hold(p)
	}
	ready := p[:end]
	if len(e.partial) > 0 {
		if err := e.hold(ready); err != nil {
			return nil, err
		}
		ready = e.partial
	}
	e.rest = p[end:]
	if id := lastEventID(ready, e.lastID); id != e.lastID {
		e.lastID = id
		return ready, e.holdID(id)
	}
	return ready, nil
}

// holdID takes memory for the id that the stream may go on after elsewhere, in place of the one before.
func (e *eventSplitter) holdID(id string) error {
	if !e.memory.Add(int64(len(id))) {
		return http1.ErrNoMemory
	}
	e.memory.Sub(e.idBytes)
	e.idBytes = int64(len(id))
	return nil
}

// passed is called when the events that add has returned are passed on.
func (e *eventSplitter) passed() error {
	rest := e.rest
	e.rest = nil
	e.memory.Sub(int64(cap(e.partial)))
	e.partial = nil
	return e.hold(rest)
}

// hold appends to the incomplete event. While its buffer grows, the old one is held as well.
func (e *eventSplitter) hold(p []byte) error {
	if size := len(e.partial) + len(p); size > cap(e.partial) {
		grown := max(size, min(2*cap(e.partial), maxEventBytes), initialHeldBytes)
		if !e.memory.Add(int64(grown)) {
			return http1.ErrNoMemory
		}
		e.memory.Sub(int64(cap(e.partial)))
		e.partial = append(make([]byte, 0, grown), e.partial...)
	}
	e.partial = append(e.partial, p...)
	return nil
}

// lastEventID returns the id of the last event in block that has one, or else previous.
func lastEventID(block []byte, previous string) string {
	isLineEnd := func(r rune) bool { return r == '\r' || r == '\n' }
	for line := range bytes.FieldsFuncSeq(block, isLineEnd) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			previous = string(bytes.TrimSpace(value))
		}
	}
	return previous
}

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// RemoveHopByHopHeaders removes the headers that apply to one connection only, including
// those named by Connection.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
