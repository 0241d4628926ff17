package http1

import (
	"io"

	"github.com/juju/errors"

	"arbutustrestle/core/event"
	"arbutustrestle/io/syntax"
)

// Framing is how the sender of an answer marks the end of its body. What it proves:
//
//	framing  whole if                             cut off if
//	length   that many bytes have arrived         the connection ends before
//	chunks   the last chunk has arrived           the connection ends before
//	close    the upstream outlasts it (endWatch)  the connection is reset, or the upstream ends with it
//
// A stream of events that ends inside an event is cut off whatever its framing, and so is
// one that ends with its connection before its first event.
//
// Instances exchange the numbers, so they must not change.
type Framing uint8

const (
	// FramingUnknown is the framing of an answer whose sender doesn't report it.
	FramingUnknown Framing = iota
	// FramedByLength means that the length of the body is known from the head, or that
	// the status or method allows no body.
	FramedByLength
	// FramedByChunks means that a last chunk follows the body.
	FramedByChunks
	// FramedByClose means that the body ends with its connection.
	FramedByClose
)

// String returns the name of the framing in logs.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByClose:
		return "close"
	default:
		return "unknown"
	}
}

func framingOf(f syntax.Frame) Framing {
	switch {
	case f.Chunked:
		return FramedByChunks
	case f.Length >= 0:
		return FramedByLength
	default:
		return FramedByClose
	}
}

// ErrUpstreamEnded means that the process of an upstream has ended together with an answer that ends
// with its connection, as it does when it is killed.
var ErrUpstreamEnded = errors.Annotate(io.ErrUnexpectedEOF, "upstream ended with the answer, whose end proves nothing")

var (
	errInsideEvent = errors.Annotate(io.ErrUnexpectedEOF, "stream ended inside an event")
	errNoEvent     = errors.Annotate(io.ErrUnexpectedEOF, "connection ended before the first event")
)

// checkEventEnd returns an error if a stream of events that has reached the end of its
// body was cut off.
func checkEventEnd(f Framing, s *event.Scanner) error {
	if s.Inside() {
		return errInsideEvent
	}
	if f == FramedByClose && s.Count() == 0 {
		return errNoEvent
	}
	return nil
}
