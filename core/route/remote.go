package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/table"
)

// prefersRemote compares the waits by the deployment's objective.
func prefersRemote(v *View, r *Request, local choice, remote *Remote) bool {
	if r.Queued > 0 {
		local.wait = r.Queued
	} else if local.attempt == nil || local.resort {
		return true
	}
	if v.Objective == table.Cost {
		return r.MaxWait > 0 && local.wait > r.MaxWait
	}
	return local.wait > remote.Cell.Wait+remote.Cost+v.SpillMargin
}

// pickRemote returns the best region that may have the request, or nil.
func pickRemote(now time.Time, random *rand.Rand, v *View, r *Request) *Remote {
	if len(r.Visited) > 0 || v.SpillLimiter == nil || r.Residency == nil {
		return nil
	}
	var best *Remote
	for i := range v.Remotes {
		c := &v.Remotes[i]
		if best != nil && c.Cell.Wait+c.Cost >= best.Cell.Wait+best.Cost {
			continue
		}
		if c.open(now, random, v, r) {
			best = c
		}
	}
	return best
}

// open reports whether the region may have the request and has room for it.
func (c *Remote) open(now time.Time, random *rand.Rand, v *View, r *Request) bool {
	if c.Cell.Region == v.Region || !r.Residency.AllowsRegion(c.Cell.Region) {
		return false
	}
	if !c.Cell.Fresh(now) || slices.Contains(r.Visited, c.Cell.Region) {
		return false
	}
	if r.MaxWait > 0 && c.Cell.Wait > r.MaxWait {
		return false
	}
	return v.SpillLimiter.room(random, c)
}
