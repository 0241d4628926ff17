package pool

import (
	"net/netip"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/prefix"
)

// Upstream is the description that an upstream publishes of itself in the list.
type Upstream struct {
	ID ident.Upstream
	// StartTime is when this run of the upstream started; zero if the upstream doesn't
	// publish it.
	StartTime time.Time
	Service   ident.Service
	// Version is the version of the upstream's software. Versions have no order; empty if the
	// upstream doesn't publish it.
	Version string
	Address netip.AddrPort
	Zone    ident.Zone
	Region  ident.Region
	// Slots is the number of requests that the upstream serves at once.
	Slots int
	// Draining is set when the upstream accepts no new requests.
	Draining bool
	// WarmupLeft is how long the upstream stays cold, counted from the moment at which
	// the description was read.
	WarmupLeft time.Duration
	// Sequence grows with the descriptions that a run of the upstream publishes.
	Sequence uint64
}

// isOlderThan reports whether the upstream published its description before another one.
// It is false where their order isn't known.
func (u *Upstream) isOlderThan(other *Upstream) bool {
	if u.StartTime.IsZero() || other.StartTime.IsZero() {
		return false
	}
	if !u.StartTime.Equal(other.StartTime) {
		return u.StartTime.Before(other.StartTime)
	}
	return u.Sequence < other.Sequence || other.Draining && !u.Draining
}

// peerLoad is the load that the other instances of the region have in flight at an
// upstream.
type peerLoad struct {
	inFlight int
	tokens   gossip.ByPriority[int]
	// prefills holds the prompt that is read first, for each instance.
	prefills []gossip.Prefill
}

// replica is the state held of one run of an upstream.
type replica struct {
	Upstream

	// inFlight counts this instance's own requests that have not ended. waiting holds the
	// ones without a first byte, in the order in which they were sent.
	inFlight int
	waiting  []*pendingRequest
	peers    peerLoad

	selfReport
	brittleState
	// listedAt is when the run was first described.
	listedAt time.Time
	// dialColdUntil is until when the upstream counts as cold since no connection to it could be
	// opened. If it was this instance that was cut off, that is taken back.
	dialColdUntil time.Time
	// end is what is known of the end of the run.
	end runEnd
	// silentAt is when a request last ended because the upstream was silent.
	silentAt time.Time

	// backoffUntil is when a failed upstream is tried again.
	backoffUntil time.Time
	// failures counts the failures since the last success.
	failures int
	// failureRate is the moving average of failed requests, 0 to 1.
	failureRate float64
	// slowdown is the moving average of the time to the first byte, relative to the
	// projection; 1 is as projected.
	slowdown float64
	// holdTime is the moving average of the time that a request occupies its slot.
	holdTime time.Duration
	// lastActivity is when the upstream last sent anything, or when a request was sent
	// while no other waited. lastFirstByte is when it last sent a first byte.
	lastActivity  time.Time
	lastFirstByte time.Time
	// endedAt is when the upstream was last found to take no connections.
	endedAt time.Time

	// prompts holds what this instance has sent to this run.
	prompts     prefix.Index
	recentSends recentSends
}

// pendingRequest is a request whose first byte has not arrived.
type pendingRequest struct {
	priority int
	// tokens is the number of prompt tokens that have to be read.
	tokens int
	sentAt time.Time
}

const (
	// averageWeight is the weight of the newest request in moving averages.
	averageWeight = 0.15
	// initialBackoff doubles with each further failure in a row, up to maxBackoff.
	initialBackoff = 400 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// stallTimeout is the time without any response after which an upstream with waiting
	// requests gets no new ones.
	stallTimeout = 1200 * time.Millisecond
	// defaultHoldTime is used until the first request has ended.
	defaultHoldTime = 300 * time.Millisecond
)

func newReplica(u Upstream) *replica {
	return &replica{Upstream: u, slowdown: 1, holdTime: defaultHoldTime}
}

// coldUntil returns the time until which an upstream counts as cold, by what it says of itself
// and by what its connections show; zero if it never was.
func (p *Pool) coldUntil(r *replica) time.Time {
	return latest(latest(r.coldUntil, r.dialColdUntil), r.end.coldUntil(p.services[r.Service].Warmup))
}

func (p *Pool) isCold(now time.Time, r *replica) bool {
	return now.Before(p.coldUntil(r))
}

// markCold records that the upstream said that it is cold for the given time, or that nothing was
// sent to it for so long that it is.
func (r *replica) markCold(now time.Time, d time.Duration) {
	if d > 0 {
		r.coldUntil = latest(r.coldUntil, now.Add(d))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordFailure records a failure that the upstream is responsible for.
func (r *replica) recordFailure(now time.Time) {
	r.failures++
	r.failureRate += averageWeight * (1 - r.failureRate)
	backoff := initialBackoff << min(r.failures-1, 3)
	r.backoffUntil = now.Add(min(backoff, maxBackoff))
}

// stalled reports whether requests wait at the upstream and nothing has arrived from it
// for stallTimeout.
func (r *replica) stalled(now time.Time) bool {
	return len(r.waiting) > 0 && now.Sub(r.lastActivity) > stallTimeout
}

func (r *replica) recordSuccess() {
	r.failures = 0
	r.failureRate -= averageWeight * r.failureRate
	r.backoffUntil = time.Time{}
}
