package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// drainWindow is the time over which the rate of ended requests is measured.
	drainWindow = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the time that refused callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
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

func (d *drain) arrive(now time.Time) {
	d.ended.decay(now)
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
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return seconds(min(maxRetryAfter.Seconds(), requests/perSecond))
}

// comeBack books the return of one refused caller. Each takes the time in which
// one request ends; when more have been booked than fit before maxRetryAfter, the
// rest is spread over its second half.
func (d *drain) comeBack(now time.Time, random *rand.Rand) time.Duration {
	earliest := now.Add(minRetryAfter)
	if d.booked.Before(earliest) {
		d.booked = earliest
	}
	latest := now.Add(maxRetryAfter)
	if !d.booked.Before(latest) {
		half := maxRetryAfter / 2
		return half + time.Duration(random.Int64N(int64(half)))
	}
	after := d.booked.Sub(now)
	d.booked = d.booked.Add(d.time(now, 1))
	return after + time.Duration(random.Int64N(int64(minRetryAfter)))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
