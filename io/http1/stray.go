package http1

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"net/textproto"
	"os"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/io/syntax"
)

const (
	// maxStrayHeadBytes bounds what is held back of a body while it may be the head of another answer.
	maxStrayHeadBytes = 4 << 10
	// maxStrayHeadTime is how long it is held back while nothing follows. A slow upstream may send the text of
	// a head.
	maxStrayHeadTime = 100 * time.Millisecond
)

// errAnotherAnswer means that another answer follows the body of one that ends with its connection. Where
// the body ended before it isn't known.
var errAnotherAnswer = errors.Annotate(io.ErrUnexpectedEOF, "another answer follows in the body")

// strayFilter reads a body that ends with its connection. An upstream may send an answer to a request once
// more, late, and nothing in the framing tells it from the body. It does name a request that the connection
// has carried, in a head that keeps the grammar up to there; no body does that otherwise, unless its type says
// that it holds messages of HTTP.
type strayFilter struct {
	reader io.Reader
	// setDeadline sets the read deadline of the connection; nil if there is none.
	setDeadline func(time.Time) error
	// codec reads the id of a head, and requests are those that the connection has carried.
	codec    Codec
	requests *carried

	// ready can be returned.
	ready []byte
	// kept is the end of what was read, of which the first sent bytes were returned. It begins with the head
	// that may be another answer's, or with the last line of that if returned is set.
	kept     []byte
	sent     int
	returned bool
	// lineFrom is the last line in kept, and place where that is.
	lineFrom int
	place    headPlace
	// err is what the reader has returned last, or errAnotherAnswer.
	err error
}

// headPlace is a place in a body that may hold the head of another answer.
type headPlace uint8

const (
	outsideHead headPlace = iota
	// insideLine is behind the beginning of a status line, or inside a field line that isn't kept.
	insideLine
	// behindLine is behind a line of a head that keeps the grammar.
	behindLine
)

// holdsMessages reports whether the type of a body says that it holds messages of HTTP (RFC 9112,
// section 10).
func holdsMessages(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (kind == "message/http" || kind == "application/http")
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
	if len(p) < 2*len(s.kept) {
		p = make([]byte, 2*len(s.kept))
	}
	n, late, err := s.read(p[copy(p, s.kept):])
	s.err = err
	data := p[:len(s.kept)+n]
	next := s.scan(data, errors.Is(err, io.EOF))
	switch {
	case next.found:
		s.err = errAnotherAnswer
	case err != nil:
		next.keepFrom = len(data)
	case next.returned, late, len(data)-next.keepFrom >= maxStrayHeadBytes:
		// The line is kept for the id, although it is returned.
		s.ready = data[s.sent:]
		next.returned, next.keepFrom = true, next.lineFrom
		s.sent = len(data) - next.keepFrom
		s.keep(data, next)
		return
	}
	s.ready = data[s.sent:max(s.sent, next.keepFrom)]
	s.sent = max(0, s.sent-next.keepFrom)
	s.keep(data, next)
}

// keep keeps the end of data.
func (s *strayFilter) keep(data []byte, r scanResult) {
	s.kept, s.returned = append(s.kept[:0], data[r.keepFrom:]...), r.returned
	s.lineFrom, s.place = r.lineFrom-r.keepFrom, r.place
}

// read reads, and reports whether nothing has come while something was held back.
func (s *strayFilter) read(p []byte) (n int, late bool, err error) {
	if len(s.kept) == s.sent || s.setDeadline == nil {
		n, err = s.reader.Read(p)
		return n, false, err
	}
	_ = s.setDeadline(time.Now().Add(maxStrayHeadTime))
	n, err = s.reader.Read(p)
	_ = s.setDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, true, nil
	}
	return n, false, err
}

// scanResult is what a scan has found.
type scanResult struct {
	// found is set if another answer begins at keepFrom.
	found bool
	// keepFrom is where that may begin otherwise, unless returned is set: then it began before.
	keepFrom int
	returned bool
	// lineFrom is the last line of that, and place where it is.
	lineFrom int
	place    headPlace
}

// skipLine keeps nothing of the line that goes on behind data, but for what may be its end.
func (r *scanResult) skipLine(data []byte) {
	r.lineFrom, r.place = len(bytes.TrimSuffix(data, []byte{'\r'})), insideLine
}

// scan looks for the head of another answer in data, which begins with what is kept. last is set if nothing
// follows.
func (s *strayFilter) scan(data []byte, last bool) scanResult {
	r := scanResult{returned: s.returned}
	at, place := s.lineFrom, s.place
	for {
		switch place {
		case outsideHead:
			start, whole := findStatusLine(data[at:], last)
			at += start
			r = scanResult{keepFrom: at, lineFrom: at}
			if !whole {
				return r
			}
			at += statusLineBytes
			place = insideLine
		case insideLine:
			n, state := lineOf(data[at:])
			at += n
			switch state {
			case lineGoesOn:
				r.skipLine(data)
				return r
			case noLine:
				place = outsideHead
			case wholeLine:
				place = behindLine
			}
		case behindLine:
			n, state := lineOf(data[at:])
			if state == lineGoesOn && !last {
				r.lineFrom, r.place = at, behindLine
				if n >= maxStrayHeadBytes {
					r.skipLine(data)
				}
				return r
			}
			kind := noField
			if state != noLine {
				kind = s.fieldOf(data[at : at+n])
			}
			switch {
			case kind == idOfCarried:
				r.found = true
				return r
			case state == lineGoesOn:
				return r
			case kind == noField:
				place = outsideHead
			default:
				at += n
			}
		}
	}
}

var strayStart = []byte("HTTP/1.")

// statusLineForm is the beginning of a status line and the byte behind it, with 0 for any digit. A status that
// is none counts: an upstream that sends it means an answer.
const (
	statusLineForm  = "HTTP/1.0 000"
	statusLineBytes = len(statusLineForm)
)

// findStatusLine returns where the first status line begins, and whether it is whole but for its reason. Or
// else it returns the number of bytes with which none begins, if others follow.
func findStatusLine(data []byte, last bool) (start int, whole bool) {
	for at := 0; ; at += len(strayStart) {
		next := bytes.Index(data[at:], strayStart)
		if next < 0 {
			return len(data) - partialStart(data[at:], last), false
		}
		at += next
		switch {
		case !isStatusLine(data[at:]):
		case len(data)-at > statusLineBytes:
			return at, true
		case !last:
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

// isStatusLine reports whether data begins with a status line, as far as it goes.
func isStatusLine(data []byte) bool {
	for i, b := range data[:min(len(data), statusLineBytes)] {
		isDigit := b >= '0' && b <= '9'
		if statusLineForm[i] == '0' && !isDigit || statusLineForm[i] != '0' && b != statusLineForm[i] {
			return false
		}
	}
	return len(data) <= statusLineBytes || bytes.IndexByte([]byte(" \r\n"), data[statusLineBytes]) >= 0
}

// lineState is how a line ends.
type lineState uint8

const (
	wholeLine lineState = iota
	lineGoesOn
	// noLine means that a control byte is in it.
	noLine
)

// lineOf returns the bytes of the first line with its end, or those before a control byte.
func lineOf(data []byte) (n int, state lineState) {
	for i, b := range data {
		switch {
		case b == '\n':
			return i + 1, wholeLine
		case b == '\r' && (i == len(data)-1 || data[i+1] == '\n'):
		case b < ' ' && b != '\t' || b == 0x7f:
			return i, noLine
		}
	}
	return len(data), lineGoesOn
}

// fieldKind is what a line of a head is.
type fieldKind uint8

const (
	// noField is also that of the empty line which ends a head.
	noField fieldKind = iota
	otherField
	// idOfCarried is that of a request which the connection has carried.
	idOfCarried
)

// fieldOf returns what a line is. The codec is asked for each line by itself: an answer that names several
// requests, or names its id as an option of the connection, isn't one that can be used, but is another answer.
func (s *strayFilter) fieldOf(line []byte) fieldKind {
	if len(line) >= maxStrayHeadBytes {
		// No line that goes on as long is kept.
		return otherField
	}
	name, value, valid := syntax.SplitField(string(bytes.TrimRight(line, "\r\n")))
	if !valid {
		return noField
	}
	isCarried := s.requests.has
	if line[len(line)-1] != '\n' {
		isCarried = s.requests.mayHave
	}
	if value == "" || !isCarried(value) {
		return otherField
	}
	if s.codec.ParseResponse(http.StatusOK, http.Header{textproto.CanonicalMIMEHeaderKey(name): {value}}).RequestID != value {
		return otherField
	}
	return idOfCarried
}
