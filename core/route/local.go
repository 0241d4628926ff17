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
	// affinityGain is how many more requests may be at the upstream that has served a
	// session or prefix before than at the best of the others.
	affinityGain = 2.5
	// cachedGain is the same for an upstream that said that it has the prefix.
	cachedGain = 0.5
	// fullPenalty is more than any number of requests: an upstream where a request
	// would wait is taken only if it would wait at all others.
	fullPenalty = 1e6
	// packedRoom is the number of free slots down to which an upstream is filled up
	// where cost counts most. Reports are late, so that with less room others' requests
	// would often be found to have taken it.
	packedRoom = 4
	// packedGain puts an upstream that is being filled up before all others.
	packedGain = 1e3
)

// choice is the best upstream found so far.
type choice struct {
	// attempt is nil as long as none is usable.
	attempt *Attempt
	// value is what upstreams are compared by; the lowest is taken.
	value float64
	// wait and total are projected from what is known of all requests there.
	wait  time.Duration
	total time.Duration
	// resort is set for an upstream that is taken because there is no other.
	resort bool
}

// pickLocal finds an upstream in the own region: the one of the lowest value, and
// among equals the one with the least projected time.
func pickLocal(now time.Time, random *rand.Rand, v *View, r *Request) choice {
	var best choice
	if r.AdmissionFailure != nil || r.QueueWait > 0 {
		return best
	}
	version := pickVersion(random, v.Versions, r)
	if version == nil {
		return best
	}
	list := version.Candidates
	home := homeOf(version, r)
	first := random.IntN(len(list))
	for i := range list {
		a := &list[(first+i)%len(list)]
		if r.eligible(a) {
			best.consider(now, v, r, a, a == home)
		}
	}
	if best.attempt == nil {
		best.lastResort(now, r, list, first)
	}
	return best
}

// consider takes an attempt if it is usable and better.
func (c *choice) consider(now time.Time, v *View, r *Request, a *Attempt, home bool) {
	p, usable := a.Upstream.Estimate(now)
	if !usable {
		return
	}
	value := valueOf(v.Objective, p)
	if home {
		value -= affinityGain
	}
	if v.PrefixIndex != nil && r.PrefixHash != 0 && v.PrefixIndex.Holds(r.PrefixHash, a.Upstream.ID) {
		value -= cachedGain
	}
	if c.attempt == nil || value < c.value || (value == c.value && p.ResponseTime < c.total) {
		*c = choice{attempt: a, value: value, wait: p.Wait, total: p.ResponseTime}
	}
}

// valueOf values an upstream. For latency it is the number of this instance's own
// requests in flight: these are known exactly, so that each instance spreads its
// requests evenly. Reports are late, and instances that went by them would all send
// to the same upstream. For cost it is the number of free slots, since a step of a
// fuller batch costs less for each request in it.
func valueOf(o table.Objective, p load.Estimate) float64 {
	switch {
	case p.Wait > 0:
		return fullPenalty + float64(p.InFlight)
	case o == table.Cost && p.FreeSlots >= packedRoom:
		return p.FreeSlots - packedGain
	default:
		return float64(p.InFlight)
	}
}

// lastResort takes the first upstream that is alive although it fails.
func (c *choice) lastResort(now time.Time, r *Request, list []Attempt, first int) {
	for i := range list {
		a := &list[(first+i)%len(list)]
		if r.eligible(a) && a.Upstream.UsableAsLastResort(now) {
			*c = choice{attempt: a, resort: true}
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

// homeOf returns the eligible attempt that ranks first for the affinity, usable or
// not: while its upstream pauses, its requests go elsewhere and then come back.
func homeOf(version *Version, r *Request) *Attempt {
	if r.Affinity == "" {
		return nil
	}
	var home *Attempt
	var highest uint64
	for i := range version.Candidates {
		a := &version.Candidates[i]
		score := rank.Score(r.Affinity, string(a.Upstream.ID))
		if home != nil && score <= highest {
			continue
		}
		if r.eligible(a) {
			home = a
			highest = score
		}
	}
	return home
}

// pickVersion draws a version by weight among those that an eligible upstream
// serves. A request with an affinity always draws the same one.
func pickVersion(random *rand.Rand, versions []Version, r *Request) *Version {
	var total uint64
	for i := range versions {
		if versions[i].serves(r) {
			total += uint64(versions[i].Weight)
		}
	}
	if total == 0 {
		return nil
	}
	drawn := draw(random, r, total)
	for i := range versions {
		if !versions[i].serves(r) {
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

func (v *Version) serves(r *Request) bool {
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
