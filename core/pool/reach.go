package pool

import (
	"cmp"
	"time"

	"arbutustrestle/core/ident"
)

// recordUnreachable records that no connection to the upstream could be opened. One that comes
// back after that has lost its cache.
func (r *replica) recordUnreachable(now time.Time, warmup time.Duration) {
	r.endedAt = now
	r.dialColdUntil = latest(r.dialColdUntil, now.Add(warmup))
}

// recordSilence records that a request sent at a time ended because the upstream sent nothing. The
// requests that were sent before an earlier one ended in this way waited in the same silence:
// counted each, the backoff of an upstream that pauses for a second would grow to its maximum.
func (r *replica) recordSilence(now, sentAt time.Time) {
	if sentAt.Before(r.silentAt) {
		return
	}
	r.silentAt = now
	r.recordFailure(now)
}

// ClearUnreachable reverts what failed attempts at the upstreams of a service have led to: it was
// this instance that was cut off from them. That is the backoff and, if the list is known to be new,
// the cold state: otherwise one of them may have restarted behind the cut.
func (p *Pool) ClearUnreachable(service ident.Service, newList bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		if r.Service != service {
			continue
		}
		r.recordSuccess()
		if newList {
			r.dialColdUntil = time.Time{}
		}
	}
}

// CheckTargets returns up to count random upstreams of a service that accept requests according
// to their answers and to the published list, whether or not they are reached.
func (p *Pool) CheckTargets(service ident.Service, count int) []Upstream {
	return p.randomOpen(count, func(r *replica) bool { return r.Service == service })
}

// OtherTargets is like CheckTargets, for the upstreams of all services but one upstream.
func (p *Pool) OtherTargets(but ident.Upstream, count int) []Upstream {
	return p.randomOpen(count, func(r *replica) bool { return r.ID != but })
}

// randomOpen returns up to count random upstreams that are accepted and aren't leaving.
func (p *Pool) randomOpen(count int, accept func(r *replica) bool) []Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Upstream
	for _, r := range p.replicas {
		if accept(r) && !p.isClosed(r) {
			list = append(list, r.Upstream)
		}
	}
	return sample(p, list, count, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
}
