package proxy

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutustrestle/core/spec"
	"arbutustrestle/io/metric"
)

const (
	// maxLatencyMillis is the highest value of the histograms, in milliseconds.
	maxLatencyMillis = 60_000
	// significantDigits is the precision of the histograms.
	significantDigits = 2
)

// Latencies keeps latency histograms. Its zero value is empty. It is safe for concurrent
// use.
type Latencies struct {
	mu         sync.Mutex
	histograms map[histogramKey]*hdrhistogram.Histogram
}

// histogramKey identifies a histogram by latency and request kind.
type histogramKey struct {
	latency latencyKind
	kind    spec.RequestKind
}

// latencyKind is a latency that is measured for each request.
type latencyKind uint8

const (
	// wholeRequest is the time from the head of the request to the end of its answer.
	wholeRequest latencyKind = iota
	// firstByte is the time to the first byte of the answer.
	firstByte
	// longestPause is the longest time between two parts of a stream.
	longestPause
	latencyKinds
)

var latencyKindNames = [latencyKinds]string{"request-ms", "first-ms", "longest-pause-ms"}

// record adds a duration to its histogram.
func (t *Latencies) record(latency latencyKind, k spec.RequestKind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histograms == nil {
		t.histograms = map[histogramKey]*hdrhistogram.Histogram{}
	}
	key := histogramKey{latency, k}
	h := t.histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMillis, significantDigits)
		t.histograms[key] = h
	}
	// RecordValue fails only for a value outside the histogram's range, which is
	// excluded here.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMillis))
}

// Register registers the histograms with the metrics.
func (t *Latencies) Register(m *metric.Set) {
	for latency, name := range latencyKindNames {
		m.Func(name, func() any { return t.percentiles(latencyKind(latency)) })
	}
}

// percentiles returns the percentiles of each request kind, in milliseconds.
func (t *Latencies) percentiles(latency latencyKind) any {
	t.mu.Lock()
	defer t.mu.Unlock()
	shown := map[string]map[string]int64{}
	for key, h := range t.histograms {
		if key.latency != latency {
			continue
		}
		shown[key.kind.String()] = map[string]int64{
			"count": h.TotalCount(),
			"p50":   h.ValueAtQuantile(50),
			"p90":   h.ValueAtQuantile(90),
			"p99":   h.ValueAtQuantile(99),
			"max":   h.Max(),
		}
	}
	return shown
}
