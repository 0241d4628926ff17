package pool

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Request is what the choice has to know of a request.
type Request struct {
	Service ident.Service
	// Tokens is the length of the prompt; zero for a plain service.
	Tokens int
	// Parts are those of the prompt, in order.
	Parts []PromptPart
	// Priority is that of the route; zero is the most urgent.
	Priority int
	// Excluded upstreams have had the request already.
	Excluded []ident.Upstream
}

// Projection is what a request would meet.
type Projection struct {
	// Wait is the time until the upstream turns to the request.
	Wait time.Duration
	// FirstByte is the projected time until its first event, or its answer.
	FirstByte time.Duration
}

// candidate is an upstream with what a request would meet there.
type candidate struct {
	replica *replica
	// cost orders candidates, in milliseconds.
	cost float64
	Projection
	// uncached is the part of the prompt that has to be read.
	uncached int
	// excess is the part of First that is not the upstream's own.
	excess time.Duration
}

// Project returns what a request would meet at the best upstream, and false when
// none takes it.
func (p *Pool) Project(now time.Time, a Request) (Projection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.best(now, a)
	return best.Projection, found
}

// Pick chooses an upstream and counts the request there until the lease ends.
func (p *Pool) Pick(now time.Time, a Request) (*Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.best(now, a)
	if !found {
		return nil, false
	}
	r := best.replica
	if r.isCold(now) {
		r.coldSent = now
	}
	ahead, _ := p.ahead(now, r)
	request := &waiting{rank: gossip.PriorityClass(a.Priority), tokens: best.uncached, sent: now}
	r.inFlight++
	if len(r.waiting) == 0 {
		r.heard = now
	}
	r.waiting = append(r.waiting, request)
	r.prompts.touch(now, a.Parts)
	p.sent(now, a.Service, best.uncached)
	return &Lease{
		Projection:     best.Projection,
		TokensAhead:    ahead,
		Upstream:       r.Upstream,
		Cold:           r.isCold(now),
		InFlight:       r.inFlight,
		UncachedTokens: best.uncached,
		excess:         best.excess,
		request:        request,
		pool:           p,
		replica:        r,
		started:        now,
	}, true
}

func (p *Pool) best(now time.Time, a Request) (candidate, bool) {
	var best candidate
	found := false
	home := p.affine(a)
	takers := p.takers(now, a.Service)
	draw := p.newDraw(p.unknown(now, a.Service, takers))
	for _, r := range takers {
		if slices.Contains(a.Excluded, r.ID) {
			continue
		}
		c := p.weigh(now, a, r, r.ID == home)
		c.cost += draw.guess(r.ID)
		if !found || c.cost < best.cost || c.cost == best.cost && c.replica.ID < best.replica.ID {
			best = c
			found = true
		}
	}
	if found {
		best.excess = p.excess(now, a.Service, gossip.PriorityClass(a.Priority))
		best.FirstByte += best.excess
	}
	return best, found
}

// takers returns the upstreams of a service that new work may go to.
func (p *Pool) takers(now time.Time, service ident.Service) []*replica {
	var list []*replica
	for _, r := range p.replicas {
		if r.Service == service && p.usable(now, r) {
			list = append(list, r)
		}
	}
	return list
}

// usable reports whether new work may go to an upstream at all.
func (p *Pool) usable(now time.Time, r *replica) bool {
	if r.Draining || now.Before(r.avoidUntil) || r.silent(now) {
		return false
	}
	if _, closed := p.closed[r.Zone]; closed {
		return false
	}
	return !r.isCold(now) || p.mayWarm(now, r)
}

// mayWarm reports whether this entry may send a request to a cold upstream now. One
// entry of the region feeds each cold upstream, no faster than the rate that it
// bears. The rules allow half as much again and a few more, so that two entries that
// disagree on who feeds still stay within them.
func (p *Pool) mayWarm(now time.Time, r *replica) bool {
	rate := p.services[r.Service].WarmupRate
	if rate <= 0 {
		return true
	}
	feeder, _ := rank.First(string(r.ID), p.near)
	if feeder != p.settings.Self {
		return false
	}
	return now.Sub(r.coldSent) >= time.Duration(float64(time.Second)/rate)
}

// affine returns the upstream that all entries of the region prefer for a prompt: by
// rendezvous over the upstreams, on the longest part that other requests share.
func (p *Pool) affine(a Request) ident.Upstream {
	if len(a.Parts) < 2 {
		return ""
	}
	key := a.Parts[len(a.Parts)-2].ID
	var home ident.Upstream
	for id, r := range p.replicas {
		if r.Service != a.Service || r.Draining {
			continue
		}
		if home == "" || rank.Before(key, id, home) {
			home = id
		}
	}
	return home
}
