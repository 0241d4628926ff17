package load

import "time"

// Usable reports whether a new attempt may go to the upstream: it isn't leaving
// and isn't in a pause after failures. After the pause one attempt at a time is
// let through until one is answered.
func (u *Upstream) Usable(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.usable(now)
}

func (u *Upstream) usable(now time.Time) bool {
	if u.leaving || now.Before(u.held) {
		return false
	}
	return u.failures == 0 || u.own.inFlight == 0
}

// Projection is what one further request would meet at an upstream.
type Projection struct {
	// Wait is the projected time in the queue.
	Wait time.Duration
	// Total is Wait and the time of an answer of nominal length.
	Total time.Duration
}

// Project returns what a further request would meet, and false if the upstream
// isn't usable.
func (u *Upstream) Project(now time.Time) (Projection, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.usable(now) {
		return Projection{}, false
	}
	wait := u.queue(now)
	crowding := time.Duration(u.occupied(now)) * tieBreak
	return Projection{Wait: wait, Total: wait + u.first + nominalTokens*u.pace + crowding}, true
}

// tieBreak is what each occupied slot adds to the total, so that of two upstreams
// with free slots the emptier one is preferred.
const tieBreak = 20 * time.Millisecond

// queue projects the wait for a slot: for 10 requests on 8 slots that each hold
// for 4 s, a slot falls free every 0.5 s, and the next request waits for 3 of them.
func (u *Upstream) queue(now time.Time) time.Duration {
	slots := u.effectiveSlots(now)
	ahead := u.occupied(now) + 1 - slots
	if ahead <= 0 {
		return 0
	}
	hold := u.hold
	if hold == 0 {
		hold = defaultHold
	}
	return time.Duration(ahead / slots * float64(hold))
}

// occupied estimates the requests at the upstream now. A report that was true two
// seconds ago is corrected by what this entry has sent and seen end since, times
// the number of entries that do the same.
func (u *Upstream) occupied(now time.Time) float64 {
	own := float64(u.own.inFlight)
	if u.report.AsOf.IsZero() || now.Sub(u.report.AsOf) > staleAfter {
		return own * float64(max(1, u.Entries))
	}
	reported := float64(u.report.Running + u.report.Waiting)
	since := float64(u.own.since(now, u.report.AsOf)) * float64(max(1, u.Entries))
	return max(own, reported+since)
}

func (u *Upstream) slots() float64 {
	if u.report.Slots > 0 {
		return float64(u.report.Slots)
	}
	if u.Slots > 0 {
		return float64(u.Slots)
	}
	return defaultSlots
}

// effectiveSlots is at least one, and fewer than slots during the ramp.
func (u *Upstream) effectiveSlots(now time.Time) float64 {
	return max(1, u.slots()*u.warmth(now))
}

// warmth rises from rampStart to 1 over rampTime.
func (u *Upstream) warmth(now time.Time) float64 {
	if u.returned.IsZero() {
		return 1
	}
	part := float64(now.Sub(u.returned)) / float64(rampTime)
	return min(1, rampStart+(1-rampStart)*max(0, part))
}

// Total is the load of a set of upstreams.
type Total struct {
	// Slots counts those of usable upstreams, fewer during their ramps.
	Slots float64
	// Free is never negative.
	Free float64
	// Wait is the shortest projected wait; zero when none is usable.
	Wait time.Duration
	// Usable is the number of upstreams that take new work.
	Usable int
}

// Sum adds up the load of upstreams, for admission and for the summary that other
// regions get.
func Sum(now time.Time, list []*Upstream) Total {
	var t Total
	for _, u := range list {
		u.addTo(now, &t)
	}
	return t
}

func (u *Upstream) addTo(now time.Time, t *Total) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving || now.Before(u.held) {
		return
	}
	slots := u.effectiveSlots(now)
	wait := u.queue(now)
	if t.Usable == 0 || wait < t.Wait {
		t.Wait = wait
	}
	t.Usable++
	t.Slots += slots
	t.Free += max(0, slots-u.occupied(now))
}

// InFlight returns this entry's own attempts at the upstream.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.own.inFlight
}
