package order

import (
	"slices"
	"time"
)

// decide returns the actions for the given engines.
func (o *Orderer) decide(now time.Time, engines ...*engine) []Action {
	var actions []Action
	refresh := false
	for _, g := range engines {
		o.expire(now, g)
		reason := o.holdReason(now, g)
		refresh = refresh || reason == ListStale || reason == Paused
		if reason != NotHeld {
			if reason != g.holdReason {
				actions = append(actions, Hold{Upstream: g.Upstream, Reason: reason})
			}
			g.holdReason = reason
			continue
		}
		g.holdReason = NotHeld
		if o.due(now, g) {
			actions = append(actions, o.send(now, g))
		}
	}
	if refresh && age(now, o.lastRefresh) >= minRefreshInterval {
		o.lastRefresh = now
		actions = append(actions, Refresh{})
	}
	return actions
}

// expire ends an earlier order that took effect or timed out.
func (o *Orderer) expire(now time.Time, g *engine) {
	if g.sending && age(now, g.sentAt) > o.limits.SendTimeout {
		// The order may have arrived although there was no result. Sending it again is
		// safe because orders are idempotent.
		g.sending = false
		g.retryAt = now.Add(o.limits.RetryDelay)
	}
	switch {
	case len(g.pending) == 0:
	case slices.Equal(g.Wanted, g.Loaded):
		o.clearPending(g)
	case age(now, g.pendingSince) > o.limits.LoadTimeout:
		o.clearPending(g)
		g.retryAt = now.Add(o.limits.RetryDelay)
	}
}

// due reports whether an order should be sent, unless it is held.
func (o *Orderer) due(now time.Time, g *engine) bool {
	if !g.assigned || g.sending || len(g.Wanted) == 0 || slices.Equal(g.Wanted, g.Loaded) {
		return false
	}
	return !slices.Equal(g.pending, g.Wanted) || age(now, g.sentAt) > o.limits.RepeatAfter
}

// holdReason returns why an order that is due must not be sent yet.
func (o *Orderer) holdReason(now time.Time, g *engine) HoldReason {
	if !o.due(now, g) {
		return NotHeld
	}
	switch {
	case g.maxFence > o.list.Revision:
		return HigherFence
	case age(now, g.AsOf) > o.limits.MaxReportAge:
		return ReportStale
	case !g.ChecksOrders && o.paused:
		return Paused
	case !g.ChecksOrders && age(now, o.list.AsOf) > o.limits.MaxListAge:
		return ListStale
	case !g.ChecksOrders && now.Sub(o.listSince) < o.limits.TakeoverDelay:
		return TakingOver
	case now.Before(g.retryAt):
		return Retrying
	case g.needsLoad() && !g.countsAsLoading && o.loadingCount >= o.limits.MaxLoads:
		return LoadLimit
	default:
		return NotHeld
	}
}

// send marks the order as being sent and returns the action.
func (o *Orderer) send(now time.Time, g *engine) Send {
	g.sending = true
	g.sentAt = now
	g.sentFence = o.list.Revision
	if !slices.Equal(g.pending, g.Wanted) {
		o.startPending(now, g)
	}
	sendBy := now.Add(o.limits.SendTimeout)
	if listExpiry := o.list.AsOf.Add(o.limits.MaxListAge); !g.ChecksOrders && listExpiry.Before(sendBy) {
		sendBy = listExpiry
	}
	return Send{Upstream: g.Upstream, Fence: o.list.Revision, Wanted: g.Wanted, SendBy: sendBy}
}

// startPending starts waiting for the effect of an order.
func (o *Orderer) startPending(now time.Time, g *engine) {
	o.clearPending(g)
	g.pendingSince = now
	g.pending = slices.Clone(g.Wanted)
	if g.needsLoad() {
		g.countsAsLoading = true
		o.loadingCount++
	}
}

// needsLoad reports whether a wanted model is not loaded yet.
func (g *engine) needsLoad() bool {
	for _, name := range g.Wanted {
		if !slices.Contains(g.Loaded, name) {
			return true
		}
	}
	return false
}
