package http1

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
)

const (
	// readBufferBytes is large enough for the head of an answer.
	readBufferBytes = 4 << 10
	// defaultIdleTime is how long an idle connection is reused if the upstream doesn't
	// announce a keep-alive timeout.
	defaultIdleTime = 3 * time.Second
	// idleMargin is subtracted from the keep-alive timeout of an upstream: a request
	// that is sent while the upstream closes the connection may count as run.
	idleMargin = 700 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are those of TCP's probes on a
	// connection on which nothing arrives. The kernel of a process that is merely silent or
	// paused answers them.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 4
	// userTimeout is TCP_USER_TIMEOUT. It also decides when the probes give up, whatever
	// their count, and is therefore not less than keepAliveIdle and all probes take. It
	// outlasts a machine that stands still for a second or so. While a request is sent, ackWatch
	// takes its place.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 64
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// bounded is what reader reads from.
	bounded *boundedConn
	reader  *bufio.Reader
	key     connKey
	// reused is false for the first request on the connection.
	reused bool
	// idleUntil is the time after which the connection must not be reused.
	idleUntil time.Time
	// watched is closed once the watch of the idle connection has ended; nil if there is none.
	// closed is set before if the upstream has closed the connection.
	watched chan struct{}
	closed  bool
	// faults holds what the calls on the connection have reported.
	faults faults
	// requests holds those that were sent on the connection.
	requests carried
	// vanished is set before the connection is closed because its upstream has vanished.
	vanished atomic.Bool
}

// newConn returns an open connection on which nothing was sent.
func newConn(c net.Conn, k connKey) *conn {
	opened := &conn{Conn: c, key: k}
	opened.bounded = &boundedConn{Conn: opened}
	opened.reader = bufio.NewReaderSize(opened.bounded, readBufferBytes)
	return opened
}

// connKey identifies a run of an upstream by its id and address.
type connKey struct {
	upstream ident.Upstream
	address  netip.AddrPort
}

// connPool keeps idle connections. It is safe for concurrent use.
type connPool struct {
	clock clock.Clock
	// ended is called when the last idle connection to an upstream was closed by the upstream
	// without notice; nil if nobody asks.
	ended func(connKey)

	mu   sync.Mutex
	idle map[connKey][]*conn
}

// take returns the most recently used idle connection on which a request hasn't been refused
// before, or nil: an upstream may write the refusal once more, which can't be told from one of
// the new attempt. It closes connections on which data has arrived: data between two requests
// belongs to neither.
func (p *connPool) take(k connKey, requestID string) *conn {
	for {
		c := p.pop(k, requestID)
		if c == nil {
			return nil
		}
		c.stopWatch()
		if p.clock.Now().Before(c.idleUntil) && c.reader.Buffered() == 0 && c.isIdle() {
			return c
		}
		_ = c.Close()
		if c.closed {
			go p.ended(k)
		}
	}
}

func (p *connPool) pop(k connKey, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[k]
	for i, c := range slices.Backward(list) {
		if !c.requests.hasRefused(requestID) {
			p.idle[k] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *connPool) put(c *conn, idleTime time.Duration) {
	c.reused = true
	c.idleUntil = p.clock.Now().Add(idleTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[connKey][]*conn{}
	}
	list := p.idle[c.key]
	if len(list) >= maxIdleConns {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.key] = append(list, c)
	if p.ended != nil {
		c.watched = make(chan struct{})
		go p.watch(c, c.watched)
	}
}

// watch waits until something arrives on an idle connection, the upstream closes it, or stopWatch
// is called. What arrives belongs to no request: the connection is closed at once, or the upstream
// might fill its buffers.
func (p *connPool) watch(c *conn, done chan struct{}) {
	end := c.waitForEnd()
	c.closed = end == closedByUpstream
	close(done)
	switch end {
	case closedByUpstream:
		if p.removeClosed(c) {
			p.ended(c.key)
		}
	case dataArrived:
		p.remove(c)
	}
}

// remove closes an idle connection.
func (p *connPool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.key]
	if i := slices.Index(list, c); i >= 0 {
		_ = c.Close()
		p.idle[c.key] = slices.Delete(list, i, i+1)
	}
}

// removeClosed removes an idle connection that the upstream has closed. It reports whether that
// came without notice and no other idle connection to the upstream is left.
func (p *connPool) removeClosed(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.key]
	i := slices.Index(list, c)
	if i < 0 {
		return false
	}
	_ = c.Close()
	p.idle[c.key] = slices.Delete(list, i, i+1)
	return p.clock.Now().Before(c.idleUntil) && !slices.ContainsFunc(p.idle[c.key], (*conn).seemsOpen)
}

// seemsOpen reports whether the watch of an idle connection still waits. It must not look at the
// connection itself, which the watch has locked.
func (c *conn) seemsOpen() bool {
	select {
	case <-c.watched:
		return false
	default:
		return true
	}
}

// stopWatch ends the watch of a connection that was idle.
func (c *conn) stopWatch() {
	if c.watched == nil {
		return
	}
	_ = c.SetReadDeadline(pastDeadline)
	<-c.watched
	c.watched = nil
	_ = c.SetReadDeadline(time.Time{})
}

// closeExpired closes connections that have been idle for too long.
func (p *connPool) closeExpired() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = kept
	}
}

// isIdle reports whether the connection is open and no data has arrived on it.
func (c *conn) isIdle() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		c.faults.record("look", err)
		open = isTemporary(err)
		return true
	})
	return err == nil && open
}

// idleEnd is how an idle connection stops being one.
type idleEnd uint8

const (
	// watchStopped means that the read deadline has passed, or that nothing can be seen.
	watchStopped idleEnd = iota
	closedByUpstream
	dataArrived
)

// waitForEnd blocks until the other end closes the connection, data arrives, which it doesn't read, or
// the read deadline passes.
func (c *conn) waitForEnd() idleEnd {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return watchStopped
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return watchStopped
	}
	end := watchStopped
	err = control.Read(func(fd uintptr) bool {
		n, err := peek(fd)
		c.faults.record("look", err)
		switch {
		case n == 0 || err != nil && !isTemporary(err):
			end = closedByUpstream
		case err == nil:
			end = dataArrived
		}
		return end != watchStopped
	})
	if err != nil {
		return watchStopped
	}
	return end
}

// peek looks at the next byte of a socket without reading it or waiting for it. It returns 0 at the
// end. Like a read, it takes the error that the socket holds.
func peek(fd uintptr) (int, error) {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

func isTemporary(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// setUserTimeout bounds the time for which sent data may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return errors.Annotate(err, "set the user timeout")
}

func dial(ctx context.Context, k connKey, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp", k.address.String())
	if err != nil {
		return nil, errors.Annotatef(err, "dial %s", k.upstream)
	}
	return newConn(c, k), nil
}
