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

// instance is one entry instance, with its own state for each decision.
type instance struct {
	sim              *sim
	id               ident.Instance
	region           int
	random           *rand.Rand
	upstreams        map[ident.Upstream]*load.Upstream
	engines          map[ident.Upstream]*engine
	pools            [kindCount]*pool
	cache            load.PrefixIndex
	workspaceLimiter share.Limiter
	budget           retry.Budget
}

// pool is an instance's state of the replicas of one kind.
type pool struct {
	list    []*load.Upstream
	view    *route.View
	gate    admit.Gate
	tickets map[admit.Ticket]func()
	// refused counts the refusals since the last heartbeat.
	refused int
	// demand is the number of slots that the instance requested in its last heartbeat.
	demand float64
	// peerDemands holds the demand of each peer.
	peerDemands map[ident.Instance]float64
	// nextIndex is the index of the next candidate under RoundRobin.
	nextIndex int
}

func newInstance(s *sim, region, number int) *instance {
	n := &instance{
		sim:       s,
		id:        instanceName(region, number),
		region:    region,
		random:    rand.New(rand.NewPCG(s.options.Seed, uint64(100+100*region+number))),
		upstreams: map[ident.Upstream]*load.Upstream{},
		engines:   map[ident.Upstream]*engine{},
	}
	for k := range kindCount {
		n.pools[k] = &pool{tickets: map[admit.Ticket]func(){}, peerDemands: map[ident.Instance]float64{}}
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
			Remotes:      s.remoteRegions(region),
			SpillLimiter: &route.SpillLimiter{},
			PrefixIndex:  &n.cache,
		}
	}
	if s.options.Policy.UnlimitedRetries {
		n.budget.Configure(100, s.policy.MaxAttempts)
	}
	return n
}

func instanceName(region, number int) ident.Instance {
	return ident.Instance(fmt.Sprintf("entry-%d-%d", region, number))
}

func (n *instance) settings(e *engine) load.Settings {
	settings := load.Settings{Slots: batches[e.kind].slots, Instances: n.sim.options.Instances}
	if n.sim.options.Policy.NoPeerCompensation {
		settings.Instances = 1
	}
	if n.sim.options.Policy.NoRamp {
		settings.RampUp = -1
	}
	return settings
}

// takeDemands returns the number of slots that the instance could use, by kind, and
// resets the counts of refusals.
func (n *instance) takeDemands() [kindCount]float64 {
	var demands [kindCount]float64
	for k, p := range n.pools {
		admitted, waiting := p.gate.Load()
		p.demand = float64(admitted + waiting + p.refused)
		p.refused = 0
		demands[k] = p.demand
	}
	return demands
}

// receiveHeartbeat stores the contents of a peer's heartbeat.
func (n *instance) receiveHeartbeat(peer ident.Instance, demands [kindCount]float64, claims []share.WorkspaceClaims) {
	for k, p := range n.pools {
		p.peerDemands[peer] = demands[k]
	}
	n.workspaceLimiter.SetPeerClaims(peer, claims)
}

// resizeGates sets the slots of each gate to this instance's share of the region's
// slots.
func (n *instance) resizeGates() {
	for _, p := range n.pools {
		slots := load.Sum(n.sim.now, p.list).Slots
		peerDemand := 0.0
		for _, demand := range p.peerDemands {
			peerDemand += demand
		}
		ownSlots := share.InstanceSlots(n.random, slots, p.demand, peerDemand, n.sim.options.Instances)
		if n.sim.options.Policy.Admission == EqualShares {
			ownSlots = share.InstanceSlots(n.random, slots, 0, 0, n.sim.options.Instances)
		}
		p.resume(p.gate.SetSlots(n.sim.now, ownSlots))
	}
}

// resume continues the queued requests that have been admitted.
func (p *pool) resume(tickets []admit.Ticket) {
	for _, t := range tickets {
		onAdmitted := p.tickets[t]
		delete(p.tickets, t)
		onAdmitted()
	}
}

// setRemoteLoad stores the load summary of another region.
func (p *pool) setRemoteLoad(regionLoad load.RegionLoad) {
	for i := range p.view.Remotes {
		if p.view.Remotes[i].Load.Region == regionLoad.Region {
			p.view.Remotes[i].Load = regionLoad
		}
	}
}

// pick chooses the destination of a request under the policy of the run. The baselines
// differ only in the choice of the engine.
func (n *instance) pick(h *handler) route.Decision {
	p := n.pools[h.request.kind()]
	routing := n.sim.options.Policy.Routing
	if routing == RoutePick || routing == NoAffinity || h.query.AdmissionFailure != nil || h.query.QueueWait > 0 {
		return route.Pick(n.sim.now, n.random, p.view, &h.query)
	}
	return n.pickBaseline(p, &h.query)
}

// pickBaseline chooses an engine by the baseline algorithm of the policy.
func (n *instance) pickBaseline(p *pool, r *route.Request) route.Decision {
	candidates := p.view.Versions[0].Candidates
	var best *route.Attempt
	var lowest float64
	first := n.random.IntN(len(candidates))
	if n.sim.options.Policy.Routing == RoundRobin {
		first = p.nextIndex
		p.nextIndex = (p.nextIndex + 1) % len(candidates)
	}
	for i := range candidates {
		if n.sim.options.Policy.Routing == TwoChoices && i > 1 && best != nil {
			break
		}
		a := &candidates[(first+i)%len(candidates)]
		score, usable := n.baselineScore(a.Upstream, r)
		if usable && (best == nil || score < lowest) {
			best = a
			lowest = score
		}
	}
	if best == nil {
		return route.Pick(n.sim.now, n.random, p.view, r)
	}
	return best
}

// baselineScore returns the value that a baseline minimizes, and whether the engine is
// usable. Baselines that choose the first usable engine have the same score for all.
func (n *instance) baselineScore(u *load.Upstream, r *route.Request) (float64, bool) {
	for _, tried := range r.Tried {
		if tried == u.ID {
			return 0, false
		}
	}
	estimate, usable := u.Estimate(n.sim.now)
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
		return float64(estimate.ResponseTime), usable
	}
	return 0, usable
}

// admissionClass returns the class under which a request is admitted.
func (n *instance) admissionClass(c table.Class) table.Class {
	if n.sim.options.Policy.Admission == SingleClass {
		return table.Plan
	}
	return c
}
