package pool

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Some upstreams bear only so many requests a second from all instances of their region
// together: one that is cold bears its warm-up rate, one that is in need names a limit. No
// counter is shared. Such an upstream has few senders in the region, chosen by rendezvous
// over the instances, which divide the rate evenly. While the instances don't agree on who
// they are, nobody sends there.
//
// With k senders, an upstream with rate r gets at most r x t + k requests in a time t, and
// k more for each time that the senders change.

// maxRegionAge is the age at which a view of the region no longer permits requests to paced
// upstreams. The view is renewed every gossip.TickInterval.
const maxRegionAge = 500 * time.Millisecond

// regionView is the pool's view of the instances of its region.
type regionView struct {
	// instances includes this one.
	instances []ident.Instance
	// agrees is set if all instances hold the same view.
	agrees    bool
	updatedAt time.Time
}

// SetRegion replaces the list of instances of the own region. The instances agree if all
// of them hold the same list.
func (p *Pool) SetRegion(now time.Time, instances []ident.Instance, agree bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.region = regionView{instances: instances, agrees: agree, updatedAt: now}
	p.sendTimes.forget(now)
	p.forgetUnlisted(now)
}

// pace is the rate of requests that an upstream bears, and how many instances share it.
type pace struct {
	perSecond float64
	// senders is at least 1.
	senders int
}

const (
	// minLimitRate is the rate of requests to an upstream whose limit is lower, or zero:
	// only an answer can lift the limit. The rule allows five requests in 4 s beyond the
	// limit.
	minLimitRate = 0.25
	// limitPerSender is how much of an upstream's limit, in requests a second, justifies
	// one sender. With more senders, more of the region's requests can go there; but each
	// one adds a request to a burst.
	limitPerSender = 2
)

// pace returns the bound on requests to an upstream, and false if there is none.
func (p *Pool) pace(now time.Time, r *replica) (pace, bool) {
	warmup := p.services[r.Service].WarmupRate
	paced := pace{perSecond: warmup, senders: 1}
	cold := p.isCold(now, r) && warmup > 0
	if r.limit.Named {
		limit := max(r.limit.PerSecond, minLimitRate)
		if !cold || limit < warmup {
			paced = pace{perSecond: limit, senders: max(1, int(limit/limitPerSender))}
		}
	}
	return paced, cold || r.limit.Named
}

// interval returns the time between two requests of one sender.
func (c pace) interval(instances int) time.Duration {
	senders := min(c.senders, max(1, instances))
	return time.Duration(float64(senders) / c.perSecond * float64(time.Second))
}

// sendTimes holds the times of the last requests to paced upstreams. They outlive the
// upstreams' entries in the list, which may come and go.
type sendTimes map[ident.Upstream]lastSend

// lastSend holds the times of the last request to one paced upstream. Choices are spaced
// so that a request that is waiting for its connection keeps its turn; what the upstream
// gets is spaced by the sends.
type lastSend struct {
	chosenAt time.Time
	sentAt   time.Time
}

// paceMemory is how long the last requests to a paced upstream are remembered. It exceeds
// the interval of any rate in use.
const paceMemory = time.Minute

func (s sendTimes) recordChoice(now time.Time, id ident.Upstream) {
	last := s[id]
	last.chosenAt = now
	s[id] = last
}

func (s sendTimes) recordSend(now time.Time, id ident.Upstream) {
	last := s[id]
	last.sentAt = now
	s[id] = last
}

// forget removes the times of upstreams that have had no request for paceMemory.
func (s sendTimes) forget(now time.Time) {
	for id, last := range s {
		if now.Sub(last.chosenAt) > paceMemory {
			delete(s, id)
		}
	}
}

// mayChoose reports whether the pace of an upstream allows a request to be chosen for it
// now.
func (p *Pool) mayChoose(now time.Time, r *replica) bool {
	if !p.brittleAllows(now, r) {
		return false
	}
	paced, found := p.pace(now, r)
	if !found {
		return true
	}
	interval := paced.interval(len(p.region.instances))
	last := p.sendTimes[r.ID]
	return p.isSender(now, r.ID, paced) && now.Sub(last.chosenAt) >= interval && now.Sub(last.sentAt) >= interval
}

// isSender reports whether this instance is one of its region that send to a paced
// upstream.
func (p *Pool) isSender(now time.Time, id ident.Upstream, paced pace) bool {
	if !p.region.agrees || p.region.age(now) > maxRegionAge {
		return false
	}
	senders := rank.Top(string(id), p.region.instances, paced.senders)
	return slices.Contains(senders, p.settings.Self)
}

// PacedSend holds what is known of an upstream that is cold or names a limit when a
// request is sent to it.
type PacedSend struct {
	// ColdLeft is how much longer the upstream counts as cold; zero if it is warm.
	ColdLeft time.Duration
	// Limit is the limit that the upstream names, LimitAge the time since the last answer
	// from which it is known.
	Limit    gossip.RateLimit
	LimitAge time.Duration
	// SinceLast is the time since this instance last sent a request there while the
	// upstream was cold or named a limit; zero if it has sent none.
	SinceLast time.Duration
	// Instances is the number of instances of the region that this instance took into
	// account, itself included.
	Instances int
}

// AdmitSend reports whether the request may be sent now, which is later than it was
// chosen: a connection had to be opened. Meanwhile the upstream may have restarted, left,
// begun to drain, become cold, ended (so that its version isn't proved), named a limit or said
// that it is brittle, leaves or wants no request; its zone may have been evacuated; the process
// may have been paused; the region may have changed. The PacedSend is nil if the upstream is warm and names no limit. A request that
// was admitted must be sent.
func (l *Lease) AdmitSend(now time.Time) (*PacedSend, bool) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	r := l.replica
	if !l.pool.allowsVersion(now, l.versionBound, r) {
		return nil, false
	}
	if p.replicas[r.ID] != r || p.isClosed(r) || r.refuses(now) || p.isHeld(now) {
		return nil, false
	}
	paced, found := p.pace(now, r)
	last := p.sendTimes[r.ID].sentAt
	if found && (!p.isSender(now, r.ID, paced) || now.Sub(last) < paced.interval(len(p.region.instances))) || !l.admitBrittle(now) {
		return nil, false
	}
	r.recentSends.record(now)
	if !found {
		return nil, true
	}
	p.sendTimes.recordSend(now, r.ID)
	return p.pacedSend(now, r, last), true
}

func (p *Pool) pacedSend(now time.Time, r *replica, last time.Time) *PacedSend {
	send := &PacedSend{
		ColdLeft:  max(0, p.coldUntil(r).Sub(now)),
		Limit:     r.limit.RateLimit,
		Instances: len(p.region.instances),
	}
	if r.limit.Named {
		send.LimitAge = now.Sub(r.limit.at)
	}
	if !last.IsZero() {
		send.SinceLast = now.Sub(last)
	}
	return send
}
