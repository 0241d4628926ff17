package proxy

import (
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutustrestle/io/metric"
)

// waitTimes holds histograms of the time in the queue by urgency class, in milliseconds.
type waitTimes map[int]*hdrhistogram.Histogram

func (w *waitTimes) record(class int, waited time.Duration) {
	if *w == nil {
		*w = waitTimes{}
	}
	h := (*w)[class]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMillis, significantDigits)
		(*w)[class] = h
	}
	// RecordValue fails only for a value outside the histogram's range, which is
	// excluded here.
	_ = h.RecordValue(min(max(waited.Milliseconds(), 1), maxLatencyMillis))
}

// percentiles returns the percentiles by class.
func (w waitTimes) percentiles() map[string]map[string]int64 {
	shown := map[string]map[string]int64{}
	for class, h := range w {
		shown[strconv.Itoa(class)] = map[string]int64{
			"count": h.TotalCount(),
			"p50":   h.ValueAtQuantile(50),
			"p99":   h.ValueAtQuantile(99),
			"max":   h.Max(),
		}
	}
	return shown
}

// RegisterQueue registers the length of the queue and the time in it, by urgency class.
func (p *Proxy) RegisterQueue(m *metric.Set) {
	q := &p.waiting
	m.Func("queue-length", func() any {
		q.mu.Lock()
		defer q.mu.Unlock()
		shown := map[string]int{}
		for class, n := range q.queue.Lengths() {
			shown[strconv.Itoa(class)] = n
		}
		return shown
	})
	m.Func("queue-wait-ms", func() any {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.waits.percentiles()
	})
}
