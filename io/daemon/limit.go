package daemon

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections. At the limit, one more is accepted
// but not returned, and further ones wait in the accept queue of the system.
type limitListener struct {
	net.Listener
	// slots holds a token for each open connection.
	slots chan struct{}
}

func limitConns(l net.Listener, connections int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, connections)}
}

// Accept waits for a connection and for a free slot.
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

// NetConn returns the connection itself.
func (c *limitConn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection and frees its slot.
func (c *limitConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
