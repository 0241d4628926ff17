// Package event finds the ends of the events in a stream of server-sent events
// (text/event-stream): where the stream may be cut without cutting an event, and whether
// it ended inside one. It doesn't decode the events.
package event

// Scanner follows a stream byte by byte. An event is one line or more and ends with a
// blank line; lines end with CR, LF or both. A line that starts with a colon is a comment
// and belongs to no event. The zero value is at the start of a stream.
type Scanner struct {
	// inLine is set after a byte of a line that hasn't ended.
	inLine bool
	// inEvent is set after the first byte of an event, until its blank line.
	inEvent bool
	// afterCR is set after a CR, whose line end may go on with an LF.
	afterCR bool
	count   int
}

// Add scans the next part of the stream. It returns the length of the part up to and with
// the last line end that leaves no event open; zero if there is none.
func (s *Scanner) Add(part []byte) int {
	end := 0
	for i, b := range part {
		s.add(b)
		if !s.inLine && !s.inEvent {
			end = i + 1
		}
	}
	return end
}

func (s *Scanner) add(b byte) {
	continuesCRLF := s.afterCR && b == '\n'
	s.afterCR = b == '\r'
	switch {
	case continuesCRLF:
	case b == '\r' || b == '\n':
		s.endLine()
	case !s.inLine:
		s.inLine = true
		s.inEvent = s.inEvent || b != ':'
	}
}

func (s *Scanner) endLine() {
	if !s.inLine && s.inEvent {
		s.inEvent = false
		s.count++
	}
	s.inLine = false
}

// Inside reports whether the stream, if it ended here, would have ended inside an event.
func (s *Scanner) Inside() bool {
	return s.inEvent
}

// Count returns the number of whole events.
func (s *Scanner) Count() int {
	return s.count
}
