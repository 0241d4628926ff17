package engine

import (
	"math"
	"slices"
	"time"
)

const (
	// windowSize is the number of recent observations that an estimate is made of. Its
	// quantile follows a change after about half of them, and ignores fewer outliers.
	windowSize = 15
	// maxSampleAge is how much older than the newest observation another one may be to
	// count beside it, where there are others.
	maxSampleAge = 8 * time.Second
	// priorWeight is the weight of the mean beside that of each observation, which is at most
	// 1: three observations weigh 6 to 1.
	priorWeight = 0.5
	// minCredibility is the least weight of an observation.
	minCredibility = 0.05
	// shortTermDecay is the time constant with which a recent deviation from the long-term
	// speed decays without observations: engines are slow for short times, and one that gets
	// no requests because it was slow must be tried again.
	shortTermDecay = 3 * time.Second
	// minDifference is the least difference between recent observations and the long term that
	// counts, as a logarithm: smaller ones are an effect of the current load.
	minDifference = 0.6
	// longStep is the step by which one observation changes the long-term ratio, once there
	// were firstObservations and some more.
	longStep          = 0.08
	firstObservations = 4
	// longTermDecay is the time constant with which the long-term ratio of a fast engine
	// returns to the mean without observations. slowDecay is that of a slow one, which gets
	// few requests and must be tried again.
	longTermDecay = 2 * time.Minute
	slowDecay     = 15 * time.Second
	// sameReportTolerance is the difference in time between two heartbeats that carry the
	// same observation.
	sameReportTolerance = 60 * time.Millisecond
)

// maxDeviation bounds the logarithm of the ratio of an estimate to the mean: 0.2 to 5
// times the mean.
var maxDeviation = math.Log(5)

// sample is one observation.
type sample struct {
	at    time.Time
	value float64
}

// window estimates a time from recent observations, as a ratio to the mean of the service. Its
// zero value estimates the mean. An observation is too long if the engine did something else
// meanwhile, such as reading prompts that this instance doesn't know of. With the part busy of its
// time spent on that, the shortest (1 - busy)^2 of the observations are taken to be without it, and
// the estimate is their median. As busy approaches 1, observations count for little.
type window struct {
	samples [windowSize]sample
	count   int
	// shortTerm and longTerm are logarithms of ratios to the mean: of the recent observations,
	// and over the long term.
	shortTerm float64
	longTerm  float64
	// difference is by how much they differ beyond minDifference, less at a busy engine.
	difference float64
	newest     time.Time
	// total counts all observations.
	total int
	// contributed is when the mean last followed the estimate.
	contributed time.Time
}

// add adds an observation, unless it is held already or older than all that are held. It
// reports whether the observation is new.
func (w *window) add(at time.Time, value, mean, busy float64) bool {
	if !(value > 0) || !(mean > 0) {
		return false
	}
	oldest := 0
	for i := range w.count {
		s := &w.samples[i]
		if s.value == value && at.Sub(s.at).Abs() <= sameReportTolerance {
			return false
		}
		if s.at.Before(w.samples[oldest].at) {
			oldest = i
		}
	}
	switch {
	case w.count < windowSize:
		oldest = w.count
		w.count++
	case !at.After(w.samples[oldest].at):
		return false
	}
	w.samples[oldest] = sample{at, value}
	w.update(at, value, mean, min(max(busy, 0), 1))
	return true
}

// update computes the estimate of the observations held.
func (w *window) update(at time.Time, value, mean, busy float64) {
	if at.After(w.newest) {
		w.newest = at
	}
	var ratios [windowSize]float64
	n := 0
	for _, s := range w.samples[:w.count] {
		if w.newest.Sub(s.at) <= maxSampleAge {
			ratios[n] = math.Log(s.value / mean)
			n++
		}
	}
	slices.Sort(ratios[:n])
	middle := ratios[int((1-busy)*(1-busy)/2*float64(n-1)+0.5)]
	weight := float64(n)
	if middle > 0 {
		weight *= max((1-busy)*(1-busy), minCredibility)
	}
	w.shortTerm = bounded(middle * weight / (weight + priorWeight))
	w.updateLongTerm(value, mean, busy)
	idle := (1 - busy) * (1 - busy)
	difference := w.shortTerm - w.longTerm
	w.difference = math.Copysign(max(0, math.Abs(difference)-minDifference), difference) * idle * idle
}

// updateLongTerm adjusts the long-term ratio by one observation, as a stochastic estimate of the
// quantile that update takes of the recent ones. The step doesn't grow with the distance of the
// observation, since a single one says little, even more so of a busy engine.
func (w *window) updateLongTerm(value, mean, busy float64) {
	w.total++
	if w.total <= firstObservations {
		w.longTerm = w.shortTerm
		return
	}
	q := (1 - busy) * (1 - busy) / 2
	step := max(longStep, firstObservations*0.3/float64(w.total))
	if math.Log(value/mean) > w.longTerm {
		w.longTerm += step * q
	} else {
		w.longTerm -= step * (1 - q)
	}
	w.longTerm = bounded(w.longTerm)
}

func bounded(deviation float64) float64 {
	return min(max(deviation, -maxDeviation), maxDeviation)
}

// deviation returns the logarithm of the estimated ratio to the mean.
func (w *window) deviation(now time.Time) float64 {
	if w.count == 0 {
		return 0
	}
	age := max(0, now.Sub(w.newest))
	long := w.longTerm * decay(age, longTermDecay)
	if w.longTerm > 0 {
		long = w.longTerm * decay(age, slowDecay)
	}
	return bounded(long + w.difference*decay(age, shortTermDecay))
}

// contributes reports whether the mean follows the estimate now, which it does once in each
// contributionInterval.
func (w *window) contributes(at time.Time) bool {
	if at.Sub(w.contributed) < contributionInterval {
		return false
	}
	w.contributed = at
	return true
}

const contributionInterval = 500 * time.Millisecond

// recent returns the median of the newest observations of a span, which begins with the newest
// one, or zero if there is none.
func (w *window) recent(span time.Duration) float64 {
	var values [windowSize]float64
	n := 0
	for _, s := range w.samples[:w.count] {
		if w.newest.Sub(s.at) <= span {
			values[n] = s.value
			n++
		}
	}
	if n == 0 {
		return 0
	}
	slices.Sort(values[:n])
	return values[(n-1)/2]
}

// decay returns the remaining fraction of a quantity after some time.
func decay(since, over time.Duration) float64 {
	return math.Exp(-float64(since) / float64(over))
}
