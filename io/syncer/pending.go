package syncer

import (
	"time"

	"arbutustrestle/core/mirror"
)

// Some changes become active only if nothing contradicts them for a while: an upstream
// that is missing may have expired while the store was unavailable, and a store that has
// come back from an older copy lacks what was written since.

const (
	// relistTimeout is how long upstreams have to register in the list again after the
	// platform has become available again.
	relistTimeout = 2200 * time.Millisecond
	// rewriteTimeout is how long operators have to evacuate a zone again that the older
	// copy, from which the store came back, doesn't have. They notice later than upstreams.
	rewriteTimeout = 10 * time.Second
	// leaseTimeout is the time after which the description of an upstream that no longer
	// runs has expired in the store: three of its heartbeats, and a margin.
	leaseTimeout = 5 * time.Second
)

// relisting is the description of an upstream that has left, in the older copy from which
// the store came back.
type relisting struct {
	change   mirror.UpstreamUpdated
	revision uint64
	// at is when the upstream must be running, since the description hasn't expired.
	at time.Time
}

// activatePending activates the pending changes that are due.
func (l *Loop) activatePending(now time.Time) {
	l.removeLapsed(now)
	l.restorePending(now)
	l.relistPending(now)
}

// postponePending gives writers the whole time again after a return of the store: it may
// have lost what they wrote since the return before.
func (l *Loop) postponePending(now time.Time, g mirror.Group) {
	if g == mirror.OperatorGroup {
		for zone := range l.pendingRestores {
			l.pendingRestores[zone] = now.Add(rewriteTimeout)
		}
		return
	}
	for id := range l.pendingRemovals {
		l.pendingRemovals[id] = now.Add(relistTimeout)
	}
	for id, r := range l.pendingRelistings {
		r.at = now.Add(leaseTimeout)
		l.pendingRelistings[id] = r
	}
}

// relistPending takes the upstreams back whose descriptions have not expired in time. An
// instance that is cut off doesn't learn that they have.
func (l *Loop) relistPending(now time.Time) {
	heardAt := l.health[mirror.UpstreamsGroup].heardAt
	for id, r := range l.pendingRelistings {
		if !heardAt.Before(r.at) {
			delete(l.pendingRelistings, id)
			l.setUpstream(now, r.change, r.revision)
		}
	}
}

// restorePending restores the zones that operators have not evacuated again in time after
// a return of the store. An instance that is cut off doesn't learn that they have.
func (l *Loop) restorePending(now time.Time) {
	heardAt := l.health[mirror.OperatorGroup].heardAt
	for zone, at := range l.pendingRestores {
		if !heardAt.Before(at) {
			l.restoreZone(now, zone, l.mirrors[mirror.OperatorGroup].Revision())
		}
	}
}

// mayHaveLapsed reports whether an upstream that left the list may only have expired,
// because the platform is unavailable or has just become available again.
func (l *Loop) mayHaveLapsed(now time.Time) bool {
	h := &l.health[mirror.UpstreamsGroup]
	return h.unavailable(now) || !h.regainedAt.IsZero() && now.Sub(h.regainedAt) < relistTimeout
}

// removeLapsed removes the pending upstreams that did not return to the list in time.
func (l *Loop) removeLapsed(now time.Time) {
	for id, at := range l.pendingRemovals {
		if now.Before(at) || l.health[mirror.UpstreamsGroup].unavailable(now) {
			continue
		}
		delete(l.pendingRemovals, id)
		if l.opts.Pool.RemoveUpstream(now, id) {
			l.opts.Log.Info().Str("upstream", string(id)).Msg("upstream gone; it did not return to the list")
		}
	}
}
