package pool

import (
	"time"

	"arbutustrestle/core/clock"
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
	for id, last := range p.coldSends {
		if now.Sub(last) > coldSendMemory {
			delete(p.coldSends, id)
		}
	}
}

// coldSendMemory is how long the last request to a cold upstream is remembered. It exceeds
// the interval of any warm-up rate in use.
const coldSendMemory = time.Minute

// isCurrent reports whether the view has been renewed lately, also by a clock that goes on
// while the machine is suspended.
func (v *regionView) isCurrent(now time.Time) bool {
	age := now.Sub(v.updatedAt)
	return age <= maxRegionAge && age+clock.Suspension(v.updatedAt, now) <= maxRegionAge
}

// mayWarmUp reports whether this instance may send a request to a cold upstream now: it is
// the sender of that upstream, and its last request there is long enough ago.
func (p *Pool) mayWarmUp(now time.Time, r *replica) bool {
	rate := p.services[r.Service].WarmupRate
	if rate <= 0 {
		return true
	}
	if !p.region.agrees || !p.region.isCurrent(now) {
		return false
	}
	sender, _ := rank.First(string(r.ID), p.region.instances)
	if sender != p.settings.Self {
		return false
	}
	return now.Sub(p.coldSends[r.ID]) >= time.Duration(float64(time.Second)/rate)
}

// ColdSend holds the values that allowed a request to a cold upstream.
type ColdSend struct {
	// Left is how much longer the upstream counts as cold.
	Left time.Duration
	// SinceLast is the time since this instance last sent a request there while the
	// upstream was cold; zero if it has sent none.
	SinceLast time.Duration
	// Instances is the number of instances of the region that this instance took into
	// account, itself included.
	Instances int
}

// recordColdSend records a request to an upstream if that is cold, or else returns nil.
func (p *Pool) recordColdSend(now time.Time, r *replica) *ColdSend {
	if !r.isCold(now) {
		return nil
	}
	send := &ColdSend{Left: r.coldUntil.Sub(now), Instances: len(p.region.instances)}
	if last := p.coldSends[r.ID]; !last.IsZero() {
		send.SinceLast = now.Sub(last)
	}
	p.coldSends[r.ID] = now
	return send
}
