package trial

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"arbutustrestle/core/table"
)

// seeds are the same for all compared runs.
var seeds = []uint64{1, 2, 3, 4, 5}

// cachedReports holds the reports of finished runs, since several tests compare with
// the same runs.
var cachedReports = map[string]*Report{}

// testDuration is shorter than the default since the tests run many simulations.
const testDuration = 90 * time.Second

// runSeeds runs all seeds concurrently and returns the sum of their reports.
func runSeeds(o Options) *Report {
	if o.Duration == 0 {
		o.Duration = testDuration
	}
	key := fmt.Sprintf("%+v", o)
	if r := cachedReports[key]; r != nil {
		return r
	}
	reports := make([]*Report, len(seeds))
	var group sync.WaitGroup
	for i, seed := range seeds {
		group.Go(func() {
			seeded := o
			seeded.Seed = seed
			reports[i] = Run(seeded)
		})
	}
	group.Wait()
	for _, r := range reports[1:] {
		reports[0].Add(r)
	}
	cachedReports[key] = reports[0]
	return reports[0]
}

// The limits of the stated target.
const (
	firstTokenTarget = 1900 * time.Millisecond
	interTokenTarget = 69 * time.Millisecond
	minGoodputRatio  = 0.95
	// minGuaranteedRatio is the share of its guaranteed slots below which a class
	// counts as starved.
	minGuaranteedRatio = 0.5
	// minFaultGoodputRatio is the share of the load that must be answered during a
	// fault that leaves enough capacity.
	minFaultGoodputRatio = 0.85
)

func TestTargetsHoldUpToCapacity(t *testing.T) {
	for _, objective := range []table.Objective{table.Latency, table.Cost} {
		for _, load := range []float64{0.5, 0.8, 1} {
			r := runSeeds(Options{Load: load, SkewByWorkspace: true, Policy: Policy{Objective: objective}})
			if got := r.FirstToken().Quantile(0.95); got > firstTokenTarget {
				t.Errorf("%s, load %.1f: p95 of the first token is %s, target %s", objective, load, got, firstTokenTarget)
			}
			if got := r.InterToken().Quantile(0.95); got > interTokenTarget {
				t.Errorf("%s, load %.1f: p95 between tokens is %s, target %s", objective, load, got, interTokenTarget)
			}
		}
	}
}

func TestGoodputHoldsAboveCapacity(t *testing.T) {
	atCapacity := runSeeds(Options{Load: 1, SkewByWorkspace: true}).Goodput()
	for _, load := range []float64{1.5, 3} {
		r := runSeeds(Options{Load: load, SkewByWorkspace: true})
		if got := r.Goodput(); got < minGoodputRatio*atCapacity {
			t.Errorf("load %.1f: goodput %.3f, at capacity %.3f", load, got, atCapacity)
		}
		policy := table.DefaultPolicy()
		for _, class := range modelClasses {
			part := float64(r.Classes[class].Tokens) / r.Capacity
			guaranteed := float64(policy.Classes[class].SharePercent) / 100
			if part < minGuaranteedRatio*guaranteed {
				t.Errorf("load %.1f: %s got %.3f of the tokens, %.2f are guaranteed", load, class, part, guaranteed)
			}
		}
	}
	open := runSeeds(Options{Load: 3, SkewByWorkspace: true, Policy: Policy{Admission: AdmitAll}})
	if got := float64(open.Classes[table.Session].Tokens) / open.Capacity; got > minGuaranteedRatio*0.3 {
		t.Errorf("sessions got %.3f of the tokens without admission, too much for this test to show a difference", got)
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
		r := runSeeds(Options{Fault: c.fault, Load: c.load, SkewByWorkspace: true})
		if got := r.Goodput(); got < minFaultGoodputRatio*c.load {
			t.Errorf("%s: goodput %.3f at load %.1f", c.fault, got, c.load)
		}
		if r.DuplicateRuns > 0 || r.FalseNotRun > 0 {
			t.Errorf("%s: %d calls ran more than once, %d tries that ran failed with the outcome NotRun", c.fault, r.DuplicateRuns, r.FalseNotRun)
		}
	}
}

func TestMechanismsBeatTheirBaselines(t *testing.T) {
	for _, c := range []struct {
		name     string
		options  Options
		baseline Policy
		// cost is the quantity that the mechanism must reduce.
		cost func(*Report) float64
	}{
		{"an engine that refuses at once attracts no traffic", Options{Fault: RefusingEngine, Load: 0.8},
			Policy{Routing: LeastInFlight, IgnoreFailures: true}, func(r *Report) float64 { return float64(r.RefusedAttempts) }},
		{"a slow engine receives less traffic", Options{Fault: SlowEngine, Load: 0.8},
			Policy{Routing: Random}, func(r *Report) float64 { return r.FirstToken().Quantile(0.95).Seconds() }},
		{"late reports don't direct all requests to one engine", Options{Fault: LateReports, Load: 0.8},
			Policy{Routing: Random}, func(r *Report) float64 { return r.FirstToken().Quantile(0.95).Seconds() }},
		{"affinity finds cached prompts", Options{Load: 0.8},
			Policy{Routing: NoAffinity}, func(r *Report) float64 { return r.Classes[table.Plan].FirstToken.Quantile(0.5).Seconds() }},
		{"a lost region's requests are answered elsewhere", Options{Fault: RegionLost, Load: 0.6},
			Policy{NoSpill: true}, func(r *Report) float64 { return -r.OtherWorkspaces.AnsweredShare() }},
		{"a small region's requests are answered elsewhere", Options{Engines: []int{20, 20, 2}, Load: 0.8},
			Policy{NoSpill: true}, func(r *Report) float64 { return -r.Goodput() }},
		{"one workspace leaves the others their share", Options{Fault: DominantWorkspace, Load: 1.2},
			Policy{NoWorkspaceLimit: true}, func(r *Report) float64 { return -r.OtherWorkspaces.AnsweredShare() }},
		{"quick requests are answered before others", Options{Load: 1.5},
			Policy{Admission: SingleClass}, func(r *Report) float64 { return r.Classes[table.Quick].FirstToken.Quantile(0.95).Seconds() }},
		{"hedges shorten the tail", Options{Load: 1},
			Policy{NoHedge: true}, func(r *Report) float64 { return r.FirstToken().Quantile(0.95).Seconds() }},
		{"estimated retry times reduce the tries", Options{Fault: RetryStorm, Load: 1},
			Policy{FixedRetryAfter: time.Second}, func(r *Report) float64 { return float64(r.Tries) }},
	} {
		c.options.SkewByWorkspace = true
		with := c.cost(runSeeds(c.options))
		c.options.Policy = c.baseline
		without := c.cost(runSeeds(c.options))
		if with >= without {
			t.Errorf("%s: %.3f with, %.3f without", c.name, with, without)
		}
	}
}

func TestObjectivesReduceTheirQuantity(t *testing.T) {
	for _, engines := range [][]int{nil, {20, 20, 2}} {
		o := Options{Load: 0.8, Engines: engines, SkewByWorkspace: true}
		latency := runSeeds(o)
		o.Policy.Objective = table.Cost
		cost := runSeeds(o)
		if l, c := latency.FirstToken().Quantile(0.95), cost.FirstToken().Quantile(0.95); l >= c {
			t.Errorf("%v: p95 to the first token is %s with the latency objective, %s with the cost objective", engines, l, c)
		}
		if latency.ForwardedShare() <= cost.ForwardedShare() || latency.CostPer1000Tokens() <= cost.CostPer1000Tokens() {
			t.Errorf("%v: forwarded share %.3f and cost %s with the latency objective, %.3f and %s with the cost objective", engines,
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
					fmt.Println(runSeeds(o).Row(p.Name, load))
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
