package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

const (
	// maxLatencyMicros is the highest value that a histogram can record: one hour.
	maxLatencyMicros = 3_600_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 2
	// tallyCount is the number of tallies that the workers share.
	tallyCount = 16
)

// LatencyHistogram is a histogram of durations. The zero value is empty and ready to use.
// Record and Quantiles are safe for concurrent use.
type LatencyHistogram struct {
	mu sync.Mutex
	// histogram is in microseconds; nil until the first value is recorded.
	histogram *hdrhistogram.Histogram
}

// Record adds a duration; durations above one hour count as one hour.
func (h *LatencyHistogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.histogram == nil {
		h.histogram = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	}
	_ = h.histogram.RecordValue(min(max(0, d.Microseconds()), maxLatencyMicros)) // within the bounds
}

// merge adds the values of another histogram. It takes no locks.
func (h *LatencyHistogram) merge(other *LatencyHistogram) {
	if other.histogram == nil {
		return
	}
	if h.histogram == nil {
		h.histogram = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	}
	h.histogram.Merge(other.histogram)
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Quantiles returns zeros if the histogram is empty.
func (h *LatencyHistogram) Quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.histogram == nil {
		return Quantiles{}
	}
	quantileMS := func(quantile float64) float64 {
		return float64(h.histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{P50: quantileMS(50), P95: quantileMS(95), P99: quantileMS(99), Max: float64(h.histogram.Max()) / 1000}
}

// tally holds the results of a group of workers.
type tally struct {
	mu        sync.Mutex
	classes   [table.ClassCount]ClassReport
	reasons   map[result.Reason]int
	firstByte [table.ClassCount]*LatencyHistogram
	duration  [table.ClassCount]*LatencyHistogram
	// tokenGaps are recorded by the calls in progress, without the lock of the tally.
	tokenGaps [table.ClassCount]*LatencyHistogram
}

func newTally() *tally {
	t := &tally{reasons: map[result.Reason]int{}}
	for class := range table.ClassCount {
		t.firstByte[class], t.duration[class], t.tokenGaps[class] = &LatencyHistogram{}, &LatencyHistogram{}, &LatencyHistogram{}
	}
	return t
}

// recordComplete records a complete answer to a request that was sent late by the given
// time.
func (t *tally) recordComplete(class table.Class, answer Answer, delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[class].Complete++
	t.classes[class].Tokens += answer.Tokens
	t.firstByte[class].Record(delay + answer.TimeToFirstByte)
	t.duration[class].Record(delay + answer.Duration)
}

// recordFailure records a failed attempt; final is set if the request is not retried.
func (t *tally) recordFailure(class table.Class, f *result.Failure, final bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.classes[class]
	t.reasons[f.Reason]++
	switch {
	case !final:
		c.Retries++
	case f.Outcome == result.NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
}

// ClassReport holds the results of one class. Each request counts once, as complete, not
// run or unknown.
type ClassReport struct {
	Complete int `json:"whole"`
	NotRun   int `json:"not-run"`
	Unknown  int `json:"unknown"`
	// Retries counts the attempts that were not run and were followed by another attempt.
	Retries int `json:"retries"`
	// Tokens counts the tokens of complete answers.
	Tokens int `json:"tokens"`
	// FirstByteMS is the time to the first token, or for a plain service to the end of
	// the body. TokenGapMS is the time between tokens.
	FirstByteMS Quantiles `json:"first-ms"`
	TokenGapMS  Quantiles `json:"gap-ms"`
	DurationMS  Quantiles `json:"total-ms"`
}

// Report holds the results of one load.
type Report struct {
	Seconds float64 `json:"seconds"`
	// CPUSeconds is the CPU time of this process, user and system.
	CPUSeconds float64 `json:"processor-seconds"`
	Requests   int     `json:"requests"`
	// Tokens counts the tokens of complete answers.
	Tokens       int     `json:"tokens"`
	RequestsPerS float64 `json:"requests-per-second"`
	TokensPerS   float64 `json:"tokens-per-second"`
	// Classes holds the classes of the mix by name.
	Classes map[string]*ClassReport `json:"classes"`
	// Reasons counts the failed attempts by reason.
	Reasons map[string]int `json:"reasons"`
}

// Unknown returns the number of requests whose outcome is unknown.
func (r *Report) Unknown() int {
	sum := 0
	for _, c := range r.Classes {
		sum += c.Unknown
	}
	return sum
}

// report combines the tallies into a report.
func (r *run) report(elapsed, cpu time.Duration) *Report {
	report := &Report{
		Seconds:    elapsed.Seconds(),
		CPUSeconds: cpu.Seconds(),
		Classes:    map[string]*ClassReport{},
		Reasons:    map[string]int{},
	}
	for class, weight := range r.load.Mix {
		if weight == 0 {
			continue
		}
		c := r.classReport(class)
		report.Classes[table.Class(class).String()] = c
		report.Requests += c.Complete + c.NotRun + c.Unknown
		report.Tokens += c.Tokens
	}
	for _, t := range r.tallies {
		for reason, count := range t.reasons {
			report.Reasons[reason.String()] += count
		}
	}
	report.RequestsPerS = float64(report.Requests) / elapsed.Seconds()
	report.TokensPerS = float64(report.Tokens) / elapsed.Seconds()
	return report
}

func (r *run) classReport(class int) *ClassReport {
	var sum ClassReport
	var first, gaps, total LatencyHistogram
	for _, t := range r.tallies {
		c := t.classes[class]
		sum.Complete += c.Complete
		sum.NotRun += c.NotRun
		sum.Unknown += c.Unknown
		sum.Retries += c.Retries
		sum.Tokens += c.Tokens
		first.merge(t.firstByte[class])
		gaps.merge(t.tokenGaps[class])
		total.merge(t.duration[class])
	}
	sum.FirstByteMS, sum.TokenGapMS, sum.DurationMS = first.Quantiles(), gaps.Quantiles(), total.Quantiles()
	return &sum
}

// WriteTable writes the report as a text table. The error comes from the writer.
func (r *Report) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "%d requests in %.2f s: %.1f requests/s, %.0f tokens/s, %.2f s of processor time\n\n",
		r.Requests, r.Seconds, r.RequestsPerS, r.TokensPerS, r.CPUSeconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\twhole\tnot-run\tunknown\tretries\tfirst p50\tp95\tp99\tgap p50\tp95\tp99\ttotal p50\tp95\tp99 ms\t")
	for _, name := range slices.Sorted(maps.Keys(r.Classes)) {
		c := r.Classes[name]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t", name, c.Complete, c.NotRun, c.Unknown, c.Retries)
		for _, q := range []Quantiles{c.FirstByteMS, c.TokenGapMS, c.DurationMS} {
			_, _ = fmt.Fprintf(t, "%.1f\t%.1f\t%.1f\t", q.P50, q.P95, q.P99)
		}
		_, _ = fmt.Fprintln(t)
	}
	err := t.Flush()
	for _, name := range slices.Sorted(maps.Keys(r.Reasons)) {
		_, _ = fmt.Fprintf(w, "failed tries: %d %s\n", r.Reasons[name], name)
	}
	return errors.Trace(err)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
