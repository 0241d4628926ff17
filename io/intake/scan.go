package intake

import "bytes"

// Cost of a head in memory. A parsed line is a key and a list of one value in a map, which is cloned for
// the request that is passed on and once more for each attempt; the bytes are held by the parser, by
// the buffer of the sender and by the values. A line that is a list may be parsed into its elements: the
// names of trailers into a map, the parts of a prompt into a list, which relayed requests hold once more.
const (
	lineCost    = 512
	elementCost = 128
	byteCost    = 3
)

// serverBufferBytes is the size of the buffer through which net/http reads.
const serverBufferBytes = 4 << 10

var (
	comma   = []byte(",")
	newline = []byte("\n")
)

// headScan follows a head that arrives in any number of parts. Its zero value is ready to use.
type headScan struct {
	bytes int
	lines int
	// elements is the number of commas, which separate the elements of lists.
	elements int
	// startBytes is the length of the request line with what comes before it; zero before its end.
	startBytes int
	// lineBytes is the length of the line so far, and blank is set while it has at most a carriage
	// return.
	lineBytes int
	blankLine bool
	// begun is set after the first line that isn't blank, done after the blank line that ends the head.
	begun, done bool
}

// add counts the bytes up to the end of the head and returns the rest.
func (s *headScan) add(p []byte) []byte {
	for len(p) > 0 && !s.done {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.addLinePart(p)
			s.bytes += len(p)
			return nil
		}
		s.addLinePart(p[:end])
		s.endLine()
		s.bytes += end + 1
		if s.begun && s.startBytes == 0 {
			s.startBytes = s.bytes
		}
		p = p[end+1:]
	}
	return p
}

// exceeds reports whether the fields of the head, or what comes before them, have more bytes than a
// limit. The line that ends the head doesn't count.
func (s *headScan) exceeds(limit int) bool {
	const end = len("\r\n")
	return s.bytes-s.startBytes > limit+end || s.startBytes > limit+end
}

// atStart reports whether no byte of the head has come, but for empty lines.
func (s *headScan) atStart() bool {
	return !s.begun && (s.lineBytes == 0 || s.blankLine)
}

func (s *headScan) addLinePart(p []byte) {
	if len(p) == 0 {
		return
	}
	s.blankLine = s.lineBytes == 0 && len(p) == 1 && p[0] == '\r'
	s.lineBytes += len(p)
	s.elements += bytes.Count(p, comma)
}

func (s *headScan) endLine() {
	s.lines++
	blank := s.lineBytes == 0 || s.blankLine
	s.lineBytes, s.blankLine = 0, false
	if blank {
		s.done = s.begun
		return
	}
	s.begun = true
}

// cost estimates the memory of the head once it is parsed.
func (s *headScan) cost() int64 {
	return int64(s.bytes)*byteCost + int64(s.lines)*lineCost + int64(s.elements)*elementCost
}

// tailScan bounds the lines and elements among the bytes that the server has read but not used yet: a pipelined
// head. Those are at most the last serverBufferBytes.
type tailScan struct {
	// last and before are the counts of two consecutive stretches of at least that many bytes each,
	// but for last, which is under way.
	last, before tailCounts
}

// tailCounts are the counts of one stretch.
type tailCounts struct{ bytes, lines, elements int }

// add counts bytes that were read into a buffer of the given size. What is read into a larger one
// than the server's isn't kept by the server.
func (t *tailScan) add(p []byte, buffer int) {
	if len(p) == 0 || buffer > serverBufferBytes {
		return
	}
	t.last.bytes += len(p)
	t.last.lines += bytes.Count(p, newline)
	t.last.elements += bytes.Count(p, comma)
	if t.last.bytes >= serverBufferBytes {
		t.before, t.last = t.last, tailCounts{}
	}
}

// cost estimates the memory of a head of which the counted bytes are the beginning.
func (t *tailScan) cost() int64 {
	held := min(t.last.bytes+t.before.bytes, serverBufferBytes)
	lines := min(t.last.lines+t.before.lines, held)
	elements := min(t.last.elements+t.before.elements, held-lines)
	return int64(held)*byteCost + int64(lines)*lineCost + int64(elements)*elementCost
}
