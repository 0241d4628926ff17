package daemon

import (
	"net"
	"sync"
)

// limitListener accepts no more than a number of connections at a time; further
// ones wait in the system's queue.
type limitListener struct {
	net.Listener
	// slots holds a token for each open connection.
	slots chan struct{}
}

func limit(l net.Listener, connections int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, connections)}
}

// Accept waits for a connection and for room for it.
func (l *limitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.slots <- struct{}{}
	return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

type limitConn struct {
	net.Conn
	release func()
}

// Close frees the connection's place.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
