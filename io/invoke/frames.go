package invoke

import "bytes"

// frameVerdict is what a frameChecker found.
type frameVerdict uint8

const (
	// frameGood means that all complete frames belong to the request, in order.
	frameGood frameVerdict = iota
	// frameForeign means that a frame names another request, or none.
	frameForeign
	// frameRepeated means that a frame's index is not the next one.
	frameRepeated
)

// frameChecker checks an event stream such as
//
//	data: {"id":"r-17","index":0,"text":"Day"}
//
//	data: [DONE]
//
// without decoding it. An engine writes the id first and the index second, so a
// comparison of the frame's first bytes is enough.
type frameChecker struct {
	// prefix is how each frame of this request starts.
	prefix []byte
	// frames is the number of good frames so far, and so the next index.
	frames int
	// closed is true once the closing frame was seen; nothing may follow it.
	closed bool
}

var (
	frameEnd     = []byte("\n\n")
	closingFrame = []byte("data: [DONE]")
	commentStart = []byte(":")
)

func newFrameChecker(requestID string) frameChecker {
	return frameChecker{prefix: []byte(`data: {"id":"` + requestID + `","index":`)}
}

// check returns the length of the good complete frames at the start of data, and
// why it stopped there when that was not for want of data.
func (c *frameChecker) check(data []byte) (int, frameVerdict) {
	whole := 0
	for !c.closed {
		length := bytes.Index(data[whole:], frameEnd)
		if length < 0 {
			return whole, frameGood
		}
		if verdict := c.checkFrame(data[whole : whole+length]); verdict != frameGood {
			return whole, verdict
		}
		whole += length + len(frameEnd)
	}
	return whole, frameGood
}

func (c *frameChecker) checkFrame(frame []byte) frameVerdict {
	if bytes.Equal(frame, closingFrame) {
		c.closed = true
		return frameGood
	}
	if bytes.HasPrefix(frame, commentStart) {
		return frameGood
	}
	if !bytes.HasPrefix(frame, c.prefix) {
		return frameForeign
	}
	if !startsWithNumber(frame[len(c.prefix):], c.frames) {
		return frameRepeated
	}
	c.frames++
	return frameGood
}

// startsWithNumber reports whether text starts with the decimal number and
// something that ends it: "17," starts with 17, "170," does not.
func startsWithNumber(text []byte, number int) bool {
	value := 0
	digits := 0
	for digits < len(text) && text[digits] >= '0' && text[digits] <= '9' && digits < maxIndexDigits {
		value = value*10 + int(text[digits]-'0')
		digits++
	}
	ended := digits < len(text) && (text[digits] == ',' || text[digits] == '}')
	return digits > 0 && ended && value == number
}

// maxIndexDigits keeps a frame's index inside an int.
const maxIndexDigits = 9
