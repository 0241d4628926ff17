package invoke

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
)

// receiveBufferBytes is the size of one read of an answer, and with it the bound
// of one event frame.
const receiveBufferBytes = 32 << 10

// buffers holds *[]byte of receiveBufferBytes. A buffer belongs to one attempt
// from Get to Put, and nothing keeps a slice of it after Put.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, receiveBufferBytes)
	return &b
}}

// receive passes the body on until its end.
func (r *running) receive(ctx context.Context, response *http.Response) *result.Failure {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	idle := newIdleTimer(r.idle, func() { r.cancel(timedOut{result.IdleTimeout}) })
	defer idle.stop()
	if r.attempt.Streamed {
		return r.receiveFrames(ctx, response, *buffer, idle)
	}
	return r.receivePlain(ctx, response, *buffer, idle)
}

// receivePlain passes on a body whose length or chunks show its end.
func (r *running) receivePlain(ctx context.Context, response *http.Response, buffer []byte, idle *idleTimer) *result.Failure {
	if response.ContentLength > r.client.MaxAnswerBytes {
		return r.failure(result.AnswerTooLarge, nil)
	}
	if failure := r.begin(response); failure != nil {
		return failure
	}
	total := int64(0)
	for {
		n, err := response.Body.Read(buffer)
		idle.progress()
		total += int64(n)
		if total > r.client.MaxAnswerBytes {
			return r.failure(result.AnswerTooLarge, nil)
		}
		if failure := r.pass(buffer[:n]); failure != nil {
			return failure
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return r.blame(ctx, r.failure(result.AnswerCut, err))
		}
	}
}

// receiveFrames passes on an event stream, whole frames at a time, until the
// closing frame. A stream that ends before it was cut, however cleanly. The head
// is held until the first good frame, so that an attempt that fails before it
// leaves nothing with the caller.
func (r *running) receiveFrames(ctx context.Context, response *http.Response, buffer []byte, idle *idleTimer) *result.Failure {
	checker := newFrameChecker(r.attempt.RequestID)
	held := 0
	total := int64(0)
	for {
		n, err := response.Body.Read(buffer[held:])
		total += int64(n)
		if total > r.client.MaxAnswerBytes {
			return r.failure(result.AnswerTooLarge, nil)
		}
		passed, reason := r.passFrames(response, &checker, buffer[:held+n])
		if reason != nil {
			return reason
		}
		if passed > 0 {
			idle.progress()
		}
		held = copy(buffer, buffer[passed:held+n])
		switch {
		case checker.closed:
			r.settle(response, buffer)
			return nil
		case errors.Is(err, io.EOF):
			return r.failure(result.AnswerCut, nil)
		case err != nil:
			return r.blame(ctx, r.failure(result.AnswerCut, err))
		case held == len(buffer):
			return r.failure(result.AnswerTooLarge, nil)
		}
	}
}

// passFrames checks the complete frames at the start of data, passes them on and
// returns their length.
func (r *running) passFrames(response *http.Response, checker *frameChecker, data []byte) (int, *result.Failure) {
	whole, verdict := checker.check(data)
	if whole > 0 && !r.report.HeadSent {
		if failure := r.begin(response); failure != nil {
			return 0, failure
		}
	}
	if failure := r.pass(data[:whole]); failure != nil {
		return 0, failure
	}
	r.report.Frames = checker.frames
	switch verdict {
	case frameForeign:
		return 0, r.failure(result.AnswerMismatch, nil)
	case frameRepeated:
		return 0, r.failure(result.AnswerMismatch, errors.New("a frame came out of order"))
	default:
		return whole, nil
	}
}

func (r *running) pass(data []byte) *result.Failure {
	if len(data) == 0 {
		return nil
	}
	if err := r.sink.Write(data); err != nil {
		return r.failure(result.CallerGone, err)
	}
	return nil
}
