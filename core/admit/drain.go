package admit

import (
	"math/rand/v2"
	"time"

	"arbutustrestle/core/table"
)

const (
	// drainWindow is the time over which the rate of ended requests is measured.
	drainWindow = 10 * time.Second
	// longest is the projected time of what isn't expected to happen.
	longest = time.Hour
)

// drain measures how fast requests end and books the return of refused callers, so
// that they come back no faster than they could be served.
type drain struct {
	ended rate
	// booked is the time up to which callers have been asked to come back.
	booked time.Time
}

// rate counts events over a window that decays.
type rate struct {
	// count decays by the part of the window that has passed.
	count float64
	at    time.Time
	first time.Time
}

func (r *rate) add(now time.Time) {
	r.decay(now)
	r.count++
}

func (r *rate) decay(now time.Time) {
	if r.first.IsZero() {
		r.first = now
		r.at = now
	}
	if age := now.Sub(r.at); age > 0 {
		r.count *= max(0, 1-float64(age)/float64(drainWindow))
		r.at = now
	}
}

// perSecond returns the rate; a window that isn't full yet counts as far as it goes.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	window := min(drainWindow, max(time.Second, now.Sub(r.first)))
	return r.count / window.Seconds()
}

func (d *drain) end(now time.Time) {
	d.ended.add(now)
}

// time returns how long it takes until a number of requests have ended.
func (d *drain) time(now time.Time, requests float64) time.Duration {
	if requests <= 0 {
		return 0
	}
	perSecond := d.ended.perSecond(now)
	if requests >= perSecond*longest.Seconds() {
		return longest
	}
	return time.Duration(requests / perSecond * float64(time.Second))
}

// comeBack books the return of one refused caller. Each takes the time in which
// one request ends; when more have been booked than fit before the policy's longest
// time, the rest is spread over its second half.
func (d *drain) comeBack(now time.Time, random *rand.Rand, policy *table.Policy) time.Duration {
	shortest := policy.RetryAfterMin
	earliest := now.Add(shortest)
	if d.booked.Before(earliest) {
		d.booked = earliest
	}
	if latest := now.Add(policy.RetryAfterMax); d.booked.After(latest) {
		half := policy.RetryAfterMax / 2
		return half + spread(random, half)
	}
	after := d.booked.Sub(now)
	d.booked = d.booked.Add(d.time(now, 1))
	return after + spread(random, shortest)
}

// spread draws a time below a bound.
func spread(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(max(1, int64(bound))))
}
