package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/table"
)

// prefersRemote compares the waits by the deployment's objective.
func prefersRemote(v *View, r *Request, local choice, remote *RemoteRegion) bool {
	if r.QueueWait > 0 {
		local.wait = r.QueueWait
	} else if local.attempt == nil || local.resort {
		return true
	}
	if v.Objective == table.Cost {
		return r.MaxWait > 0 && local.wait > r.MaxWait
	}
	return local.wait > remote.Load.Wait+remote.WaitPenalty+v.SpillMargin
}

// pickRemote returns the best region that may have the request, or nil.
func pickRemote(now time.Time, random *rand.Rand, v *View, r *Request) *RemoteRegion {
	if len(r.Visited) > 0 || v.SpillLimiter == nil || r.Residency == nil {
		return nil
	}
	var best *RemoteRegion
	for i := range v.Remotes {
		c := &v.Remotes[i]
		if best != nil && c.Load.Wait+c.WaitPenalty >= best.Load.Wait+best.WaitPenalty {
			continue
		}
		if c.open(now, random, v, r) {
			best = c
		}
	}
	return best
}

// open reports whether the region may have the request and has room for it.
func (c *RemoteRegion) open(now time.Time, random *rand.Rand, v *View, r *Request) bool {
	if c.Load.Region == v.Region || !r.Residency.AllowsRegion(c.Load.Region) {
		return false
	}
	if !c.Load.Fresh(now) || slices.Contains(r.Visited, c.Load.Region) {
		return false
	}
	if r.MaxWait > 0 && c.Load.Wait > r.MaxWait {
		return false
	}
	return v.SpillLimiter.room(random, c)
}
