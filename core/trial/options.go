// Package trial measures the decisions of the other core packages under load. It runs
// entry instances, each with its own delayed view of the load, against simulated
// engines and callers on a virtual clock, in one process. It simulates only the inputs
// of the decisions: no membership, no network, no connections.
package trial

import (
	"time"

	"arbutustrestle/core/table"
)

// Routing selects how an instance chooses among the engines of its region.
type Routing uint8

// The routing algorithms. All but RoutePick are baselines.
const (
	// RoutePick uses package route.
	RoutePick Routing = iota
	// Random chooses an engine at random.
	Random
	// RoundRobin chooses the engines in rotation.
	RoundRobin
	// LeastInFlight chooses the engine with the fewest requests in flight from the own
	// instance.
	LeastInFlight
	// LowestEstimate chooses the engine with the lowest projected response time.
	LowestEstimate
	// TwoChoices chooses the lower projected response time of two engines drawn at
	// random.
	TwoChoices
	// NoAffinity is RoutePick without sessions, prefixes and cache events.
	NoAffinity
	// ExactLoad chooses the engine with the fewest requests at the moment. No instance
	// has this information in practice, so that it is the bound for the other
	// algorithms.
	ExactLoad
)

// Admission selects how an instance admits requests.
type Admission uint8

// The admission algorithms. All but DemandShares are baselines.
const (
	// DemandShares divides a region's slots among the instances by their demand, and an
	// instance's share among the classes.
	DemandShares Admission = iota
	// EqualShares gives each instance the same share of the slots.
	EqualShares
	// SingleClass is DemandShares with all requests in one class.
	SingleClass
	// AdmitAll admits every request.
	AdmitAll
)

// Policy selects the mechanisms of a run. Its zero value enables all of them.
type Policy struct {
	Routing   Routing
	Admission Admission
	Objective table.Objective
	// UnlimitedRetries removes the limit of the retry budget.
	UnlimitedRetries bool
	// NoRamp gives returned engines their full share of requests at once.
	NoRamp bool
	// NoSpill keeps every request in its region.
	NoSpill bool
	// NoPeerCompensation adds only the instance's own requests to a late load report,
	// and no estimate of the requests of its peers.
	NoPeerCompensation bool
	// FixedRetryAfter is the retry time for all refused callers. Zero means the
	// estimated time.
	FixedRetryAfter time.Duration
	// NoQueue refuses requests that can't be admitted at once.
	NoQueue bool
	// NoHedge disables the second attempt that runs beside a slow first one.
	NoHedge bool
	// IgnoreFailures keeps engines that refuse requests among the candidates.
	IgnoreFailures bool
	// NoWorkspaceLimit disables the limits of workspaces.
	NoWorkspaceLimit bool
}

// Fault is the failure that is injected into a run.
type Fault uint8

// The faults. They begin after a third of the run and end after two thirds.
const (
	NoFault Fault = iota
	// RegionLost stops all engines of the first region, which return with cold caches.
	RegionLost
	// LateReports delays load reports by four seconds.
	LateReports
	// SlowEngine makes one engine in each region eight times slower.
	SlowEngine
	// RefusingEngine makes one engine in each region refuse all requests immediately.
	RefusingEngine
	// RetryStorm doubles the arrivals and makes callers retry up to five times, almost
	// at once unless the failure states a retry time.
	RetryStorm
	// DominantWorkspace makes one workspace send as many requests as all others of its
	// region together.
	DominantWorkspace
	// FailingService makes plain services fail half of their calls after they have run.
	FailingService
	// ColdRestart restarts half of the engines of the first region, which return with
	// cold caches.
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

// Options describes one run.
type Options struct {
	Seed uint64
	// Load is the rate of new requests as a share of the capacity of all regions.
	Load float64
	// Duration is the time over which requests arrive. The first quarter isn't
	// measured. Zero means two minutes.
	Duration time.Duration
	// Engines is the number of engines in each region. Nil means three regions with 12
	// engines each.
	Engines []int
	// Instances is the number of entry instances in each region. Zero means three.
	Instances int
	// SkewByWorkspace sends all requests of a workspace to the same instance, instead
	// of a random one.
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

func (o *Options) setDefaults() {
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
