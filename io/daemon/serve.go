package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"arbutustrestle/io/admin"
	"arbutustrestle/io/config"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/link"
	"arbutustrestle/io/loop"
	"arbutustrestle/io/metric"
)

// servers are the listeners of an instance and what serves them.
type servers struct {
	settings config.Entry
	caller   *http.Server
	admin    *http.Server
	peer     *link.Server
	loop     *loop.Loop
	pool     *link.Pool
	log      zerolog.Logger

	// cancel ends the loop and the links.
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// serverNeeds are the parts that the listeners lead to.
type serverNeeds struct {
	fx.In

	Settings config.Entry
	Server   *entry.Server
	Peer     *link.Server
	Loop     *loop.Loop
	Links    *link.Pool
	Metrics  *metric.Set
	Log      zerolog.Logger
	Drain    *Drain
}

func newServers(n serverNeeds) *servers {
	status := &admin.Handler{
		Settings: n.Settings,
		Server:   n.Server,
		Loop:     n.Loop,
		Metrics:  n.Metrics,
		Drain:    n.Drain.Start,
	}
	return &servers{
		settings: n.Settings,
		caller: &http.Server{
			Handler:           n.Server.Handler(),
			ReadHeaderTimeout: n.Settings.Timeouts.Header,
			IdleTimeout:       n.Settings.Timeouts.Idle,
			MaxHeaderBytes:    n.Settings.Limits.HeaderBytes,
			ErrorLog:          nil,
		},
		admin: &http.Server{
			Handler:           status.Router(),
			ReadHeaderTimeout: n.Settings.Timeouts.Header,
			IdleTimeout:       n.Settings.Timeouts.Idle,
		},
		peer: n.Peer,
		loop: n.Loop,
		pool: n.Links,
		log:  n.Log,
	}
}

// register ties the listeners to the start and stop of the program.
func register(lifecycle fx.Lifecycle, s *servers) {
	lifecycle.Append(fx.Hook{OnStart: s.start, OnStop: s.stop})
}

// start opens all three listeners before anything is served, so that an address
// that is taken ends the start.
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
	running, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.work.Go(func() { s.loop.Run(running) })
	s.work.Go(func() { report(s.log, s.peer.Serve(running, listeners[1])) })
	s.work.Go(func() { report(s.log, s.caller.Serve(limit(listeners[0], s.settings.Limits.Connections))) })
	s.work.Go(func() { report(s.log, s.admin.Serve(listeners[2])) })
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

// stop closes the listeners after a drain, when no request is left.
func (s *servers) stop(ctx context.Context) error {
	err := s.caller.Shutdown(ctx)
	s.cancel()
	s.pool.Close()
	_ = s.admin.Close()
	s.work.Wait()
	return errors.Annotate(err, "close the callers' listener")
}
