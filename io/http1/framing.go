package http1

import "net/http"

// Framing is how the sender of an answer marks the end of its body.
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

func framingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return FramedByLength
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}
