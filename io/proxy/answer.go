package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/http1"
)

const (
	// holdBytes bounds the answers that are read whole before they are passed on, so
	// that one that is cut can be told from a whole one.
	holdBytes = 256 << 10
	// chunkBytes is read from a stream at a time.
	chunkBytes = 8 << 10
	// stallPauses is the silence in a resumable stream, in multiples of the longest
	// pause that is on time, after which it is resumed elsewhere.
	stallPauses = 5
	// minStall bounds that silence from below.
	minStall = 1500 * time.Millisecond
)

// pass passes an answer on. The function heard is called whenever a part of it comes.
func (c *Proxy) pass(ctx context.Context, cancel context.CancelCauseFunc, call *Call, a *http1.Answer, sink Sink, heard func()) *result.Failure {
	defer func() { _ = a.Body.Close() }()
	success := a.Status >= 200 && a.Status < 300
	if success && !a.Meta.Signed {
		return c.fail(ctx, call, result.AnswerMismatch, errors.New("a success without a signature"))
	}
	if success && call.Route.Kind == spec.Stream {
		return c.passStream(ctx, cancel, call, a, sink, heard)
	}
	if call.begun {
		// The caller has the first part of a stream, which this doesn't continue.
		return c.fail(ctx, call, result.UpstreamStatus, errors.Errorf("status %d instead of the rest of a stream", a.Status))
	}
	return c.passBody(ctx, call, a, sink, heard)
}

func (c *Proxy) fail(ctx context.Context, call *Call, reason result.Reason, err error) *result.Failure {
	var inner *result.Failure
	if errors.As(err, &inner) {
		return inner
	}
	if ctx.Err() != nil {
		reason = http1.CancelReason(ctx)
	}
	return &result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: reason, Peer: call.peer, Cause: err}
}

// passBody reads an answer whole and passes it on; a long one is passed on as it
// comes once more than holdBytes of it are there.
func (c *Proxy) passBody(ctx context.Context, call *Call, a *http1.Answer, sink Sink, heard func()) *result.Failure {
	held, err := io.ReadAll(io.LimitReader(a.Body, holdBytes))
	heard()
	if err != nil {
		return c.fail(ctx, call, result.AnswerCut, err)
	}
	answer := &whole{status: a.Status, header: a.Header, body: held}
	if len(held) == holdBytes {
		return c.passLong(ctx, call, answer, a.Body, sink)
	}
	// The end of the body has to be seen for the answer to count as whole.
	if n, err := a.Body.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return c.fail(ctx, call, result.AnswerCut, err)
	}
	if a.Status >= 500 && call.Route.Repeatable() && call.sends < call.Route.MaxAttempts {
		call.held = answer
		return &result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.UpstreamStatus, Peer: call.peer}
	}
	return c.passWhole(call, sink, answer)
}

func (c *Proxy) passWhole(call *Call, sink Sink, w *whole) *result.Failure {
	c.started(call, w.status)
	if err := sink.WriteHead(w.status, w.header, int64(len(w.body))); err != nil {
		return gone(call, err)
	}
	n, err := sink.Write(w.body)
	call.bytes += n
	if err != nil {
		return gone(call, err)
	}
	return nil
}

// started notes that the head of the answer is passed on.
func (c *Proxy) started(call *Call, status int) {
	call.begun = true
	call.status = status
	call.first = c.Clock.Now()
}

func (c *Proxy) passLong(ctx context.Context, call *Call, w *whole, rest io.Reader, sink Sink) *result.Failure {
	c.started(call, w.status)
	if err := sink.WriteHead(w.status, w.header, -1); err != nil {
		return gone(call, err)
	}
	if _, err := sink.Write(w.body); err != nil {
		return gone(call, err)
	}
	return c.eachPart(ctx, call, rest, func(p []byte) *result.Failure {
		if _, err := sink.Write(p); err != nil {
			return gone(call, err)
		}
		return nil
	})
}

// eachPart calls a function with each part of an answer's body as it comes, until it
// fails or the body ends.
func (c *Proxy) eachPart(ctx context.Context, call *Call, body io.Reader, do func(p []byte) *result.Failure) *result.Failure {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if failure := do(buffer[:n]); failure != nil {
				return failure
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return c.fail(ctx, call, result.AnswerCut, err)
		}
	}
}

func gone(call *Call, err error) *result.Failure {
	return &result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: result.CallerGone, Peer: call.peer, Cause: err}
}

// passStream passes events on as they come. Of a stream that may be resumed only whole
// events are passed on, so that another upstream can go on after the last of them.
func (c *Proxy) passStream(ctx context.Context, cancel context.CancelCauseFunc, call *Call, a *http1.Answer, sink Sink, heard func()) *result.Failure {
	stall := c.stall(call, cancel)
	defer stall.Stop()
	events := &events{whole: call.Route.Resumable}
	failure := c.eachPart(ctx, call, a.Body, func(p []byte) *result.Failure {
		stall.Reset(stallTime(call.Route))
		call.heard(c.Clock.Now())
		heard()
		return c.passEvents(call, a, events, p, sink)
	})
	if failure != nil {
		return failure
	}
	return c.endStream(call, a, events, sink)
}

func (c *Proxy) passEvents(call *Call, a *http1.Answer, e *events, p []byte, sink Sink) *result.Failure {
	ready := e.add(p)
	if len(ready) == 0 {
		return nil
	}
	if failure := c.begin(call, a, sink); failure != nil {
		return failure
	}
	n, err := sink.Write(ready)
	call.bytes += n
	if err != nil {
		return gone(call, err)
	}
	if e.last != "" {
		call.LastEventID = e.last
	}
	return nil
}

// begin passes the head on, once for all upstreams that a stream comes from.
func (c *Proxy) begin(call *Call, a *http1.Answer, sink Sink) *result.Failure {
	if call.begun {
		return nil
	}
	c.started(call, a.Status)
	if err := sink.WriteHead(a.Status, a.Header, -1); err != nil {
		return gone(call, err)
	}
	return nil
}

// endStream passes on what follows the last whole event; at a proper end that is
// part of the answer.
func (c *Proxy) endStream(call *Call, a *http1.Answer, e *events, sink Sink) *result.Failure {
	if failure := c.begin(call, a, sink); failure != nil {
		return failure
	}
	if len(e.partial) == 0 {
		return nil
	}
	if _, err := sink.Write(e.partial); err != nil {
		return gone(call, err)
	}
	return nil
}

// stall gives a resumable stream up after a long silence.
func (c *Proxy) stall(call *Call, cancel context.CancelCauseFunc) *time.Timer {
	if !call.Route.Resumable || call.sends >= call.Route.MaxAttempts {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(stallTime(call.Route), func() {
		cancel(&result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: result.IdleTimeout})
	})
}

func stallTime(r *spec.Route) time.Duration {
	return max(stallPauses*r.EventGapObjective, minStall)
}

// events splits a stream at the blank lines between its events.
type events struct {
	// whole holds back what is not a whole event yet.
	whole   bool
	partial []byte
	// last is the id of the last whole event.
	last string
}

// add returns what may be passed on.
func (e *events) add(p []byte) []byte {
	if !e.whole {
		return p
	}
	e.partial = append(e.partial, p...)
	end := bytes.LastIndex(e.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	ready := bytes.Clone(e.partial[:end+2])
	e.partial = e.partial[end+2:]
	e.last = lastID(ready, e.last)
	return ready
}

// lastID returns the id of the last event that has one.
func lastID(block []byte, before string) string {
	for line := range strings.Lines(string(block)) {
		if value, found := strings.CutPrefix(line, "id:"); found {
			before = strings.TrimSpace(value)
		}
	}
	return before
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// RemoveHopByHopHeaders takes out of a header what concerns one connection only.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
