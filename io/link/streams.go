package link

import (
	"net"
	"sync"
)

// streams is the open streams of a session. A nil one keeps nothing.
type streams struct {
	mu    sync.Mutex
	open  map[*Stream]struct{}
	ended bool
}

func (s *streams) note(stream *Stream) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = stream.conn.SetReadDeadline(ended)
		return
	}
	if s.open == nil {
		s.open = map[*Stream]struct{}{}
	}
	s.open[stream] = struct{}{}
}

func (s *streams) forget(stream *Stream) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, stream)
}

// end makes all readers return.
func (s *streams) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for stream := range s.open {
		_ = stream.conn.SetReadDeadline(ended)
	}
	s.open = nil
}

// endingConn is the connection of a session. yamux closes it when the session ends,
// before it ends the streams; until it has, a reader of a stream goes round without
// blocking, and dozens of them keep the goroutine that ends the streams from its turn.
// So their readers are made to return first.
type endingConn struct {
	net.Conn
	streams *streams
}

// Close ends the readers, then the connection.
func (c *endingConn) Close() error {
	c.streams.end()
	return c.Conn.Close()
}
