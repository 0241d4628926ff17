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

// limitFilter applies the limits of a workspace, which hold over all instances.
type limitFilter struct {
	server *Server
}

// Apply refuses with WorkspaceLimit. A forwarded request without a key is skipped, since
// the instance that received it from the caller has counted it. A keyed call is forwarded
// before this filter, so it is counted at the key's owner only.
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
	if failure := f.server.WorkspaceLimiter.Admit(f.server.Clock.Now(), c.Workspace, limits); failure != nil {
		return failure
	}
	if limits != (share.Limits{}) {
		defer f.server.WorkspaceLimiter.Release(c.Workspace)
	}
	failure := next(ctx, c)
	f.server.WorkspaceLimiter.AddTokens(f.server.Clock.Now(), c.Workspace, c.Tokens)
	return failure
}

// Gates holds one admission gate for each group of upstreams. It is safe for concurrent
// use.
type Gates struct {
	clock  clock.Clock
	random *Random

	mu sync.Mutex
	// gates has an entry for each group that was ever in a view.
	gates map[string]*gate
	// peerDemands holds the demands of each peer.
	peerDemands map[ident.Instance][]node.Demand
}

// gate is an admission gate with the requests that wait at it.
type gate struct {
	admit admit.Gate
	// refused counts the refusals since the last demand.
	refused atomic.Int64
	// lastDemand is the last demand in slots, computed by estimator. The estimator is used
	// under the lock of Gates.
	lastDemand atomic.Int64
	estimator  share.DemandEstimator

	mu sync.Mutex
	// admissions has a channel for each ticket in the queue. The channel is closed when the
	// ticket is admitted.
	admissions map[admit.Ticket]chan struct{}
}

// NewGates returns gates that admit all requests until Resize is called.
func NewGates(c clock.Clock, random *Random) *Gates {
	return &Gates{
		clock:       c,
		random:      random,
		gates:       map[string]*gate{},
		peerDemands: map[ident.Instance][]node.Demand{},
	}
}

func (g *Gates) gate(name string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	named := g.gates[name]
	if named == nil {
		named = &gate{admissions: map[admit.Ticket]chan struct{}{}}
		g.gates[name] = named
	}
	return named
}

// Resize sets the part of each group's slots that this instance may use. The slots are
// divided partly by the demands of the region's instances, and the rest evenly.
func (g *Gates) Resize(v *node.View) {
	if v.Table == nil {
		return
	}
	instances := max(1, len(v.Members.AliveInstances()))
	now := g.clock.Now()
	for name, group := range v.Groups() {
		gate := g.gate(name)
		slots := load.Sum(now, group.Upstreams).Slots
		own := float64(gate.lastDemand.Load())
		peerDemand := g.peerDemand(name)
		var part float64
		g.random.With(func(source *rand.Rand) { part = share.InstanceSlots(source, slots, own, peerDemand, instances) })
		gate.admit.Configure(v.Table.Policy())
		gate.notifyAdmitted(gate.admit.SetSlots(now, part))
	}
}

func (g *Gates) peerDemand(group string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0
	for _, demands := range g.peerDemands {
		for _, d := range demands {
			if d.Group == group {
				sum += d.Wanted
			}
		}
	}
	return float64(sum)
}

// Demands returns how many slots of each group this instance would use, for its peers, and
// resets the counts of refusals.
func (g *Gates) Demands() []node.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var demands []node.Demand
	for _, name := range slices.Sorted(maps.Keys(g.gates)) {
		gate := g.gates[name]
		admitted, waiting := gate.admit.Load()
		wanted := gate.estimator.Sample(admitted, waiting, int(gate.refused.Swap(0)))
		gate.lastDemand.Store(int64(wanted))
		if wanted > 0 {
			demands = append(demands, node.Demand{Group: name, Wanted: wanted})
		}
	}
	return demands
}

// SetPeerDemands replaces the demands of a peer.
func (g *Gates) SetPeerDemands(peer ident.Instance, demands []node.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerDemands[peer] = demands
}

// RemovePeer deletes the demands of a peer that has left the membership.
func (g *Gates) RemovePeer(peer ident.Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peerDemands, peer)
}

// GateLoad holds the numbers of admitted and waiting requests at one gate, and of the
// slots that it may use.
type GateLoad struct {
	Group    string  `json:"group"`
	Slots    float64 `json:"slots"`
	Admitted int     `json:"admitted"`
	Waiting  int     `json:"waiting"`
}

// Loads returns the load of each gate, sorted by group.
func (g *Gates) Loads() []GateLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := make([]GateLoad, 0, len(g.gates))
	for _, name := range slices.Sorted(maps.Keys(g.gates)) {
		gate := &g.gates[name].admit
		admitted, waiting := gate.Load()
		loads = append(loads, GateLoad{Group: name, Slots: gate.Slots(), Admitted: admitted, Waiting: waiting})
	}
	return loads
}

// notifyAdmitted resumes the requests whose tickets were admitted.
func (g *gate) notifyAdmitted(tickets []admit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range tickets {
		g.useChannel(t, func(ch chan struct{}) { close(ch) })
		delete(g.admissions, t)
	}
}

// useChannel calls use with the channel of a ticket. It creates the channel if needed,
// since the waiting request and the admission may come in either order. The lock must be
// held.
func (g *gate) useChannel(t admit.Ticket, use func(chan struct{})) {
	ch, found := g.admissions[t]
	if !found {
		ch = make(chan struct{})
		g.admissions[t] = ch
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

// addRetryAfter adds a retry time to a refusal that has none. The times are random, so that
// refused callers don't all retry at once.
func (g *Gates) addRetryAfter(c *Call, f *result.Failure) *result.Failure {
	group, found := c.group()
	if !found || f.RetryAfter > 0 {
		return f
	}
	g.random.With(func(source *rand.Rand) {
		f.RetryAfter = g.gate(group.Name).admit.RetryAfter(g.clock.Now(), source)
	})
	return f
}

// admitFilter admits a request if this instance's part of the capacity allows it.
type admitFilter struct {
	server *Server
}

// Apply passes on each request. One that is not admitted may only be forwarded to another
// region.
func (f *admitFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	group, found := c.group()
	if !found || len(group.Upstreams) == 0 {
		c.admissionFailure = notRun(result.StepAdmit, result.NoUpstream)
		return next(ctx, c)
	}
	g := f.server.Gates.gate(group.Name)
	offered := f.server.Clock.Now()
	c.admissionFailure = f.tryAdmit(ctx, g, c)
	c.queueTime = f.server.Clock.Now().Sub(offered)
	if c.admissionFailure != nil {
		g.refused.Add(1)
		return next(ctx, c)
	}
	defer func() { g.notifyAdmitted(g.admit.Release(f.server.Clock.Now(), c.Class)) }()
	return next(ctx, c)
}

// tryAdmit returns nil if the request is admitted, or else the reason.
func (f *admitFilter) tryAdmit(ctx context.Context, g *gate, c *Call) *result.Failure {
	request := admit.Request{Class: c.Class, Forwarded: c.Via.Forwarded(), Deadline: c.Deadline}
	now := f.server.Clock.Now()
	var verdict admit.Decision
	f.server.Random.With(func(source *rand.Rand) { verdict = g.admit.Admit(now, source, request) })
	switch v := verdict.(type) {
	case admit.Refused:
		return v.Failure
	case admit.Queued:
		return f.waitInQueue(ctx, g, v, now)
	default:
		return nil
	}
}

// waitInQueue waits until the request is admitted, its queue time is over or its context
// ends.
func (f *admitFilter) waitInQueue(ctx context.Context, g *gate, q admit.Queued, now time.Time) *result.Failure {
	var admitted chan struct{}
	g.mu.Lock()
	g.useChannel(q.Ticket, func(ch chan struct{}) { admitted = ch })
	g.mu.Unlock()
	timer := time.NewTimer(q.ExpiresAt.Sub(now))
	defer timer.Stop()
	select {
	case <-admitted:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.leaveQueue(ctx, g, q, admitted)
}

// leaveQueue removes a ticket from the queue. If it was admitted at the same moment, the
// request goes on.
func (f *admitFilter) leaveQueue(ctx context.Context, g *gate, q admit.Queued, admitted chan struct{}) *result.Failure {
	var failure *result.Failure
	f.server.Random.With(func(source *rand.Rand) {
		failure = g.admit.Expire(f.server.Clock.Now(), source, q.Ticket)
	})
	if failure == nil {
		<-admitted
		return nil
	}
	g.mu.Lock()
	delete(g.admissions, q.Ticket)
	g.mu.Unlock()
	if ctx.Err() != nil {
		failure.Reason = invoke.EndReason(ctx)
	}
	return failure
}
