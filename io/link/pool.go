package link

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/wire"
)

type protoMessage = proto.Message

// Pool keeps the outgoing links of an instance. It is safe for concurrent use.
type Pool struct {
	// Self is set before the first use and does not change.
	Self Identity
	// KeepAlive is the time between two pings on a link, after which a silent link is
	// closed; zero takes keepAliveInterval.
	KeepAlive time.Duration

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is the outgoing link to one address. Its lock is held while dialling, so
// that one dial serves all who wait for it.
type peer struct {
	address netip.AddrPort

	dialing sync.Mutex
	// session is nil while there is no link.
	session *session
	// open is set while session is, for those who must not wait for a dial.
	open atomic.Pointer[session]

	notices sync.Mutex
	// control is nil while no control stream is open.
	control *Stream
}

func (p *Pool) peer(address netip.AddrPort) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[netip.AddrPort]*peer)
	}
	known, found := p.peers[address]
	if !found {
		known = &peer{address: address}
		p.peers[address] = known
	}
	return known
}

// CloseExcept closes the links to addresses that are not in use any more.
func (p *Pool) CloseExcept(keep map[netip.AddrPort]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, known := range p.peers {
		if _, wanted := keep[address]; wanted {
			continue
		}
		delete(p.peers, address)
		go known.close()
	}
}

// Close ends all links.
func (p *Pool) Close() {
	p.CloseExcept(nil)
}

// Notify sends one heartbeat or summary on the control stream of a link. It
// blocks for at most the dial and write timeouts of the link.
func (p *Pool) Notify(ctx context.Context, address netip.AddrPort, n *wire.Notice) error {
	known := p.peer(address)
	known.notices.Lock()
	defer known.notices.Unlock()
	stream, err := p.controlStream(ctx, known)
	if err != nil {
		return errors.Trace(err)
	}
	stream.SetDeadline(time.Now().Add(writeTimeout))
	if err := stream.Send(n); err != nil {
		stream.Close()
		known.control = nil
		return errors.Trace(err)
	}
	return nil
}

func (p *Pool) controlStream(ctx context.Context, known *peer) (*Stream, error) {
	if known.control != nil {
		return known.control, nil
	}
	open := &wire.Open{Kind: &wire.Open_Control{Control: &wire.Control{}}}
	stream, err := p.exchange(ctx, known, open)
	if err != nil {
		return nil, errors.Trace(err)
	}
	known.control = stream
	return stream, nil
}

// Fetch asks a peer for a published value newer than the one named.
func (p *Pool) Fetch(ctx context.Context, address netip.AddrPort, f *wire.Fetch) (*wire.Value, error) {
	var v wire.Value
	open := &wire.Open{Kind: &wire.Open_Fetch{Fetch: f}}
	return &v, p.ask(ctx, address, open, &v)
}

// Locate asks a peer for the note on an incarnation that stopped.
func (p *Pool) Locate(ctx context.Context, address netip.AddrPort, l *wire.Locate) (*wire.Located, error) {
	var reply wire.Located
	open := &wire.Open{Kind: &wire.Open_Locate{Locate: l}}
	return &reply, p.ask(ctx, address, open, &reply)
}

// ask sends one message and reads one reply, within the exchange timeout.
func (p *Pool) ask(ctx context.Context, address netip.AddrPort, open *wire.Open, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stream, err := p.exchange(ctx, p.peer(address), open)
	if err != nil {
		return errors.Trace(err)
	}
	defer stream.Close()
	deadline, _ := ctx.Deadline()
	stream.SetDeadline(deadline)
	return errors.Trace(stream.Receive(reply))
}

// Forward opens a stream for a forwarded request. It fails with NotFound when
// another incarnation than the wanted one answers at the address; a zero wanted
// incarnation takes any.
func (p *Pool) Forward(ctx context.Context, address netip.AddrPort, wanted ident.Incarnation, f *wire.Forward) (*Stream, error) {
	known := p.peer(address)
	s, err := p.link(ctx, known)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !wanted.IsZero() && s.peer.Incarnation != wanted {
		return nil, errors.NotFoundf("incarnation %s at %s, which is %s,", wanted, address, s.peer.Incarnation)
	}
	open := &wire.Open{Kind: &wire.Open_Forward{Forward: f}}
	return start(s, open)
}

// Connected reports whether there is a link to an address, so that a request sent there
// needn't wait for one.
func (p *Pool) Connected(address netip.AddrPort) bool {
	s := p.peer(address).open.Load()
	return s != nil && !s.mux.IsClosed()
}

// Disconnect closes the link to an address, so that the next use dials anew.
func (p *Pool) Disconnect(address netip.AddrPort) {
	if s := p.peer(address).open.Load(); s != nil {
		_ = s.mux.Close()
	}
}

// Relay opens a stream for a relayed request on the link that is open. The message
// holds the whole request, so that an error doesn't say that it has not run, unless
// it is NotFound: there is no link.
func (p *Pool) Relay(address netip.AddrPort, r *wire.Relay) (*Stream, error) {
	s := p.peer(address).open.Load()
	if s == nil || s.mux.IsClosed() {
		return nil, errors.NotFoundf("link to %s", address)
	}
	return start(s, &wire.Open{Kind: &wire.Open_Relay{Relay: r}})
}

// Handover opens a stream on which the records of this incarnation are sent.
func (p *Pool) Handover(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	open := &wire.Open{Kind: &wire.Open_Handover{Handover: &wire.Handover{Incarnation: p.Self.Incarnation.String()}}}
	return p.exchange(ctx, p.peer(address), open)
}

// exchange opens a stream and sends its first message.
func (p *Pool) exchange(ctx context.Context, known *peer, open *wire.Open) (*Stream, error) {
	s, err := p.link(ctx, known)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return start(s, open)
}

func start(s *session, open *wire.Open) (*Stream, error) {
	stream, err := s.open()
	if err != nil {
		return nil, errors.Trace(err)
	}
	stream.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := stream.Send(open); err != nil {
		stream.Close()
		return nil, errors.Trace(err)
	}
	return stream, nil
}

// link returns the session with a peer, dialling it when there is none.
func (p *Pool) link(ctx context.Context, known *peer) (*session, error) {
	known.dialing.Lock()
	defer known.dialing.Unlock()
	if known.session != nil && !known.session.mux.IsClosed() {
		return known.session, nil
	}
	s, err := dial(ctx, known.address, p.Self, p.KeepAlive)
	if err != nil {
		return nil, errors.Trace(err)
	}
	known.session = s
	known.open.Store(s)
	return s, nil
}

func (p *peer) close() {
	p.dialing.Lock()
	defer p.dialing.Unlock()
	p.open.Store(nil)
	if p.session != nil {
		_ = p.session.mux.Close()
		p.session = nil
	}
}
