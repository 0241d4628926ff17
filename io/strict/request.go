package strict

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// lengthName is the name of the header with the length of the body.
	lengthName = "content-length"
	// maxLineBytes is how much of a line is looked at: the name of the length, and its value.
	maxLineBytes = 64
	// lastChunk is the end of a body in chunks without trailers.
	lastChunk = "0\r\n\r\n"
)

// requestScanner looks for a length in the head of a request, which may come in any number of parts,
// and for the end of its body. Its zero value is ready to use.
type requestScanner struct {
	// hasLength is set once the head has a length, and length is its value, negative if that is no
	// number.
	hasLength bool
	length    int64
	// headDone is set after the blank line that ends the head, and bodyBytes counts what follows.
	headDone  bool
	bodyBytes int64
	// begun is set after the first line that isn't blank.
	begun bool
	// line is the beginning of the current line.
	line []byte
	// tail is the end of what has arrived, as long as lastChunk at most.
	tail []byte
}

// add looks at the next bytes.
func (s *requestScanner) add(p []byte) {
	s.addTail(p)
	for len(p) > 0 && !s.headDone {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), maxLineBytes-len(s.line))]...)
		p = rest
		if ended {
			s.endLine()
		}
	}
	s.bodyBytes += int64(len(p))
}

func (s *requestScanner) addTail(p []byte) {
	if len(p) >= len(lastChunk) {
		s.tail = append(s.tail[:0], p[len(p)-len(lastChunk):]...)
		return
	}
	kept := s.tail[max(0, len(s.tail)+len(p)-len(lastChunk)):]
	s.tail = append(append(s.tail[:0], kept...), p...)
}

// reset makes the scanner ready for the next request.
func (s *requestScanner) reset() {
	*s = requestScanner{line: s.line[:0], tail: s.tail[:0]}
}

func (s *requestScanner) endLine() {
	line := strings.TrimRight(string(s.line), "\r")
	s.line = s.line[:0]
	if line == "" {
		s.headDone = s.begun
		return
	}
	s.begun = true
	name, value, _ := strings.Cut(line, ":")
	if !strings.EqualFold(strings.TrimSpace(name), lengthName) {
		return
	}
	s.hasLength = true
	length, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
	if err != nil {
		length = -1
	}
	s.length = length
}

// endsHere reports whether nothing of the next request has arrived, or at least its whole head: that
// of a body in chunks ends with its last chunk, and whatever follows and has the same end, with a
// blank line.
func (s *requestScanner) endsHere() bool {
	if s.hasLength {
		return s.headDone && s.bodyBytes == s.length
	}
	return s.headDone && (s.bodyBytes == 0 || string(s.tail) == lastChunk)
}
