package edge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutustrestle/core/rules"
	"arbutustrestle/io/metric"
)

const (
	// longest is the longest time that the histograms hold, in milliseconds.
	longest = 60_000
	// digits is the number of significant digits of the histograms.
	digits = 2
)

// Times keeps latency histograms. Its zero value is empty; it is safe for concurrent
// use.
type Times struct {
	mu       sync.Mutex
	requests map[rules.Kind]*hdrhistogram.Histogram
}

// Request notes the time that a request took, whatever its outcome.
func (t *Times) Request(k rules.Kind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = map[rules.Kind]*hdrhistogram.Histogram{}
	}
	h := t.requests[k]
	if h == nil {
		h = hdrhistogram.New(1, longest, digits)
		t.requests[k] = h
	}
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), longest))
}

// Show adds the histograms to the counters.
func (t *Times) Show(m *metric.Set) {
	m.Func("request-ms", func() any { return t.percentiles() })
}

// percentiles returns the times of each kind of request, in milliseconds.
func (t *Times) percentiles() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	shown := map[string]map[string]int64{}
	for kind, h := range t.requests {
		shown[kind.String()] = map[string]int64{
			"count": h.TotalCount(),
			"p50":   h.ValueAtQuantile(50),
			"p90":   h.ValueAtQuantile(90),
			"p99":   h.ValueAtQuantile(99),
			"max":   h.Max(),
		}
	}
	return shown
}
