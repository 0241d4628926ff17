// Package intake bounds what callers make this process hold before their requests are passed on: heads,
// bodies that are being read, and connections. It wraps the connections of all listeners that callers
// reach. A caller who goes beyond a bound is answered that the request has not run, and its
// connection is closed; package core/yield decides who that is.
package intake

import (
	"context"
	"iter"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/yield"
)

const (
	// defaultHeadBytes and defaultHeadTimeout bound heads if operators set no limit.
	defaultHeadBytes   = 256 << 10
	defaultHeadTimeout = 10 * time.Second
	// ServerHeadBytes is the MaxHeaderBytes value of servers with a Gate, which has its own limit:
	// that of the server can't change while it runs.
	ServerHeadBytes = 64 << 20
	// endAttempts is how often others are chosen in place of connections that turn out not to have
	// stopped.
	endAttempts = 8
	// ConnBytes is the memory that a connection takes by itself: its goroutines' stacks, the buffers
	// of its server and its timers.
	ConnBytes = 24 << 10
	// endedPart is the part of MaxConns that connections may take beyond it while they are ended.
	endedPart = 8
	// logInterval is the time between two log lines about refusals.
	logInterval = time.Second
	// maxLingering is the number of refused connections that are kept until the caller has read
	// the refusal. Others are closed at once.
	maxLingering = 64
)

// Limits bounds a head. Zero fields mean the defaults.
type Limits struct {
	HeadBytes   int
	HeadTimeout time.Duration
}

// Counter counts events by name.
type Counter interface {
	Add(name string, delta int64)
}

// Gate bounds the connections of the listeners of a process, all together. Its exported fields are
// set before the first use; the zero values of Memory, MaxConns and MaxSockets bound nothing.
type Gate struct {
	Clock  clock.Clock
	Memory *memory.Budget
	// MaxConns is the number of connections above which one gives way.
	MaxConns int
	// MaxSockets is that of connections of callers and to upstreams together; zero for any.
	MaxSockets int
	// UnreadBytes is what the kernel may hold of bytes that have come and weren't read; zero for any. It
	// needs MaxConns.
	UnreadBytes int64
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	Log    zerolog.Logger
	// Events counts the refusals; nil counts nothing.
	Events Counter

	mu    sync.Mutex
	conns map[*conn]struct{}
	// upstreamConns is the number of requests that may have a connection to an upstream.
	upstreamConns int
	// smallBuffers is set while the connections have small receive buffers.
	smallBuffers bool

	// lingering holds a token for each refused connection that isn't closed yet.
	lingering chan struct{}
	refusals  refusalLog
}

// Start must be called once, before Listen.
func (g *Gate) Start() {
	g.conns = map[*conn]struct{}{}
	g.lingering = make(chan struct{}, maxLingering)
	if g.Memory != nil {
		g.Memory.MakeRoom = g.makeRoom
	}
}

// Listen returns a listener with the connections of l. Servers on it must have the hooks ConnState and
// ConnContext.
func (g *Gate) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept waits for a connection for which there is room. Others are refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw); c != nil {
			return c, nil
		}
	}
}

// admit returns nil if the connection was refused.
func (g *Gate) admit(raw net.Conn) *conn {
	now := g.Clock.Now()
	c := &conn{Conn: raw, gate: g, phase: yield.Silent, lastByte: now, progress: now, head: g.Memory.NewShare()}
	if !g.makeConnRoom(now) {
		c.refuse(refusedFull)
		_ = c.Close()
		return nil
	}
	c.startWait(now.Add(g.limits().HeadTimeout))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	g.sizeBuffers(c)
	return c
}

// limits returns the limits in force, with no zero fields.
func (g *Gate) limits() Limits {
	var l Limits
	if g.Limits != nil {
		l = g.Limits()
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	return l
}

// makeConnRoom closes a connection if there are as many as there may be. It reports false if none may be
// closed.
func (g *Gate) makeConnRoom(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := g.mostConns()
	if most == 0 || len(g.conns) < most {
		return true
	}
	// Connections that were ended still have a descriptor until their servers notice.
	if len(g.conns) >= most+most/endedPart+1 {
		return false
	}
	return g.endOne(now)
}

// mostConns returns the number of callers' connections above which one gives way; zero for any. The caller
// holds mu.
func (g *Gate) mostConns() int {
	if g.MaxSockets == 0 {
		return g.MaxConns
	}
	bySockets := max(1, g.MaxSockets-g.upstreamConns)
	if g.MaxConns == 0 {
		return bySockets
	}
	return min(g.MaxConns, bySockets)
}

// endOne makes one connection give way. It reports false if none does. The caller holds mu.
func (g *Gate) endOne(now time.Time) bool {
	for range endAttempts {
		c, found := yield.ForConn(now, g.claims())
		if !found {
			return false
		}
		if c.end(now) {
			return true
		}
	}
	return false
}

// StartUpstream is called before a request is sent to an upstream, which may take a connection. A
// connection of a caller gives way to it if there are too many. It reports false if none does: the request must
// not be sent.
func (g *Gate) StartUpstream() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sockets := len(g.conns) + g.upstreamConns
	if g.MaxSockets > 0 && sockets >= g.MaxSockets {
		// Connections that were ended still have a descriptor until their servers notice.
		if sockets >= g.MaxSockets+g.MaxSockets/endedPart+1 || !g.endOne(g.Clock.Now()) {
			return false
		}
	}
	g.upstreamConns++
	return true
}

// EndUpstream is called when the connection to the upstream is no longer used, after StartUpstream has
// returned true.
func (g *Gate) EndUpstream() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.upstreamConns--
}

// makeRoom is the MakeRoom hook of the budget.
func (g *Gate) makeRoom(needed, held int64) bool {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limitBuffers()
	for range endAttempts {
		chosen := yield.ForMemory(now, needed, held, g.claims())
		if len(chosen) == 0 {
			return false
		}
		for _, c := range chosen {
			claim, _ := c.claim()
			if c.end(now) {
				needed -= claim.Held
			}
		}
		if needed <= 0 {
			return true
		}
	}
	return false
}

// claims returns the connections that haven't been ended. The caller holds mu.
func (g *Gate) claims() iter.Seq2[*conn, yield.Claim] {
	return func(yield func(*conn, yield.Claim) bool) {
		for c := range g.conns {
			claim, open := c.claim()
			if open && !yield(c, claim) {
				return
			}
		}
	}
}

func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	g.growBuffers()
}

// Conns returns the number of open connections.
func (g *Gate) Conns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// count counts a refusal, and logs the number of refusals now and then.
func (g *Gate) count(r refusal) {
	if g.Events != nil {
		g.Events.Add("callers-refused-"+r.String(), 1)
	}
	g.refusals.add(g, r)
}

// refusalLog bounds the log lines about refusals.
type refusalLog struct {
	mu       sync.Mutex
	counts   [refusalCount]int
	loggedAt time.Time
}

func (l *refusalLog) add(g *Gate, r refusal) {
	now := g.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[r]++
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	line := g.Log.Warn()
	for reason, count := range l.counts {
		if count > 0 {
			line = line.Int(refusal(reason).String(), count)
		}
	}
	l.counts = [refusalCount]int{}
	l.loggedAt = now
	line.Int64("memory-bytes", g.Memory.Used()).Msg("callers refused before their requests were read")
}

// find returns the connection of a Gate that a connection wraps; nil if there is none.
func find(c net.Conn) *conn {
	for {
		switch known := c.(type) {
		case *conn:
			return known
		case interface{ NetConn() net.Conn }:
			c = known.NetConn()
		default:
			return nil
		}
	}
}

// ConnState is the hook of that name. atHead is set if the next byte of an idle connection is known to
// be the first one of a head.
func ConnState(c net.Conn, state http.ConnState, atHead bool) {
	known := find(c)
	if known == nil {
		return
	}
	switch state {
	case http.StateActive:
		known.headRead()
	case http.StateIdle:
		known.requestEnded(atHead)
	}
}

type connKey struct{}

// ConnContext is the hook of that name.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, find(c))
}

// Body is the body of a request that is being read. A nil one is that of a connection without a Gate.
type Body struct{ conn *conn }

// StartBody marks the begin of the reading of a body, during which the connection may give way, with
// the share of memory that the body takes.
func StartBody(r *http.Request, share *memory.Share) *Body {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		return nil
	}
	c.startBody(share)
	return &Body{c}
}

// GaveWay reports whether the connection has given way.
func (b *Body) GaveWay() bool {
	return b != nil && b.conn.hasEnded()
}

// End marks the end of the reading. It reports false if the connection has given way: the request must
// not be passed on.
func (b *Body) End() bool {
	return b == nil || b.conn.endBody()
}
