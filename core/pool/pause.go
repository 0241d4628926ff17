package pool

import (
	"time"

	"arbutustrestle/core/clock"
)

// A process that was paused, or whose machine was suspended, holds what was true before:
// upstreams may have left since, and zones may have been evacuated. It sends nothing until
// it has read the published values again.

// maxViewAge is the age of the view of the region, which is renewed every
// gossip.TickInterval, at which the process must have been paused.
const maxViewAge = time.Second

// Hold stops requests from being chosen and sent until a time, or until Release is called.
func (p *Pool) Hold(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldUntil = until
}

// Release ends Hold.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldUntil = time.Time{}
}

// isHeld reports whether requests may not be chosen or sent now. A pause that is over shows
// by the age of the view before the control loop runs and calls Hold.
func (p *Pool) isHeld(now time.Time) bool {
	if now.Before(p.heldUntil) {
		return true
	}
	return !p.region.updatedAt.IsZero() && p.region.age(now) > maxViewAge
}

// age returns the time since the view was renewed, also by a clock that goes on while the
// machine is suspended.
func (v *regionView) age(now time.Time) time.Duration {
	elapsed := now.Sub(v.updatedAt)
	return elapsed + max(0, clock.Suspension(v.updatedAt, now))
}
