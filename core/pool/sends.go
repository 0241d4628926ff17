package pool

import (
	"time"

	"arbutustrestle/core/ident"
)

// recentSends holds the times of the last requests that were sent to an upstream, whose number
// is the length. Its zero value holds none.
type recentSends struct {
	times [16]time.Time
	next  int
}

func (s *recentSends) record(now time.Time) {
	s.times[s.next] = now
	s.next = (s.next + 1) % len(s.times)
}

// since returns how many of the requests were sent at a time or later.
func (s *recentSends) since(t time.Time) int {
	count := 0
	for _, at := range s.times {
		if !at.IsZero() && !at.Before(t) {
			count++
		}
	}
	return count
}

// SendsSince returns how many requests this instance has sent to an upstream since a time by the
// time of day, 16 at most: those that were sent to a run before its description was known, if it
// is the start of that run.
func (p *Pool) SendsSince(id ident.Upstream, since time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[id]
	if r == nil || since.IsZero() {
		return 0
	}
	return r.recentSends.since(since)
}
