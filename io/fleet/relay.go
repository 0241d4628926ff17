package fleet

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// Relay passes TCP connections on to a target, until it is cut. A cut relay goes on
// accepting and holding connections, but nothing passes any more in the cut
// direction, as on a network that drops packets.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort
	// sender names the process that opened a connection by the first bytes that it
	// sent; empty as long as they don't tell. It may be nil.
	sender func(first []byte) string
	// tap gets what is sent towards the target; nil when nobody looks. It is called
	// by many goroutines and must not keep the bytes.
	tap func(p []byte)

	mu sync.Mutex
	// changed is signalled when a direction is cut or healed.
	changed *sync.Cond
	// all holds for every connection, bySender for those of one process.
	all      cut
	bySender map[string]cut
	closed   bool
	conns    map[net.Conn]struct{}
}

// cut says which directions of a connection are cut: towards the target, and back
// from it.
type cut struct {
	in, out bool
}

// NewRelay returns a relay that listens on a free loopback port. The function names
// the process that opened a connection by the first bytes that it sent, and returns
// the empty string as long as they don't tell; nil when nobody is told apart.
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

// Address returns where the relay listens.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Cut sets which directions are cut: towards the target, and back from it.
func (r *Relay) Cut(in, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = cut{in, out}
	r.changed.Broadcast()
}

// CutFrom sets the same for the connections of one process only.
func (r *Relay) CutFrom(name string, in, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bySender[name] = cut{in, out}
	r.changed.Broadcast()
}

// Close ends the relay and its connections.
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

func (r *Relay) serve(caller net.Conn) {
	if !r.keep(caller) {
		return
	}
	defer r.drop(caller)
	target, err := net.Dial("tcp", r.target.String())
	if err != nil {
		return
	}
	if !r.keep(target) {
		return
	}
	defer r.drop(target)
	link := &passage{relay: r}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.pump(link, target, caller, func() bool { return r.all.in || r.bySender[link.name].in })
	}()
	r.pump(nil, caller, target, func() bool { return r.all.out || r.bySender[link.name].out })
	<-done
}

// maxFirst bounds what is looked at of a connection to name its sender, in bytes.
const maxFirst = 4 << 10

// passage is one connection through a relay.
type passage struct {
	relay *Relay
	// name is that of the sender, guarded by the relay's lock; empty before it is
	// known.
	name string
	// first holds what came until the sender was known; known ends that.
	first []byte
	known bool
}

// see shows what the sender sent next: it is named before that goes on.
func (p *passage) see(data []byte) {
	r := p.relay
	if r.tap != nil {
		r.tap(data)
	}
	if r.sender == nil || p.known || len(p.first) > maxFirst {
		return
	}
	p.first = append(p.first, data...)
	name := r.sender(p.first)
	if name == "" {
		return
	}
	p.known = true
	p.first = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	p.name = name
}

// pump copies one direction while it is not cut, and shows it to the passage unless
// that is nil. What was read when the cut came is held until it heals.
func (r *Relay) pump(seen *passage, to, from net.Conn, isCut func() bool) {
	// Each side's end is passed on only while the direction is open.
	defer func() {
		if r.waitOpen(isCut) {
			_ = to.Close()
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if seen != nil {
			seen.see(buffer[:n])
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

// waitOpen waits while a direction is cut, and reports false when the relay closed.
func (r *Relay) waitOpen(isCut func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for isCut() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
