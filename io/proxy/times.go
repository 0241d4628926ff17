package proxy

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutustrestle/core/spec"
	"arbutustrestle/io/metric"
)

const (
	// longest is the longest time that the histograms hold, in milliseconds.
	longest = 60_000
	// digits is the number of significant digits of the histograms.
	digits = 2
)

// Latencies keeps latency histograms. Its zero value is empty; it is safe for concurrent
// use.
type Latencies struct {
	mu    sync.Mutex
	times map[timeOf]*hdrhistogram.Histogram
}

// timeOf names a histogram: what was timed, of which kind of request.
type timeOf struct {
	what span
	kind spec.RequestKind
}

// span is a part of a request's time.
type span uint8

const (
	// wholeRequest is the time from its head to the end of its answer.
	wholeRequest span = iota
	// firstByte is the time to the first byte of its answer.
	firstByte
	// longestPause is the longest time between two parts of a stream.
	longestPause
	spans
)

var spanNames = [spans]string{"request-ms", "first-ms", "longest-pause-ms"}

// note records a time.
func (t *Latencies) note(what span, k spec.RequestKind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.times == nil {
		t.times = map[timeOf]*hdrhistogram.Histogram{}
	}
	name := timeOf{what, k}
	h := t.times[name]
	if h == nil {
		h = hdrhistogram.New(1, longest, digits)
		t.times[name] = h
	}
	// The value is within the histogram's range, outside of which alone it fails.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), longest))
}

// Register adds the histograms to the counters.
func (t *Latencies) Register(m *metric.Set) {
	for what, name := range spanNames {
		m.Func(name, func() any { return t.percentiles(span(what)) })
	}
}

// percentiles returns the times of each kind of request, in milliseconds.
func (t *Latencies) percentiles(what span) any {
	t.mu.Lock()
	defer t.mu.Unlock()
	shown := map[string]map[string]int64{}
	for name, h := range t.times {
		if name.what != what {
			continue
		}
		shown[name.kind.String()] = map[string]int64{
			"count": h.TotalCount(),
			"p50":   h.ValueAtQuantile(50),
			"p90":   h.ValueAtQuantile(90),
			"p99":   h.ValueAtQuantile(99),
			"max":   h.Max(),
		}
	}
	return shown
}
