package relay

import (
	"io"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// inlineBody returns the body that is sent with the request itself.
func inlineBody(r *Request) []byte {
	if len(r.Attempt.Body) > MaxBodyBytes {
		return nil
	}
	return r.Attempt.Body
}

// partsBytes returns the length of the body if it is sent in parts, and else zero.
func partsBytes(r *Request) uint64 {
	if len(r.Attempt.Body) > MaxBodyBytes {
		return uint64(len(r.Attempt.Body))
	}
	return 0
}

// partsSender sends the body of a request in parts, if it isn't sent with the request, beside the read
// of the answer: the other instance may refuse the request before it has read all.
type partsSender struct {
	// done receives whether the last part may have been sent; nil if there are no parts.
	done chan bool
}

func sendParts(s *link.Stream, r *Request) partsSender {
	if partsBytes(r) == 0 {
		return partsSender{}
	}
	sender := partsSender{done: make(chan bool, 1)}
	go func() { sender.done <- writeParts(s, r.Attempt.Body) }()
	return sender
}

// sent reports whether the last part may have been sent. It waits for the write that is under way, and is
// called after the stream was closed, which ends that write.
func (p partsSender) sent() bool {
	return p.done == nil || <-p.done
}

// writeParts sends all parts, and reports whether the last one may have been sent: a write that fails
// may have been done.
func writeParts(s *link.Stream, body []byte) bool {
	for {
		part := body[:min(frameBytes, len(body))]
		body = body[len(part):]
		s.SetWriteDeadline(time.Now().Add(writeTimeout))
		err := s.Send(&wire.BodyPart{Data: part})
		if len(body) == 0 {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// ReadParts reads the parts of a body of a known length. grow is called with the number of bytes that
// are held, before they are; reading stops with ErrNoRoom if it returns false.
func ReadParts(s *link.Stream, size uint64, grow func(bytes int64) bool) ([]byte, error) {
	var body []byte
	for uint64(len(body)) < size {
		var part wire.BodyPart
		if err := s.Receive(&part); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, errors.Annotate(err, "receive a part of a body")
		}
		left := size - uint64(len(body))
		if n := uint64(len(part.GetData())); n == 0 || n > left {
			return nil, errors.NotValidf("part of %d bytes of a body that lacks %d", n, left)
		}
		if len(body)+len(part.GetData()) > cap(body) {
			room := min(uint64(2*cap(body)+frameBytes), size)
			if !grow(int64(room) + int64(cap(body))) {
				return nil, ErrNoRoom
			}
			body = append(make([]byte, 0, room), body...)
		}
		body = append(body, part.GetData()...)
	}
	return body, nil
}

// ErrNoRoom means that there is no memory for the body of a relayed request.
var ErrNoRoom = errors.New("no memory for a body")
