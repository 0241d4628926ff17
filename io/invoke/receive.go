package invoke

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
)

// receiveBufferBytes is the maximum size of one read of a response, and so also of one
// event frame.
const receiveBufferBytes = 32 << 10

// buffers holds *[]byte of receiveBufferBytes. A buffer is owned by one attempt from Get
// to Put, and no slice of it is retained after Put.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, receiveBufferBytes)
	return &b
}}

// receive forwards the body until its end.
func (r *runner) receive(ctx context.Context, response *http.Response) *result.Failure {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	idle := newIdleTimer(r.idle, func() { r.cancel(timeoutError{result.IdleTimeout}) })
	defer idle.stop()
	if r.attempt.Streamed {
		return r.receiveFrames(ctx, response, *buffer, idle)
	}
	return r.receivePlain(ctx, response, *buffer, idle)
}

// errUnprovedEnd means that an answer has neither a length nor chunks. Its end is that of its
// connection, which a reset or the kill of an upstream may look like.
var errUnprovedEnd = errors.New("the end of the answer proves nothing")

// receivePlain forwards a body that is delimited by its length or its chunks. One with neither counts
// as cut off when its connection ends.
func (r *runner) receivePlain(ctx context.Context, response *http.Response, buffer []byte, idle *idleTimer) *result.Failure {
	if response.ContentLength > r.client.MaxAnswerBytes {
		return r.failure(result.AnswerTooLarge, nil)
	}
	if failure := r.begin(response); failure != nil {
		return failure
	}
	total := int64(0)
	for {
		n, err := response.Body.Read(buffer)
		idle.recordProgress()
		total += int64(n)
		if total > r.client.MaxAnswerBytes {
			return r.failure(result.AnswerTooLarge, nil)
		}
		if failure := r.write(buffer[:n]); failure != nil {
			return failure
		}
		switch {
		case errors.Is(err, io.EOF) && provesEnd(response):
			return nil
		case errors.Is(err, io.EOF):
			return r.failure(result.AnswerCut, errUnprovedEnd)
		case err != nil:
			return r.withContextReason(ctx, r.failure(result.AnswerCut, err))
		}
	}
}

// provesEnd reports whether an answer marks the end of its body itself.
func provesEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// receiveFrames forwards an event stream, only whole frames, until the closing frame. A
// stream that ends before the closing frame counts as cut, however cleanly it ends. The
// head is withheld until the first valid frame, so that an attempt that fails before it
// has sent nothing to the caller and can be retried.
func (r *runner) receiveFrames(ctx context.Context, response *http.Response, buffer []byte, idle *idleTimer) *result.Failure {
	checker := newFrameChecker(r.attempt.RequestID)
	buffered := 0
	total := int64(0)
	for {
		n, err := response.Body.Read(buffer[buffered:])
		total += int64(n)
		if total > r.client.MaxAnswerBytes {
			return r.failure(result.AnswerTooLarge, nil)
		}
		consumed, failure := r.forwardFrames(response, &checker, buffer[:buffered+n])
		if failure != nil {
			return failure
		}
		if consumed > 0 {
			idle.recordProgress()
		}
		buffered = copy(buffer, buffer[consumed:buffered+n])
		switch {
		case checker.closed:
			r.readStreamEnd(response, buffer)
			return nil
		case errors.Is(err, io.EOF):
			return r.failure(result.AnswerCut, nil)
		case err != nil:
			return r.withContextReason(ctx, r.failure(result.AnswerCut, err))
		case buffered == len(buffer):
			return r.failure(result.AnswerTooLarge, nil)
		}
	}
}

// forwardFrames checks the complete frames at the start of data, forwards them and
// returns their length.
func (r *runner) forwardFrames(response *http.Response, checker *frameChecker, data []byte) (int, *result.Failure) {
	valid, verdict := checker.check(data)
	if valid > 0 && !r.report.HeadSent {
		if failure := r.begin(response); failure != nil {
			return 0, failure
		}
	}
	if failure := r.write(data[:valid]); failure != nil {
		return 0, failure
	}
	r.report.Frames = checker.frames
	switch verdict {
	case frameOtherRequest:
		return 0, r.failure(result.AnswerMismatch, nil)
	case frameOutOfOrder:
		return 0, r.failure(result.AnswerMismatch, errors.New("event frame out of order"))
	default:
		return valid, nil
	}
}

// sinkReason returns the reason of a failed write to the sink.
func sinkReason(err error) result.Reason {
	if errors.Is(err, ErrAnswerMemory) {
		return result.AnswerMemory
	}
	return result.CallerGone
}

func (r *runner) write(data []byte) *result.Failure {
	if len(data) == 0 {
		return nil
	}
	if err := r.sink.Write(data); err != nil {
		return r.failure(sinkReason(err), err)
	}
	return nil
}
