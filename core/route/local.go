package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/rank"
	"arbutustrestle/core/table"
)

// affinityGain is how much worse than the best an upstream may be and still be
// taken for a session or prefix that it has served. Reading a prompt anew costs
// more engine time than the wait costs, so that the cheaper way waits longer.
var affinityGain = [...]time.Duration{
	table.Latency: 400 * time.Millisecond,
	table.Cost:    time.Second,
}

const (
	// cachedGain is added to that when the upstream said that it has the prefix.
	cachedGain = 200 * time.Millisecond
	// samples is the number of upstreams drawn at random and compared.
	samples = 2
	// maxSamples bounds how many are drawn as long as none has a free slot.
	maxSamples = 16
)

// choice is the best upstream found so far.
type choice struct {
	// attempt is nil as long as none is usable.
	attempt *Attempt
	// wait is the projected wait there; cost is what choices are compared by.
	wait time.Duration
	cost time.Duration
	// resort is set for an upstream that is taken because there is no other.
	resort bool
}

// pickLocal finds an upstream in the own region: the one that the affinity names
// and two at random, compared by their projected times. Close to capacity most are
// full, so that more are drawn until one has a free slot. The first one found is
// taken rather than the best of all, which the other instances would find as well.
func pickLocal(now time.Time, random *rand.Rand, v *View, r *Request) choice {
	var best choice
	if r.Full != nil || r.Queued > 0 {
		return best
	}
	version := pickVersion(random, v.Versions, r)
	if version == nil {
		return best
	}
	home := homeOf(version, r)
	if home != nil {
		best.consider(now, v, r, home, affinityGain[v.Objective])
	}
	list := version.Attempts
	for drawn := range min(maxSamples, len(list)) {
		if drawn >= samples && best.attempt != nil && best.wait == 0 {
			break
		}
		best.sample(now, v, r, list, random.IntN(len(list)), home)
	}
	if best.attempt == nil {
		best.lastResort(now, r, list, random.IntN(len(list)))
	}
	return best
}

// lastResort takes the first upstream that is alive although it fails.
func (c *choice) lastResort(now time.Time, r *Request, list []Attempt, first int) {
	for i := range list {
		a := &list[(first+i)%len(list)]
		if r.eligible(a) && a.Upstream.LastResort(now) {
			*c = choice{attempt: a, resort: true}
			return
		}
	}
}

// sample considers the first eligible attempt at or after a place in the list.
func (c *choice) sample(now time.Time, v *View, r *Request, list []Attempt, at int, home *Attempt) {
	for range list {
		a := &list[at]
		at++
		if at == len(list) {
			at = 0
		}
		if a == home || a == c.attempt || !r.eligible(a) {
			continue
		}
		if c.consider(now, v, r, a, 0) {
			return
		}
	}
}

// consider takes an attempt if it is better, and reports whether it is usable.
func (c *choice) consider(now time.Time, v *View, r *Request, a *Attempt, gain time.Duration) bool {
	p, usable := a.Upstream.Project(now)
	if !usable {
		return false
	}
	if v.Cache != nil && r.Prefix != 0 && v.Cache.Holds(r.Prefix, a.Upstream.ID) {
		gain += cachedGain
	}
	cost := p.Total - gain
	if c.attempt == nil || cost < c.cost {
		*c = choice{attempt: a, wait: p.Wait, cost: cost}
	}
	return true
}

func (r *Request) eligible(a *Attempt) bool {
	if r.Places == nil || !r.Places.AllowsZone(a.Upstream.Zone) {
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
	for i := range version.Attempts {
		a := &version.Attempts[i]
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
	for i := range v.Attempts {
		if r.eligible(&v.Attempts[i]) {
			return true
		}
	}
	return false
}
