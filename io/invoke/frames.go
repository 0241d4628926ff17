package invoke

import "bytes"

// frameVerdict is the result of a frameChecker.
type frameVerdict uint8

const (
	// frameValid means that all complete frames belong to the request and are in order.
	frameValid frameVerdict = iota
	// frameOtherRequest means that a frame has the id of another request, or no id.
	frameOtherRequest
	// frameOutOfOrder means that the index of a frame is not the next one.
	frameOutOfOrder
)

// frameChecker validates an event stream such as
//
//	data: {"id":"r-17","index":0,"text":"Day"}
//
//	data: [DONE]
//
// without decoding JSON. An engine writes the id first and the index second, so that
// comparing the first bytes of a frame is enough.
type frameChecker struct {
	// prefix is the start of each frame of this request.
	prefix []byte
	// frames is the number of valid frames so far, which is also the next index.
	frames int
	// closed is true after the closing frame, which must be the last.
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

// check returns the length of the valid complete frames at the start of data. The
// verdict is frameValid if it stopped for lack of data or at the closing frame, and
// otherwise the fault of the next frame.
func (c *frameChecker) check(data []byte) (int, frameVerdict) {
	valid := 0
	for !c.closed {
		length := bytes.Index(data[valid:], frameEnd)
		if length < 0 {
			return valid, frameValid
		}
		if verdict := c.checkFrame(data[valid : valid+length]); verdict != frameValid {
			return valid, verdict
		}
		valid += length + len(frameEnd)
	}
	return valid, frameValid
}

func (c *frameChecker) checkFrame(frame []byte) frameVerdict {
	if bytes.Equal(frame, closingFrame) {
		c.closed = true
		return frameValid
	}
	if bytes.HasPrefix(frame, commentStart) {
		return frameValid
	}
	if !bytes.HasPrefix(frame, c.prefix) {
		return frameOtherRequest
	}
	if !startsWithNumber(frame[len(c.prefix):], c.frames) {
		return frameOutOfOrder
	}
	c.frames++
	return frameValid
}

// startsWithNumber reports whether text starts with the decimal number and a
// delimiter: "17," starts with 17, "170," does not.
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

// maxIndexDigits keeps the index of a frame within the range of an int.
const maxIndexDigits = 9
