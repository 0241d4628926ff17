package daemon

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/config"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/proxy"
	"arbutustrestle/io/syncer"
)

// Adapter is how the outside is spoken to: callers, upstreams, the platform and those
// that ask for entries. Each is an interface of the part that uses it.
type Adapter interface {
	CallerCodec() proxy.CallerCodec
	UpstreamCodec() http1.Codec
	Source(address netip.AddrPort) syncer.Source
	Decoder(zones map[ident.Zone]ident.Region) mirror.Decoder
	// ReadyHandler and Directory serve the questions for this entry's readiness and for
	// entries to use.
	ReadyHandler(d *proxy.Directory) http.Handler
	DirectoryHandler(d *proxy.Directory, holds time.Duration) http.Handler
}

// gatewayParts lists how each part of a gateway is made.
var gatewayParts = fx.Module("gateway",
	fx.Provide(
		newClock,
		newGatewayLog,
		newGatewaySelf,
		newGatewayLinks,
		newGatewayPool,
		newGatewayBudget,
		newGatewaySender,
		newGatewayLoop,
		newGatewayCore,
		newGatewayDirectory,
		newGateway,
		metric.NewSet,
		func() *spill.Table { return &spill.Table{} },
		func() *proxy.Latencies { return &proxy.Latencies{} },
	),
)

// linkKeepAlive is the time between two pings on a link. A link that has gone silent
// is closed after twice that, and the next beat opens another one.
const linkKeepAlive = time.Second

// upstreamDialTimeout bounds a connection to an upstream of the own region, where an
// opening packet that was lost is sent again after a second.
const upstreamDialTimeout = 700 * time.Millisecond

func newGatewayLog(s config.Gateway, out *logs.AsyncWriter) (zerolog.Logger, error) {
	log, err := logs.New(out, s.LogLevel.String(), string(s.ID))
	return log, errors.Trace(err)
}

// newGatewaySelf names this run by the time of its start, so that a later run of the
// same entry has the greater number unless the time of day was set back.
func newGatewaySelf(s config.Gateway, c clock.Clock) link.Identity {
	return link.Identity{
		Incarnation: ident.Incarnation{Instance: s.ID, Start: uint64(c.Now().UnixNano())},
		Zone:        s.Zone,
		Region:      s.Region,
	}
}

func newGatewayLinks(self link.Identity) *link.Pool {
	return &link.Pool{Self: self, KeepAlive: linkKeepAlive}
}

func newGatewayPool(s config.Gateway) *pool.Pool {
	return pool.New(pool.Settings{Self: s.ID, Region: s.Region, PromptRate: s.PromptRate})
}

func newGatewayBudget(s config.Gateway) *budget.Budget {
	return &budget.Budget{Limits: budget.Limits{
		Ratio:        s.Bounds.RetryRatio,
		Window:       s.Bounds.RetryWindow,
		FreeAttempts: s.Bounds.RetryFree,
	}}
}

func newGatewaySender(a Adapter, c clock.Clock) *http1.Client {
	return http1.NewClient(a.UpstreamCodec(), c, upstreamDialTimeout)
}

type followNeeds struct {
	fx.In

	Settings       config.Gateway
	Adapter        Adapter
	Self           link.Identity
	Clock          clock.Clock
	Log            zerolog.Logger
	Metrics        *metric.Set
	Links          *link.Pool
	Pool           *pool.Pool
	Spill          *spill.Table
	Budget         *budget.Budget
	UpstreamClient *http1.Client
}

func newGatewayLoop(n followNeeds) *syncer.Loop {
	return syncer.New(syncer.Options{
		Self: gossip.Record{
			ID:            n.Settings.ID,
			Incarnation:   n.Self.Incarnation.Start,
			Zone:          n.Settings.Zone,
			Region:        n.Settings.Region,
			PeerAddress:   n.Settings.PeerAddress,
			CallerAddress: n.Settings.CallerAddress,
		},
		Seeds:     n.Settings.Seeds,
		Source:    n.Adapter.Source(n.Settings.PlatformAddress),
		Decoder:   n.Adapter.Decoder(n.Settings.Zones),
		Clock:     n.Clock,
		Log:       n.Log,
		Metrics:   n.Metrics,
		Links:     n.Links,
		Pool:      n.Pool,
		Spill:     n.Spill,
		Budget:    n.Budget,
		CloseIdle: n.UpstreamClient.CloseExpiredConns,
	})
}

type edgeNeeds struct {
	fx.In

	Settings       config.Gateway
	Clock          clock.Clock
	Log            zerolog.Logger
	Metrics        *metric.Set
	Loop           *syncer.Loop
	Pool           *pool.Pool
	Spill          *spill.Table
	Budget         *budget.Budget
	UpstreamClient *http1.Client
	Links          *link.Pool
	Latencies      *proxy.Latencies
}

func newGatewayCore(n edgeNeeds) *proxy.Proxy {
	return &proxy.Proxy{
		Self:           n.Settings.ID,
		Region:         n.Settings.Region,
		Clock:          n.Clock,
		Log:            n.Log,
		Metrics:        n.Metrics,
		Loop:           n.Loop,
		Pool:           n.Pool,
		Spill:          n.Spill,
		Budget:         n.Budget,
		UpstreamClient: n.UpstreamClient,
		Links:          n.Links,
		Latencies:      n.Latencies,
	}
}

func newGatewayDirectory(l *syncer.Loop) *proxy.Directory {
	return &proxy.Directory{Loop: l}
}

// gateway is the listeners of an entry and what serves them.
type gateway struct {
	settings config.Gateway
	log      zerolog.Logger
	loop     *syncer.Loop
	core     *proxy.Proxy
	links    *link.Pool
	peers    *link.Server
	caller   *http.Server
	// others are the servers for readiness, directory and metrics, by address.
	others map[netip.AddrPort]*http.Server

	cancel context.CancelFunc
	work   sync.WaitGroup
}

type gatewayNeeds struct {
	fx.In

	Settings       config.Gateway
	Adapter        Adapter
	Self           link.Identity
	Log            zerolog.Logger
	Loop           *syncer.Loop
	Proxy          *proxy.Proxy
	Links          *link.Pool
	Directory      *proxy.Directory
	Metrics        *metric.Set
	Latencies      *proxy.Latencies
	UpstreamClient *http1.Client
	LogWriter      *logs.AsyncWriter
}

const (
	// headerTimeout bounds the head of a caller's request.
	headerTimeout = 10 * time.Second
	// callerIdle is how long a caller's connection stays open between requests. It is
	// longer than operators set, so that a request never crosses its close.
	callerIdle = 2 * time.Minute
)

func newGateway(n gatewayNeeds) *gateway {
	n.Latencies.Register(n.Metrics)
	n.Metrics.Func("upstream-dials", func() any { return n.UpstreamClient.DialCount.Load() })
	n.Metrics.Func("log-lines-dropped", func() any { return n.LogWriter.DroppedLines() })
	n.Metrics.Func("log-bytes", func() any { return n.LogWriter.WrittenBytes() })
	handler := &syncer.Handler{Loop: n.Loop, RelayFunc: n.Proxy.Relay}
	return &gateway{
		settings: n.Settings,
		log:      n.Log,
		loop:     n.Loop,
		core:     n.Proxy,
		links:    n.Links,
		peers:    &link.Server{Self: n.Self, Handler: handler, Log: n.Log, KeepAlive: linkKeepAlive},
		caller:   server(n.Proxy.Handler(n.Adapter.CallerCodec())),
		others: map[netip.AddrPort]*http.Server{
			n.Settings.ReadyAddress:     server(n.Adapter.ReadyHandler(n.Directory)),
			n.Settings.DirectoryAddress: server(n.Adapter.DirectoryHandler(n.Directory, n.Settings.Bounds.DirectoryHold)),
			n.Settings.MetricsAddress:   server(n.Metrics),
		},
	}
}

func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
}

// RunGateway runs an entry that serves by published routes until it has been told to
// stop and has drained. It reads the settings again at SIGHUP and when the file changes.
func RunGateway(file string, settings config.Gateway, a Adapter, out io.Writer) error {
	lines := logs.NewAsyncWriter(out)
	defer lines.Close()
	var g *gateway
	app := fx.New(
		fx.Supply(settings, lines),
		fx.Provide(func() Adapter { return a }),
		gatewayParts,
		fx.Populate(&g),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return errors.Annotate(err, "put the gateway together")
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := g.start(); err != nil {
		return errors.Annotate(err, "start")
	}
	g.awaitStop(signals, newReloader(file, settings, g.loop.SetSeeds, g.log))
	g.drain()
	return nil
}

// awaitStop returns when the entry has been told to stop, and takes in settings that
// change until then.
func (g *gateway) awaitStop(signals <-chan os.Signal, r *reloader) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			r.read("signal")
		case <-ticker.C:
			r.look()
		}
	}
}

// start opens all listeners before anything is served.
func (g *gateway) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	peers, err := listen(ctx, g.settings.PeerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	callers, err := listen(ctx, g.settings.CallerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	for address, s := range g.others {
		l, err := listen(ctx, address)
		if err != nil {
			return errors.Trace(err)
		}
		g.work.Go(func() { report(g.log, s.Serve(l)) })
	}
	g.work.Go(func() { g.loop.Run(ctx) })
	g.work.Go(func() { report(g.log, g.peers.Serve(ctx, peers)) })
	g.work.Go(func() { report(g.log, g.caller.Serve(callers)) })
	g.log.Info().
		Str("caller-address", g.settings.CallerAddress.String()).
		Str("peer-address", g.settings.PeerAddress.String()).
		Str("zone", string(g.settings.Zone)).
		Str("incarnation", g.peers.Self.Incarnation.String()).
		Int("seeds", len(g.settings.Seeds)).
		Msg("started")
	return nil
}

const (
	// exitBefore is how long before the end of the grace time the process ends,
	// whatever still runs.
	exitBefore = 250 * time.Millisecond
	// minDrain is the time in which callers learn of the other entries.
	minDrain = 3 * time.Second
	// drainStep is the time between two looks at what is in flight.
	drainStep = 50 * time.Millisecond
)

// drain serves on while callers turn to others, then ends when nothing runs.
func (g *gateway) drain() {
	ctx := context.Background()
	began := time.Now()
	grace := g.settings.Bounds.Grace
	g.log.Info().Int("in-flight", g.core.InFlight()).Dur("grace", grace).Msg("draining")
	g.loop.SetPhase(ctx, member.Draining)
	g.core.Drain(proxy.DrainSchedule{StrictAt: began.Add(min(minDrain, grace/2)), ExitAt: began.Add(grace - exitBefore)})
	exit := began.Add(grace - exitBefore)
	g.awaitQuiet(began.Add(minDrain), exit)
	// A request that comes between the last look and the end would be cut.
	g.core.Drain(proxy.DrainSchedule{StrictAt: began, ExitAt: began})
	g.awaitQuiet(began, exit)
	g.loop.SetPhase(ctx, member.Stopped)
	time.Sleep(drainStep)
	g.log.Info().Int("in-flight", g.core.InFlight()).Dur("took", time.Since(began)).Msg("stopped")
	closing, cancel := context.WithDeadline(ctx, exit)
	defer cancel()
	if err := g.caller.Shutdown(closing); err != nil {
		g.log.Warn().Err(err).Int("in-flight", g.core.InFlight()).Msg("requests cut off at the end of the grace time")
	}
	for _, s := range g.others {
		_ = s.Close()
	}
	g.cancel()
	g.links.Close()
}

// awaitQuiet returns when no request is in flight, not before one time and not after
// another.
func (g *gateway) awaitQuiet(after, until time.Time) {
	for {
		now := time.Now()
		if now.After(until) || now.After(after) && g.core.InFlight() == 0 {
			return
		}
		time.Sleep(drainStep)
	}
}
