// Package daemon puts the parts of an entry instance together and runs them from
// start to graceful shutdown.
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

// parts lists how each part of an instance is made. fx calls each constructor once
// and orders them by what they need.
var parts = fx.Module("entry",
	fx.Provide(
		newClock,
		newLog,
		newIdentity,
		newNode,
		newPlatform,
		newRecords,
		newRandom,
		newUpcall,
		newLoopParts,
		newCore,
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

// newIdentity draws the random start that tells this run from the instance's others.
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

func newPlatform(s config.Entry) []*source.Client {
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

// newUpcall leaves the first-byte bound to each request's own deadline.
func newUpcall(s config.Entry) *invoke.Client {
	return invoke.NewClient(0, s.Timeouts.Write, int64(s.Limits.AnswerBytes))
}

// loopNeeds are the parts that the control loop works with.
type loopNeeds struct {
	fx.In

	Node             *node.Node
	Clock            clock.Clock
	Log              zerolog.Logger
	Metrics          *metric.Set
	Links            *link.Pool
	Platform         []*source.Client
	Loads            *invoke.LoadReader
	Orders           *invoke.OrderSender
	Records          *entry.Records
	Gates            *entry.Gates
	WorkspaceLimiter *share.Limiter
	RetryBudget      *retry.Budget
}

func newLoopParts(n loopNeeds) loop.Dependencies {
	return loop.Dependencies{
		Node:             n.Node,
		Clock:            n.Clock,
		Log:              n.Log,
		Metrics:          n.Metrics,
		Links:            n.Links,
		PlatformClients:  n.Platform,
		LoadReader:       n.Loads,
		OrderSender:      n.Orders,
		Records:          n.Records,
		Gates:            n.Gates,
		WorkspaceLimiter: n.WorkspaceLimiter,
		RetryBudget:      n.RetryBudget,
	}
}

// coreNeeds are the parts that the request path works with.
type coreNeeds struct {
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

func newCore(n coreNeeds) *entry.Server {
	c := &entry.Server{
		Self:             n.Self.Incarnation,
		Zone:             n.Settings.Zone,
		Region:           n.Settings.Region,
		Clock:            n.Clock,
		Views:            n.Loop,
		Links:            n.Links,
		UpstreamClient:   n.UpstreamClient,
		Metrics:          n.Metrics,
		Log:              n.Log,
		Records:          n.Records,
		Gates:            n.Gates,
		WorkspaceLimiter: n.WorkspaceLimiter,
		RetryBudget:      n.RetryBudget,
		Random:           n.Random,
		ViewsCurrent:     n.Loop.ViewsCurrent,
		Limits: entry.Limits{
			BodyBytes:        n.Settings.Limits.BodyBytes,
			BodyTimeout:      n.Settings.Timeouts.Body,
			WriteTimeout:     n.Settings.Timeouts.Write,
			KeyedAnswerBytes: n.Settings.Limits.AnswerBytes,
		},
	}
	c.Init()
	n.Loop.OnTableChange(c.CancelDisallowed)
	return c
}

func newLinkServer(self link.Identity, l *loop.Loop, r *entry.Records, c *entry.Server, log zerolog.Logger) *link.Server {
	handler := &loop.Handler{Loop: l, Records: r, Forwards: &entry.ForwardHandler{Server: c}}
	return &link.Server{Self: self, Handler: handler, Log: log}
}
