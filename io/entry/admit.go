package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutustrestle/core/admit"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
	"arbutustrestle/core/share"
	"arbutustrestle/io/invoke"
)

// limitFilter holds a workspace to its limits over all instances.
type limitFilter struct {
	core *Server
}

// Apply refuses with WorkspaceLimit. A forwarded request was counted where it came
// in.
func (f *limitFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	if c.Via.Forwarded() && !c.keyed() {
		return next(ctx, c)
	}
	row, _ := c.View.Table.Workspace(c.Workspace)
	limits := share.Limits{
		RequestsPerSecond: row.RequestsPerSecond,
		InFlight:          float64(row.InFlight),
		TokensPerSecond:   row.TokensPerSecond,
	}
	if failure := f.core.WorkspaceLimiter.Admit(f.core.Clock.Now(), c.Workspace, limits); failure != nil {
		return failure
	}
	if limits != (share.Limits{}) {
		defer f.core.WorkspaceLimiter.Release(c.Workspace)
	}
	failure := next(ctx, c)
	f.core.WorkspaceLimiter.AddTokens(f.core.Clock.Now(), c.Workspace, c.Tokens)
	return failure
}

// Gates holds one gate for each group of upstreams. It is safe for concurrent use.
type Gates struct {
	clock  clock.Clock
	random *Random

	mu sync.Mutex
	// gates has one for each group that was ever in force.
	gates map[string]*gate
	// heard holds what each peer wants, by group.
	heard map[ident.Instance][]node.Demand
}

// gate is an admission gate with those who wait at it.
type gate struct {
	admit admit.Gate
	// refused counts the refusals since the last demand.
	refused atomic.Int64
	// wanted is the last demand, and want what it follows from; want is used under the
	// lock of Gates.
	wanted atomic.Int64
	want   share.DemandEstimator

	mu sync.Mutex
	// waiting has a channel for each ticket in the queue; it is closed when the
	// ticket is admitted.
	waiting map[admit.Ticket]chan struct{}
}

// NewGates returns gates that admit everything until Resize is called.
func NewGates(c clock.Clock, random *Random) *Gates {
	return &Gates{
		clock:  c,
		random: random,
		gates:  map[string]*gate{},
		heard:  map[ident.Instance][]node.Demand{},
	}
}

func (g *Gates) gate(name string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.gates[name]
	if known == nil {
		known = &gate{waiting: map[admit.Ticket]chan struct{}{}}
		g.gates[name] = known
	}
	return known
}

// Resize gives each gate this instance's part of its group's slots: a part by what
// the instances of the region want, the rest evenly.
func (g *Gates) Resize(v *node.View) {
	if v.Table == nil {
		return
	}
	entries := max(1, len(v.Members.AliveInstances()))
	now := g.clock.Now()
	for name, group := range v.Groups() {
		gate := g.gate(name)
		slots := load.Sum(now, group.Upstreams).Slots
		own := float64(gate.wanted.Load())
		others := g.othersWant(name)
		var part float64
		g.random.With(func(source *rand.Rand) { part = share.InstanceSlots(source, slots, own, others, entries) })
		gate.admit.Configure(v.Table.Policy())
		gate.wake(gate.admit.SetSlots(now, part))
	}
}

func (g *Gates) othersWant(group string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for _, demands := range g.heard {
		for _, d := range demands {
			if d.Group == group {
				sum += d.Wanted
			}
		}
	}
	return float64(sum)
}

// Demands returns how many slots of each group this instance would use, for its
// peers, and starts counting refusals anew.
func (g *Gates) Demands() []node.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var demands []node.Demand
	for _, name := range slices.Sorted(maps.Keys(g.gates)) {
		gate := g.gates[name]
		admitted, waiting := gate.admit.Load()
		wanted := gate.want.Sample(admitted, waiting, int(gate.refused.Swap(0)))
		gate.wanted.Store(int64(wanted))
		if wanted > 0 {
			demands = append(demands, node.Demand{Group: name, Wanted: wanted})
		}
	}
	return demands
}

// SetPeerDemands takes in what a peer wants, in place of what it wanted before.
func (g *Gates) SetPeerDemands(peer ident.Instance, demands []node.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[peer] = demands
}

// RemovePeer drops the demands of a peer that is gone.
func (g *Gates) RemovePeer(peer ident.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.heard, peer)
}

// GateLoad is what is admitted and waiting at one gate.
type GateLoad struct {
	Group    string `json:"group"`
	Admitted int    `json:"admitted"`
	Waiting  int    `json:"waiting"`
}

// Loads returns the load of each gate, by the name of its group.
func (g *Gates) Loads() []GateLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := make([]GateLoad, 0, len(g.gates))
	for _, name := range slices.Sorted(maps.Keys(g.gates)) {
		admitted, waiting := g.gates[name].admit.Load()
		loads = append(loads, GateLoad{Group: name, Admitted: admitted, Waiting: waiting})
	}
	return loads
}

// wake tells those whose tickets were admitted.
func (g *gate) wake(tickets []admit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range tickets {
		g.channel(t, func(ch chan struct{}) { close(ch) })
		delete(g.waiting, t)
	}
}

// channel uses the channel of a ticket, which either side may be the first to ask
// for. The lock is held.
func (g *gate) channel(t admit.Ticket, use func(chan struct{})) {
	ch, found := g.waiting[t]
	if !found {
		ch = make(chan struct{})
		g.waiting[t] = ch
	}
	use(ch)
}

// group returns the upstreams whose capacity a request uses.
func (c *Call) group() (*node.UpstreamGroup, bool) {
	if c.Service != "" {
		return c.View.ServiceGroup(c.Service)
	}
	return c.View.ModelGroup(c.Model)
}

// comeBack adds to a refusal when its caller may come back, spread over the refused
// ones, unless it says so already.
func (g *Gates) comeBack(c *Call, f *result.Failure) *result.Failure {
	group, found := c.group()
	if !found || f.RetryAfter > 0 {
		return f
	}
	g.random.With(func(source *rand.Rand) {
		f.RetryAfter = g.gate(group.Name).admit.RetryAfter(g.clock.Now(), source)
	})
	return f
}

// admitFilter lets a request in when this instance's part of the capacity allows.
type admitFilter struct {
	core *Server
}

// Apply passes on a request that is admitted. One that isn't goes on only to see
// whether another region takes it.
func (f *admitFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	group, found := c.group()
	if !found || len(group.Upstreams) == 0 {
		c.full = refuse(result.StepAdmit, result.NoUpstream)
		return next(ctx, c)
	}
	g := f.core.Gates.gate(group.Name)
	offered := f.core.Clock.Now()
	c.full = f.offer(ctx, g, c)
	c.waited = f.core.Clock.Now().Sub(offered)
	if c.full != nil {
		g.refused.Add(1)
		return next(ctx, c)
	}
	defer func() { g.wake(g.admit.Release(f.core.Clock.Now(), c.Class)) }()
	return next(ctx, c)
}

// offer returns nil once the request is admitted, and why it isn't otherwise.
func (f *admitFilter) offer(ctx context.Context, g *gate, c *Call) *result.Failure {
	request := admit.Request{Class: c.Class, Forwarded: c.Via.Forwarded(), Deadline: c.Deadline}
	now := f.core.Clock.Now()
	var verdict admit.Decision
	f.core.Random.With(func(source *rand.Rand) { verdict = g.admit.Admit(now, source, request) })
	switch v := verdict.(type) {
	case admit.Refused:
		return v.Failure
	case admit.Queued:
		return f.wait(ctx, g, v, now)
	default:
		return nil
	}
}

// wait waits in the queue, until the request is admitted or its time there is over.
func (f *admitFilter) wait(ctx context.Context, g *gate, q admit.Queued, now time.Time) *result.Failure {
	var admitted chan struct{}
	g.mu.Lock()
	g.channel(q.Ticket, func(ch chan struct{}) { admitted = ch })
	g.mu.Unlock()
	timer := time.NewTimer(q.ExpiresAt.Sub(now))
	defer timer.Stop()
	select {
	case <-admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.leave(ctx, g, q, admitted)
}

// leave takes a ticket out of the queue. It may have been admitted at that very
// moment, in which case the request goes on.
func (f *admitFilter) leave(ctx context.Context, g *gate, q admit.Queued, admitted chan struct{}) *result.Failure {
	var failure *result.Failure
	f.core.Random.With(func(source *rand.Rand) {
		failure = g.admit.Expire(f.core.Clock.Now(), source, q.Ticket)
	})
	if failure == nil {
		<-admitted
		return nil
	}
	g.mu.Lock()
	delete(g.waiting, q.Ticket)
	g.mu.Unlock()
	if ctx.Err() != nil {
		failure.Reason = invoke.EndReason(ctx)
	}
	return failure
}
