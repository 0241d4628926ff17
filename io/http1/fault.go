package http1

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// faults keeps the first error that a call on a connection has returned, since the system reports a
// reset only once: to the call that comes first, be it a read, a write or a look. A read that comes
// later sees an ordinary end. The zero value holds none; it is safe for concurrent use.
type faults struct {
	mu    sync.Mutex
	first error
}

// record keeps the error of a call, with its name, if the error says that the connection failed.
func (f *faults) record(call string, err error) {
	if !isFault(err) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.first == nil {
		f.first = errors.Annotate(err, call)
	}
}

// get returns the first error; nil if there is none.
func (f *faults) get() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first
}

// isFault reports whether an error says that a connection failed. EPIPE alone doesn't: a reset that
// follows an orderly end of the other side, which wants no more of a request, is reported so.
func isFault(err error) bool {
	var errno syscall.Errno
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	case errors.As(err, &errno):
		return errno != syscall.EPIPE && !isTemporary(errno)
	default:
		return false
	}
}

// Read reads from the connection and keeps its error.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.vanished.Load() {
		err = errVanished
	}
	c.faults.record("read", err)
	return n, err
}

// Write writes to the connection and keeps its error.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.faults.record("write", err)
	return n, err
}

// writeBuffers writes several parts with one call and keeps its error.
func (c *conn) writeBuffers(parts net.Buffers) error {
	_, err := parts.WriteTo(c.Conn)
	c.faults.record("write", err)
	return err
}
