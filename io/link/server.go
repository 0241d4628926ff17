package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/io/wire"
)

// Handler serves what peers open. Its methods are called from many goroutines;
// each must return when its context ends.
type Handler interface {
	// Notify takes one heartbeat or summary. It must not block.
	Notify(from Identity, n *wire.Notice)
	// Fetch returns a published value newer than the one asked about, or one that
	// is not found.
	Fetch(ctx context.Context, from Identity, f *wire.Fetch) *wire.Value
	// Locate returns the note on an incarnation that stopped.
	Locate(from Identity, l *wire.Locate) *wire.Located
	// Handover takes the records that follow on the stream.
	Handover(ctx context.Context, s *Stream, h *wire.Handover)
	// Forward serves a forwarded request on the stream.
	Forward(ctx context.Context, s *Stream, f *wire.Forward)
}

// RelayHandler is a Handler that also serves relayed requests.
type RelayHandler interface {
	// Relay serves a relayed request on the stream.
	Relay(ctx context.Context, s *Stream, r *wire.Relay)
}

// Server accepts links from peers.
type Server struct {
	// Self, Handler and Log are set before Serve and do not change.
	Self    Identity
	Handler Handler
	Log     zerolog.Logger
	// KeepAlive is the time between two pings on a link; zero takes keepAliveInterval.
	KeepAlive time.Duration

	work sync.WaitGroup
}

// Serve accepts links until the listener is closed or the context ends, then
// waits for the streams that still run.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.work.Wait()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "accept a link")
		}
		s.work.Go(func() { s.serveConn(ctx, conn) })
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	open := &streams{}
	mux, err := yamux.Server(&endingConn{Conn: conn, streams: open}, muxConfig(s.KeepAlive))
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = mux.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	peer, err := s.answerHello(mux)
	if err != nil {
		s.Log.Warn().Err(err).Str("step", "hello").Str("peer", conn.RemoteAddr().String()).Msg("link refused")
		return
	}
	s.serveSession(ctx, &session{mux: mux, peer: peer, streams: open})
}

func (s *Server) answerHello(mux *yamux.Session) (Identity, error) {
	// A peer that connects and says nothing must not hold the session for ever.
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
	return peer, first.Send(helloOf(s.Self))
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
			defer stream.Abort()
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
