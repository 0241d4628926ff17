package trial

import (
	"time"

	"arbutustrestle/core/table"
)

// NamedPolicy is a policy with its name in the tables of results.
type NamedPolicy struct {
	Name   string
	Policy Policy
}

// Comparison is a set of policies that run under the same loads, seeds and fault.
type Comparison struct {
	Title    string
	Options  Options
	Loads    []float64
	Policies []NamedPolicy
}

// Comparisons returns the comparisons of the design notes: each mechanism with its
// baselines. All callers of a workspace use the same instance, and a run takes two
// minutes.
func Comparisons() []Comparison {
	everything := NamedPolicy{"all", Policy{}}
	list := []Comparison{
		{"No fault", Options{}, []float64{0.5, 0.8, 1, 1.5, 3}, []NamedPolicy{
			everything, {"objective cost", Policy{Objective: table.Cost}},
			{"random", Policy{Routing: Random}}, {"round robin", Policy{Routing: RoundRobin}},
			{"least in flight", Policy{Routing: LeastInFlight}}, {"lowest of all", Policy{Routing: LowestEstimate}}, {"better of two", Policy{Routing: TwoChoices}},
			{"exact load (bound)", Policy{Routing: ExactLoad}}, {"no affinity", Policy{Routing: NoAffinity}},
			{"no compensation", Policy{NoPeerCompensation: true}}, {"no hedge", Policy{NoHedge: true}},
			{"even parts", Policy{Admission: EqualShares}}, {"no classes", Policy{Admission: SingleClass}},
			{"no admission", Policy{Admission: AdmitAll}}, {"no queue", Policy{NoQueue: true}},
			{"no spill", Policy{NoSpill: true}},
		}},
		{"Region lost and returned", Options{Fault: RegionLost}, []float64{0.6, 1.2}, []NamedPolicy{
			everything, {"no spill", Policy{NoSpill: true}}, {"no ramp", Policy{NoRamp: true}}, {"no budget", Policy{UnlimitedRetries: true}},
		}},
		{"A region tenfold smaller", Options{Engines: []int{20, 20, 2}}, []float64{0.8}, []NamedPolicy{
			everything, {"objective cost", Policy{Objective: table.Cost}}, {"no spill", Policy{NoSpill: true}},
		}},
		{"Half a region restarted cold", Options{Fault: ColdRestart}, []float64{0.8}, []NamedPolicy{everything, {"no ramp", Policy{NoRamp: true}}}},
		{"Load reports four seconds late", Options{Fault: LateReports}, []float64{0.8}, []NamedPolicy{
			everything, {"no compensation", Policy{NoPeerCompensation: true}}, {"lowest of all", Policy{Routing: LowestEstimate}}, {"better of two", Policy{Routing: TwoChoices}},
			{"least in flight", Policy{Routing: LeastInFlight}}, {"random", Policy{Routing: Random}},
		}},
		{"One engine in twelve eight times slower", Options{Fault: SlowEngine}, []float64{0.8}, []NamedPolicy{
			everything, {"least in flight", Policy{Routing: LeastInFlight}}, {"round robin", Policy{Routing: RoundRobin}}, {"random", Policy{Routing: Random}},
		}},
		{"One engine in twelve refuses at once", Options{Fault: RefusingEngine}, []float64{0.8}, []NamedPolicy{
			everything, {"least in flight, blind", Policy{Routing: LeastInFlight, IgnoreFailures: true}}, {"round robin, blind", Policy{Routing: RoundRobin, IgnoreFailures: true}},
		}},
		{"Retry storm, arrivals doubled", Options{Fault: RetryStorm}, []float64{1}, []NamedPolicy{
			everything, {"return after 1 s", Policy{FixedRetryAfter: time.Second}}, {"no budget", Policy{UnlimitedRetries: true}}, {"no admission", Policy{Admission: AdmitAll}},
		}},
		{"One workspace asks for half of its region", Options{Fault: DominantWorkspace}, []float64{0.8, 1.2}, []NamedPolicy{
			everything, {"no workspace limit", Policy{NoWorkspaceLimit: true}},
		}},
		{"Plain services fail half of their calls", Options{Fault: FailingService}, []float64{0.8}, []NamedPolicy{
			everything, {"no budget", Policy{UnlimitedRetries: true}},
		}},
	}
	for i := range list {
		list[i].Options.SkewByWorkspace = true
		list[i].Options.Duration = defaultLength
	}
	return list
}
