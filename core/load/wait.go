package load

import "time"

// Usable reports whether a new attempt may go to the upstream: it isn't leaving
// and isn't in a pause after failures. After the pause one probe at a time is let
// through until one is answered.
func (u *Upstream) Usable(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.usable(now)
}

func (u *Upstream) usable(now time.Time) bool {
	return !u.leaving && !now.Before(u.held)
}

// UsableAsLastResort reports whether an attempt may be made although the upstream is in a
// pause after failures, because there is no other: it still tells its load. Requests
// that make any upstream fail can then not keep all others from being served.
func (u *Upstream) UsableAsLastResort(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.leaving && u.reported(now)
}

// reported reports whether the last report is recent enough to be believed.
func (u *Upstream) reported(now time.Time) bool {
	return !u.report.AsOf.IsZero() && now.Sub(u.report.AsOf) <= u.freshness()
}

// Estimate is what one further request would meet at an upstream.
type Estimate struct {
	// Wait is the projected time in the queue.
	Wait time.Duration
	// ResponseTime is Wait and the time of an answer of nominal length.
	ResponseTime time.Duration
	// InFlight is this entry's own attempts there.
	InFlight int
	// FreeSlots is the number of free slots; negative when requests wait.
	FreeSlots float64
}

// Estimate returns what a further request would meet, and false if the upstream
// isn't usable.
func (u *Upstream) Estimate(now time.Time) (Estimate, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.usable(now) {
		return Estimate{}, false
	}
	wait := u.queue(now)
	crowding := time.Duration(u.occupied(now) * float64(perOccupied))
	return Estimate{
		Wait:         wait,
		ResponseTime: wait + crowding + u.slowness(),
		InFlight:     u.own.inFlight,
		FreeSlots:    u.effectiveSlots(now) - u.occupied(now),
	}, true
}

// perOccupied is what each occupied slot adds to the time of a nominal answer,
// since a larger batch takes longer steps.
const perOccupied = 250 * time.Millisecond

// slowness is what the upstream exceeds the targets by, for an answer of nominal
// length. Within the targets upstreams don't differ: the averages depend on what
// each was asked, and noise would outweigh the load.
func (u *Upstream) slowness() time.Duration {
	first := max(0, u.first-targetFirst)
	between := max(0, u.pace-targetBetween)
	return first + nominalTokens*between
}

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
	if !u.reported(now) {
		return own * float64(max(1, u.settings.Instances))
	}
	reported := float64(u.report.Running + u.report.Waiting)
	since := float64(u.own.since(now, u.report.AsOf)) * float64(max(1, u.settings.Instances))
	return max(own, reported+since)
}

func (u *Upstream) slots() float64 {
	if u.report.Slots > 0 {
		return float64(u.report.Slots)
	}
	if u.settings.Slots > 0 {
		return float64(u.settings.Slots)
	}
	return defaultSlots
}

// effectiveSlots is at least one, and fewer than slots during the ramp.
func (u *Upstream) effectiveSlots(now time.Time) float64 {
	return max(1, u.slots()*u.warmth(now))
}

// warmth rises from rampStart to 1 over the ramp.
func (u *Upstream) warmth(now time.Time) float64 {
	ramp := u.rampUp()
	if u.returned.IsZero() || ramp <= 0 {
		return 1
	}
	part := float64(now.Sub(u.returned)) / float64(ramp)
	return min(1, rampStart+(1-rampStart)*max(0, part))
}

func (u *Upstream) freshness() time.Duration {
	if u.settings.MaxReportAge == 0 {
		return defaultFreshness
	}
	return u.settings.MaxReportAge
}

func (u *Upstream) rampUp() time.Duration {
	if u.settings.RampUp == 0 {
		return defaultRampUp
	}
	return u.settings.RampUp
}

// Total is the load of a set of upstreams.
type Total struct {
	// Slots counts those of usable upstreams, fewer during their ramps.
	Slots float64
	// FreeSlots is never negative.
	FreeSlots float64
	// Wait is the shortest projected wait; zero when none is usable.
	Wait time.Duration
	// UsableUpstreams is the number of upstreams that take new work.
	UsableUpstreams int
}

// ownReserve is the part of a region's slots that isn't offered to other regions.
const ownReserve = 0.15

// SpareSlots returns the free slots that a region offers to the others. What it needs
// for its own requests isn't part of them, so that the loss of one region doesn't
// take the next one down.
func (t Total) SpareSlots() float64 {
	return max(0, t.FreeSlots-ownReserve*t.Slots)
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
	if !u.usable(now) {
		return
	}
	slots := u.effectiveSlots(now)
	wait := u.queue(now)
	if t.UsableUpstreams == 0 || wait < t.Wait {
		t.Wait = wait
	}
	t.UsableUpstreams++
	t.Slots += slots
	t.FreeSlots += max(0, slots-u.occupied(now))
}

// InFlight returns this entry's own attempts at the upstream.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.own.inFlight
}
