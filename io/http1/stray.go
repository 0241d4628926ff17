package http1

import (
	"bytes"
	"io"
	"slices"

	"github.com/juju/errors"

	"arbutustrestle/io/syntax"
)

// maxStrayHeadBytes bounds the head of another answer that is looked for in a body, and what is held of a
// body meanwhile.
const maxStrayHeadBytes = 4 << 10

// maxCarried bounds the requests that a connection remembers.
const maxCarried = 64

// errAnotherAnswer means that another answer follows the body of one that ends with its connection. Where
// the body ended before it isn't known.
var errAnotherAnswer = errors.Annotate(io.ErrUnexpectedEOF, "another answer follows in the body")

// carry records that a request is sent on the connection.
func (c *conn) carry(requestID string) {
	c.carried = append(c.carried, requestID)
	if len(c.carried) > maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
}

// strayFilter reads a body that ends with its connection. An upstream may send an answer to a request once
// more, late, and nothing in the framing tells it from the body. It does name a request that the connection
// has carried, in a head that keeps the grammar; no body does that otherwise.
type strayFilter struct {
	reader io.Reader
	// codec reads the id of a head, and ids are those of the requests that the connection has carried.
	codec Codec
	ids   []string
	// ready can be returned, and held may be the start of another answer.
	ready, held []byte
	// err is what the reader has returned last, or errAnotherAnswer.
	err error
}

// Read returns errAnotherAnswer behind the last byte before another answer. It may return nothing, while it
// holds the start of what may be one.
func (s *strayFilter) Read(p []byte) (int, error) {
	if len(s.ready) == 0 && s.err == nil {
		s.fill(p)
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	if len(s.ready) > 0 {
		return n, nil
	}
	return n, s.err
}

// fill reads once, into a buffer that what can be returned may share.
func (s *strayFilter) fill(p []byte) {
	n, err := s.reader.Read(p)
	s.err = err
	data := p[:n]
	if len(s.held) > 0 {
		data = append(s.held, data...)
	}
	end, found := s.scan(data, err != nil)
	s.ready, s.held = data[:end], nil
	switch {
	case found:
		s.err = errAnotherAnswer
	case end < len(data):
		s.held = bytes.Clone(data[end:])
	}
}

var strayStart = []byte("HTTP/1.")

// scan returns how much of data belongs to the body for sure, and whether another answer follows it. last is
// set if nothing follows data.
func (s *strayFilter) scan(data []byte, last bool) (end int, found bool) {
	for at := 0; ; at += len(strayStart) {
		next := bytes.Index(data[at:], strayStart)
		if next < 0 {
			return len(data) - partialStart(data[at:], last), false
		}
		at += next
		switch head, complete := cutHead(data[at:]); {
		case complete && s.isAnswer(head), !complete && last && mayBeHead(data[at:]) && s.namesRequest(data[at:]):
			return at, true
		case !complete && !last && mayBeHead(data[at:]):
			return at, false
		}
	}
}

// partialStart returns how many bytes at the end of data may begin a head.
func partialStart(data []byte, last bool) int {
	for n := min(len(strayStart)-1, len(data)); n > 0 && !last; n-- {
		if bytes.HasSuffix(data, strayStart[:n]) {
			return n
		}
	}
	return 0
}

// cutHead returns the bytes up to the first empty line, if there is one within the bound.
func cutHead(data []byte) (head []byte, complete bool) {
	data = data[:min(len(data), maxStrayHeadBytes)]
	for _, emptyLine := range [...]string{"\r\n\r\n", "\n\n"} {
		if i := bytes.Index(data, []byte(emptyLine)); i >= 0 {
			return data[:i+len(emptyLine)], true
		}
	}
	return nil, false
}

// mayBeHead reports whether data may be the beginning of a head that goes on.
func mayBeHead(data []byte) bool {
	const form = "HTTP/1.0 000"
	for i, b := range data[:min(len(data), len(form))] {
		isDigit := b >= '0' && b <= '9'
		if form[i] == '0' && !isDigit || form[i] != '0' && b != form[i] {
			return false
		}
	}
	return len(data) < maxStrayHeadBytes
}

// isAnswer reports whether a head keeps the grammar and names a request that the connection has carried.
func (s *strayFilter) isAnswer(head []byte) bool {
	if !s.namesRequest(head) {
		return false
	}
	h, err := syntax.ParseHead(head)
	if err != nil {
		return false
	}
	return slices.Contains(s.ids, s.codec.ParseResponse(h.Status, h.Header).RequestID)
}

// namesRequest reports whether the id of a request that the connection has carried stands in data.
func (s *strayFilter) namesRequest(data []byte) bool {
	return slices.ContainsFunc(s.ids, func(id string) bool { return bytes.Contains(data, []byte(id)) })
}
