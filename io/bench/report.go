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
	// maxMicros is the longest time that is told apart, an hour in microseconds.
	maxMicros = 3_600_000_000
	// digits is the precision of the histograms.
	digits = 2
	// tallyCount is the number of tallies that the workers share.
	tallyCount = 16
)

// LatencyHistogram is a histogram of durations that many calls may record into. Its zero
// value is empty and ready.
type LatencyHistogram struct {
	mu sync.Mutex
	// histogram counts microseconds; nil before the first one.
	histogram *hdrhistogram.Histogram
}

// Record adds a duration, cut to an hour.
func (t *LatencyHistogram) Record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, maxMicros, digits)
	}
	_ = t.histogram.RecordValue(min(max(0, d.Microseconds()), maxMicros)) // within the bounds
}

// merge adds what the other one has recorded.
func (t *LatencyHistogram) merge(other *LatencyHistogram) {
	if other.histogram == nil {
		return
	}
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, maxMicros, digits)
	}
	t.histogram.Merge(other.histogram)
}

// Quantiles are of durations in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Quantiles returns zeros when nothing was recorded.
func (t *LatencyHistogram) Quantiles() Quantiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histogram == nil {
		return Quantiles{}
	}
	at := func(quantile float64) float64 {
		return float64(t.histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(t.histogram.Max()) / 1000}
}

// tally counts the requests of some workers.
type tally struct {
	mu      sync.Mutex
	classes [table.ClassCount]ClassReport
	reasons map[result.Reason]int
	first   [table.ClassCount]*LatencyHistogram
	total   [table.ClassCount]*LatencyHistogram
	// gaps are recorded into by the calls that run.
	gaps [table.ClassCount]*LatencyHistogram
}

func newTally() *tally {
	t := &tally{reasons: map[result.Reason]int{}}
	for class := range table.ClassCount {
		t.first[class], t.total[class], t.gaps[class] = &LatencyHistogram{}, &LatencyHistogram{}, &LatencyHistogram{}
	}
	return t
}

// whole records a whole answer to a request that was sent late.
func (t *tally) whole(class table.Class, answer Answer, late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[class].Complete++
	t.classes[class].Tokens += answer.Tokens
	t.first[class].Record(late + answer.TimeToFirstByte)
	t.total[class].Record(late + answer.Duration)
}

// failed records the end of a try, which may be that of its request.
func (t *tally) failed(class table.Class, f *result.Failure, final bool) {
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

// ClassReport is about the requests of one class. Each request counts once as
// whole, not run or unknown.
type ClassReport struct {
	Complete int `json:"whole"`
	NotRun   int `json:"not-run"`
	Unknown  int `json:"unknown"`
	// Retries counts the tries that were not run and were followed by another.
	Retries int `json:"retries"`
	// Tokens counts those of whole answers.
	Tokens      int       `json:"tokens"`
	FirstByteMS Quantiles `json:"first-ms"`
	TokenGapMS  Quantiles `json:"gap-ms"`
	DurationMS  Quantiles `json:"total-ms"`
}

// Report is about one load.
type Report struct {
	Seconds float64 `json:"seconds"`
	// CPUSeconds is what this process used, system time included.
	CPUSeconds float64 `json:"processor-seconds"`
	Requests   int     `json:"requests"`
	// Tokens counts those of whole answers.
	Tokens       int     `json:"tokens"`
	RequestsPerS float64 `json:"requests-per-second"`
	TokensPerS   float64 `json:"tokens-per-second"`
	// Classes has the classes of the mix by name.
	Classes map[string]*ClassReport `json:"classes"`
	// Reasons counts the tries that failed.
	Reasons map[string]int `json:"reasons"`
}

// Unknown returns the number of requests that ended neither whole nor not run.
func (r *Report) Unknown() int {
	sum := 0
	for _, c := range r.Classes {
		sum += c.Unknown
	}
	return sum
}

// report adds up the tallies.
func (r *run) report(elapsed, processor time.Duration) *Report {
	report := &Report{
		Seconds:    elapsed.Seconds(),
		CPUSeconds: processor.Seconds(),
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
		first.merge(t.first[class])
		gaps.merge(t.gaps[class])
		total.merge(t.total[class])
	}
	sum.FirstByteMS, sum.TokenGapMS, sum.DurationMS = first.Quantiles(), gaps.Quantiles(), total.Quantiles()
	return &sum
}

// WriteTable prints the report for a reader. The error is that of the writer.
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

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
