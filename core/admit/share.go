package admit

import (
	"slices"
	"time"

	"arbutustrestle/core/table"
)

// quickReserveFactor is the number of slots reserved per quick request in flight on
// average.
const quickReserveFactor = 1.5

// reservedForQuick returns the slots that are kept free for future quick requests, so
// that these don't have to wait for a long response to end. The reserve covers only the
// recent use by quick requests, and never exceeds their guaranteed slots. Less than one
// slot is not reserved: a gate of 2 or 3 slots would lose one of them.
func (g *Gate) reservedForQuick() float64 {
	guaranteed := g.guaranteedSlots(table.Quick)
	free := min(quickReserveFactor*g.quickInUse, guaranteed) - float64(g.inFlight[table.Quick])
	if free < 1 {
		return 0
	}
	return free
}

// hasSlot reports whether a request of the class can get a slot now.
func (g *Gate) hasSlot(class table.Class) bool {
	if !g.slotsKnown {
		return true
	}
	slots := g.slots
	if class != table.Quick {
		slots -= g.reservedForQuick()
	}
	return float64(g.total+1) <= slots
}

// shareUsed returns the used part of a class's guaranteed slots; 1 is all of them.
func (g *Gate) shareUsed(class table.Class) float64 {
	guaranteed := g.guaranteedSlots(class)
	if guaranteed <= 0 {
		return 1 + float64(g.inFlight[class])
	}
	return float64(g.inFlight[class]) / guaranteed
}

// guaranteedSlots returns the number of slots guaranteed to a class.
func (g *Gate) guaranteedSlots(class table.Class) float64 {
	return float64(g.activePolicy().Classes[class].SharePercent) / 100 * g.slots
}

// grant admits waiting requests while slots are free, each time from the class that
// uses the smallest part of its guaranteed slots.
func (g *Gate) grant(now time.Time) []Ticket {
	var granted []Ticket
	for {
		class, found := g.mostUnderserved(now)
		if !found || !g.hasSlot(class) {
			return granted
		}
		granted = append(granted, g.queues[class].pop(now))
		g.addInFlight(class)
	}
}

// mostUnderserved returns the class that uses the smallest part of its guaranteed
// slots, among those with a waiting request.
func (g *Gate) mostUnderserved(now time.Time) (table.Class, bool) {
	var best table.Class
	found := false
	for c := range table.ClassCount {
		if !g.queues[c].hasLive(now) {
			continue
		}
		if !found || g.shareUsed(c) < g.shareUsed(best) {
			best = c
			found = true
		}
	}
	return best, found
}

// firstLive returns the index of the oldest request that hasn't expired. Older ones
// stay in the queue until Expire refuses them.
func (q *queue) firstLive(now time.Time) int {
	for i := range q.waiting {
		if now.Before(q.waiting[i].expiresAt) {
			return i
		}
	}
	return len(q.waiting)
}

func (q *queue) hasLive(now time.Time) bool {
	return q.firstLive(now) < len(q.waiting)
}

// pop removes the oldest live request; the queue must have one.
func (q *queue) pop(now time.Time) Ticket {
	i := q.firstLive(now)
	ticket := q.waiting[i].ticket
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return ticket
}

// expectedWait projects how long a further request of the class would wait for a slot.
func (g *Gate) expectedWait(now time.Time, class table.Class) time.Duration {
	ahead := len(g.queues[class].waiting) + 1
	if g.shareUsed(class) >= 1 {
		ahead = 1
		for c := range table.ClassCount {
			ahead += len(g.queues[c].waiting)
		}
	}
	excess := float64(g.total) + float64(ahead) - g.slots
	return g.retries.timeToEnd(now, excess)
}

// defaultPolicy is the policy of a gate that isn't configured; it is never changed.
var defaultPolicy = table.DefaultPolicy()

func (g *Gate) activePolicy() *table.Policy {
	if g.policy != nil {
		return g.policy
	}
	return &defaultPolicy
}
