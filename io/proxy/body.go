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
	// initialBodyBytes is the first buffer for a body whose length isn't known.
	initialBodyBytes = 4 << 10
	// memoryRetryAfter is the Retry-After value while the memory for bodies is used up: the time
	// that a body takes to arrive and be passed on.
	memoryRetryAfter = time.Second
)

// readBody reads the body of a request into memory that it takes from the budget. A request for
// which there is none is refused: it has not run.
func readBody(call *Call, r *http.Request, limit int64) *result.Failure {
	limit = bodyLimit(limit)
	if r.ContentLength > limit {
		return badRequest(result.BodyTooLarge, errors.Errorf("body of %d bytes exceeds the limit of %d", r.ContentLength, limit))
	}
	if r.ContentLength >= 0 {
		return readSizedBody(call, r.Body, r.ContentLength)
	}
	return readUnsizedBody(call, r.Body, limit)
}

// bodyLimit returns the longest body that is taken where operators set a limit, which is none if it isn't
// positive.
func bodyLimit(limit int64) int64 {
	if limit <= 0 {
		return defaultBodyBytes
	}
	return limit
}

func readSizedBody(call *Call, body io.Reader, size int64) *result.Failure {
	if !call.memory.Grow(size) {
		return outOfMemory(call)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(body, data); err != nil {
		return bodyFailure(err)
	}
	// The end must be read, so that the server sees the request as read.
	if _, err := body.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return bodyFailure(err)
	}
	call.Body = data
	return nil
}

// readUnsizedBody reads a body in chunks. While its buffer grows, the old one is held as well.
func readUnsizedBody(call *Call, body io.Reader, limit int64) *result.Failure {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(2*cap(data), initialBodyBytes)
			if !call.memory.Grow(int64(size + cap(data))) {
				return outOfMemory(call)
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return badRequest(result.BodyTooLarge, errors.Errorf("body exceeds the limit of %d bytes", limit))
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			call.Body = data
			return nil
		}
		if err != nil {
			return bodyFailure(err)
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
