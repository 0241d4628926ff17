package bench

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"
)

// dialFunc makes a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// counted is a connection that knows how much was written to it.
type counted struct {
	net.Conn
	written atomic.Int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// counting returns a dial function whose connections count.
func counting(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return &counted{Conn: c}, nil
	}
}

// sending follows how much of one call went out. A kept connection that an entry
// closes while a call begins on it fails before the whole call is written. An entry
// runs nothing before it has read the whole body, so that such a call was not run,
// which the transport's error alone doesn't say.
type sending struct {
	conn *counted
	// before is the connection's count when it was handed to the call, or once the
	// transport begins to read the body, when the head was out.
	before int64
	// body is the least number of bytes after before without which the call can't
	// run: those of the body at an entry, and any byte at all elsewhere.
	body int64
	// reading is true once the transport began to read the body.
	reading bool
}

// trace returns the context under which the transport tells which connection it
// uses.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.conn, _ = info.Conn.(*counted)
			s.mark()
		},
	})
}

func (s *sending) mark() {
	if s.conn != nil {
		s.before = s.conn.written.Load()
	}
}

// read is called with each read of a body that an entry gets.
func (s *sending) read() {
	if !s.reading {
		s.reading = true
		s.mark()
	}
}

// incomplete is true when the entry can't have got the whole call: the head or a
// part of the body never went out. It holds only once the transport has given the
// call up by itself: a call that was cancelled may still be writing.
func (s *sending) incomplete() bool {
	if s.conn == nil {
		return false
	}
	if s.body > 0 && !s.reading {
		return true
	}
	return s.conn.written.Load()-s.before < max(s.body, 1)
}

// trackedBody tells when the transport begins to read the body.
type trackedBody struct {
	io.ReadCloser
	out *sending
}

func (b trackedBody) Read(p []byte) (int, error) {
	b.out.read()
	return b.ReadCloser.Read(p)
}
