// Package pool holds the upstreams of one region with what is believed of them, and
// chooses where a request goes: to the upstream where its first answer is due
// soonest, given what is in flight there, what it keeps of the prompt, whether it is
// cold, and how it has answered lately.
package pool

import (
	"sync"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/spec"
)

// Settings say how upstreams behave where they don't say so themselves.
type Settings struct {
	// Self is this entry.
	Self ident.Instance
	// Region is the one whose upstreams this entry may connect to.
	Region ident.Region
	// PromptRate is the prompt tokens that an engine reads in a millisecond, until
	// answers show otherwise.
	PromptRate float64
}

// Pool is the upstreams of a region. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu       sync.Mutex
	replicas map[ident.Upstream]*replica
	services map[ident.Service]spec.Service
	// closed holds the zones that are evacuated.
	closed map[ident.Zone]struct{}
	// near holds the entries of the own region, this one included.
	near []ident.Instance
	// wordAge is how old what others have in flight is on average, and paces how fast
	// this entry sends.
	wordAge time.Duration
	paces   map[ident.Service]*pace
	// draws counts the choices that were made with guesses.
	draws uint64
	// late is by how much first answers come later than projected.
	late map[ident.Service]*gossip.ByPriority[excess]
	// rate is the prompt tokens that an engine reads in a millisecond, as answers show
	// it.
	rate float64
}

// New returns an empty pool.
func New(s Settings) *Pool {
	return &Pool{
		settings: s,
		replicas: map[ident.Upstream]*replica{},
		closed:   map[ident.Zone]struct{}{},
		near:     []ident.Instance{s.Self},
		rate:     s.PromptRate,
	}
}

// SetServices takes in what operators say of the services.
func (p *Pool) SetServices(services map[ident.Service]spec.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = services
}

// SetRegionInstances takes in the entries of the own region.
func (p *Pool) SetRegionInstances(near []ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.near = near
}

// SetPeerLoads takes in what the other entries of the region have in flight.
func (p *Pool) SetPeerLoads(loads []gossip.UpstreamLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		r.others = foreign{}
	}
	for _, l := range loads {
		if r := p.replicas[l.Upstream]; r != nil {
			r.others.inFlight += l.InFlight
			for rank, tokens := range l.PromptTokens {
				r.others.tokens[rank] += tokens
			}
			r.others.reading = append(r.others.reading, l.Prefill)
		}
	}
}

// SetUpstream takes in an entry of the list. Upstreams of other regions are left out. It
// reports whether what is believed of the upstream has changed.
func (p *Pool) SetUpstream(now time.Time, l Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Region != p.settings.Region {
		return false
	}
	r := p.replicas[l.ID]
	if r == nil || r.another(l) {
		r = newReplica(l)
		r.chill(now, l.WarmupLeft)
		p.replicas[l.ID] = r
		return true
	}
	changed := r.Draining != l.Draining
	r.Upstream = l
	r.chill(now, l.WarmupLeft)
	return changed
}

// another reports whether a list entry is of another run than the one held.
func (r *replica) another(l Upstream) bool {
	return !l.StartTime.IsZero() && !l.StartTime.Equal(r.StartTime) || l.Address != r.Address || l.Service != r.Service
}

// RemoveUpstream takes an upstream out that has left the list.
func (p *Pool) RemoveUpstream(id ident.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.replicas[id]
	delete(p.replicas, id)
	return known
}

// EvacuateZone stops new work to a zone.
func (p *Pool) EvacuateZone(zone ident.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed[zone] = struct{}{}
}

// RestoreZone opens a zone again. Its upstreams count as cold: they have had no work.
func (p *Pool) RestoreZone(now time.Time, zone ident.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.closed, zone)
	for _, r := range p.replicas {
		if r.Zone == zone {
			r.chill(now, p.services[r.Service].Warmup)
		}
	}
}

// UpstreamLoads returns what this entry has in flight at each upstream.
func (p *Pool) UpstreamLoads(now time.Time) []gossip.UpstreamLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []gossip.UpstreamLoad
	for id, r := range p.replicas {
		if r.inFlight == 0 {
			continue
		}
		tokens, reading := p.own(now, r)
		list = append(list, gossip.UpstreamLoad{Upstream: id, InFlight: r.inFlight, PromptTokens: tokens, Prefill: reading})
	}
	return list
}

// ServiceLoads returns what a further request for each service would meet in the region.
func (p *Pool) ServiceLoads(now time.Time) []gossip.ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	byName := map[ident.Service]*gossip.ServiceLoad{}
	for _, r := range p.replicas {
		if !p.usable(now, r) || r.isCold(now) {
			continue
		}
		s := byName[r.Service]
		if s == nil {
			s = &gossip.ServiceLoad{Service: r.Service}
			byName[r.Service] = s
		}
		for rank := range s.Waits {
			c := p.weigh(now, Request{Tokens: boolTokens(p.services[r.Service].Engine), Priority: rank}, r, false)
			wait := c.Wait + p.excess(now, r.Service, rank)
			if s.Upstreams == 0 || wait < s.Waits[rank] {
				s.Waits[rank] = wait
			}
		}
		s.Upstreams++
		if p.services[r.Service].Engine {
			s.TokensPerMilli += p.rate / min(max(r.slow, 1), maxSlow)
		}
	}
	list := make([]gossip.ServiceLoad, 0, len(byName))
	for _, s := range byName {
		list = append(list, *s)
	}
	return list
}

// boolTokens makes the projection count the backlog of engines.
func boolTokens(engine bool) int {
	if engine {
		return 1
	}
	return 0
}
