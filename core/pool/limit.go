package pool

import (
	"time"

	"arbutustrestle/core/gossip"
)

// limitReport is what an upstream said last of the requests that it takes.
type limitReport struct {
	gossip.RateLimit
	// at is when the answer that said so arrived; zero if none did.
	at time.Time
	// lifted is set if the upstream named a limit before and names none now.
	lifted bool
}

// follow sets the report to a later one.
func (r *limitReport) follow(limit gossip.RateLimit, at time.Time) {
	r.lifted = !limit.Named && (r.Named || r.lifted)
	r.RateLimit = limit
	r.at = at
}

// ReportLimit records the limit that an answer of the upstream names, or that it names
// none. It reports whether that is a change.
func (l *Lease) ReportLimit(now time.Time, limit gossip.RateLimit) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	changed := l.replica.limit.RateLimit != limit
	l.replica.limit.follow(limit, now)
	return changed
}

// minNewsAge is how much later than the held report one from a peer must be that says the
// same. Each report seems younger by the time for which it was on the way, so that two
// instances that exchange one would keep it young.
const minNewsAge = time.Second

// SetPeerLimits merges what peers know of the limits of upstreams. Of a run of an upstream,
// the latest answer counts, whichever instance got it.
func (p *Pool) SetPeerLimits(now time.Time, limits []gossip.UpstreamLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range limits {
		r := p.replicas[l.Upstream]
		if r == nil || !r.StartTime.Equal(l.StartTime) {
			continue
		}
		at := now.Add(-l.Age)
		newer := at.Sub(r.limit.at)
		if newer > minNewsAge || newer > 0 && r.limit.RateLimit != l.RateLimit {
			r.limit.follow(l.RateLimit, at)
		}
	}
}

// UpstreamLimits returns what this instance knows of the limits of upstreams, from answers
// and from peers. That an upstream no longer names one is reported for paceMemory.
func (p *Pool) UpstreamLimits(now time.Time) []gossip.UpstreamLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []gossip.UpstreamLimit
	for id, r := range p.replicas {
		if r.limit.Named || r.limit.lifted && now.Sub(r.limit.at) <= paceMemory {
			list = append(list, gossip.UpstreamLimit{Upstream: id, StartTime: r.StartTime, RateLimit: r.limit.RateLimit, Age: now.Sub(r.limit.at)})
		}
	}
	return list
}
