package trial

import (
	"fmt"
	"math/rand/v2"

	"arbutustrestle/core/admit"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/route"
	"arbutustrestle/core/share"
	"arbutustrestle/core/table"
)

// entry is one entry instance with its own state of each decision.
type entry struct {
	sim       *sim
	id        ident.Instance
	region    int
	random    *rand.Rand
	upstreams map[ident.Upstream]*load.Upstream
	engines   map[ident.Upstream]*engine
	pools     [kindCount]*pool
	cache     load.PrefixIndex
	ledger    share.Limiter
	budget    retry.Budget
}

// pool is what an entry knows of the replicas of one kind.
type pool struct {
	list    []*load.Upstream
	view    *route.View
	gate    admit.Gate
	tickets map[admit.Ticket]func()
	// refused counts the refusals since the last heartbeat.
	refused int
	// wanted is what the entry last told its peers that it would use.
	wanted float64
	// heard holds what each peer wants.
	heard map[ident.Instance]float64
	// turn is the next place of RoundRobin.
	turn int
}

func newEntry(s *sim, region, number int) *entry {
	n := &entry{
		sim:       s,
		id:        entryName(region, number),
		region:    region,
		random:    rand.New(rand.NewPCG(s.options.Seed, uint64(100+100*region+number))),
		upstreams: map[ident.Upstream]*load.Upstream{},
		engines:   map[ident.Upstream]*engine{},
	}
	for k := range kindCount {
		n.pools[k] = &pool{tickets: map[admit.Ticket]func(){}, heard: map[ident.Instance]float64{}}
	}
	for _, e := range s.engines[region] {
		u := &load.Upstream{ID: e.id}
		u.Configure(n.settings(e))
		n.upstreams[e.id] = u
		n.engines[e.id] = e
		n.pools[e.kind].list = append(n.pools[e.kind].list, u)
	}
	for k := range kindCount {
		n.pools[k].gate.Configure(&s.policy)
		n.pools[k].view = &route.View{
			Region:       regionName(region),
			Objective:    s.options.Policy.Objective,
			SpillMargin:  s.policy.SpillMargin,
			Versions:     []route.Version{route.NewVersion("v1", 1, n.pools[k].list)},
			Remotes:      s.remotes(region),
			SpillLimiter: &route.SpillLimiter{},
			PrefixIndex:  &n.cache,
		}
	}
	if s.options.Policy.UnlimitedRetries {
		n.budget.Configure(100, s.policy.MaxAttempts)
	}
	return n
}

func entryName(region, number int) ident.Instance {
	return ident.Instance(fmt.Sprintf("entry-%d-%d", region, number))
}

func (n *entry) settings(e *engine) load.Settings {
	settings := load.Settings{Slots: batches[e.kind].slots, Instances: n.sim.options.Instances}
	if n.sim.options.Policy.NoPeerCompensation {
		settings.Instances = 1
	}
	if n.sim.options.Policy.NoRamp {
		settings.RampUp = -1
	}
	return settings
}

// wants returns, for each kind, how many slots the entry would use.
func (n *entry) wants() [kindCount]float64 {
	var wants [kindCount]float64
	for k, p := range n.pools {
		admitted, waiting := p.gate.Load()
		p.wanted = float64(admitted + waiting + p.refused)
		p.refused = 0
		wants[k] = p.wanted
	}
	return wants
}

// hear takes in a peer's heartbeat.
func (n *entry) hear(peer ident.Instance, wants [kindCount]float64, usages []share.WorkspaceClaims) {
	for k, p := range n.pools {
		p.heard[peer] = wants[k]
	}
	n.ledger.SetPeerClaims(peer, usages)
}

// resize gives each gate this entry's part of the region's slots.
func (n *entry) resize() {
	for _, p := range n.pools {
		slots := load.Sum(n.sim.now, p.list).Slots
		others := 0.0
		for _, wanted := range p.heard {
			others += wanted
		}
		part := share.InstanceSlots(n.random, slots, p.wanted, others, n.sim.options.Instances)
		if n.sim.options.Policy.Admission == EqualShares {
			part = share.InstanceSlots(n.random, slots, 0, 0, n.sim.options.Instances)
		}
		p.wake(p.gate.SetSlots(n.sim.now, part))
	}
}

// wake lets admitted requests go on.
func (p *pool) wake(tickets []admit.Ticket) {
	for _, t := range tickets {
		granted := p.tickets[t]
		delete(p.tickets, t)
		granted()
	}
}

// learn takes in a summary of another region.
func (p *pool) learn(cell load.RegionLoad) {
	for i := range p.view.Remotes {
		if p.view.Remotes[i].Load.Region == cell.Region {
			p.view.Remotes[i].Load = cell
		}
	}
}

// pick chooses where a request goes, by the policy under trial. The baselines
// differ only in how they choose an engine.
func (n *entry) pick(v *visit) route.Decision {
	p := n.pools[v.request.kind()]
	routing := n.sim.options.Policy.Routing
	if routing == RoutePick || routing == NoAffinity || v.query.AdmissionFailure != nil || v.query.QueueWait > 0 {
		return route.Pick(n.sim.now, n.random, p.view, &v.query)
	}
	return n.baseline(p, &v.query)
}

// baseline chooses an engine in one of the plain ways.
func (n *entry) baseline(p *pool, r *route.Request) route.Decision {
	attempts := p.view.Versions[0].Candidates
	var best *route.Attempt
	var lowest float64
	first := n.random.IntN(len(attempts))
	if n.sim.options.Policy.Routing == RoundRobin {
		first = p.turn
		p.turn = (p.turn + 1) % len(attempts)
	}
	for i := range attempts {
		if n.sim.options.Policy.Routing == TwoChoices && i > 1 && best != nil {
			break
		}
		a := &attempts[(first+i)%len(attempts)]
		value, usable := n.value(a.Upstream, r)
		if usable && (best == nil || value < lowest) {
			best = a
			lowest = value
		}
	}
	if best == nil {
		return route.Pick(n.sim.now, n.random, p.view, r)
	}
	return best
}

// value is what a baseline minimizes; those that take the first usable engine have
// the same value for all.
func (n *entry) value(u *load.Upstream, r *route.Request) (float64, bool) {
	for _, tried := range r.Tried {
		if tried == u.ID {
			return 0, false
		}
	}
	projection, usable := u.Estimate(n.sim.now)
	if n.sim.options.Policy.IgnoreFailures {
		usable = true
	}
	switch n.sim.options.Policy.Routing {
	case LeastInFlight:
		return float64(u.InFlight()), usable
	case ExactLoad:
		e := n.engines[u.ID]
		return float64(len(e.running) + e.queued), usable
	case LowestEstimate, TwoChoices:
		return float64(projection.ResponseTime), usable
	}
	return 0, usable
}

// class returns the class under which a request is admitted.
func (n *entry) class(c table.Class) table.Class {
	if n.sim.options.Policy.Admission == SingleClass {
		return table.Plan
	}
	return c
}
