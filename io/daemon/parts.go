// Package daemon constructs the parts of an entry instance and runs them from the start
// to the graceful shutdown.
package daemon

import (
	"io"
	"math/rand/v2"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/node"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/share"
	"arbutustrestle/io/config"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/loop"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/source"
	"arbutustrestle/io/wire"
)

// parts lists the constructors of the parts of an instance. fx calls each constructor
// once, in the order of their dependencies.
var parts = fx.Module("entry",
	fx.Provide(
		newClock,
		newLog,
		newIdentity,
		newNode,
		newPlatformClients,
		newRecords,
		newRandom,
		newUpstreamClient,
		newLoopDependencies,
		newEntryServer,
		newLinkServer,
		newServers,
		invoke.NewLoadReader,
		invoke.NewOrderSender,
		metric.NewSet,
		entry.NewGates,
		loop.New,
		func() *share.Limiter { return &share.Limiter{} },
		func() *retry.Budget { return &retry.Budget{} },
		func(self link.Identity) *link.Pool { return &link.Pool{Self: self} },
	),
	fx.Invoke(register),
)

func newClock() clock.Clock {
	return clock.System{}
}

func newLog(s config.Entry, out io.Writer) (zerolog.Logger, error) {
	log, err := logs.New(out, s.LogLevel.String(), string(s.ID))
	return log, errors.Trace(err)
}

// newIdentity picks a random number that distinguishes this incarnation from the others
// of the instance.
func newIdentity(s config.Entry) link.Identity {
	return link.Identity{
		Incarnation: ident.Incarnation{Instance: s.ID, Start: rand.Uint64()},
		Zone:        s.Zone,
		Region:      s.Region,
	}
}

func newNode(s config.Entry, self link.Identity) *node.Node {
	return node.New(node.Options{
		Self: member.Entry{
			ID:     s.ID,
			Zone:   s.Zone,
			Region: s.Region,
			Peer:   s.PeerAddress,
			Caller: s.CallerAddress,
			Admin:  s.AdminAddress,
		},
		Start: self.Incarnation.Start,
		Seeds: s.Seeds,
		Codec: wire.Codec{},
	})
}

func newPlatformClients(s config.Entry) []*source.Client {
	clients := make([]*source.Client, 0, len(s.PlatformAddresses))
	for _, address := range s.PlatformAddresses {
		clients = append(clients, source.NewClient(address))
	}
	return clients
}

func newRecords(self link.Identity, c clock.Clock) *entry.Records {
	return entry.NewRecords(self.Incarnation, c, dedup.Limits{})
}

func newRandom(self link.Identity) *entry.Random {
	return entry.NewRandom(self.Incarnation.Start)
}

// newUpstreamClient sets no first-byte timeout: the deadline of each request limits it.
func newUpstreamClient(s config.Entry) *invoke.Client {
	return invoke.NewClient(0, s.Timeouts.Write, int64(s.Limits.AnswerBytes))
}

// loopParams holds the dependencies of the control loop.
type loopParams struct {
	fx.In

	Node             *node.Node
	Clock            clock.Clock
	Log              zerolog.Logger
	Metrics          *metric.Set
	Links            *link.Pool
	PlatformClients  []*source.Client
	LoadReader       *invoke.LoadReader
	OrderSender      *invoke.OrderSender
	Records          *entry.Records
	Gates            *entry.Gates
	WorkspaceLimiter *share.Limiter
	RetryBudget      *retry.Budget
}

func newLoopDependencies(p loopParams) loop.Dependencies {
	return loop.Dependencies{
		Node:             p.Node,
		Clock:            p.Clock,
		Log:              p.Log,
		Metrics:          p.Metrics,
		Links:            p.Links,
		PlatformClients:  p.PlatformClients,
		LoadReader:       p.LoadReader,
		OrderSender:      p.OrderSender,
		Records:          p.Records,
		Gates:            p.Gates,
		WorkspaceLimiter: p.WorkspaceLimiter,
		RetryBudget:      p.RetryBudget,
	}
}

// entryServerParams holds the dependencies of the request path.
type entryServerParams struct {
	fx.In

	Settings         config.Entry
	Self             link.Identity
	Clock            clock.Clock
	Loop             *loop.Loop
	Links            *link.Pool
	UpstreamClient   *invoke.Client
	Metrics          *metric.Set
	Log              zerolog.Logger
	Records          *entry.Records
	Gates            *entry.Gates
	WorkspaceLimiter *share.Limiter
	RetryBudget      *retry.Budget
	Random           *entry.Random
}

// forwardMemoryPart is the part of limits.requests-bytes that bodies of forwarded requests may take beside
// callers' requests.
const forwardMemoryPart = 2

func newEntryServer(p entryServerParams) *entry.Server {
	c := &entry.Server{
		Self:             p.Self.Incarnation,
		Zone:             p.Settings.Zone,
		Region:           p.Settings.Region,
		Clock:            p.Clock,
		Views:            p.Loop,
		Links:            p.Links,
		UpstreamClient:   p.UpstreamClient,
		Metrics:          p.Metrics,
		Log:              p.Log,
		Records:          p.Records,
		Gates:            p.Gates,
		WorkspaceLimiter: p.WorkspaceLimiter,
		RetryBudget:      p.RetryBudget,
		Random:           p.Random,
		Memory:           &memory.Budget{Limit: int64(p.Settings.Limits.RequestsBytes)},
		ForwardMemory:    &memory.Budget{Limit: int64(p.Settings.Limits.RequestsBytes) / forwardMemoryPart},
		AnswerMemory:     &memory.Budget{Limit: int64(p.Settings.Limits.AnswersBytes), Free: freeAnswerBytes},
		ViewsCurrent:     p.Loop.ViewsCurrent,
		Limits: entry.Limits{
			BodyBytes:        p.Settings.Limits.BodyBytes,
			BodyTimeout:      p.Settings.Timeouts.Body,
			WriteTimeout:     p.Settings.Timeouts.Write,
			KeyedAnswerBytes: p.Settings.Limits.AnswerBytes,
		},
	}
	c.AnswerMemory.MakeRoom = c.EndUnread
	c.Init()
	p.Loop.OnTableChange(c.CancelDisallowed)
	return c
}

const (
	// entryLinkPart is the part of limits.connections that links of peers may take beside them.
	entryLinkPart = 4
	// minEntryLinks is the least number of links.
	minEntryLinks = 256
)

func newLinkServer(settings config.Entry, self link.Identity, l *loop.Loop, r *entry.Records, c *entry.Server, log zerolog.Logger) *link.Server {
	handler := &loop.Handler{Loop: l, Records: r, Forwards: &entry.ForwardHandler{Server: c}}
	return &link.Server{Self: self, Handler: handler, Log: log, MaxLinks: max(minEntryLinks, settings.Limits.Connections/entryLinkPart)}
}
