package http1

import (
	"math"
	"net"

	"github.com/juju/errors"

	"arbutustrestle/io/syntax"
)

const (
	// maxHeadBytes bounds the heads of all answers that are read for one request, with the
	// late answers to other requests that come before its own.
	maxHeadBytes = 64 << 10
	// maxLateBytes bounds the body of a late answer to another request, with the framing of its chunks: chunks of
	// a byte are six times as long.
	maxLateBytes = 1 << 20
	// maxBodyBytes bounds the body of an answer.
	maxBodyBytes = 256 << 20
	// maxErrorBytes bounds the text of an error, which may quote what was read.
	maxErrorBytes = 256
)

// ErrTooLarge means that an answer has more bytes than any that is passed on.
var ErrTooLarge = syntax.ErrTooLarge

// ErrNoMemory means that there was no memory for more of an answer while others held it.
var ErrNoMemory = errors.New("no memory for the answer")

// boundedConn is a connection of which a bounded number of bytes is read.
type boundedConn struct {
	net.Conn
	// left is the number of bytes that may still be read.
	left int64
}

// unbounded removes the bound.
func (c *boundedConn) unbounded() {
	c.left = math.MaxInt64
}

// Read returns ErrTooLarge at the bound.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}

// shortError is an error with a text of at most maxErrorBytes.
type shortError struct{ error }

// Error returns the start of the text.
func (e shortError) Error() string {
	text := e.error.Error()
	return text[:min(len(text), maxErrorBytes)]
}

// Unwrap returns the whole error.
func (e shortError) Unwrap() error {
	return e.error
}
