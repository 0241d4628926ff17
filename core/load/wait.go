package load

import "time"

// Usable reports whether a new attempt may be sent to the upstream: it isn't leaving
// and isn't in a pause after failures. After the pause one probe at a time is sent
// until one succeeds.
func (u *Upstream) Usable(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.usable(now)
}

func (u *Upstream) usable(now time.Time) bool {
	return !u.leaving && !now.Before(u.nextAttempt)
}

// UsableAsLastResort reports whether an attempt may be sent although the upstream is in
// a pause after failures, for when no upstream is usable: it still reports its load.
// Without this, requests that make any upstream fail could block all other requests.
func (u *Upstream) UsableAsLastResort(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.leaving && u.hasFreshReport(now)
}

// hasFreshReport reports whether the last report is recent enough to be used.
func (u *Upstream) hasFreshReport(now time.Time) bool {
	return !u.report.AsOf.IsZero() && now.Sub(u.report.AsOf) <= u.maxReportAge()
}

// Estimate is the projected treatment of one further request by an upstream.
type Estimate struct {
	// Wait is the projected time in the queue.
	Wait time.Duration
	// ResponseTime is Wait plus the time of a response of nominal length.
	ResponseTime time.Duration
	// InFlight is the number of this instance's own attempts there.
	InFlight int
	// FreeSlots is the number of free slots; negative if requests are waiting.
	FreeSlots float64
}

// Estimate returns the projection for a further request, and false if the upstream
// isn't usable.
func (u *Upstream) Estimate(now time.Time) (Estimate, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.usable(now) {
		return Estimate{}, false
	}
	wait := u.queueWait(now)
	batchDelay := time.Duration(u.occupied(now) * float64(perOccupiedSlot))
	return Estimate{
		Wait:         wait,
		ResponseTime: wait + batchDelay + u.excessLatency(),
		InFlight:     u.requests.inFlight,
		FreeSlots:    u.effectiveSlots(now) - u.occupied(now),
	}, true
}

// perOccupiedSlot is the time that each occupied slot adds to a nominal response,
// because a larger batch takes longer steps.
const perOccupiedSlot = 250 * time.Millisecond

// excessLatency is the time by which the upstream exceeds the latency targets, for a
// response of nominal length. Upstreams within the targets count as equal: their
// averages depend on the requests that they got, and this noise would outweigh the
// load.
func (u *Upstream) excessLatency() time.Duration {
	firstToken := max(0, u.firstToken-targetFirstToken)
	tokenGap := max(0, u.tokenGap-targetTokenGap)
	return firstToken + nominalTokens*tokenGap
}

// queueWait projects the wait for a slot: for 10 requests on 8 slots with a slot time
// of 4 s each, a slot becomes free every 0.5 s, and the next request waits for 3 of
// them.
func (u *Upstream) queueWait(now time.Time) time.Duration {
	slots := u.effectiveSlots(now)
	ahead := u.occupied(now) + 1 - slots
	if ahead <= 0 {
		return 0
	}
	slotTime := u.slotTime
	if slotTime == 0 {
		slotTime = defaultSlotTime
	}
	return time.Duration(ahead / slots * float64(slotTime))
}

// occupied estimates the number of requests at the upstream now. A report that was
// measured two seconds ago is corrected by the attempts that this instance has sent and
// completed since, times the number of instances that send to the upstream.
func (u *Upstream) occupied(now time.Time) float64 {
	own := float64(u.requests.inFlight)
	if !u.hasFreshReport(now) {
		return own * float64(max(1, u.settings.Instances))
	}
	reported := float64(u.report.Running + u.report.Waiting)
	since := float64(u.requests.since(now, u.report.AsOf)) * float64(max(1, u.settings.Instances))
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

// effectiveSlots is at least one, and below slots during the ramp.
func (u *Upstream) effectiveSlots(now time.Time) float64 {
	return max(1, u.slots()*u.warmUpFraction(now))
}

// warmUpFraction rises from rampStart to 1 over the ramp.
func (u *Upstream) warmUpFraction(now time.Time) float64 {
	ramp := u.rampUp()
	if u.returnedAt.IsZero() || ramp <= 0 {
		return 1
	}
	progress := float64(now.Sub(u.returnedAt)) / float64(ramp)
	return min(1, rampStart+(1-rampStart)*max(0, progress))
}

func (u *Upstream) maxReportAge() time.Duration {
	if u.settings.MaxReportAge == 0 {
		return defaultMaxReportAge
	}
	return u.settings.MaxReportAge
}

func (u *Upstream) rampUp() time.Duration {
	if u.settings.RampUp == 0 {
		return defaultRampUp
	}
	return u.settings.RampUp
}

// Total is the summed load of a set of upstreams.
type Total struct {
	// Slots is the number of slots of the usable upstreams, reduced during their ramps.
	Slots float64
	// FreeSlots is never negative.
	FreeSlots float64
	// Wait is the shortest projected wait; zero if no upstream is usable.
	Wait time.Duration
	// UsableUpstreams is the number of upstreams that accept new requests.
	UsableUpstreams int
}

// localReserve is the part of a region's slots that isn't offered to other regions.
const localReserve = 0.15

// SpareSlots returns the number of free slots that a region offers to the others. The
// reserve for its own requests is left out, so that the failure of one region doesn't
// overload the next one.
func (t Total) SpareSlots() float64 {
	return max(0, t.FreeSlots-localReserve*t.Slots)
}

// Sum adds up the load of upstreams, for admission and for the summary sent to other
// regions.
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
	wait := u.queueWait(now)
	if t.UsableUpstreams == 0 || wait < t.Wait {
		t.Wait = wait
	}
	t.UsableUpstreams++
	t.Slots += slots
	t.FreeSlots += max(0, slots-u.occupied(now))
}

// InFlight returns the number of this instance's own attempts at the upstream.
func (u *Upstream) InFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests.inFlight
}
