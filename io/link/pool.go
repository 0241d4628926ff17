package link

import (
	"cmp"
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

// Pool holds the outgoing links of an instance. It is safe for concurrent use.
type Pool struct {
	// Self identifies this instance. It is set before the first use and does not
	// change.
	Self Identity
	// KeepAlive is the time between two pings on a link. A link on which a ping is not
	// answered is used no more. Zero selects keepAliveInterval.
	KeepAlive time.Duration

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is the outgoing link to one address.
type peer struct {
	address netip.AddrPort

	// dialMu is held while dialing, so that concurrent callers share one dial.
	dialMu sync.Mutex
	// session is nil while there is no link. It is guarded by dialMu.
	session *session
	// openSession equals session. It is read without dialMu by callers that must not
	// wait for a dial.
	openSession atomic.Pointer[session]

	controlMu sync.Mutex
	// control is nil while no control stream is open, and else a stream of controlSession.
	// Both are guarded by controlMu.
	control        *Stream
	controlSession *session

	// unwanted is set if the last call of CloseUnused didn't want the link. It is guarded by
	// Pool.mu.
	unwanted bool
}

func (p *Pool) peer(address netip.AddrPort) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[netip.AddrPort]*peer)
	}
	target, found := p.peers[address]
	if !found {
		target = &peer{address: address}
		p.peers[address] = target
	}
	return target
}

// CloseExcept closes the links to all addresses that are not in keep.
func (p *Pool) CloseExcept(keep map[netip.AddrPort]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, target := range p.peers {
		if _, wanted := keep[address]; wanted {
			continue
		}
		delete(p.peers, address)
		go target.close()
	}
}

// CloseUnused closes the links that carry no exchange, to addresses that are not in keep and
// were not at the call before: whoever still held the link then has had the time since.
func (p *Pool) CloseUnused(keep map[netip.AddrPort]struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, target := range p.peers {
		_, wanted := keep[address]
		if unwanted := target.unwanted; wanted || !unwanted || target.inUse() {
			target.unwanted = !wanted
			continue
		}
		delete(p.peers, address)
		go target.close()
	}
}

// inUse reports whether the link carries an exchange, or a message is being sent on it.
func (p *peer) inUse() bool {
	if !p.controlMu.TryLock() {
		return true
	}
	defer p.controlMu.Unlock()
	s := p.openSession.Load()
	if s == nil {
		return false
	}
	exchanges := s.streams.count()
	if p.control != nil && p.controlSession == s {
		exchanges--
	}
	return exchanges > 0
}

// Close closes all links.
func (p *Pool) Close() {
	p.CloseExcept(nil)
}

// Notify sends one heartbeat or region summary on the control stream of a link. It
// blocks for at most the dial and write timeouts of the link.
func (p *Pool) Notify(ctx context.Context, address netip.AddrPort, n *wire.Notice) error {
	target := p.peer(address)
	target.controlMu.Lock()
	defer target.controlMu.Unlock()
	stream, err := p.controlStream(ctx, target)
	if err != nil {
		return errors.Trace(err)
	}
	stream.SetDeadline(time.Now().Add(writeTimeout))
	if err := stream.Send(n); err != nil {
		stream.Close()
		target.control = nil
		return errors.Trace(err)
	}
	return nil
}

func (p *Pool) controlStream(ctx context.Context, target *peer) (*Stream, error) {
	if target.control != nil {
		return target.control, nil
	}
	open := &wire.Open{Kind: &wire.Open_Control{Control: &wire.Control{}}}
	s, err := p.connect(ctx, target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	stream, err := startStream(s, open)
	if err != nil {
		return nil, errors.Trace(err)
	}
	target.control, target.controlSession = stream, s
	return stream, nil
}

// Fetch requests from a peer a published value that is newer than the one named in f.
func (p *Pool) Fetch(ctx context.Context, address netip.AddrPort, f *wire.Fetch) (*wire.Value, error) {
	var v wire.Value
	open := &wire.Open{Kind: &wire.Open_Fetch{Fetch: f}}
	return &v, p.roundTrip(ctx, address, open, &v)
}

// Locate requests from a peer the record that it holds of a stopped incarnation.
func (p *Pool) Locate(ctx context.Context, address netip.AddrPort, l *wire.Locate) (*wire.Located, error) {
	var reply wire.Located
	open := &wire.Open{Kind: &wire.Open_Locate{Locate: l}}
	return &reply, p.roundTrip(ctx, address, open, &reply)
}

// roundTrip sends one message and reads one reply, within exchangeTimeout.
func (p *Pool) roundTrip(ctx context.Context, address netip.AddrPort, open *wire.Open, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stream, err := p.openStream(ctx, p.peer(address), open)
	if err != nil {
		return errors.Trace(err)
	}
	defer stream.Close()
	deadline, _ := ctx.Deadline()
	stream.SetDeadline(deadline)
	return errors.Trace(stream.Receive(reply))
}

// Forward opens a stream for a forwarded request. It fails with NotFound when the
// incarnation at the address is not the wanted one. A zero wanted incarnation matches
// any.
func (p *Pool) Forward(ctx context.Context, address netip.AddrPort, wanted ident.Incarnation, f *wire.Forward) (*Stream, error) {
	target := p.peer(address)
	s, err := p.connect(ctx, target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !wanted.IsZero() && s.peer.Incarnation != wanted {
		return nil, errors.NotFoundf("incarnation %s at %s, where %s runs,", wanted, address, s.peer.Incarnation)
	}
	open := &wire.Open{Kind: &wire.Open_Forward{Forward: f}}
	return startStream(s, open)
}

// Connected reports whether there is a link to an address, so that a request sent there
// does not have to wait for a dial.
func (p *Pool) Connected(address netip.AddrPort) bool {
	s := p.peer(address).openSession.Load()
	return s != nil && !s.mux.IsClosed()
}

// TakesBodyParts reports whether there is a link to an address whose instance reads bodies of relayed
// requests in parts.
func (p *Pool) TakesBodyParts(address netip.AddrPort) bool {
	s := p.peer(address).openSession.Load()
	return s != nil && !s.mux.IsClosed() && s.peer.BodyParts
}

// Disconnect closes the link to an address. The next use dials again.
func (p *Pool) Disconnect(address netip.AddrPort) {
	if s := p.peer(address).openSession.Load(); s != nil {
		_ = s.mux.Close()
	}
}

// Relay opens a stream for a relayed request on an existing link. It returns NotFound
// when there is no link. The first message holds the whole request, but for a body in parts, so
// that after any other error a request without parts may have run at the peer.
func (p *Pool) Relay(address netip.AddrPort, r *wire.Relay) (*Stream, error) {
	s := p.peer(address).openSession.Load()
	if s == nil || s.mux.IsClosed() {
		return nil, errors.NotFoundf("link to %s", address)
	}
	return startStream(s, &wire.Open{Kind: &wire.Open_Relay{Relay: r}})
}

// DrawQuota draws tokens of a quota at a peer, on an existing link. It returns NotFound when
// there is no link. The context must have a deadline.
func (p *Pool) DrawQuota(ctx context.Context, address netip.AddrPort, d *wire.QuotaDraw) (*wire.QuotaAnswer, error) {
	s := p.peer(address).openSession.Load()
	if s == nil || s.mux.IsClosed() {
		return nil, errors.NotFoundf("link to %s", address)
	}
	stream, err := s.open()
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer stream.Close()
	deadline, _ := ctx.Deadline()
	stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, stream.Abort)
	defer stop()
	if err := stream.Send(&wire.Open{Kind: &wire.Open_QuotaDraw{QuotaDraw: d}}); err != nil {
		return nil, errors.Trace(err)
	}
	var answer wire.QuotaAnswer
	if err := stream.Receive(&answer); err != nil {
		return nil, errors.Trace(err)
	}
	return &answer, nil
}

// Handover opens a stream for sending the dedup records of this incarnation.
func (p *Pool) Handover(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	open := &wire.Open{Kind: &wire.Open_Handover{Handover: &wire.Handover{Incarnation: p.Self.Incarnation.String()}}}
	return p.openStream(ctx, p.peer(address), open)
}

// openStream opens a stream on the link to a peer, dialing if necessary, and sends its
// first message.
func (p *Pool) openStream(ctx context.Context, target *peer, open *wire.Open) (*Stream, error) {
	s, err := p.connect(ctx, target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return startStream(s, open)
}

func startStream(s *session, open *wire.Open) (*Stream, error) {
	stream, err := s.open()
	if err != nil {
		return nil, errors.Trace(err)
	}
	stream.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := stream.Send(open); err != nil {
		stream.Close()
		return nil, errors.Trace(err)
	}
	s.streams.endIfSilent(stream, exchangeTimeout)
	return stream, nil
}

// connect returns the session with a peer, and dials when there is none.
func (p *Pool) connect(ctx context.Context, target *peer) (*session, error) {
	target.dialMu.Lock()
	defer target.dialMu.Unlock()
	if target.session != nil && !target.session.mux.IsClosed() {
		return target.session, nil
	}
	s, err := dial(ctx, target.address, p.Self)
	if err != nil {
		return nil, errors.Trace(err)
	}
	target.session = s
	target.openSession.Store(s)
	go p.watchSession(target, s, cmp.Or(p.KeepAlive, keepAliveInterval))
	return s, nil
}

func (p *peer) close() {
	p.dialMu.Lock()
	defer p.dialMu.Unlock()
	p.openSession.Store(nil)
	if p.session != nil {
		_ = p.session.mux.Close()
		p.session = nil
	}
}
