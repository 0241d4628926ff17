package drain

import (
	"time"

	"arbutustrestle/core/ident"
)

// Observation is an input of an UpstreamTracker: Listed, Delisted, SelfReport or
// Unreachable.
type Observation interface {
	observation()
}

// Listed is the upstream's row in the published list, which may be hours out of
// date.
type Listed struct {
	Upstream ident.Upstream
	Leaving  bool
}

// Delisted means that the upstream was removed from the published list.
type Delisted struct {
	Upstream ident.Upstream
}

// SelfReport is the state reported by the upstream itself, in a load report or in a
// header of an answer.
type SelfReport struct {
	Upstream ident.Upstream
	Leaving  bool
	// AsOf is the time of the report by the upstream's clock, and zero for a header. It
	// is compared only with earlier reports of the same upstream.
	AsOf time.Time
}

// Unreachable means that the upstream could not be reached, by a request attempt or
// by a poll of its load. An upstream that refuses because it is full is reachable.
type Unreachable struct {
	Upstream ident.Upstream
}

func (Listed) observation()      {}
func (Delisted) observation()    {}
func (SelfReport) observation()  {}
func (Unreachable) observation() {}

// Exclusion is the reason why an upstream gets no new requests.
type Exclusion uint8

// The reasons. If several apply, the first one is returned.
const (
	// NotExcluded means that the upstream gets new requests.
	NotExcluded Exclusion = iota
	// ExcludedByList means that the published list shows the upstream as leaving or
	// does not contain it.
	ExcludedByList
	// ExcludedBySelfReport means that the upstream itself reported that it is leaving.
	ExcludedBySelfReport
	// ExcludedByFailure means that the upstream was unreachable more than once since
	// its last report.
	ExcludedByFailure
)

var exclusionNames = [...]string{"takes", "by-list", "by-word", "by-failure"}

// String returns the kebab-case name of the reason.
func (e Exclusion) String() string {
	if int(e) < len(exclusionNames) {
		return exclusionNames[e]
	}
	return exclusionNames[NotExcluded]
}

// failuresToExclude is the number of consecutive failures after which an upstream
// is excluded. A single failed connection also happens with a live upstream.
const failuresToExclude = 2

// UpstreamTracker tracks which upstreams get no new requests because they are
// leaving or seem to have left. Each observation alone is sufficient: an upstream
// that reports that it is leaving gets no new requests even if the list is hours
// out of date. Its zero value has no upstreams. It is not safe for concurrent use.
type UpstreamTracker struct {
	upstreams map[ident.Upstream]*upstreamState
}

// upstreamState holds the observations of one upstream.
type upstreamState struct {
	listedLeaving   bool
	reportedLeaving bool
	// reportedAt is the AsOf of the latest report that had one.
	reportedAt time.Time
	// failures counts the Unreachable observations since the upstream's last report.
	failures int
}

// Observe records one observation.
func (t *UpstreamTracker) Observe(o Observation) {
	switch o := o.(type) {
	case Listed:
		t.state(o.Upstream).listedLeaving = o.Leaving
	case Delisted:
		delete(t.upstreams, o.Upstream)
	case SelfReport:
		t.state(o.Upstream).update(o)
	case Unreachable:
		t.state(o.Upstream).failures++
	}
}

// Exclusion returns the reason why an upstream gets no new requests, or NotExcluded.
// An upstream excluded by failures is included again after its next load report,
// not by a trial request.
func (t *UpstreamTracker) Exclusion(u ident.Upstream) Exclusion {
	s := t.upstreams[u]
	switch {
	case s == nil || s.listedLeaving:
		return ExcludedByList
	case s.reportedLeaving:
		return ExcludedBySelfReport
	case s.failures >= failuresToExclude:
		return ExcludedByFailure
	default:
		return NotExcluded
	}
}

// state returns the state of an upstream, adding it if it is new.
func (t *UpstreamTracker) state(u ident.Upstream) *upstreamState {
	if t.upstreams == nil {
		t.upstreams = map[ident.Upstream]*upstreamState{}
	}
	s := t.upstreams[u]
	if s == nil {
		s = &upstreamState{}
		t.upstreams[u] = s
	}
	return s
}

// update records a report by the upstream itself, unless a later one was received.
// An upstream that replaces one with the same name clears reportedLeaving by a later
// report.
func (s *upstreamState) update(r SelfReport) {
	s.failures = 0
	if r.AsOf.IsZero() {
		// An answer without the header carries no information and may be late.
		s.reportedLeaving = s.reportedLeaving || r.Leaving
		return
	}
	if r.AsOf.Before(s.reportedAt) {
		return
	}
	s.reportedAt = r.AsOf
	s.reportedLeaving = r.Leaving
}
