// Package strict tells requests whose head says in two ways where the body ends, with a length and
// with chunks. net/http drops the length and reads on in the same connection; a sender that went by
// the length then has a part of the body run as a request of its own. RFC 9112, 6.1, asks a server to
// close the connection after such a request.
package strict

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// Listener returns connections whose heads are looked at.
type Listener struct{ net.Listener }

// Accept waits for a connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, atHead: true}, nil
}

// conn is a connection to a caller. The server may read more than one request at a time, so that a
// head is looked at only if nothing of it was read together with the request before it.
type conn struct {
	net.Conn

	mu sync.Mutex
	// atHead is set while the next byte that arrives is the first one of a head.
	atHead bool
	// scanned is set if the current request was looked at from its first byte.
	scanned bool
	request requestScanner
}

// Read looks at the bytes of the current request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.atHead {
		c.atHead = false
		c.scanned = true
		c.request.reset()
	}
	c.request.add(p[:n])
	return n, err
}

// CloseWrite closes the sending side, which net/http does before it closes a connection on which it
// hasn't read all.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection itself.
func (c *conn) NetConn() net.Conn { return c.Conn }

// setState follows the state of the connection in its server.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		// A head of which nothing was read meanwhile came with the request before.
		c.scanned = c.scanned && !c.atHead
		c.atHead = false
	case http.StateIdle:
		c.atHead = c.scanned && c.request.endsHere()
		c.scanned = c.atHead
	}
}

// ConnState is the hook of that name for servers with a Listener.
func ConnState(c net.Conn, state http.ConnState) {
	if known, ok := c.(*conn); ok {
		known.setState(state)
	}
}

// AtHead reports whether the next byte of an idle connection is known to be the first one of a head.
// It is valid after ConnState.
func AtHead(c net.Conn) bool {
	known, ok := c.(*conn)
	if !ok {
		return false
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	return known.atHead
}

type connKey struct{}

// ConnContext is the hook of that name for servers with a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Verdict is what is known of where the body of a request ends.
type Verdict uint8

const (
	// Clear means that the head says it in one way.
	Clear Verdict = iota
	// Unknown means that the body has chunks, and that the head wasn't looked at: the connection
	// must end with the answer.
	Unknown
	// Ambiguous means that the head has a length and chunks.
	Ambiguous
)

// Check returns the verdict on a request that has just been read, before its body.
func Check(r *http.Request) Verdict {
	if !slices.Contains(r.TransferEncoding, "chunked") {
		return Clear
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return Unknown
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.scanned:
		return Unknown
	case c.request.hasLength:
		return Ambiguous
	default:
		return Clear
	}
}
