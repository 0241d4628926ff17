package order

import (
	"slices"
	"time"
)

// decide returns the orders that are due to the given engines.
func (o *Orderer) decide(now time.Time, engines ...*engine) []Action {
	var actions []Action
	refresh := false
	for _, g := range engines {
		o.settle(now, g)
		why := o.why(now, g)
		refresh = refresh || why == ListStale || why == Paused
		if why != NotHeld {
			if why != g.held {
				actions = append(actions, Hold{Upstream: g.Upstream, Reason: why})
			}
			g.held = why
			continue
		}
		g.held = NotHeld
		if o.due(now, g) {
			actions = append(actions, o.send(now, g))
		}
	}
	if refresh && age(now, o.refreshed) >= refreshPause {
		o.refreshed = now
		actions = append(actions, Refresh{})
	}
	return actions
}

// settle ends what an earlier order began.
func (o *Orderer) settle(now time.Time, g *engine) {
	if g.sending && age(now, g.sent) > o.limits.SendTimeout {
		// No answer came: the order may have arrived. It does no harm to send it again.
		g.sending = false
		g.retry = now.Add(o.limits.RetryDelay)
	}
	switch {
	case len(g.ordered) == 0:
	case slices.Equal(g.Wanted, g.Loaded):
		o.forget(g)
	case age(now, g.began) > o.limits.LoadTimeout:
		o.forget(g)
		g.retry = now.Add(o.limits.RetryDelay)
	}
}

// due reports whether an order is to be sent if nothing speaks against it.
func (o *Orderer) due(now time.Time, g *engine) bool {
	if !g.mine || g.sending || len(g.Wanted) == 0 || slices.Equal(g.Wanted, g.Loaded) {
		return false
	}
	return !slices.Equal(g.ordered, g.Wanted) || age(now, g.sent) > o.limits.RepeatAfter
}

// why returns what speaks against an order that is due.
func (o *Orderer) why(now time.Time, g *engine) HoldReason {
	if !o.due(now, g) {
		return NotHeld
	}
	switch {
	case g.seen > o.list.Revision:
		return HigherFence
	case age(now, g.AsOf) > o.limits.MaxReportAge:
		return ReportStale
	case !g.ChecksOrders && o.paused:
		return Paused
	case !g.ChecksOrders && age(now, o.list.AsOf) > o.limits.MaxListAge:
		return ListStale
	case !g.ChecksOrders && now.Sub(o.since) < o.limits.TakeoverDelay:
		return TakingOver
	case now.Before(g.retry):
		return Retrying
	case g.loads() && !g.loading && o.loading >= o.limits.MaxLoads:
		return LoadLimit
	default:
		return NotHeld
	}
}

// send starts an order.
func (o *Orderer) send(now time.Time, g *engine) Send {
	g.sending = true
	g.sent = now
	if !slices.Equal(g.ordered, g.Wanted) {
		o.begin(now, g)
	}
	by := now.Add(o.limits.SendTimeout)
	if fresh := o.list.AsOf.Add(o.limits.MaxListAge); !g.ChecksOrders && fresh.Before(by) {
		by = fresh
	}
	return Send{Upstream: g.Upstream, Fence: o.list.Revision, Wanted: g.Wanted, SendBy: by}
}

// begin starts the wait for the effect of an order.
func (o *Orderer) begin(now time.Time, g *engine) {
	o.forget(g)
	g.began = now
	g.ordered = slices.Clone(g.Wanted)
	if g.loads() {
		g.loading = true
		o.loading++
	}
}

// loads reports whether the engine lacks something that it is to load.
func (g *engine) loads() bool {
	for _, name := range g.Wanted {
		if !slices.Contains(g.Loaded, name) {
			return true
		}
	}
	return false
}
