package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/table"
)

// prefersRemote compares the local and the remote wait under the deployment's
// objective.
func prefersRemote(v *View, r *Request, local choice, remote *RemoteRegion) bool {
	if r.QueueWait > 0 {
		local.wait = r.QueueWait
	} else if local.attempt == nil || local.lastResort {
		return true
	}
	if v.Objective == table.Cost {
		return r.MaxWait > 0 && local.wait > r.MaxWait
	}
	return local.wait > remote.Load.Wait+remote.WaitPenalty+v.SpillMargin
}

// pickRemote returns the region with the shortest wait that the request may be sent to,
// or nil.
func pickRemote(now time.Time, random *rand.Rand, v *View, r *Request) *RemoteRegion {
	if len(r.Visited) > 0 || v.SpillLimiter == nil || r.Residency == nil {
		return nil
	}
	var best *RemoteRegion
	for i := range v.Remotes {
		remote := &v.Remotes[i]
		if best != nil && remote.Load.Wait+remote.WaitPenalty >= best.Load.Wait+best.WaitPenalty {
			continue
		}
		if remote.accepts(now, random, v, r) {
			best = remote
		}
	}
	return best
}

// accepts reports whether the request may be sent to the region and has a slot there.
func (remote *RemoteRegion) accepts(now time.Time, random *rand.Rand, v *View, r *Request) bool {
	if remote.Load.Region == v.Region || !r.Residency.AllowsRegion(remote.Load.Region) {
		return false
	}
	if !remote.Load.Fresh(now) || slices.Contains(r.Visited, remote.Load.Region) {
		return false
	}
	if r.MaxWait > 0 && remote.Load.Wait > r.MaxWait {
		return false
	}
	return v.SpillLimiter.allows(random, remote)
}
