package trial

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"arbutustrestle/core/table"
)

// seeds are the same for all that is compared.
var seeds = []uint64{1, 2, 3, 4, 5}

// done holds what was run, since several tests compare with the same runs.
var done = map[string]*Report{}

// length is that of the runs of tests, which are many.
const length = 90 * time.Second

// runs adds up one run per seed; the runs go at once.
func runs(o Options) *Report {
	if o.Duration == 0 {
		o.Duration = length
	}
	key := fmt.Sprintf("%+v", o)
	if r := done[key]; r != nil {
		return r
	}
	reports := make([]*Report, len(seeds))
	var group sync.WaitGroup
	for i, seed := range seeds {
		group.Go(func() {
			one := o
			one.Seed = seed
			reports[i] = Run(one)
		})
	}
	group.Wait()
	for _, r := range reports[1:] {
		reports[0].Add(r)
	}
	done[key] = reports[0]
	return reports[0]
}

// The bounds are those of the stated target.
const (
	firstTarget   = 1900 * time.Millisecond
	betweenTarget = 69 * time.Millisecond
	goodputKept   = 0.95
	// starved is the part of its guaranteed slots below which a class counts as starved.
	starved = 0.5
	// faultKept is the part of the load that is answered through a fault that leaves
	// capacity for it.
	faultKept = 0.85
)

func TestTargetsHoldUpToCapacity(t *testing.T) {
	for _, objective := range []table.Objective{table.Latency, table.Cost} {
		for _, load := range []float64{0.5, 0.8, 1} {
			r := runs(Options{Load: load, SkewByWorkspace: true, Policy: Policy{Objective: objective}})
			if got := r.FirstToken().Quantile(0.95); got > firstTarget {
				t.Errorf("%s, load %.1f: p95 of the first token is %s, target %s", objective, load, got, firstTarget)
			}
			if got := r.InterToken().Quantile(0.95); got > betweenTarget {
				t.Errorf("%s, load %.1f: p95 between tokens is %s, target %s", objective, load, got, betweenTarget)
			}
		}
	}
}

func TestGoodputHoldsAboveCapacity(t *testing.T) {
	atCapacity := runs(Options{Load: 1, SkewByWorkspace: true}).Goodput()
	for _, load := range []float64{1.5, 3} {
		r := runs(Options{Load: load, SkewByWorkspace: true})
		if got := r.Goodput(); got < goodputKept*atCapacity {
			t.Errorf("load %.1f: goodput %.3f, at capacity %.3f", load, got, atCapacity)
		}
		policy := table.DefaultPolicy()
		for _, class := range modelClasses {
			part := float64(r.Classes[class].Tokens) / r.Capacity
			guaranteed := float64(policy.Classes[class].SharePercent) / 100
			if part < starved*guaranteed {
				t.Errorf("load %.1f: %s got %.3f of the tokens, %.2f are guaranteed", load, class, part, guaranteed)
			}
		}
	}
	open := runs(Options{Load: 3, SkewByWorkspace: true, Policy: Policy{Admission: AdmitAll}})
	if got := float64(open.Classes[table.Session].Tokens) / open.Capacity; got > starved*0.3 {
		t.Errorf("sessions got %.3f of the tokens without admission, so that this test shows nothing", got)
	}
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		fault Fault
		load  float64
	}{
		{RegionLost, 0.6}, {ColdRestart, 0.8}, {LateReports, 0.8}, {SlowEngine, 0.8},
		{RefusingEngine, 0.8}, {RetryStorm, 1}, {DominantWorkspace, 0.8}, {FailingService, 0.8},
	} {
		r := runs(Options{Fault: c.fault, Load: c.load, SkewByWorkspace: true})
		if got := r.Goodput(); got < faultKept*c.load {
			t.Errorf("%s: goodput %.3f at load %.1f", c.fault, got, c.load)
		}
		if r.DuplicateRuns > 0 || r.FalseNotRun > 0 {
			t.Errorf("%s: %d calls ran twice, %d that ran were said not to have run", c.fault, r.DuplicateRuns, r.FalseNotRun)
		}
	}
}

func TestMechanismsBeatTheirBaselines(t *testing.T) {
	for _, c := range []struct {
		name     string
		options  Options
		baseline Policy
		// cost is what the mechanism is to keep low.
		cost func(*Report) float64
	}{
		{"an engine that refuses at once attracts no traffic", Options{Fault: RefusingEngine, Load: 0.8},
			Policy{Routing: LeastInFlight, IgnoreFailures: true}, func(r *Report) float64 { return float64(r.RefusedAttempts) }},
		{"a slow engine loses traffic", Options{Fault: SlowEngine, Load: 0.8},
			Policy{Routing: Random}, func(r *Report) float64 { return r.FirstToken().Quantile(0.95).Seconds() }},
		{"late reports don't send all to one engine", Options{Fault: LateReports, Load: 0.8},
			Policy{Routing: Random}, func(r *Report) float64 { return r.FirstToken().Quantile(0.95).Seconds() }},
		{"affinity finds cached prompts", Options{Load: 0.8},
			Policy{Routing: NoAffinity}, func(r *Report) float64 { return r.Classes[table.Plan].FirstToken.Quantile(0.5).Seconds() }},
		{"a lost region's requests are answered elsewhere", Options{Fault: RegionLost, Load: 0.6},
			Policy{NoSpill: true}, func(r *Report) float64 { return -r.OtherWorkspaces.AnsweredShare() }},
		{"a small region's requests are answered elsewhere", Options{Engines: []int{20, 20, 2}, Load: 0.8},
			Policy{NoSpill: true}, func(r *Report) float64 { return -r.Goodput() }},
		{"one workspace leaves the others their part", Options{Fault: DominantWorkspace, Load: 1.2},
			Policy{NoWorkspaceLimit: true}, func(r *Report) float64 { return -r.OtherWorkspaces.AnsweredShare() }},
		{"quick questions are answered before others", Options{Load: 1.5},
			Policy{Admission: SingleClass}, func(r *Report) float64 { return r.Classes[table.Quick].FirstToken.Quantile(0.95).Seconds() }},
		{"hedges shorten the tail", Options{Load: 1},
			Policy{NoHedge: true}, func(r *Report) float64 { return r.FirstToken().Quantile(0.95).Seconds() }},
		{"estimated return times make fewer tries", Options{Fault: RetryStorm, Load: 1},
			Policy{FixedRetryAfter: time.Second}, func(r *Report) float64 { return float64(r.Tries) }},
	} {
		c.options.SkewByWorkspace = true
		with := c.cost(runs(c.options))
		c.options.Policy = c.baseline
		without := c.cost(runs(c.options))
		if with >= without {
			t.Errorf("%s: %.3f with, %.3f without", c.name, with, without)
		}
	}
}

func TestObjectivesGetWhatTheyWeigh(t *testing.T) {
	for _, engines := range [][]int{nil, {20, 20, 2}} {
		o := Options{Load: 0.8, Engines: engines, SkewByWorkspace: true}
		latency := runs(o)
		o.Policy.Objective = table.Cost
		cost := runs(o)
		if l, c := latency.FirstToken().Quantile(0.95), cost.FirstToken().Quantile(0.95); l >= c {
			t.Errorf("%v: p95 of the first token is %s by latency, %s by cost", engines, l, c)
		}
		if latency.ForwardedShare() <= cost.ForwardedShare() || latency.CostPer1000Tokens() <= cost.CostPer1000Tokens() {
			t.Errorf("%v: away %.3f and cost %s by latency, %.3f and %s by cost", engines,
				latency.ForwardedShare(), latency.CostPer1000Tokens(), cost.ForwardedShare(), cost.CostPer1000Tokens())
		}
	}
}

// BenchmarkReport prints the table of the design notes:
// go test ./core/trial -run '^$' -bench Report -benchtime 1x
func BenchmarkReport(b *testing.B) {
	for b.Loop() {
		for _, c := range Comparisons() {
			fmt.Printf("\n%s\n\n%s\n", c.Title, Header)
			for _, load := range c.Loads {
				for _, p := range c.Policies {
					o := c.Options
					o.Load = load
					o.Policy = p.Policy
					fmt.Println(runs(o).Row(p.Name, load))
				}
			}
		}
	}
}

func ExampleRun() {
	report := Run(Options{Seed: 1, Load: 0.5})
	fmt.Println(report.Goodput() > 0.4, report.DuplicateRuns)
	// Output: true 0
}
