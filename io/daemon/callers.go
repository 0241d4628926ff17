package daemon

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"arbutustrestle/io/ending"
	"arbutustrestle/io/intake"
	"arbutustrestle/io/strict"
)

const (
	// callerIdleTimeout is how long a caller's connection stays open between requests where the
	// operator sets no time.
	callerIdleTimeout = 2 * time.Minute
	// idleCheckInterval is the time between two checks of the idle connections.
	idleCheckInterval = time.Second
	// callerDescriptorShare is the share of the descriptors that connections of callers may take.
	// Connections to upstreams and instances, and files, have the rest.
	callerDescriptorShare = 0.75
	// socketDescriptorShare is the share that those and the connections on which requests are at upstreams may
	// take together. Idle connections to upstreams, those to instances and the store, files, and connections
	// that are being closed have the rest.
	socketDescriptorShare = 0.75
	// callerMemoryPart is the part of the memory that connections of callers may take by themselves.
	callerMemoryPart = 4
	// unreadMemoryPart is the part of the memory that the kernel may take for bytes of callers that weren't
	// read.
	unreadMemoryPart = 4
)

// callerConnContext is the ConnContext hook of the servers of callers.
func callerConnContext(ctx context.Context, c net.Conn) context.Context {
	return intake.ConnContext(strict.ConnContext(ending.ConnContext(ctx, c), c), c)
}

// callerConnState is the ConnState hook of the servers of callers.
func callerConnState(c net.Conn, state http.ConnState) {
	strict.ConnState(c, state)
	intake.ConnState(c, state, strict.AtHead(c))
}

// maxCallerConns returns the number of connections of callers that the descriptors and the memory of
// the process allow; zero for any.
func maxCallerConns(descriptors int, memoryBytes int64) int {
	byDescriptors := int(callerDescriptorShare * float64(descriptors))
	byMemory := int(memoryBytes / callerMemoryPart / intake.ConnBytes)
	switch {
	case byDescriptors == 0:
		return byMemory
	case byMemory == 0:
		return byDescriptors
	default:
		return min(byDescriptors, byMemory)
	}
}

// callerConns tracks the open connections of callers and closes those that are idle for too long. Its
// zero value is ready to use.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// idle holds the *callerConn of the connections between two requests, the longest idle one
	// first.
	idle list.List
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	// place is the place among the idle ones; nil while a request runs or the first one is due.
	place *list.Element
	// idleSince is set while place is.
	idleSince time.Time
	// ending is set once the connection was told to end.
	ending bool
}

// track is the ConnState hook of the server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[net.Conn]*callerConn{}
	}
	known := c.conns[conn]
	if known == nil {
		known = &callerConn{Conn: conn}
		c.conns[conn] = known
	}
	if known.place != nil {
		c.idle.Remove(known.place)
		known.place = nil
	}
	switch state {
	case http.StateActive:
		known.keep()
	case http.StateIdle:
		known.idleSince = time.Now()
		known.place = c.idle.PushBack(known)
	case http.StateClosed, http.StateHijacked:
		delete(c.conns, conn)
	}
}

// endIdle ends the connections that have been idle for longer than timeout.
func (c *callerConns) endIdle(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil; e = e.Next() {
		conn := e.Value.(*callerConn)
		if now.Sub(conn.idleSince) < timeout {
			return
		}
		conn.end()
	}
}

// end makes the server's wait for the next request fail, upon which it closes the connection.
func (c *callerConn) end() {
	c.ending = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// keep takes end back: a request has come before the server's wait failed.
func (c *callerConn) keep() {
	if c.ending {
		c.ending = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// unanswered returns the number of connections on which a request runs or the first one is due.
func (c *callerConns) unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) - c.idle.Len()
}

// runIdleChecks ends connections of callers that are idle for longer than the operator allows, until
// the context is done.
func (g *gateway) runIdleChecks(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			timeout := callerIdleTimeout
			if config := g.syncer.View().Config; config != nil && config.Limits.IdleTimeout > 0 {
				timeout = config.Limits.IdleTimeout
			}
			g.callerConns.endIdle(now, timeout)
		}
	}
}
