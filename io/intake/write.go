package intake

import (
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeCheckTime is the time after which a write that hasn't ended is looked at, and
	// maxStalledChecks the number of looks in a row without progress at which it fails. A reader's
	// kernel tells of free space only once a sixteenth of its buffer is free.
	writeCheckTime   = 15 * time.Second
	maxStalledChecks = 4
	// writeDeadlineStep is the least time between two extensions of the deadline, far below
	// writeCheckTime.
	writeDeadlineStep = time.Second
)

// writeState follows the writes of an answer, which come from one goroutine at a time.
type writeState struct {
	// checkTime is writeCheckTime if it is zero.
	checkTime time.Duration

	// mu guards the deadlines: that of the server may be set during a write, to end it.
	mu sync.Mutex
	// serverDeadline is set if the server bounds writes itself.
	serverDeadline bool
	extendedAt     time.Time
	// writing is set during a write.
	writing bool
	// lookedAt is when the kernel was seen to hold lookedUnsent bytes for the first time in this write;
	// zero if nobody has looked.
	lookedAt     time.Time
	lookedUnsent int

	// checks counts the looks without progress, and unsent is what the kernel held at the last one.
	checks int
	unsent int
}

// SetWriteDeadline sets the deadline of the server. Without one, a write fails if the caller reads nothing
// for a time.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	if t.IsZero() && !c.writes.serverDeadline {
		return nil
	}
	c.writes.serverDeadline = !t.IsZero()
	c.writes.extendedAt = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// Write writes a part of an answer. A caller who reads slowly gets all of it.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.checks, c.writes.unsent = 0, math.MaxInt
	c.writes.setWriting(true)
	defer c.writes.setWriting(false)
	written := 0
	for {
		c.extendWriteDeadline(writeDeadlineStep)
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.readerProgresses(n) || !c.extendWriteDeadline(0) {
			return written, err
		}
	}
}

// extendWriteDeadline sets the deadline anew if it was set longer ago than a time. It reports false if
// the server bounds writes itself.
func (c *conn) extendWriteDeadline(after time.Duration) bool {
	now := c.gate.Clock.Now()
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	if c.writes.serverDeadline {
		return false
	}
	if now.Sub(c.writes.extendedAt) < after {
		return true
	}
	c.writes.extendedAt = now
	checkTime := c.writes.checkTime
	if checkTime == 0 {
		checkTime = writeCheckTime
	}
	_ = c.Conn.SetWriteDeadline(now.Add(checkTime))
	return true
}

func (w *writeState) setWriting(writing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = writing
	w.lookedAt = time.Time{}
}

// unreadSince returns since when the kernel holds the same bytes of an answer that is being written. It
// reports false if no write is under way, or if that can't be known.
func (c *conn) unreadSince(now time.Time) (time.Time, bool) {
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	if !c.writes.writing {
		return time.Time{}, false
	}
	unsent, ok := queuedBytes(c.Conn, unix.SIOCOUTQ)
	if !ok {
		return time.Time{}, false
	}
	if c.writes.lookedAt.IsZero() || unsent != c.writes.lookedUnsent {
		c.writes.lookedAt, c.writes.lookedUnsent = now, unsent
	}
	return c.writes.lookedAt, true
}

// readerProgresses reports whether the caller has read something lately. A write proceeds only once a
// good part of the kernel's buffer is free, which takes a slow reader longer than any deadline, so that
// what the buffer holds is looked at.
func (c *conn) readerProgresses(written int) bool {
	unsent := unsentBytes(c.Conn)
	if written > 0 || unsent < c.writes.unsent {
		c.writes.checks = 0
	} else {
		c.writes.checks++
	}
	c.writes.unsent = unsent
	return c.writes.checks < maxStalledChecks
}

// unsentBytes returns the bytes in the kernel's buffer that the caller hasn't acknowledged; the largest
// number if that can't be known.
func unsentBytes(c net.Conn) int {
	if unsent, ok := queuedBytes(c, unix.SIOCOUTQ); ok {
		return unsent
	}
	return math.MaxInt
}
