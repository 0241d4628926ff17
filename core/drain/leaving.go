package drain

import (
	"time"

	"arbutustrestle/core/ident"
)

// Observation is something from which it shows whether an upstream is leaving: Listed,
// Delisted, Word or Failed.
type Observation interface {
	sign()
}

// Listed is the upstream's row in the published list, which may lag for hours.
type Listed struct {
	Upstream ident.Upstream
	Leaving  bool
}

// Delisted says that the published list has no row for the upstream any more.
type Delisted struct {
	Upstream ident.Upstream
}

// SelfReport is what the upstream said of itself, in a load report or in the header of
// an answer.
type SelfReport struct {
	Upstream ident.Upstream
	Leaving  bool
	// AsOf is the upstream's own time of its word, and zero for a header. It is
	// compared with the same upstream's earlier words only.
	AsOf time.Time
}

// Unreachable says that the upstream could not be reached. Attempts and polls of its
// load count alike; an upstream that refuses since it is full doesn't fail.
type Unreachable struct {
	Upstream ident.Upstream
}

func (Listed) sign()      {}
func (Delisted) sign()    {}
func (SelfReport) sign()  {}
func (Unreachable) sign() {}

// Exclusion says why an upstream gets no new work.
type Exclusion uint8

// The reasons; of several that hold, the first one is given.
const (
	// NotExcluded means that the upstream gets new work.
	NotExcluded Exclusion = iota
	// ExcludedByList means that the published list shows it as leaving or not at all.
	ExcludedByList
	// ExcludedBySelfReport means that it said so itself.
	ExcludedBySelfReport
	// ExcludedByFailure means that it failed more than once since it was last heard.
	ExcludedByFailure
)

var whyNames = [...]string{"takes", "by-list", "by-word", "by-failure"}

// String returns the kebab-case name.
func (w Exclusion) String() string {
	if int(w) < len(whyNames) {
		return whyNames[w]
	}
	return whyNames[NotExcluded]
}

// failuresToStop is the number of failures in a row after which an upstream gets
// no new work. One failed connection happens to a live upstream too.
const failuresToStop = 2

// UpstreamTracker tracks which upstreams get no new work since they are leaving, or seem
// to have left. Each sign suffices alone: a list that is stale for hours doesn't
// keep work going to an upstream that says that it is leaving. Its zero value
// knows no upstream. It is not safe for concurrent use.
type UpstreamTracker struct {
	upstreams map[ident.Upstream]*departure
}

// departure is what is known of one upstream.
type departure struct {
	listed bool
	word   bool
	// asOf is the time of the latest word that had one.
	asOf time.Time
	// failing counts the failures since the upstream was last heard.
	failing int
}

// Observe takes in one sign.
func (l *UpstreamTracker) Observe(s Observation) {
	switch s := s.(type) {
	case Listed:
		l.of(s.Upstream).listed = s.Leaving
	case Delisted:
		delete(l.upstreams, s.Upstream)
	case SelfReport:
		l.of(s.Upstream).hear(s)
	case Unreachable:
		l.of(s.Upstream).failing++
	}
}

// Exclusion returns why an upstream gets no new work, or Takes. A failing upstream is
// let in again by its next load report, not by a request that tries it out.
func (l *UpstreamTracker) Exclusion(u ident.Upstream) Exclusion {
	d := l.upstreams[u]
	switch {
	case d == nil || d.listed:
		return ExcludedByList
	case d.word:
		return ExcludedBySelfReport
	case d.failing >= failuresToStop:
		return ExcludedByFailure
	default:
		return NotExcluded
	}
}

// of returns what is known of an upstream, adding it if it is new.
func (l *UpstreamTracker) of(u ident.Upstream) *departure {
	if l.upstreams == nil {
		l.upstreams = map[ident.Upstream]*departure{}
	}
	d := l.upstreams[u]
	if d == nil {
		d = &departure{}
		l.upstreams[u] = d
	}
	return d
}

// hear takes in the upstream's own word, unless a later one was heard. A replaced
// upstream of the same name takes its word back by a later one.
func (d *departure) hear(w SelfReport) {
	d.failing = 0
	if w.AsOf.IsZero() {
		// An answer without the header says nothing, and may be late.
		d.word = d.word || w.Leaving
		return
	}
	if w.AsOf.Before(d.asOf) {
		return
	}
	d.asOf = w.AsOf
	d.word = w.Leaving
}
