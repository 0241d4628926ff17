package pool

import (
	"net/netip"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// An upstream that has ended may be back under its id and address, cold, before the list shows
// that: until then its description is that of the run that has ended, and says that it is warm.
// Its connections end with it. The instances that notice tell the others of the region, and it
// counts as cold until it has answered a request and its warm-up has passed since.

// endMemory is how long an upstream counts as ended that nobody has heard of since. It exceeds
// the time for which the store may be away and the list tell nothing.
const endMemory = 15 * time.Second

// runEnd is what is known of the end of the run that the list describes. Its zero value says
// that nobody has noticed one.
type runEnd struct {
	// at is when the upstream was last found to have ended, here or by a peer, or, if returned is
	// set, when it first answered after that.
	at       time.Time
	returned bool
	// own is set if this instance has found it out and tells its peers.
	own bool
}

// coldUntil returns the time until which the upstream counts as cold; zero if it has not ended.
func (e *runEnd) coldUntil(warmup time.Duration) time.Time {
	switch {
	case e.at.IsZero():
		return time.Time{}
	case e.returned:
		return e.at.Add(warmup)
	default:
		return e.at.Add(endMemory)
	}
}

// isOpen reports whether the upstream has ended and isn't known to be back.
func (e *runEnd) isOpen(now time.Time) bool {
	return !e.at.IsZero() && !e.returned && now.Sub(e.at) < endMemory
}

// recordEnd records that this instance has found the upstream to have ended.
func (r *replica) recordEnd(now time.Time) {
	r.endedAt = now
	r.end = runEnd{at: now, own: true}
}

// recordReturn records an answer to a request that was sent after the upstream had ended. It may
// have started just now.
func (p *Pool) recordReturn(now, sentAt time.Time, r *replica) {
	if r.end.isOpen(now) && sentAt.After(r.end.at) {
		r.end = runEnd{at: now, returned: true, own: true}
		p.endNews = true
	}
}

// MarkEnded records that the upstream has ended: it takes no connections.
func (l *Lease) MarkEnded(now time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.markEnded(now, l.replica)
}

func (p *Pool) markEnded(now time.Time, r *replica) {
	p.endNews = p.endNews || !r.end.isOpen(now)
	r.recordEnd(now)
}

// TakeEndNews reports whether this instance has found an upstream to have ended, or to be back,
// since the last call, before a peer did.
func (p *Pool) TakeEndNews() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := p.endNews
	p.endNews = false
	return news
}

// MarkEnded records that an upstream at an address has ended: its connections have, and it takes
// no new ones. It reports whether the upstream is listed there.
func (p *Pool) MarkEnded(now time.Time, id ident.Upstream, address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[id]
	if r == nil || r.Address != address {
		return false
	}
	p.markEnded(now, r)
	return true
}

// ExpectsRequests reports whether an upstream is listed at an address and not about to leave, so
// that its end matters to further requests.
func (p *Pool) ExpectsRequests(id ident.Upstream, address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[id]
	return r != nil && r.Address == address && !r.Draining && !r.leaving
}

// EndedUpstreams returns the upstreams that this instance itself found to have ended, for
// endMemory.
func (p *Pool) EndedUpstreams(now time.Time) []gossip.UpstreamEnd {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []gossip.UpstreamEnd
	for id, r := range p.replicas {
		if !r.end.own || now.Sub(r.end.at) >= endMemory {
			continue
		}
		list = append(list, gossip.UpstreamEnd{
			UpstreamRun: gossip.UpstreamRun{Upstream: id, StartTime: r.StartTime},
			Returned:    r.end.returned,
			Age:         now.Sub(r.end.at),
		})
	}
	return list
}

// SetPeerEnds merges what peers have found of upstreams that ended. It returns those of which
// this instance did not know.
func (p *Pool) SetPeerEnds(now time.Time, ends []gossip.UpstreamEnd) []gossip.UpstreamEnd {
	p.mu.Lock()
	defer p.mu.Unlock()
	var news []gossip.UpstreamEnd
	for _, e := range ends {
		r := p.replicas[e.Upstream]
		if r == nil || !r.StartTime.Equal(e.StartTime) || e.Age >= endMemory {
			continue
		}
		at := now.Add(-e.Age)
		if r.end.at.IsZero() || now.Sub(r.end.at) >= endMemory {
			news = append(news, e)
		}
		if at.Sub(r.end.at) > minNewsAge || at.After(r.end.at) && e.Returned != r.end.returned {
			r.end = runEnd{at: at, returned: e.Returned}
		}
	}
	return news
}
