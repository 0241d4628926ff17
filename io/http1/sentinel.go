package http1

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
)

const (
	// processEndTime is longer than a kernel takes to close all sockets of a process, on a
	// machine with several times as much work as processors.
	processEndTime = 100 * time.Millisecond
	// sentinelAge is how long a sentinel is kept before a new one replaces it: upstreams close
	// connections that have been idle for a few seconds.
	sentinelAge = 2 * time.Second
	// sentinelRetry is the time until the next sentinel is opened after one was lost.
	sentinelRetry = 200 * time.Millisecond
)

// An answer with neither a length nor chunks ends with its connection. That is also how the kernel
// ends the connections of a process that is killed, and nothing in the answer tells the two apart.
// But a process that is killed loses all its connections together. So while such answers are
// under way at an upstream, the client holds one more connection to it, on which nothing is sent:
// the sentinel. If it outlasts the end of the answer, so has the process.

// sentinels holds a sentinel for each upstream at which such an answer is under way. It is safe for
// concurrent use.
type sentinels struct {
	clock clock.Clock
	open  func(ctx context.Context, k connKey) (net.Conn, error)

	mu         sync.Mutex
	byUpstream map[connKey]*sentinel
}

// sentinel is what is known of one run of an upstream.
type sentinel struct {
	sentinels *sentinels
	key       connKey

	mu sync.Mutex
	// users counts the answers under way.
	users int
	// conn is the newest open connection; nil if there is none.
	conn *sentinelConn
	// endedAt is when the upstream last ended a sentinel in order; heardAt is a time after which
	// it sent a part of an answer.
	endedAt, heardAt time.Time
}

// sentinelConn is a connection on which nothing is sent.
type sentinelConn struct {
	net.Conn
	// done is closed when the connection has ended.
	done chan struct{}
}

// use returns the sentinel of an upstream for an answer whose head has arrived. It must be
// released.
func (s *sentinels) use(k connKey) *sentinel {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.byUpstream[k]
	if held == nil {
		if s.byUpstream == nil {
			s.byUpstream = map[connKey]*sentinel{}
		}
		held = &sentinel{sentinels: s, key: k}
		s.byUpstream[k] = held
		go held.run()
	}
	held.mu.Lock()
	held.users++
	held.mu.Unlock()
	return held
}

// release ends the use by one answer.
func (s *sentinel) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users--
}

// removeUnused removes the sentinel of an upstream if no answer uses it.
func (s *sentinels) removeUnused(held *sentinel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held.mu.Lock()
	defer held.mu.Unlock()
	if held.users > 0 {
		return false
	}
	delete(s.byUpstream, held.key)
	return true
}

// run keeps a connection open for as long as answers use the sentinel. One that is old stays until
// the next one is open: to an instance that is cut off none opens, while those it has live on.
func (s *sentinel) run() {
	var held *sentinelConn
	for {
		next := s.connect()
		if next != nil {
			held.closeSoon()
			held = next
		}
		if next == nil || s.lost(next) {
			time.Sleep(sentinelRetry)
		}
		if s.sentinels.removeUnused(s) {
			held.closeSoon()
			return
		}
	}
}

// closeSoon closes a connection, if there is one, once no answer that has just ended depends on it.
func (c *sentinelConn) closeSoon() {
	if c != nil {
		time.AfterFunc(2*processEndTime, func() { _ = c.Close() })
	}
}

// connect opens a connection, which replaces the one before. It returns nil if that fails.
func (s *sentinel) connect() *sentinelConn {
	opened, err := s.sentinels.open(context.Background(), s.key)
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = &sentinelConn{Conn: opened, done: make(chan struct{})}
	go s.watch(s.conn)
	return s.conn
}

// lost waits until a connection has ended or is old, and reports whether it has ended.
func (s *sentinel) lost(c *sentinelConn) bool {
	timer := time.NewTimer(sentinelAge)
	defer timer.Stop()
	select {
	case <-c.done:
		return true
	case <-timer.C:
		return false
	}
}

// watch waits for the end of a connection. A reset isn't how a killed process ends a connection
// on which nothing was sent, and one that sends data lives.
func (s *sentinel) watch(c *sentinelConn) {
	n, err := c.Read(make([]byte, 1))
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == 0 && errors.Is(err, io.EOF) {
		s.endedAt = s.sentinels.clock.Now()
	}
	if s.conn == c {
		s.conn = nil
	}
	close(c.done)
}

// heard records that a part of an answer has arrived which the upstream sent after a time. One
// that began after a sentinel had ended may come from the next run.
func (s *sentinel) heard(begun, after time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.After(s.heardAt) && (s.endedAt.IsZero() || begun.Before(s.endedAt)) {
		s.heardAt = after
	}
}

// survives waits for a moment after an answer has ended in order, and reports whether the process of
// the upstream has outlasted it. openAt is the last time at which the connection of the answer was
// known to be open. takesConnection reports whether a new connection is taken; it is asked if
// nothing else tells.
func (s *sentinel) survives(done <-chan struct{}, openAt time.Time, takesConnection func() bool) bool {
	now := s.sentinels.clock.Now()
	s.mu.Lock()
	c := s.conn
	s.mu.Unlock()
	timer := time.NewTimer(processEndTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
		return false
	}
	switch {
	case s.mayHaveEnded(openAt):
		return false
	case c.isOpen(), s.heardSince(now.Add(processEndTime / 2)):
		return true
	default:
		return takesConnection()
	}
}

// mayHaveEnded reports whether the upstream ended a sentinel later than processEndTime before a
// time, and hasn't been heard of since.
func (s *sentinel) mayHaveEnded(openAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedAt.After(openAt.Add(-processEndTime)) && s.heardAt.Before(s.endedAt.Add(processEndTime))
}

func (s *sentinel) heardSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt.After(at)
}

// isOpen reports whether the upstream keeps the connection; false if there is none.
func (c *sentinelConn) isOpen() bool {
	if c == nil {
		return false
	}
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// endWatch follows the connection of an answer that ends with it. A nil watch reads, and proves
// each end.
type endWatch struct {
	exchange *exchange
	sentinel *sentinel
	// done is closed when the exchange is given up.
	done <-chan struct{}
	// begun is when the head of the answer arrived, and openAt the last time at which the
	// connection was known to be open.
	begun, openAt time.Time
}

// watchEnd begins to watch, when the head of the answer has arrived.
func (x *exchange) watchEnd(ctx context.Context) *endWatch {
	now := x.client.conns.clock.Now()
	return &endWatch{
		exchange: x,
		sentinel: x.client.sentinels.use(x.conn.key),
		done:     ctx.Done(),
		begun:    now,
		openAt:   now,
	}
}

// read reads from the body.
func (w *endWatch) read(body io.Reader, p []byte) (int, error) {
	if w == nil {
		return body.Read(p)
	}
	now := w.exchange.client.conns.clock.Now
	// What arrives from now on was sent from now on. What arrived before may be read late.
	waits := w.exchange.conn.reader.Buffered() == 0 && w.exchange.conn.isIdle()
	readAt := now()
	n, err := body.Read(p)
	if !waits {
		return n, err
	}
	w.openAt = now()
	if n > 0 {
		w.sentinel.heard(w.begun, readAt)
	}
	return n, err
}

// check returns nil if the end that a read has returned is that of the answer, and else why it isn't.
// What speaks against it is asked for first: a write that goes on may still get the error of a reset
// that the read, or a look, didn't get.
func (w *endWatch) check() error {
	if w == nil {
		return nil
	}
	// Until the check is done, the write may go on: an upstream may read on after an early end.
	lives := w.exchange.conn.faults.get() == nil && w.outlasted()
	w.exchange.stopWrite()
	state := endState{}.next(endRead{}).next(writeEnded{})
	if w.exchange.conn.faults.get() != nil {
		return state.next(callFailed{}).check()
	}
	return state.next(upstreamChecked{lives: lives}).check()
}

// outlasted reports whether the upstream has outlasted the end of the answer.
func (w *endWatch) outlasted() bool {
	return w.sentinel.survives(w.done, w.openAt, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), w.exchange.client.DialTimeout)
		defer cancel()
		return w.exchange.client.KeepsConnection(ctx, w.exchange.conn.key.upstream, w.exchange.conn.key.address)
	})
}

// release ends the watch.
func (w *endWatch) release() {
	if w != nil {
		w.sentinel.release()
	}
}
