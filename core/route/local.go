package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/load"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/table"
)

const (
	// affinityBonus is how many more requests the affinity target, which has usually
	// served the session or prefix before, may have in flight than the best of the
	// others.
	affinityBonus = 2.5
	// prefixBonus is the equivalent for an upstream that has reported the prefix as
	// cached.
	prefixBonus = 0.5
	// fullPenalty exceeds any number of requests: an upstream where a request would
	// queue is chosen only if it would queue at every other one.
	fullPenalty = 1e6
	// packingReserve is the number of free slots down to which an upstream is filled if
	// the objective is cost. Reports are late: with a smaller reserve, the requests of
	// other instances would often have taken the slot already.
	packingReserve = 4
	// packingBonus ranks an upstream that is being filled before all others.
	packingBonus = 1e3
)

// choice is the best upstream found so far.
type choice struct {
	// attempt is nil until a usable upstream is found.
	attempt *Attempt
	// score is the value that upstreams are compared by; the lowest wins.
	score float64
	// wait and responseTime are projected from the load that all instances cause there.
	wait         time.Duration
	responseTime time.Duration
	// lastResort is set if the upstream is paused after failures and was chosen because
	// no upstream is usable.
	lastResort bool
}

// pickLocal returns the upstream of the local region with the lowest score, and among
// equal scores the one with the lowest projected response time.
func pickLocal(now time.Time, random *rand.Rand, v *View, r *Request) choice {
	var best choice
	if r.AdmissionFailure != nil || r.QueueWait > 0 {
		return best
	}
	version := pickVersion(random, v.Versions, r)
	if version == nil {
		return best
	}
	candidates := version.Candidates
	target := affinityTarget(version, r)
	offset := random.IntN(len(candidates))
	for i := range candidates {
		a := &candidates[(offset+i)%len(candidates)]
		if r.eligible(a) {
			best.consider(now, v, r, a, a == target)
		}
	}
	if best.attempt == nil {
		best.pickLastResort(now, r, candidates, offset)
	}
	return best
}

// consider replaces the choice by an attempt that is usable and better.
func (c *choice) consider(now time.Time, v *View, r *Request, a *Attempt, hasAffinity bool) {
	estimate, usable := a.Upstream.Estimate(now)
	if !usable {
		return
	}
	score := scoreOf(v.Objective, estimate)
	if hasAffinity {
		score -= affinityBonus
	}
	if v.PrefixIndex != nil && r.PrefixHash != 0 && v.PrefixIndex.Holds(r.PrefixHash, a.Upstream.ID) {
		score -= prefixBonus
	}
	if c.attempt == nil || score < c.score || (score == c.score && estimate.ResponseTime < c.responseTime) {
		*c = choice{attempt: a, score: score, wait: estimate.Wait, responseTime: estimate.ResponseTime}
	}
}

// scoreOf returns the score of an upstream; lower is better. For latency it is the
// number of this instance's own requests in flight: this number is exact, so that each
// instance spreads its requests evenly. Reports are late, and instances that relied on
// them would all send to the same upstream. For cost it is the number of free slots,
// since a step of a fuller batch costs less for each request in it.
func scoreOf(o table.Objective, estimate load.Estimate) float64 {
	switch {
	case estimate.Wait > 0:
		return fullPenalty + float64(estimate.InFlight)
	case o == table.Cost && estimate.FreeSlots >= packingReserve:
		return estimate.FreeSlots - packingBonus
	default:
		return float64(estimate.InFlight)
	}
}

// pickLastResort chooses the first upstream that still reports its load although its
// attempts fail.
func (c *choice) pickLastResort(now time.Time, r *Request, candidates []Attempt, offset int) {
	for i := range candidates {
		a := &candidates[(offset+i)%len(candidates)]
		if r.eligible(a) && a.Upstream.UsableAsLastResort(now) {
			*c = choice{attempt: a, lastResort: true}
			return
		}
	}
}

func (r *Request) eligible(a *Attempt) bool {
	if r.Residency == nil || !r.Residency.AllowsZone(a.Upstream.Zone) {
		return false
	}
	return !slices.Contains(r.Tried, a.Upstream.ID)
}

// affinityTarget returns the eligible attempt that ranks first for the affinity,
// whether or not it is usable: while its upstream is paused, its requests go to others,
// and they return to it afterwards.
func affinityTarget(version *Version, r *Request) *Attempt {
	if r.Affinity == "" {
		return nil
	}
	var target *Attempt
	var highest uint64
	for i := range version.Candidates {
		a := &version.Candidates[i]
		score := rank.Score(r.Affinity, string(a.Upstream.ID))
		if target != nil && score <= highest {
			continue
		}
		if r.eligible(a) {
			target = a
			highest = score
		}
	}
	return target
}

// pickVersion draws a version by weight among those with an eligible upstream. A
// request with an affinity always draws the same one.
func pickVersion(random *rand.Rand, versions []Version, r *Request) *Version {
	var total uint64
	for i := range versions {
		if versions[i].canServe(r) {
			total += uint64(versions[i].Weight)
		}
	}
	if total == 0 {
		return nil
	}
	drawn := draw(random, r, total)
	for i := range versions {
		if !versions[i].canServe(r) {
			continue
		}
		weight := uint64(versions[i].Weight)
		if drawn < weight {
			return &versions[i]
		}
		drawn -= weight
	}
	return nil
}

func draw(random *rand.Rand, r *Request, total uint64) uint64 {
	if r.Affinity == "" {
		return random.Uint64N(total)
	}
	return rank.Score(r.Affinity, "version") % total
}

func (v *Version) canServe(r *Request) bool {
	if v.Weight == 0 {
		return false
	}
	for i := range v.Candidates {
		if r.eligible(&v.Candidates[i]) {
			return true
		}
	}
	return false
}
