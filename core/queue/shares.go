package queue

import (
	"math"
	"time"

	"arbutustrestle/core/ident"
)

// Workspaces share what leaves the queue in proportion to their usual use. Virtual time
// counts that use in seconds: a workspace that is served at its usual rate advances by one
// second in a second, like the whole. One that is served more often is ahead of the
// whole; its requests are then ordered as if they could wait longer by that time.

const (
	// usualUse is the time constant with which the usual use of a workspace is averaged. It
	// is several times the length of the bursts that the queue has to contain.
	usualUse = 60 * time.Second
	// minObserved is the least time over which a rate is averaged, so that the first
	// requests after a start don't count as a high rate.
	minObserved = 5 * time.Second
	// maxLead bounds the time by which a workspace counts as ahead, and with it how long it
	// is served last after a burst.
	maxLead = 5 * time.Second
	// minShare is the least share of a group's use that a workspace is taken to have
	// usually. It bounds what one request of a small workspace counts.
	minShare = 0.02
	// excessTime and excessRequests bound what a workspace may be ahead before its requests
	// go behind those of all others that can be on time, whatever their class.
	excessTime     = 500 * time.Millisecond
	excessRequests = 3
	// maxShares bounds the workspaces that are remembered. Those without use for some time
	// are forgotten first.
	maxShares = 8192
)

type shareKey struct {
	service   ident.Service
	workspace string
}

// shares holds the use by workspace, for each service. Its zero value is empty.
type shares struct {
	groups     map[ident.Service]*group
	workspaces map[shareKey]*share
}

// group is the use by all workspaces. virtual is in seconds.
type group struct {
	usual   average
	virtual float64
}

// share is the use by one workspace. virtual is in seconds.
type share struct {
	usual   average
	virtual float64
}

// average is a rate per second, averaged over usualUse.
type average struct {
	sum     float64
	since   time.Time
	updated time.Time
	// rate is the average as of the last addition.
	rate float64
}

func (a *average) add(now time.Time, amount float64) {
	a.sum = a.sum*math.Exp(-float64(now.Sub(a.updated))/float64(usualUse)) + amount
	a.updated = now
	observed := max(now.Sub(a.since), minObserved)
	a.rate = a.sum / usualUse.Seconds() / (1 - math.Exp(-float64(observed)/float64(usualUse)))
}

func (s *shares) observe(now time.Time, i *Item) {
	g, w := s.of(now, i)
	g.usual.add(now, i.cost())
	w.usual.add(now, i.cost())
}

// of returns the use by all and by the item's workspace.
func (s *shares) of(now time.Time, i *Item) (*group, *share) {
	if s.groups == nil {
		s.groups = map[ident.Service]*group{}
		s.workspaces = map[shareKey]*share{}
	}
	key := shareKey{i.Service, i.Workspace}
	g := s.groups[i.Service]
	if g == nil {
		g = &group{usual: average{since: now, updated: now}}
		s.groups[i.Service] = g
	}
	w := s.workspaces[key]
	if w == nil {
		s.forget(now)
		w = &share{virtual: g.virtual, usual: average{since: g.usual.since, updated: now}}
		s.workspaces[key] = w
	}
	return g, w
}

// forget makes room for a further workspace.
func (s *shares) forget(now time.Time) {
	if len(s.workspaces) < maxShares {
		return
	}
	for key, w := range s.workspaces {
		if now.Sub(w.usual.updated) > usualUse || len(s.workspaces) >= maxShares {
			delete(s.workspaces, key)
		}
	}
}

// charge counts the cost of a request that leaves the queue as use of its workspace.
func charge(g *group, w *share, cost float64) {
	w.virtual = min(max(w.virtual, g.virtual)+timeOf(g, w, cost), g.virtual+maxLead.Seconds())
	g.virtual += cost / g.rate()
}

// rate returns the usual use by all; it is positive.
func (g *group) rate() float64 {
	return max(g.usual.rate, math.SmallestNonzeroFloat32)
}

// timeOf returns the time, in seconds, in which a workspace usually uses as much.
func timeOf(g *group, w *share, cost float64) float64 {
	return cost / max(w.usual.rate, g.rate()*minShare)
}

// exceeds reports whether a workspace is ahead of the whole by more than a burst.
func exceeds(g *group, w *share, cost float64) bool {
	burst := min(excessTime.Seconds()+excessRequests*timeOf(g, w, cost), 0.8*maxLead.Seconds())
	return w.virtual-g.virtual > burst
}

// lead returns the time by which a workspace is ahead of the whole.
func lead(g *group, w *share) time.Duration {
	return time.Duration(max(0, w.virtual-g.virtual) * float64(time.Second))
}
