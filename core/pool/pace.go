package pool

import (
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// An upstream that is cold fails if the instances of its region together send it many more
// requests than its warm-up rate. Each cold upstream therefore has one sender in the
// region, chosen by rendezvous over the instances. While the instances don't agree on who
// they are, nobody sends to cold upstreams; these become warm in a few seconds all the
// same.

// maxRegionAge is the age at which a view of the region no longer permits requests to cold
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
	p.warmup.forget(now)
	p.forgetUnlisted(now)
}

// isCurrent reports whether the view has been renewed lately, also by a clock that goes on
// while the machine is suspended.
func (v *regionView) isCurrent(now time.Time) bool {
	age := now.Sub(v.updatedAt)
	return age <= maxRegionAge && age+clock.Suspension(v.updatedAt, now) <= maxRegionAge
}

// warmup holds the last requests to cold upstreams. It outlives their entries in the list,
// which may come and go.
type warmup struct {
	sends map[ident.Upstream]coldSends
}

// coldSends holds the times of the last requests to one cold upstream. Choices are spaced
// so that a request that is waiting for its connection keeps its turn; what the upstream
// gets is spaced by the sends.
type coldSends struct {
	chosenAt time.Time
	sentAt   time.Time
}

// warmupMemory is how long the last requests to a cold upstream are remembered. It exceeds
// the interval of any warm-up rate in use.
const warmupMemory = time.Minute

func (w *warmup) recordChoice(now time.Time, id ident.Upstream) {
	last := w.sends[id]
	last.chosenAt = now
	w.set(id, last)
}

func (w *warmup) recordSend(now time.Time, id ident.Upstream) {
	last := w.sends[id]
	last.sentAt = now
	w.set(id, last)
}

func (w *warmup) set(id ident.Upstream, last coldSends) {
	if w.sends == nil {
		w.sends = map[ident.Upstream]coldSends{}
	}
	w.sends[id] = last
}

// forget removes the times of upstreams that have had no request for warmupMemory.
func (w *warmup) forget(now time.Time) {
	for id, last := range w.sends {
		if now.Sub(last.chosenAt) > warmupMemory {
			delete(w.sends, id)
		}
	}
}

// mayChooseCold reports whether a request to a cold upstream may be chosen now.
func (p *Pool) mayChooseCold(now time.Time, r *replica) bool {
	interval := p.warmupInterval(r.Service)
	if interval == 0 {
		return true
	}
	last := p.warmup.sends[r.ID]
	return p.isWarmupSender(now, r.ID) && now.Sub(last.chosenAt) >= interval && now.Sub(last.sentAt) >= interval
}

// warmupInterval returns the time between two requests to a cold upstream of a service;
// zero if they are not limited.
func (p *Pool) warmupInterval(s ident.Service) time.Duration {
	rate := p.services[s].WarmupRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// isWarmupSender reports whether this instance is the one of its region that sends to a
// cold upstream.
func (p *Pool) isWarmupSender(now time.Time, id ident.Upstream) bool {
	if !p.region.agrees || !p.region.isCurrent(now) {
		return false
	}
	sender, _ := rank.First(string(id), p.region.instances)
	return sender == p.settings.Self
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
// chosen: a connection had to be opened, and the upstream may have restarted, left or
// become cold, or the region may have changed. The PacedSend is nil if the upstream is
// warm and names no limit. A request that was admitted must be sent.
func (l *Lease) AdmitSend(now time.Time) (*PacedSend, bool) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	r := l.replica
	if p.replicas[r.ID] != r {
		return nil, false
	}
	if !r.isCold(now) && !r.limit.Named {
		return nil, true
	}
	last := p.warmup.sends[r.ID].sentAt
	interval := p.warmupInterval(r.Service)
	if r.isCold(now) && interval > 0 && (!p.isWarmupSender(now, r.ID) || now.Sub(last) < interval) {
		return nil, false
	}
	p.warmup.recordSend(now, r.ID)
	return p.pacedSend(now, r, last), true
}

func (p *Pool) pacedSend(now time.Time, r *replica, last time.Time) *PacedSend {
	send := &PacedSend{
		ColdLeft:  max(0, r.coldUntil.Sub(now)),
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
