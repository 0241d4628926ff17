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
}

// ReportLimit records the limit that an answer of the upstream names, or that it names
// none. It reports whether that is a change.
func (l *Lease) ReportLimit(now time.Time, limit gossip.RateLimit) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	before := l.replica.limit
	l.replica.limit = limitReport{limit, now}
	return before.RateLimit != limit
}
