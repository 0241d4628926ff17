// Package trial measures the decisions of the other core packages under load. It
// drives entry instances, each with its own late view of the load, against small
// fakes of engines and callers under a virtual clock, in one process. It models
// what the decisions need and no more: no membership, no network, no connections.
package trial

import (
	"time"

	"arbutustrestle/core/table"
)

// Routing is how an entry chooses among the engines of its region.
type Routing uint8

// The ways of choosing an engine. All but Chosen are baselines.
const (
	// RoutePick is what package route does.
	RoutePick Routing = iota
	// Random draws one engine.
	Random
	// RoundRobin takes the engines in turn.
	RoundRobin
	// LeastInFlight takes the engine with the fewest requests of the own entry.
	LeastInFlight
	// LowestEstimate takes the lowest projected time of all engines.
	LowestEstimate
	// TwoChoices takes the lower projected time of two engines drawn at random.
	TwoChoices
	// NoAffinity is Chosen without sessions, prefixes and cache events.
	NoAffinity
	// ExactLoad takes the engine with the fewest requests as it is now, which no entry
	// can know: the bound for the others.
	ExactLoad
)

// Admission is how an entry decides what to take on.
type Admission uint8

// The ways of admitting. All but Shared are baselines.
const (
	// DemandShares divides a region's slots by what each entry wants, and an entry's part
	// between the classes.
	DemandShares Admission = iota
	// EqualShares gives each entry the same part of the slots.
	EqualShares
	// SingleClass is Shared with all requests in one class.
	SingleClass
	// AdmitAll admits everything.
	AdmitAll
)

// Policy selects the mechanisms under trial. Its zero value has them all.
type Policy struct {
	Routing   Routing
	Admission Admission
	Objective table.Objective
	// UnlimitedRetries retries take no budget.
	UnlimitedRetries bool
	// NoRamp gives returned engines their whole share at once.
	NoRamp bool
	// NoSpill keeps every request in its region.
	NoSpill bool
	// NoPeerCompensation counts only the own requests after a late report, not the other
	// entries' as well.
	NoPeerCompensation bool
	// FixedRetryAfter tells all refused callers to come back after this time; zero is the
	// estimated time.
	FixedRetryAfter time.Duration
	// NoQueue refuses what can't be admitted at once.
	NoQueue bool
	// NoHedge starts no second attempt beside a first that is slow to answer.
	NoHedge bool
	// IgnoreFailures ignores failures: an engine that refuses stays in the choice.
	IgnoreFailures bool
	// NoWorkspaceLimit ignores the workspaces' limits.
	NoWorkspaceLimit bool
}

// Fault is what goes wrong in a run.
type Fault uint8

// The faults. They begin after a third of the run and end after two thirds.
const (
	NoFault Fault = iota
	// RegionLost takes all engines of the first region, which return with cold caches.
	RegionLost
	// LateReports delays load reports by four seconds.
	LateReports
	// SlowEngine makes one engine in each region eight times slower.
	SlowEngine
	// RefusingEngine makes one engine in each region refuse everything at once.
	RefusingEngine
	// RetryStorm has callers try again at once, up to five times, unless they were
	// told when to come back, and doubles the arrivals.
	RetryStorm
	// DominantWorkspace has one workspace ask for as much as all others together.
	DominantWorkspace
	// FailingService has plain services fail half of their calls at the end.
	FailingService
	// ColdRestart empties half of the engines' caches and restarts them one after
	// another.
	ColdRestart
)

var faultNames = [...]string{
	"none", "region-lost", "late-reports", "slow-engine", "refusing-engine", "retry-storm", "one-workspace",
	"failing-service", "cold-return",
}

// String returns the kebab-case name of the fault.
func (f Fault) String() string {
	if int(f) < len(faultNames) {
		return faultNames[f]
	}
	return faultNames[NoFault]
}

// Options describe one run.
type Options struct {
	Seed uint64
	// Load is the rate of new requests as a part of the capacity of all regions.
	Load float64
	// Duration is how long requests arrive; the first quarter isn't measured. Zero is
	// two minutes.
	Duration time.Duration
	// Engines is the number of engines in each region; nil is 12 in each of three.
	Engines []int
	// Instances is the number of entry instances in each region; zero is three.
	Instances int
	// SkewByWorkspace sends callers to entries by workspace instead of evenly.
	SkewByWorkspace bool
	Fault           Fault
	Policy          Policy
}

const (
	defaultLength  = 2 * time.Minute
	defaultEntries = 3
	defaultEngines = 12
	defaultRegions = 3
)

func (o *Options) fill() {
	if o.Duration == 0 {
		o.Duration = defaultLength
	}
	if o.Instances == 0 {
		o.Instances = defaultEntries
	}
	if o.Engines == nil {
		for range defaultRegions {
			o.Engines = append(o.Engines, defaultEngines)
		}
	}
}
