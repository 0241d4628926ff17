package link

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/juju/errors"
)

// maxUnansweredPings is the number of pings of the other end that may wait for an answer. yamux starts a
// goroutine for each, and a peer sends one each keepAliveInterval.
const maxUnansweredPings = 64

// The heads of yamux frames, as in its specification.
const (
	frameHeadBytes = 12
	frameTypeAt    = 1
	frameFlagsAt   = 2
	frameLengthAt  = 8

	frameData = 0
	framePing = 2

	flagSYN = 1
	flagACK = 2
)

var errPings = errors.New("too many pings wait for an answer")

// pingCounter counts the pings of a session that wait for an answer. At most one goroutine may call received,
// and one written.
type pingCounter struct {
	unanswered atomic.Int64
	// head is the head of the frame that arrives, of which size bytes have arrived; skip is the number of
	// bytes that follow the one before.
	head [frameHeadBytes]byte
	size int
	skip uint32
}

// received follows the frames that arrive. It returns an error if too many pings wait.
func (c *pingCounter) received(p []byte) error {
	for len(p) > 0 {
		if c.skip > 0 {
			n := min(uint64(len(p)), uint64(c.skip))
			p = p[n:]
			c.skip -= uint32(n)
			continue
		}
		n := copy(c.head[c.size:], p)
		p = p[n:]
		if c.size += n; c.size < frameHeadBytes {
			return nil
		}
		c.size = 0
		switch c.head[frameTypeAt] {
		case frameData:
			c.skip = binary.BigEndian.Uint32(c.head[frameLengthAt:])
		case framePing:
			if hasFlag(c.head[:], flagSYN) && c.unanswered.Add(1) > maxUnansweredPings {
				return errPings
			}
		}
	}
	return nil
}

// written follows the writes of a session, of which each head of a frame is one.
func (c *pingCounter) written(p []byte) {
	if len(p) == frameHeadBytes && p[frameTypeAt] == framePing && hasFlag(p, flagACK) {
		c.unanswered.Add(-1)
	}
}

func hasFlag(head []byte, flag uint16) bool {
	return binary.BigEndian.Uint16(head[frameFlagsAt:])&flag != 0
}
