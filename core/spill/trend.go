package spill

import (
	"time"

	"arbutustrestle/core/gossip"
)

const (
	// trendSpan is the time over which the rise of a region's waits is measured. Demand in a
	// zone can go from its least to its greatest in some 3 s.
	trendSpan = 1500 * time.Millisecond
	// trendHorizon is how far the rise is taken to go on: until a request that is sent now
	// has arrived and is reported.
	trendHorizon = 400 * time.Millisecond
	// sampleInterval is the least time between two samples.
	sampleInterval = 100 * time.Millisecond
)

// trend holds the waits of a region during the last trendSpan.
type trend struct {
	samples []waitSample
}

type waitSample struct {
	at    time.Time
	waits gossip.ByPriority[time.Duration]
}

func (t *Table) trendOf(k regionService) *trend {
	if t.trends == nil {
		t.trends = map[regionService]*trend{}
	}
	r := t.trends[k]
	if r == nil {
		r = &trend{}
		t.trends[k] = r
	}
	return r
}

// add records the waits now and returns by how much they will have risen after
// trendHorizon; those that fall count as constant.
func (r *trend) add(now time.Time, waits gossip.ByPriority[time.Duration]) gossip.ByPriority[time.Duration] {
	for len(r.samples) > 0 && now.Sub(r.samples[0].at) > trendSpan {
		r.samples = r.samples[1:]
	}
	if n := len(r.samples); n == 0 || now.Sub(r.samples[n-1].at) >= sampleInterval {
		r.samples = append(r.samples, waitSample{now, waits})
	}
	var rise gossip.ByPriority[time.Duration]
	first := r.samples[0]
	passed := now.Sub(first.at)
	if passed < trendSpan/3 {
		return rise
	}
	for class, wait := range waits {
		slope := float64(wait-first.waits[class]) / float64(passed)
		rise[class] = time.Duration(max(0, slope) * float64(trendHorizon))
	}
	return rise
}
