package bench

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"
)

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// countWrites returns a dial function whose connections count the bytes written.
func countWrites(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return &countingConn{Conn: c}, nil
	}
}

// sendTracker tracks how much of one call was written. If an instance closes an idle
// connection while a call begins on it, the call fails before it is written completely.
// An instance runs nothing before it has read the whole body, so such a call was not run.
// The transport's error alone does not show this.
type sendTracker struct {
	conn *countingConn
	// startCount is the connection's byte count when the call got the connection. It is
	// updated when the transport begins to read the body, after the header was written.
	startCount int64
	// minBytes is the number of bytes after startCount without which the call cannot run:
	// the length of the body for an instance, and 1 for an engine or service (stored as
	// 0).
	minBytes int64
	// bodyStarted is set when the transport begins to read the body.
	bodyStarted bool
}

// trace returns a context under which the transport reports the connection that it uses.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.conn, _ = info.Conn.(*countingConn)
			s.markStart()
		},
	})
}

func (s *sendTracker) markStart() {
	if s.conn != nil {
		s.startCount = s.conn.written.Load()
	}
}

// onBodyRead is called for each read of the body of a call to an instance.
func (s *sendTracker) onBodyRead() {
	if !s.bodyStarted {
		s.bodyStarted = true
		s.markStart()
	}
}

// incomplete reports whether the receiver cannot have received the whole call, because
// the header or a part of the body was never written. The result is valid only if the
// transport itself abandoned the call: a cancelled call may still be writing.
func (s *sendTracker) incomplete() bool {
	if s.conn == nil {
		return false
	}
	if s.minBytes > 0 && !s.bodyStarted {
		return true
	}
	return s.conn.written.Load()-s.startCount < max(s.minBytes, 1)
}

// trackedBody reports to the tracker when the transport begins to read the body.
type trackedBody struct {
	io.ReadCloser
	tracker *sendTracker
}

func (b trackedBody) Read(p []byte) (int, error) {
	b.tracker.onBodyRead()
	return b.ReadCloser.Read(p)
}
