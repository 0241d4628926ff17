// Package order decides which instance orders which engine to load which models.
// All instances with the same revision of the published list compute the same
// orderer, so the revision serves as the fencing number. Orders state the desired
// set of models and are idempotent.
package order

import (
	"cmp"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Limits bounds the orders of one instance. A zero field means its default.
type Limits struct {
	// Orderers is the number of instances of a region that send orders. Together with
	// MaxLoads it bounds the region's concurrent reads from the weight store.
	// Default 3.
	Orderers int
	// MaxLoads is the maximum number of engines that load concurrently on behalf of
	// one orderer. Default 2.
	MaxLoads int
	// MaxListAge is the maximum age of the list at which an engine that does not check
	// fencing numbers is ordered. Default 15 s.
	MaxListAge time.Duration
	// MaxReportAge is the maximum age of an engine's report at which it is ordered.
	// Default 10 s.
	MaxReportAge time.Duration
	// SendTimeout is the maximum time to send an order. Default 2 s.
	SendTimeout time.Duration
	// TakeoverDelay is the delay after each new list before an engine that does not
	// check fencing numbers is ordered. It must be at least MaxListAge, after which
	// instances with an earlier list send no more orders, plus SendTimeout, for which
	// their last order may be in flight. Default 20 s.
	TakeoverDelay time.Duration
	// LoadTimeout is the maximum time from an order until the engine reports its
	// effect. Default 10 minutes.
	LoadTimeout time.Duration
	// RepeatAfter is the time after which an order without effect is sent again, in
	// case the engine has restarted. Default 30 s.
	RepeatAfter time.Duration
	// RetryDelay is the delay after a failed order. Default 10 s.
	RetryDelay time.Duration
	// PauseThreshold is the gap between two steps above which the process is
	// considered to have been paused. Default 5 s.
	PauseThreshold time.Duration
}

// Defaults of Limits.
const (
	defaultOrderers       = 3
	defaultMaxLoads       = 2
	defaultMaxListAge     = 15 * time.Second
	defaultMaxReportAge   = 10 * time.Second
	defaultSendTimeout    = 2 * time.Second
	defaultTakeoverDelay  = 20 * time.Second
	defaultLoadTimeout    = 10 * time.Minute
	defaultRepeatAfter    = 30 * time.Second
	defaultRetryDelay     = 10 * time.Second
	defaultPauseThreshold = 5 * time.Second
)

// MinTakeoverDelay is the shortest safe takeover delay with the default limits:
// after it, no instance with an earlier list still sends orders.
const MinTakeoverDelay = defaultMaxListAge + defaultSendTimeout

// minRefreshInterval is the minimum time between two Refresh actions.
const minRefreshInterval = 5 * time.Second

// withDefaults replaces zero fields by their defaults.
func (l Limits) withDefaults() Limits {
	l.Orderers = cmp.Or(l.Orderers, defaultOrderers)
	l.MaxLoads = cmp.Or(l.MaxLoads, defaultMaxLoads)
	l.MaxListAge = cmp.Or(l.MaxListAge, defaultMaxListAge)
	l.MaxReportAge = cmp.Or(l.MaxReportAge, defaultMaxReportAge)
	l.SendTimeout = cmp.Or(l.SendTimeout, defaultSendTimeout)
	l.TakeoverDelay = cmp.Or(l.TakeoverDelay, defaultTakeoverDelay)
	l.LoadTimeout = cmp.Or(l.LoadTimeout, defaultLoadTimeout)
	l.RepeatAfter = cmp.Or(l.RepeatAfter, defaultRepeatAfter)
	l.RetryDelay = cmp.Or(l.RetryDelay, defaultRetryDelay)
	l.PauseThreshold = cmp.Or(l.PauseThreshold, defaultPauseThreshold)
	return l
}

// Orderer decides which orders one instance sends. It is not safe for concurrent
// use.
type Orderer struct {
	self   ident.Instance
	limits Limits
	list   InstanceList
	// listSince is when this instance received the list's revision.
	listSince time.Time
	// paused is true from a pause of the process until a list that was read at most
	// PauseThreshold ago arrives.
	paused      bool
	lastStep    time.Time
	lastRefresh time.Time
	// orderers holds the instances of the list that send orders.
	orderers []ident.Instance
	// engines is sorted by name.
	engines []*engine
	// loadingCount is the number of engines that load because of this instance's
	// orders.
	loadingCount int
}

// engine is an orderer's state for one engine.
type engine struct {
	EngineStatus
	// assigned means that this instance is the engine's orderer.
	assigned bool
	// maxFence is the highest fencing number that the engine ever reported. It is kept
	// here because an engine may lose it in a restart.
	maxFence ident.Revision
	// sending is true from Send until its Result, or until SendTimeout has passed.
	sending bool
	sentAt  time.Time
	// sentFence is the fencing number of the latest Send.
	sentFence ident.Revision
	// pending is the Wanted of the latest Send. It is nil once the engine reports the
	// effect, and after the order failed or LoadTimeout has passed since pendingSince.
	pending      []string
	pendingSince time.Time
	// countsAsLoading means that the pending order loads a model and is counted in
	// loadingCount.
	countsAsLoading bool
	// retryAt is the earliest time to send again after a failed order.
	retryAt    time.Time
	holdReason HoldReason
}

// NewOrderer returns the orderer of an instance, without a list.
func NewOrderer(self ident.Instance, limits Limits) *Orderer {
	return &Orderer{self: self, limits: limits.withDefaults()}
}

// SetTakeoverDelay changes the delay after each new list. A delay that is too short
// to be safe is raised to MaxListAge plus SendTimeout, by default MinTakeoverDelay.
func (o *Orderer) SetTakeoverDelay(wait time.Duration) {
	o.limits.TakeoverDelay = max(wait, o.limits.MaxListAge+o.limits.SendTimeout)
}

// OrdererOf returns the instance that orders an engine according to the current
// list, and false if there is none.
func (o *Orderer) OrdererOf(u ident.Upstream) (ident.Instance, bool) {
	return rank.First(string(u), o.orderers)
}

// Step handles one event and returns the actions to perform.
func (o *Orderer) Step(now time.Time, e Event) []Action {
	if !o.lastStep.IsZero() && age(now, o.lastStep) > o.limits.PauseThreshold {
		o.paused = true
	}
	o.lastStep = now
	switch e := e.(type) {
	case InstanceList:
		o.updateList(now, e)
	case EngineStatus:
		return o.decide(now, o.updateEngine(e))
	case Removed:
		o.remove(e.Upstream)
		return nil
	case Result:
		o.recordResult(now, e)
	case Tick:
	}
	return o.decide(now, o.engines...)
}

// updateList replaces the list unless l is older.
func (o *Orderer) updateList(now time.Time, l InstanceList) {
	if l.Revision < o.list.Revision {
		return
	}
	o.paused = o.paused && age(now, l.AsOf) > o.limits.PauseThreshold
	if l.Revision == o.list.Revision {
		if l.AsOf.After(o.list.AsOf) {
			o.list.AsOf = l.AsOf
		}
		return
	}
	o.list = l
	o.listSince = now
	o.orderers = rank.Top("orderers", l.Live, o.limits.Orderers)
	for _, g := range o.engines {
		o.assign(g)
	}
}

// assign updates whether this instance is the engine's orderer.
func (o *Orderer) assign(g *engine) {
	orderer, found := o.OrdererOf(g.Upstream)
	g.assigned = found && orderer == o.self
	if !g.assigned {
		o.clearPending(g)
	}
}

// updateEngine stores an engine's status. It keeps the previous report if that is
// newer.
func (o *Orderer) updateEngine(e EngineStatus) *engine {
	at, found := o.find(e.Upstream)
	if !found {
		o.engines = slices.Insert(o.engines, at, &engine{EngineStatus: e})
		o.assign(o.engines[at])
	}
	g := o.engines[at]
	if e.AsOf.Before(g.AsOf) {
		e.Loaded = g.Loaded
		e.AsOf = g.AsOf
	}
	g.EngineStatus = e
	g.maxFence = max(g.maxFence, e.HighestFence)
	return g
}

// recordResult handles the result of a Send. A result of an earlier Send, which was given
// up, says nothing of the latest one.
func (o *Orderer) recordResult(now time.Time, r Result) {
	at, found := o.find(r.Upstream)
	if !found {
		return
	}
	g := o.engines[at]
	g.maxFence = max(g.maxFence, r.HighestFence)
	if !g.sending || r.Fence != g.sentFence {
		return
	}
	g.sending = false
	if !r.Accepted {
		o.clearPending(g)
		g.retryAt = now.Add(o.limits.RetryDelay)
	}
}

// clearPending stops waiting for the effect of an order.
func (o *Orderer) clearPending(g *engine) {
	if g.countsAsLoading {
		o.loadingCount--
	}
	g.countsAsLoading = false
	g.pending = nil
}

// remove deletes an engine.
func (o *Orderer) remove(u ident.Upstream) {
	if at, found := o.find(u); found {
		o.clearPending(o.engines[at])
		o.engines = slices.Delete(o.engines, at, at+1)
	}
}

// find returns the index of an engine in engines, or where to insert it.
func (o *Orderer) find(u ident.Upstream) (int, bool) {
	return slices.BinarySearchFunc(o.engines, u, func(g *engine, name ident.Upstream) int {
		switch {
		case g.Upstream < name:
			return -1
		case g.Upstream > name:
			return 1
		default:
			return 0
		}
	})
}

// age returns the time elapsed since then. It returns the larger of the values by
// the monotonic and by the wall clock: the former stops while a machine is
// suspended, and the latter may be set back.
func age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
