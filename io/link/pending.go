package link

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// maxHelloBytes bounds what arrives on a connection before its hello was received, and the hello:
	// names and numbers of an instance.
	maxHelloBytes = 4 << 10
	// defaultMaxPending is MaxPending where the server sets none: a peer's hello arrives within
	// milliseconds, so that even the peers of a large installation that all start at once are fewer.
	defaultMaxPending = 512
)

// errHelloTooLarge means that more has arrived than a peer sends before it has received a hello.
var errHelloTooLarge = errors.New("too many bytes before the hello")

// pendingConns holds the connections whose hello hasn't been received, in the order in which they came.
// Anybody may open such a connection and send nothing, so that the number is bounded and the one that has
// waited longest gives way. Its zero value is ready to use.
type pendingConns struct {
	mu    sync.Mutex
	conns list.List
}

// add closes the oldest connection if there are more than a number. The returned function must be called once
// the connection is no longer pending.
func (p *pendingConns) add(conn net.Conn, most int) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	place := p.conns.PushBack(conn)
	if p.conns.Len() > most {
		_ = p.conns.Remove(p.conns.Front()).(net.Conn).Close()
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		// Does nothing if the connection has given way.
		p.conns.Remove(place)
	}
}

// helloLimit bounds the bytes of a connection until its hello was received. Its zero value bounds
// nothing.
type helloLimit struct {
	on atomic.Bool
	// read is used by the goroutine that reads the connection.
	read int
}

// exceeded counts bytes and reports whether they are too many.
func (l *helloLimit) exceeded(bytes int) bool {
	l.read += bytes
	return l.read > maxHelloBytes && l.on.Load()
}
