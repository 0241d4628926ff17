package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// streamSet holds the open streams of a session. The methods add and remove do nothing
// on a nil set.
type streamSet struct {
	// reads counts the reads from the connection of the session that have brought something.
	reads atomic.Uint64

	mu     sync.Mutex
	open   map[*Stream]struct{}
	closed bool
}

func (s *streamSet) add(stream *Stream) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = stream.conn.SetReadDeadline(pastDeadline)
		return
	}
	if s.open == nil {
		s.open = map[*Stream]struct{}{}
	}
	s.open[stream] = struct{}{}
}

func (s *streamSet) remove(stream *Stream) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, stream)
}

// allowReads sets the read deadline of a stream, which may have been removed, unless interruptReads was
// called.
func (s *streamSet) allowReads(stream *Stream, until time.Time) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if s.open == nil {
		s.open = map[*Stream]struct{}{}
	}
	s.open[stream] = struct{}{}
	_ = stream.conn.SetReadDeadline(until)
}

func (s *streamSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// interruptReads makes the readers of all streams return, those of streams that are added
// later too.
func (s *streamSet) interruptReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for stream := range s.open {
		_ = stream.conn.SetReadDeadline(pastDeadline)
	}
	s.open = nil
}

// sessionConn is the connection of a session. When a session ends, yamux closes the
// connection before it closes the streams. In between, each reader of a stream spins
// without blocking, and dozens of them starve the goroutine that closes the streams.
// Close therefore makes the readers return first.
type sessionConn struct {
	net.Conn
	streams *streamSet
	hello   helloLimit
	pings   pingCounter
}

// Read counts what arrives. It returns an error if too much arrives before the hello, or if too many pings of
// the other end wait for an answer.
func (c *sessionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.hello.exceeded(n) {
		return 0, errHelloTooLarge
	}
	if n > 0 {
		c.streams.reads.Add(1)
	}
	if excess := c.pings.received(p[:n]); excess != nil {
		return 0, excess
	}
	return n, err
}

// Write counts the answers to pings.
func (c *sessionConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		c.pings.written(p)
	}
	return n, err
}

// endIfSilent ends a stream if nothing arrives on its connection for a time: the peer may be gone,
// and has not taken the stream up. One that is only busy sends something.
func (s *streamSet) endIfSilent(stream *Stream, wait time.Duration) {
	before := s.reads.Load()
	time.AfterFunc(wait, func() {
		if s.reads.Load() == before {
			stream.Abort()
		}
	})
}

// Close makes the readers of all streams return, then closes the connection.
func (c *sessionConn) Close() error {
	c.streams.interruptReads()
	return c.Conn.Close()
}
