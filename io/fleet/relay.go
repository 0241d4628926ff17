package fleet

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// Relay forwards TCP connections to a target. While a direction is cut, the relay still
// accepts and holds connections but forwards nothing in that direction, like a network
// that drops packets.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort
	// sender is optional. It identifies the process that opened a connection by the first
	// bytes sent, and returns the empty string while they do not suffice.
	sender func(first []byte) string
	// tap is optional and receives the bytes that are sent to the target. It must be safe
	// for concurrent use and must not retain the bytes.
	tap func(p []byte)

	mu sync.Mutex
	// changed is signalled when a direction is cut or restored, and when the relay is
	// closed.
	changed *sync.Cond
	// all applies to every connection, bySender to the connections of one process.
	all      cut
	bySender map[string]cut
	closed   bool
	conns    map[net.Conn]struct{}
}

// cut states which directions of a connection are cut: to the target and from it.
type cut struct {
	in, out bool
}

// NewRelay returns a relay that listens on a free loopback port. The function sender
// identifies the process that opened a connection by the first bytes sent, and returns
// the empty string while they do not suffice. It may be nil if CutFrom is not used.
func NewRelay(target netip.AddrPort, sender func(first []byte) string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Relay{
		listener: l,
		target:   target,
		sender:   sender,
		bySender: map[string]cut{},
		conns:    map[net.Conn]struct{}{},
	}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the address at which the relay listens.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Cut sets which directions are cut: to the target and from it.
func (r *Relay) Cut(in, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = cut{in, out}
	r.changed.Broadcast()
}

// CutFrom sets which directions are cut for the connections that a process opened.
func (r *Relay) CutFrom(name string, in, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySender[name] = cut{in, out}
	r.changed.Broadcast()
}

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	_ = r.listener.Close()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(client net.Conn) {
	if !r.track(client) {
		return
	}
	defer r.untrack(client)
	target, err := net.Dial("tcp", r.target.String())
	if err != nil {
		return
	}
	if !r.track(target) {
		return
	}
	defer r.untrack(target)
	conn := &relayedConn{relay: r}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copyDirection(conn, target, client, func() bool { return r.all.in || r.bySender[conn.sender].in })
	}()
	r.copyDirection(nil, client, target, func() bool { return r.all.out || r.bySender[conn.sender].out })
	<-done
}

// maxPrefix bounds the bytes of a connection that are searched for the sender.
const maxPrefix = 4 << 10

// relayedConn is one connection through a relay.
type relayedConn struct {
	relay *Relay
	// sender is the process that opened the connection; empty until identified. It is
	// guarded by the relay's lock.
	sender string
	// prefix holds the bytes received until the sender is identified, which sets
	// identified.
	prefix     []byte
	identified bool
}

// observe processes the next bytes from the sender before they are forwarded: it passes
// them to the tap and identifies the sender.
func (c *relayedConn) observe(data []byte) {
	r := c.relay
	if r.tap != nil {
		r.tap(data)
	}
	if r.sender == nil || c.identified || len(c.prefix) > maxPrefix {
		return
	}
	c.prefix = append(c.prefix, data...)
	name := r.sender(c.prefix)
	if name == "" {
		return
	}
	c.identified = true
	c.prefix = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	c.sender = name
}

// copyDirection copies one direction while it is not cut, and passes the bytes to
// conn.observe unless conn is nil. Bytes that were already read when the direction is cut
// are held until it is restored.
func (r *Relay) copyDirection(conn *relayedConn, to, from net.Conn, isCut func() bool) {
	// The end of a connection is forwarded only while the direction is open.
	defer func() {
		if r.waitOpen(isCut) {
			_ = to.Close()
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if conn != nil {
			conn.observe(buffer[:n])
		}
		if !r.waitOpen(isCut) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}

// waitOpen waits while a direction is cut. It returns false if the relay is closed.
func (r *Relay) waitOpen(isCut func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for isCut() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
