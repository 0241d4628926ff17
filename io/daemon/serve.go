package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/io/admin"
	"arbutustrestle/io/config"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/intake"
	"arbutustrestle/io/link"
	"arbutustrestle/io/loop"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/strict"
)

// servers holds the listeners of an instance and their servers.
type servers struct {
	settings config.Entry
	caller   *http.Server
	// intake bounds the connections of caller.
	intake intake.Gate
	admin  *http.Server
	// adminIntake bounds the connections of admin, apart from those of callers.
	adminIntake intake.Gate
	peer        *link.Server
	loop        *loop.Loop
	links       *link.Pool
	log         zerolog.Logger

	// callers is the listener of caller; nil before the start.
	callers *stopListener
	// callersClosed is closed after callers.
	callersClosed chan struct{}
	// cancel stops the control loop and the links.
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// serverParams holds the dependencies of the servers.
type serverParams struct {
	fx.In

	Settings config.Entry
	Server   *entry.Server
	Peer     *link.Server
	Loop     *loop.Loop
	Links    *link.Pool
	Metrics  *metric.Set
	Clock    clock.Clock
	Log      zerolog.Logger
	Drain    *Drain
}

const (
	// adminConns is the number of connections of operators above which one gives way, far more than their tools
	// open.
	adminConns = 64
	// adminMemoryBytes is what heads of operators' requests may take together.
	adminMemoryBytes = 16 << 20
)

func newServers(p serverParams) *servers {
	adminHandler := &admin.Handler{
		Settings: p.Settings,
		Server:   p.Server,
		Loop:     p.Loop,
		Metrics:  p.Metrics,
		Drain:    p.Drain.Start,
	}
	limits := intake.Limits{HeadBytes: p.Settings.Limits.HeaderBytes, HeadTimeout: p.Settings.Timeouts.Header}
	caller := newHTTPServer(p.Server.Handler())
	caller.IdleTimeout = p.Settings.Timeouts.Idle
	operators := newAuxServer(adminHandler.Router())
	operators.IdleTimeout = p.Settings.Timeouts.Idle
	s := &servers{
		settings: p.Settings,
		caller:   caller,
		intake: intake.Gate{
			Clock:       p.Clock,
			Memory:      p.Server.Memory,
			MaxConns:    p.Settings.Limits.Connections,
			UnreadBytes: int64(p.Settings.Limits.RequestsBytes),
			Limits:      func() intake.Limits { return limits },
			Log:         p.Log,
			Events:      p.Metrics.Events,
		},
		admin: operators,
		adminIntake: intake.Gate{
			Clock:       p.Clock,
			Memory:      &memory.Budget{Limit: adminMemoryBytes},
			MaxConns:    adminConns,
			UnreadBytes: adminMemoryBytes,
			Limits:      func() intake.Limits { return limits },
			Log:         p.Log.With().Str("listener", "admin").Logger(),
		},
		peer:  p.Peer,
		loop:  p.Loop,
		links: p.Links,
		log:   p.Log,
	}
	s.intake.Start()
	s.adminIntake.Start()
	p.Metrics.Func("caller-connections", func() any { return s.intake.Conns() })
	p.Metrics.Func("caller-memory-bytes", func() any { return p.Server.Memory.Used() })
	p.Metrics.Func("answer-memory-bytes", func() any { return p.Server.AnswerMemory.Used() })
	p.Metrics.Func("answer-memory-refused", func() any { return p.Server.AnswerMemory.Refused() })
	p.Metrics.Func("forward-memory-bytes", func() any { return p.Server.ForwardMemory.Used() })
	return s
}

// register adds the listeners to the start and stop hooks of the process.
func register(lifecycle fx.Lifecycle, s *servers) {
	lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
}

// start opens all three listeners before any server starts, so that the start fails when
// an address is already in use.
func (s *servers) start(ctx context.Context) error {
	var listeners []net.Listener
	for _, address := range []netip.AddrPort{s.settings.CallerAddress, s.settings.PeerListenAddress, s.settings.AdminAddress} {
		l, err := listen(ctx, address)
		if err != nil {
			closeAll(listeners)
			return errors.Trace(err)
		}
		listeners = append(listeners, l)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.work.Go(func() { s.loop.Run(runCtx) })
	s.work.Go(func() { logServeError(s.log, s.peer.Serve(runCtx, listeners[1])) })
	s.callers = &stopListener{TCPListener: listeners[0].(*net.TCPListener)}
	s.callersClosed = make(chan struct{})
	s.work.Go(func() {
		defer close(s.callersClosed)
		logServeError(s.log, s.caller.Serve(strict.Listener{Listener: s.intake.Listen(s.callers)}))
	})
	s.work.Go(func() {
		logServeError(s.log, s.admin.Serve(strict.Listener{Listener: s.adminIntake.Listen(listeners[2])}))
	})
	s.log.Info().
		Str("caller-address", s.settings.CallerAddress.String()).
		Str("peer-address", s.settings.PeerAddress.String()).
		Str("admin-address", s.settings.AdminAddress.String()).
		Str("incarnation", s.peer.Self.Incarnation.String()).
		Msg("listening")
	return nil
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// stop closes the listeners after a drain, when no request is in flight. Requests on connections
// that wait to be accepted are refused before.
func (s *servers) stop(ctx context.Context) error {
	if err := s.callers.stop(); err != nil {
		s.log.Info().Err(err).Msg("connections that come until the listener is closed may be reset")
	}
	select {
	case <-s.callersClosed:
	case <-time.After(acceptStopTime):
	case <-ctx.Done():
	}
	err := s.caller.Shutdown(ctx)
	s.cancel()
	s.links.Close()
	_ = s.admin.Close()
	s.work.Wait()
	return errors.Annotate(err, "close the callers' listener")
}
