package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
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
	"arbutustrestle/core/memory"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/poison"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/quota"
	"arbutustrestle/core/reach"
	"arbutustrestle/core/resume"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/config"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/intake"
	"arbutustrestle/io/link"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/proxy"
	"arbutustrestle/io/strict"
	"arbutustrestle/io/syncer"
	"arbutustrestle/io/wire"
)

// Adapter provides the protocols that are specific to a platform: those of callers, of
// upstreams, of the store, and of the readiness and directory endpoints. Each method
// returns an interface that is declared by the package that uses it.
type Adapter interface {
	CallerCodec() proxy.CallerCodec
	UpstreamCodec() http1.Codec
	Source(address netip.AddrPort, log zerolog.Logger) syncer.Source
	Decoder(zones map[ident.Zone]ident.Region) mirror.Decoder
	// ReadyHandler serves the readiness of this instance.
	ReadyHandler(d *proxy.Directory) http.Handler
	// DirectoryHandler serves the list of instances that callers should connect to.
	// Callers keep the list for the time hold.
	DirectoryHandler(d *proxy.Directory, hold time.Duration) http.Handler
}

// gatewayParts lists the constructors of the parts of a gateway.
var gatewayParts = fx.Module("gateway",
	fx.Provide(
		newClock,
		newGatewayLog,
		newGatewayIdentity,
		newGatewayLinks,
		newGatewayPool,
		newGatewayBudget,
		newGatewayUpstreamClient,
		newGatewaySyncer,
		newGatewayProxy,
		newGatewayDirectory,
		newGateway,
		metric.NewSet,
		func() *spill.Table { return &spill.Table{} },
		newGatewayDetector,
		func() *reach.Detector { return &reach.Detector{} },
		func() *resume.Table { return &resume.Table{} },
		func() *quota.Ledger { return &quota.Ledger{} },
		func() *proxy.Latencies { return &proxy.Latencies{} },
	),
)

// linkKeepAlive is the time between two pings on a link. A link on which a ping is not
// answered within the write timeout of package link is used no more, and the next heartbeat
// opens another one.
const linkKeepAlive = time.Second

// upstreamDialTimeout limits a dial to an upstream. Upstreams are in the same region, and
// a lost SYN is sent again only after a second.
const upstreamDialTimeout = 700 * time.Millisecond

func newGatewayLog(s config.Gateway, out *logs.AsyncWriter) (zerolog.Logger, error) {
	log, err := logs.New(out, s.LogLevel.String(), string(s.ID))
	return log, errors.Trace(err)
}

// newGatewayIdentity uses the start time as the number of the incarnation, so that a
// later process of the same instance has the greater number unless the system clock was
// set back.
func newGatewayIdentity(s config.Gateway, c clock.Clock) link.Identity {
	return link.Identity{
		Incarnation: ident.Incarnation{Instance: s.ID, Start: uint64(c.Now().UnixNano())},
		Zone:        s.Zone,
		Region:      s.Region,
	}
}

const (
	// bodyMemoryPart is the part of the memory that bodies of requests may take. What the
	// instance itself needs, what the kernel holds of bodies that haven't been read, and
	// garbage that isn't collected yet take the rest.
	bodyMemoryPart = 4
	// answerMemoryPart is the part that answers may take beside what each may always hold,
	// freeAnswerBytes: the head and the body of an ordinary answer.
	answerMemoryPart = 8
	freeAnswerBytes  = 16 << 10
	// heapMemoryShare is the share of the memory from which on garbage is collected sooner. The
	// rest is for stacks, the kernel's buffers and what grows while a collection runs.
	heapMemoryShare = 0.65
)

// limitHeap makes the runtime collect garbage in time for the memory of the process.
func limitHeap(s config.Gateway) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(s.MemoryBytes)))
	}
}

func newGatewayLinks(self link.Identity) *link.Pool {
	return &link.Pool{Self: self, KeepAlive: linkKeepAlive}
}

// The seeds of an instance's generators are its start and one of these numbers.
const (
	poolSeed = iota
	detectorSeed
)

func newGatewayPool(s config.Gateway, self link.Identity) *pool.Pool {
	return pool.New(pool.Settings{
		Self:       s.ID,
		Region:     s.Region,
		PromptRate: s.PromptRate,
		Random:     rand.New(rand.NewPCG(self.Incarnation.Start, poolSeed)),
	})
}

func newGatewayDetector(s config.Gateway, self link.Identity) *poison.Detector {
	return &poison.Detector{Self: s.ID, Random: rand.New(rand.NewPCG(self.Incarnation.Start, detectorSeed))}
}

func newGatewayBudget(s config.Gateway) *budget.Budget {
	return &budget.Budget{Limits: budget.Limits{
		Ratio:        s.Bounds.RetryRatio,
		Window:       s.Bounds.RetryWindow,
		FreeAttempts: s.Bounds.RetryFree,
	}}
}

func newGatewayUpstreamClient(a Adapter, c clock.Clock) *http1.Client {
	return http1.NewClient(a.UpstreamCodec(), c, upstreamDialTimeout)
}

type syncerParams struct {
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
	Poison         *poison.Detector
	Reach          *reach.Detector
	Streams        *resume.Table
	Quota          *quota.Ledger
	UpstreamClient *http1.Client
}

func newGatewaySyncer(p syncerParams) *syncer.Loop {
	return syncer.New(syncer.Options{
		Self: gossip.Record{
			ID:            p.Settings.ID,
			Incarnation:   p.Self.Incarnation.Start,
			Zone:          p.Settings.Zone,
			Region:        p.Settings.Region,
			PeerAddress:   p.Settings.PeerAddress,
			CallerAddress: p.Settings.CallerAddress,
		},
		Seeds:   p.Settings.Seeds,
		Source:  p.Adapter.Source(p.Settings.PlatformAddress, p.Log),
		Decoder: p.Adapter.Decoder(p.Settings.Zones),
		Clock:   p.Clock,
		Log:     p.Log,
		Metrics: p.Metrics,
		Links:   p.Links,
		Pool:    p.Pool,
		Spill:   p.Spill,
		Budget:  p.Budget,
		Poison:  p.Poison,
		Reach:   p.Reach,
		Streams: p.Streams,
		Quota:   p.Quota,
		QuotaBounds: quota.Bounds{
			Window:  p.Settings.Bounds.QuotaWindow,
			Overage: p.Settings.Bounds.QuotaOverage,
			Slack:   p.Settings.Bounds.QuotaSlack,
		},
		Zones:     p.Settings.Zones,
		CloseIdle: p.UpstreamClient.CloseExpiredConns,
	})
}

type proxyParams struct {
	fx.In

	Settings       config.Gateway
	Clock          clock.Clock
	Log            zerolog.Logger
	Metrics        *metric.Set
	Loop           *syncer.Loop
	Pool           *pool.Pool
	Spill          *spill.Table
	Budget         *budget.Budget
	Poison         *poison.Detector
	Reach          *reach.Detector
	Streams        *resume.Table
	Quota          *quota.Ledger
	UpstreamClient *http1.Client
	Links          *link.Pool
	Latencies      *proxy.Latencies
}

func newGatewayProxy(p proxyParams) *proxy.Proxy {
	requests := &proxy.Proxy{
		Self:           p.Settings.ID,
		Region:         p.Settings.Region,
		Clock:          p.Clock,
		Log:            p.Log,
		Metrics:        p.Metrics,
		Loop:           p.Loop,
		Pool:           p.Pool,
		Spill:          p.Spill,
		Budget:         p.Budget,
		Poison:         p.Poison,
		Reach:          p.Reach,
		Streams:        p.Streams,
		Quota:          p.Quota,
		UpstreamClient: p.UpstreamClient,
		Links:          p.Links,
		Latencies:      p.Latencies,
		Memory:         &memory.Budget{Limit: p.Settings.MemoryBytes / bodyMemoryPart},
		AnswerMemory:   &memory.Budget{Limit: p.Settings.MemoryBytes / answerMemoryPart, Free: freeAnswerBytes},
		QueueRequests:  p.Settings.QueueRequests,
	}
	requests.AnswerMemory.MakeRoom = requests.EndUnread
	p.UpstreamClient.Memory = requests.AnswerMemory
	p.UpstreamClient.WatchIdleConns(requests.ConnsClosed)
	return requests
}

func newGatewayDirectory(l *syncer.Loop) *proxy.Directory {
	return &proxy.Directory{Loop: l}
}

// gateway holds the listeners of an instance and their servers.
type gateway struct {
	settings     config.Gateway
	log          zerolog.Logger
	syncer       *syncer.Loop
	proxy        *proxy.Proxy
	links        *link.Pool
	peerServer   *link.Server
	callerServer *http.Server
	// callers is the listener of callerServer, and callerConns its connections.
	callers     *stopListener
	callerConns callerConns
	// intake bounds the connections of callerServer and of auxServers.
	intake intake.Gate
	// auxServers holds the servers for readiness, directory and metrics, by address.
	auxServers map[netip.AddrPort]*http.Server

	// requests is the context of callers' requests. endRequests ends them, and the relayed ones.
	requests    context.Context
	endRequests context.CancelCauseFunc

	cancel context.CancelFunc
	work   sync.WaitGroup
}

type gatewayParams struct {
	fx.In

	Settings       config.Gateway
	Adapter        Adapter
	Self           link.Identity
	Clock          clock.Clock
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

// auxReadTimeout limits the time to read a request for readiness, directory or metrics, with a body
// that nobody reads. The head has a shorter limit, that of intake.
const auxReadTimeout = 30 * time.Second

func newGateway(p gatewayParams) *gateway {
	limitHeap(p.Settings)
	p.Latencies.Register(p.Metrics)
	p.Proxy.RegisterQueue(p.Metrics)
	p.Metrics.Func("upstream-dials", func() any { return p.UpstreamClient.DialCount.Load() })
	p.Metrics.Func("answer-memory-bytes", func() any { return p.Proxy.AnswerMemory.Used() })
	p.Metrics.Func("answer-memory-refused", func() any { return p.Proxy.AnswerMemory.Refused() })
	p.Metrics.Func("close-ended-answers", func() any { return p.Proxy.CloseEnded() })
	p.Metrics.Func("quotas", func() any { return p.Proxy.Quota.Counts() })
	p.Metrics.Func("convicted-traits", func() any { return p.Proxy.Poison.ConvictedTraits() })
	p.Metrics.Func("log-lines-dropped", func() any { return p.LogWriter.DroppedLines() })
	p.Metrics.Func("log-bytes", func() any { return p.LogWriter.WrittenBytes() })
	handler := &syncer.Handler{Loop: p.Loop}
	g := &gateway{
		settings:     p.Settings,
		log:          p.Log,
		syncer:       p.Loop,
		proxy:        p.Proxy,
		links:        p.Links,
		peerServer:   &link.Server{Self: p.Self, Handler: handler, Log: p.Log, KeepAlive: linkKeepAlive, Events: p.Metrics.Events, MaxPending: p.Settings.Descriptors / pendingLinkPart, MaxLinks: maxLinks(p.Settings.Descriptors)},
		callerServer: newHTTPServer(p.Proxy.Handler(p.Adapter.CallerCodec())),
		auxServers: map[netip.AddrPort]*http.Server{
			p.Settings.ReadyAddress:     newAuxServer(p.Adapter.ReadyHandler(p.Directory)),
			p.Settings.DirectoryAddress: newAuxServer(p.Adapter.DirectoryHandler(p.Directory, p.Settings.Bounds.DirectoryHold)),
			p.Settings.MetricsAddress:   newAuxServer(p.Metrics),
		},
		intake: intake.Gate{
			Clock:       p.Clock,
			Memory:      p.Proxy.Memory,
			MaxConns:    maxCallerConns(p.Settings.Descriptors, p.Settings.MemoryBytes),
			MaxSockets:  int(socketDescriptorShare * float64(p.Settings.Descriptors)),
			UnreadBytes: p.Settings.MemoryBytes / unreadMemoryPart,
			Limits:      func() intake.Limits { return headLimits(p.Loop) },
			Log:         p.Log,
			Events:      p.Metrics.Events,
		},
	}
	g.intake.Start()
	p.Proxy.UpstreamConns = &g.intake
	p.Metrics.Func("caller-connections", func() any { return g.intake.Conns() })
	p.Metrics.Func("caller-memory-bytes", func() any { return p.Proxy.Memory.Used() })
	g.requests, g.endRequests = context.WithCancelCause(context.Background())
	handler.RelayFunc = g.relay
	g.callerServer.BaseContext = func(net.Listener) context.Context { return g.requests }
	g.callerServer.ConnState = func(c net.Conn, state http.ConnState) {
		callerConnState(c, state)
		g.callerConns.track(c, state)
	}
	return g
}

// newHTTPServer returns a server without timeouts: runIdleChecks ends idle connections, and intake those
// of which the head takes too long.
func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{ //nolint:gosec // intake bounds the time of heads
		Handler:        h,
		MaxHeaderBytes: intake.ServerHeadBytes,
		ConnContext:    callerConnContext,
		ConnState:      callerConnState,
	}
}

// newAuxServer returns a server for requests without bodies. A connection on which one is announced may
// give way to others, and ends with the answer, so that the server doesn't wait for the body.
func newAuxServer(h http.Handler) *http.Server {
	s := newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			intake.StartBody(r, nil)
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	}))
	s.ReadTimeout = auxReadTimeout
	s.IdleTimeout = callerIdleTimeout
	return s
}

// headLimits returns the limits of heads that the operator has set.
func headLimits(l *syncer.Loop) intake.Limits {
	config := l.View().Config
	if config == nil {
		return intake.Limits{}
	}
	return intake.Limits{HeadBytes: config.Limits.HeaderBytes, HeadTimeout: config.Limits.HeaderTimeout}
}

// relay serves a request that another instance has sent, until endRequests is called.
func (g *gateway) relay(ctx context.Context, s *link.Stream, m *wire.Relay) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(g.requests, func() { cancel(context.Cause(g.requests)) })
	defer stop()
	g.proxy.Relay(ctx, s, m)
}

// RunGateway runs an instance that serves by published routes, until it receives SIGTERM
// or SIGINT and has drained. It reads the settings again on SIGHUP and when the file
// changes.
func RunGateway(file string, settings config.Gateway, a Adapter, out io.Writer) error {
	logWriter := logs.NewAsyncWriter(out)
	defer logWriter.Close()
	var g *gateway
	app := fx.New(
		fx.Supply(settings, logWriter),
		fx.Provide(func() Adapter { return a }),
		gatewayParts,
		fx.Populate(&g),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)
	if err := app.Err(); err != nil {
		return errors.Annotate(err, "construct the gateway")
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := g.start(); err != nil {
		return errors.Annotate(err, "start")
	}
	g.awaitStop(signals, newReloader(file, settings, g.syncer.SetSeeds, g.log))
	g.drain()
	return nil
}

// awaitStop returns when a signal to stop arrives. Until then it reloads the settings when
// they change.
func (g *gateway) awaitStop(signals <-chan os.Signal, r *reloader) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			r.reload("signal")
		case <-ticker.C:
			r.reloadIfChanged()
		}
	}
}

// start opens the peer and caller listeners and starts the servers. Callers are served
// only after all listeners are open.
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
	g.callers = &stopListener{TCPListener: callers.(*net.TCPListener)}
	for address, s := range g.auxServers {
		l, err := listen(ctx, address)
		if err != nil {
			return errors.Trace(err)
		}
		g.work.Go(func() { logServeError(g.log, s.Serve(strict.Listener{Listener: g.intake.Listen(l)})) })
	}
	g.work.Go(func() { g.syncer.Run(ctx) })
	g.work.Go(func() { g.proxy.RunReachChecks(ctx) })
	g.work.Go(func() { g.runIdleChecks(ctx) })
	g.work.Go(func() { logServeError(g.log, g.peerServer.Serve(ctx, peers)) })
	g.work.Go(func() {
		logServeError(g.log, g.callerServer.Serve(strict.Listener{Listener: g.intake.Listen(g.callers)}))
	})
	g.log.Info().
		Str("caller-address", g.settings.CallerAddress.String()).
		Str("peer-address", g.settings.PeerAddress.String()).
		Str("zone", string(g.settings.Zone)).
		Str("incarnation", g.peerServer.Self.Incarnation.String()).
		Int("seeds", len(g.settings.Seeds)).
		Msg("started")
	return nil
}
