package pool

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/prefix"
)

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Service ident.Service
	// Tokens is the length of the prompt; zero for a plain service.
	Tokens int
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// Priority is the priority of the route; zero is the most urgent.
	Priority int
	// Excluded lists upstreams that the request was already sent to.
	Excluded []ident.Upstream
	// VersionBound is set for a request that goes on with a stream.
	VersionBound VersionBound
	// UnprovedSuffices is set for a request that begins a stream, if an upstream whose version
	// isn't proved is better than none: the stream can't go on elsewhere then.
	UnprovedSuffices bool
}

// Projection is the projected latency of a request at an upstream.
type Projection struct {
	// Wait is the time until the upstream begins to process the request.
	Wait time.Duration
	// FirstByte is the time to the first event of a stream, or to the answer.
	FirstByte time.Duration
}

// candidate is an upstream with the projected latency of a request there.
type candidate struct {
	replica *replica
	// cost orders candidates, in milliseconds.
	cost float64
	Projection
	// uncached is the number of prompt tokens that have to be read, and held what the
	// upstream is estimated to hold.
	uncached int
	held     prefix.Estimate
	affinity affinity
	// versionBound is that under which the upstream was found.
	versionBound VersionBound
	// excess is the part of FirstByte that applies to the whole service and not to this
	// upstream in particular.
	excess time.Duration
}

// Project returns the projected latency at the best upstream, and false when no upstream
// accepts the request.
func (p *Pool) Project(now time.Time, req Request) (Projection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.best(now, req)
	return best.Projection, found
}

// Pick chooses an upstream and counts the request there until the lease ends.
func (p *Pool) Pick(now time.Time, req Request) (*Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.best(now, req)
	if !found {
		return nil, false
	}
	r := best.replica
	if _, paced := p.pace(now, r); paced {
		p.sendTimes.recordChoice(now, r.ID)
	}
	ahead, _ := p.tokensAhead(now, r)
	request := &pendingRequest{priority: gossip.PriorityClass(req.Priority), tokens: best.uncached, sentAt: now}
	r.inFlight++
	if len(r.waiting) == 0 {
		r.lastActivity = now
	}
	r.waiting = append(r.waiting, request)
	if best.affinity != nil {
		best.affinity.sent(now, p, req, best)
	}
	p.recordSent(now, req.Service, best.uncached)
	return &Lease{
		Projection:     best.Projection,
		TokensAhead:    ahead,
		Upstream:       r.Upstream,
		InFlight:       r.inFlight,
		UncachedTokens: best.uncached,
		CachedTokens:   req.Tokens - best.uncached,
		held:           best.held,
		affinity:       best.affinity,
		versionBound:   best.versionBound,
		excess:         best.excess,
		request:        request,
		pool:           p,
		replica:        r,
		started:        now,
	}, true
}

// best returns the upstream with the lowest cost. A version that isn't proved suffices only where
// no upstream has a proved one.
func (p *Pool) best(now time.Time, req Request) (candidate, bool) {
	best, found := p.bestAllowed(now, req)
	if found || !req.UnprovedSuffices {
		return best, found
	}
	req.VersionBound.Proved = false
	return p.bestAllowed(now, req)
}

func (p *Pool) bestAllowed(now time.Time, req Request) (candidate, bool) {
	var best candidate
	found := false
	prompt := p.viewPrompt(now, req)
	upstreams := p.eligible(now, req.Service)
	sampler := p.sampler(prompt, p.unreportedCost(now, req.Service, upstreams))
	for _, r := range upstreams {
		if slices.Contains(req.Excluded, r.ID) || !p.allowsVersion(now, req.VersionBound, r) {
			continue
		}
		c := p.estimate(now, req, r, prompt)
		c.cost += sampler.sample(r.ID)
		if !found || c.cost < best.cost || c.cost == best.cost && c.replica.ID < best.replica.ID {
			best = c
			best.versionBound = req.VersionBound
			found = true
		}
	}
	if found {
		best.excess = p.excessDelay(now, req.Service, gossip.PriorityClass(req.Priority))
		best.FirstByte += best.excess
	}
	return best, found
}

// eligible returns the upstreams of a service that accept new requests.
func (p *Pool) eligible(now time.Time, service ident.Service) []*replica {
	var list []*replica
	if p.isHeld(now) {
		return nil
	}
	for _, r := range p.replicas {
		if r.Service == service && p.usable(now, r) {
			list = append(list, r)
		}
	}
	return list
}

// usable reports whether an upstream accepts new requests from this instance.
func (p *Pool) usable(now time.Time, r *replica) bool {
	if p.isClosed(r) || r.refuses(now) || now.Before(r.backoffUntil) || r.stalled(now) {
		return false
	}
	return p.mayChoose(now, r)
}

// isClosed reports whether no request may go to an upstream any more, since it drains, said
// that it leaves, or its zone is evacuated.
func (p *Pool) isClosed(r *replica) bool {
	_, evacuated := p.evacuated[r.Zone]
	return r.Draining || r.leaving || evacuated
}
