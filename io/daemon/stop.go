package daemon

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// acceptQuiet is the time without a new connection after which a listener that stops is
	// closed, and acceptStopTime the longest time until then.
	acceptQuiet    = 2 * time.Millisecond
	acceptStopTime = 100 * time.Millisecond
)

// stopListener is a listener that can be closed without resetting the connections that wait to
// be accepted.
type stopListener struct {
	*net.TCPListener
	// stopBy is until when connections are accepted; nil unless it stops.
	stopBy atomic.Pointer[time.Time]
}

// stop makes Accept return what waits, and then an error.
func (l *stopListener) stop() {
	stopBy := time.Now().Add(acceptStopTime)
	l.stopBy.Store(&stopBy)
	_ = l.SetDeadline(time.Now().Add(acceptQuiet))
}

// Accept returns the next connection. Once stopped and none came for acceptQuiet, it closes the
// listener.
func (l *stopListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	stopBy := l.stopBy.Load()
	if stopBy == nil {
		return conn, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || err == nil && time.Now().After(*stopBy) {
		_ = l.Close()
		return conn, err
	}
	_ = l.SetDeadline(time.Now().Add(acceptQuiet))
	return conn, err
}

// connCounts counts the open connections of a server by state. Its zero value is ready to use.
type connCounts struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// track is the ConnState hook of the server.
func (c *connCounts) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = map[net.Conn]http.ConnState{}
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = state
}

// unanswered returns the number of connections on which a request runs or the first one is due.
func (c *connCounts) unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, state := range c.states {
		if state != http.StateIdle {
			count++
		}
	}
	return count
}
