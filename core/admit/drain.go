package admit

import (
	"math/rand/v2"
	"time"

	"arbutustrestle/core/table"
)

const (
	// rateWindow is the time over which the rate of ended requests is measured.
	rateWindow = 10 * time.Second
	// maxProjection is the longest projected time; anything longer is cut to it.
	maxProjection = time.Hour
)

// retryScheduler measures the rate at which requests end and reserves the retry times
// of refused callers, so that they don't return faster than they can be served.
type retryScheduler struct {
	endRate decayingRate
	// reservedUntil is the time up to which retries have been reserved.
	reservedUntil time.Time
}

// decayingRate counts events over a decaying window.
type decayingRate struct {
	// count decays in proportion to the elapsed part of the window.
	count float64
	at    time.Time
	first time.Time
}

func (r *decayingRate) add(now time.Time) {
	r.decay(now)
	r.count++
}

func (r *decayingRate) decay(now time.Time) {
	if r.first.IsZero() {
		r.first = now
		r.at = now
	}
	if age := now.Sub(r.at); age > 0 {
		r.count *= max(0, 1-float64(age)/float64(rateWindow))
		r.at = now
	}
}

// perSecond returns the rate. While the window isn't full yet, only its elapsed part
// counts, at least a second.
func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	window := min(rateWindow, max(time.Second, now.Sub(r.first)))
	return r.count / window.Seconds()
}

func (s *retryScheduler) recordEnd(now time.Time) {
	s.endRate.add(now)
}

// timeToEnd returns the projected time until the given number of requests have ended.
func (s *retryScheduler) timeToEnd(now time.Time, requests float64) time.Duration {
	if requests <= 0 {
		return 0
	}
	perSecond := s.endRate.perSecond(now)
	if requests >= perSecond*maxProjection.Seconds() {
		return maxProjection
	}
	return time.Duration(requests / perSecond * float64(time.Second))
}

// retryAfter reserves the retry of one refused caller. Each takes the time in which one
// request ends; retries that don't fit before the policy's longest time are spread over
// its second half.
func (s *retryScheduler) retryAfter(now time.Time, random *rand.Rand, policy *table.Policy) time.Duration {
	minWait := policy.RetryAfterMin
	earliest := now.Add(minWait)
	if s.reservedUntil.Before(earliest) {
		s.reservedUntil = earliest
	}
	if latest := now.Add(policy.RetryAfterMax); s.reservedUntil.After(latest) {
		half := policy.RetryAfterMax / 2
		return half + jitter(random, half)
	}
	after := s.reservedUntil.Sub(now)
	s.reservedUntil = s.reservedUntil.Add(s.timeToEnd(now, 1))
	return after + jitter(random, minWait)
}

// jitter returns a random duration below bound.
func jitter(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(max(1, int64(bound))))
}
