package link

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/io/guard"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/wire"
)

// Handler serves the streams that peers open. Its methods are called concurrently. Those
// with a context must return when the context is done.
type Handler interface {
	// Notify processes one heartbeat or region summary. It must not block.
	Notify(from Identity, n *wire.Notice)
	// Fetch returns a published value that is newer than the one named in f, or a
	// value with Found unset.
	Fetch(ctx context.Context, from Identity, f *wire.Fetch) *wire.Value
	// Locate returns the record that this instance holds of a stopped incarnation.
	Locate(from Identity, l *wire.Locate) *wire.Located
	// Handover receives the dedup records that follow on the stream.
	Handover(ctx context.Context, s *Stream, h *wire.Handover)
	// Forward serves a forwarded request on the stream.
	Forward(ctx context.Context, s *Stream, f *wire.Forward)
}

// RelayHandler is implemented by a Handler that also serves relayed requests.
type RelayHandler interface {
	// Relay serves a relayed request on the stream.
	Relay(ctx context.Context, s *Stream, r *wire.Relay)
}

// QuotaHandler is implemented by a Handler that also holds pools of quotas.
type QuotaHandler interface {
	// DrawQuota answers a draw. It must not block.
	DrawQuota(from Identity, d *wire.QuotaDraw) *wire.QuotaAnswer
}

// Server accepts links from peers and passes their streams to a Handler.
type Server struct {
	// Self, Handler and Log are set before Serve and do not change.
	Self    Identity
	Handler Handler
	Log     zerolog.Logger
	// KeepAlive is the time between two pings on a link. Zero selects
	// keepAliveInterval.
	KeepAlive time.Duration
	// Events counts panics of the handler; nil if nobody reads them.
	Events *expvar.Map
	// MaxPending is the number of connections whose hello hasn't been received, above which the
	// oldest is closed. Zero selects defaultMaxPending.
	MaxPending int
	// MaxLinks is the number of links whose hello has been received, above which one gives way. Zero selects
	// defaultMaxLinks.
	MaxLinks int

	pending  pendingConns
	accepted acceptedLinks
	// rejections bounds the lines about rejected links.
	rejections logs.Sampler
	work       sync.WaitGroup
}

// Serve accepts links until the listener is closed or the context is done, then waits for
// the handlers of all streams to return.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.work.Wait()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && lacksResources(err) {
			s.Log.Warn().Err(err).Str("step", "accept").Msg("no link accepted for the moment")
			wait(ctx, acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Annotate(err, "accept a link")
		}
		notPending := s.pending.add(conn, cmp.Or(s.MaxPending, defaultMaxPending))
		s.work.Go(func() { s.serveConn(ctx, conn, notPending) })
	}
}

// acceptRetryDelay is the time after which another connection is accepted when the process or the machine
// had no descriptor or memory for one.
const acceptRetryDelay = 100 * time.Millisecond

// lacksResources reports whether an accept failed for want of what may be free again soon.
func lacksResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// wait returns after a time, or when the context is done.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// serveConn calls notPending once the hello was received.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, notPending func()) {
	open := &streamSet{}
	limited := &sessionConn{Conn: conn, streams: open}
	limited.hello.on.Store(true)
	mux, err := yamux.Server(limited, serverConfig(s.KeepAlive))
	if err != nil {
		notPending()
		_ = conn.Close()
		return
	}
	defer func() { _ = mux.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	peer, err := s.acceptHello(mux, &limited.hello)
	notPending()
	if err != nil {
		log := s.Log.Sample(&s.rejections)
		log.Warn().Err(logs.ShortCause(err)).Str("step", "hello").Str("peer", conn.RemoteAddr().String()).Msg("link rejected")
		return
	}
	from := &session{mux: mux, peer: peer, streams: open}
	s.accepted.add(from, cmp.Or(s.MaxLinks, defaultMaxLinks))
	defer s.accepted.remove(from)
	s.serveSession(ctx, from)
}

func (s *Server) acceptHello(mux *yamux.Session, limit *helloLimit) (Identity, error) {
	// Accept has no deadline, and a peer that connects but sends nothing must not keep
	// the session open.
	timeout := time.AfterFunc(helloTimeout, func() { _ = mux.Close() })
	defer timeout.Stop()
	conn, err := mux.Accept()
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	first := newStream(conn, Identity{}, nil)
	defer first.Close()
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	peer, err := receiveHello(first)
	if err != nil {
		return Identity{}, errors.Trace(err)
	}
	// The peer may send as soon as it has received the hello.
	limit.on.Store(false)
	return peer, first.Send(newHello(s.Self))
}

func (s *Server) serveSession(ctx context.Context, from *session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		conn, err := from.mux.Accept()
		if err != nil {
			return
		}
		stream := newStream(conn, from.peer, from.streams)
		s.work.Go(func() {
			defer stream.drain()
			defer guard.Recover(s.Log, s.Events, "stream of "+stream.Peer.Incarnation.String())
			s.serveStream(ctx, stream)
		})
	}
}

func (s *Server) serveStream(ctx context.Context, stream *Stream) {
	stream.SetReadDeadline(time.Now().Add(exchangeTimeout))
	var open wire.Open
	if err := stream.Receive(&open); err != nil {
		return
	}
	switch kind := open.GetKind().(type) {
	case *wire.Open_Control:
		s.serveControl(stream)
	case *wire.Open_Fetch:
		s.reply(stream, s.Handler.Fetch(ctx, stream.Peer, kind.Fetch))
	case *wire.Open_Locate:
		s.reply(stream, s.Handler.Locate(stream.Peer, kind.Locate))
	case *wire.Open_Handover:
		s.Handler.Handover(ctx, stream, kind.Handover)
	case *wire.Open_Forward:
		stream.SetReadDeadline(time.Time{})
		s.Handler.Forward(ctx, stream, kind.Forward)
	case *wire.Open_Relay:
		stream.SetReadDeadline(time.Time{})
		if relayer, ok := s.Handler.(RelayHandler); ok {
			relayer.Relay(ctx, stream, kind.Relay)
		}
	case *wire.Open_QuotaDraw:
		if holder, ok := s.Handler.(QuotaHandler); ok {
			s.reply(stream, holder.DrawQuota(stream.Peer, kind.QuotaDraw))
		}
	}
}

func (s *Server) reply(stream *Stream, m protoMessage) {
	stream.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := stream.Send(m); err != nil {
		s.Log.Debug().Err(err).Str("step", "reply").Str("peer", stream.Peer.Incarnation.String()).Msg("reply not sent")
	}
}

func (s *Server) serveControl(stream *Stream) {
	for {
		stream.SetReadDeadline(time.Now().Add(noticeIdleTimeout))
		var n wire.Notice
		if err := stream.Receive(&n); err != nil {
			return
		}
		s.Handler.Notify(stream.Peer, &n)
	}
}
