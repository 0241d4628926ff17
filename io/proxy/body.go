package proxy

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
)

const (
	// defaultBodyBytes bounds request bodies if operators set no limit.
	defaultBodyBytes = 8 << 20
	// memoryRetryAfter is the Retry-After value while the memory for bodies is used up: the time
	// that a body takes to arrive and be passed on.
	memoryRetryAfter = time.Second
)

// readBody reads the body of a request into memory that it takes from the budget. A request for
// which there is none, or that has given its own to others, is refused: it has not run.
func readBody(call *Call, r *http.Request, limit int64) *result.Failure {
	limit = bodyLimit(limit)
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > limit {
		return badRequest(result.BodyTooLarge, errors.Errorf("body of %d bytes exceeds the limit of %d", r.ContentLength, limit))
	}
	buffer := &bodyBuffer{share: call.memory, most: r.ContentLength}
	defer buffer.free()
	if r.ContentLength < 0 {
		// One byte more than the limit shows a body that exceeds it.
		buffer.most = limit + 1
	}
	failure := fillBuffer(call, buffer, r)
	// Trailers aren't passed on.
	r.Trailer = nil
	switch {
	case call.reading.GaveWay():
		return outOfMemory(call)
	case failure != nil:
		return failure
	case buffer.size() > limit:
		return badRequest(result.BodyTooLarge, errors.Errorf("body exceeds the limit of %d bytes", limit))
	case !call.reading.End():
		return outOfMemory(call)
	}
	call.Body = buffer.join()
	return nil
}

// bodyLimit returns the longest body that is taken where operators set a limit, which is none if it isn't
// positive.
func bodyLimit(limit int64) int64 {
	if limit <= 0 {
		return defaultBodyBytes
	}
	return limit
}

// fillBuffer reads a body to its end, or until the buffer is full. The end must be read, so that the server
// sees the request as read.
func fillBuffer(call *Call, buffer *bodyBuffer, r *http.Request) *result.Failure {
	sized := r.ContentLength >= 0
	for {
		space, ok := buffer.space()
		if !ok {
			return outOfMemory(call)
		}
		full := len(space) == 0
		if full && !sized {
			return nil
		}
		if full {
			space = make([]byte, 1)
		}
		n, err := r.Body.Read(space)
		if !full {
			buffer.add(n)
		}
		switch {
		case errors.Is(err, io.EOF) && sized && buffer.size() < buffer.most:
			return bodyFailure(io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return bodyFailure(err)
		case full:
			return nil
		}
	}
}

func bodyFailure(err error) *result.Failure {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return badRequest(result.BodyTooSlow, err)
	}
	return badRequest(result.CallerGone, err)
}

// outOfMemory refuses a request before its body is read as a whole.
func outOfMemory(call *Call) *result.Failure {
	call.bodyUnread = true
	return refuse(result.StepAdmit, result.Overloaded, memoryRetryAfter)
}
