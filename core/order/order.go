// Package order decides which entry instance orders which engine to load what.
// All who hold the same revision of the published list name the same orderer, so
// the revision serves as the fencing number. Orders state the wanted end, and do
// no harm when they come twice.
package order

import (
	"cmp"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Limits bounds the orders of one instance. A zero field stands for its default.
type Limits struct {
	// Orderers is the number of entries of a region that order. Together with Loads
	// it bounds what the region draws from the weight store. Default 3.
	Orderers int
	// MaxLoads is how many engines may load at once by one orderer. Default 2.
	MaxLoads int
	// MaxListAge is the oldest list by which an engine that checks no orders is ordered.
	// Default 15 s.
	MaxListAge time.Duration
	// MaxReportAge is the oldest report by which an engine is ordered. Default 10 s.
	MaxReportAge time.Duration
	// SendTimeout is how long an order may take to be sent. Default 2 s.
	SendTimeout time.Duration
	// TakeoverDelay is the wait after each new list before an engine that checks no
	// orders is ordered. It exceeds ListAge, which ends the orders of those who hold
	// an earlier list, by the time that their last order may be under way. Default
	// 20 s.
	TakeoverDelay time.Duration
	// LoadTimeout is how long an order may take to have its effect. Default 10 minutes.
	LoadTimeout time.Duration
	// RepeatAfter is when an order without effect is sent again, in case that the engine
	// has restarted since. Default 30 s.
	RepeatAfter time.Duration
	// RetryDelay is the pause after an order that failed. Default 10 s.
	RetryDelay time.Duration
	// PauseThreshold is the gap between two steps from which on the process counts as paused.
	// Default 5 s.
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

// MinTakeoverDelay is the shortest safe wait to take over with the default limits: by
// then, whoever holds an earlier list has sent the last order by it.
const MinTakeoverDelay = defaultMaxListAge + defaultSendTimeout

// minRefreshInterval is the least time between two Refresh actions.
const minRefreshInterval = 5 * time.Second

// withDefaults replaces zero fields.
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

// Orderer decides the orders of one instance. It is not safe for concurrent use.
type Orderer struct {
	self   ident.Instance
	limits Limits
	list   InstanceList
	// listSince is when the list's revision was first seen here.
	listSince time.Time
	// paused is true from a pause of the process until a list is read.
	paused      bool
	lastStep    time.Time
	lastRefresh time.Time
	// orderers are those entries of the list that order.
	orderers []ident.Instance
	// engines is sorted by name.
	engines []*engine
	// loadingCount counts the engines that load by this instance's orders.
	loadingCount int
}

// engine is the state of one engine at an orderer.
type engine struct {
	EngineStatus
	// assigned says that this instance is the engine's orderer by the list.
	assigned bool
	// maxFence is the highest fencing number that the engine ever told. It outlasts a
	// restart of the engine, which may forget it.
	maxFence ident.Revision
	// sending is true from Send to Answered, or until its time is over.
	sending bool
	sentAt  time.Time
	// pending is what the latest Send wanted. It is empty once the effect was
	// reported, and when it failed or took too long since began.
	pending      []string
	pendingSince time.Time
	// countsAsLoading says that ordered loads something, and takes one of Limits.Loads.
	countsAsLoading bool
	// retryAt is when a failed order may be sent again.
	retryAt    time.Time
	holdReason HoldReason
}

// NewOrderer returns the orderer of an instance, which knows no list yet.
func NewOrderer(self ident.Instance, limits Limits) *Orderer {
	return &Orderer{self: self, limits: limits.withDefaults()}
}

// SetTakeoverDelay changes the wait after each new list. One that is too short to be
// safe is lengthened, by default to MinTakeOver.
func (o *Orderer) SetTakeoverDelay(wait time.Duration) {
	o.limits.TakeoverDelay = max(wait, o.limits.MaxListAge+o.limits.SendTimeout)
}

// OrdererOf returns the instance that orders an engine by the list in force, and
// false when there is none.
func (o *Orderer) OrdererOf(u ident.Upstream) (ident.Instance, bool) {
	return rank.First(string(u), o.orderers)
}

// Step takes in one event and returns what to do.
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

// updateList takes in a list, unless a later one is held.
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

// assign finds out whether an engine is ordered by this instance.
func (o *Orderer) assign(g *engine) {
	orderer, found := o.OrdererOf(g.Upstream)
	g.assigned = found && orderer == o.self
	if !g.assigned {
		o.clearPending(g)
	}
}

// updateEngine takes in what is known of an engine, unless it knows a later report.
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

// recordResult ends a Send.
func (o *Orderer) recordResult(now time.Time, a Result) {
	at, found := o.find(a.Upstream)
	if !found || !o.engines[at].sending {
		return
	}
	g := o.engines[at]
	g.sending = false
	g.maxFence = max(g.maxFence, a.HighestFence)
	if !a.Accepted {
		o.clearPending(g)
		g.retryAt = now.Add(o.limits.RetryDelay)
	}
}

// clearPending ends the wait for the effect of an order.
func (o *Orderer) clearPending(g *engine) {
	if g.countsAsLoading {
		o.loadingCount--
	}
	g.countsAsLoading = false
	g.pending = nil
}

// remove forgets an engine.
func (o *Orderer) remove(u ident.Upstream) {
	if at, found := o.find(u); found {
		o.clearPending(o.engines[at])
		o.engines = slices.Delete(o.engines, at, at+1)
	}
}

// find returns the place of an engine among the sorted engines.
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

// age returns how long ago an earlier time was. It takes the longer of the
// monotonic and the wall clock's answer: the former stands still while a machine is
// suspended, and the latter may be set back.
func age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
