package admit

import (
	"slices"
	"time"

	"arbutustrestle/core/table"
)

// quickReserve is how many times the mean use of quick questions is kept for them.
const quickReserve = 1.5

// reserved returns the slots that are kept free for quick questions to come, so
// that these needn't wait for a long answer to end. They are kept only as far as
// quick questions have been using them, and never beyond their guaranteed part.
// Less than a slot is not kept: it would cost a gate of 2 or 3 slots one of them.
func (g *Gate) reserved() float64 {
	part := g.part(table.Quick)
	free := min(quickReserve*g.quick, part) - float64(g.inFlight[table.Quick])
	if free < 1 {
		return 0
	}
	return free
}

// fits reports whether a class may have one more slot now.
func (g *Gate) fits(class table.Class) bool {
	if !g.sized {
		return true
	}
	slots := g.slots
	if class != table.Quick {
		slots -= g.reserved()
	}
	return float64(g.total+1) <= slots
}

// use returns how much of its guaranteed part a class has; 1 is all of it.
func (g *Gate) use(class table.Class) float64 {
	part := g.part(class)
	if part <= 0 {
		return 1 + float64(g.inFlight[class])
	}
	return float64(g.inFlight[class]) / part
}

// part is the number of slots guaranteed to a class.
func (g *Gate) part(class table.Class) float64 {
	return float64(g.rules().Classes[class].SharePercent) / 100 * g.slots
}

// grant admits waiting requests for as long as there is room, from the class that
// has least of its guaranteed part.
func (g *Gate) grant(now time.Time) []Ticket {
	var granted []Ticket
	for {
		class, found := g.neediest(now)
		if !found || !g.fits(class) {
			return granted
		}
		granted = append(granted, g.queues[class].pop(now))
		g.admit(class)
	}
}

// neediest returns the class with a waiting request that has least of its part.
func (g *Gate) neediest(now time.Time) (table.Class, bool) {
	var best table.Class
	found := false
	for c := range table.ClassCount {
		if !g.queues[c].live(now) {
			continue
		}
		if !found || g.use(c) < g.use(best) {
			best = c
			found = true
		}
	}
	return best, found
}

// first returns the place of the oldest request whose time isn't over. Those
// before it stay until Expire gives them their answer.
func (q *queue) first(now time.Time) int {
	for i := range q.waiting {
		if now.Before(q.waiting[i].until) {
			return i
		}
	}
	return len(q.waiting)
}

func (q *queue) live(now time.Time) bool {
	return q.first(now) < len(q.waiting)
}

// pop removes the oldest live request of a queue that has one.
func (q *queue) pop(now time.Time) Ticket {
	i := q.first(now)
	ticket := q.waiting[i].ticket
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return ticket
}

// expected projects how long a further request of the class would wait for a slot.
func (g *Gate) expected(now time.Time, class table.Class) time.Duration {
	ahead := len(g.queues[class].waiting) + 1
	if g.use(class) >= 1 {
		ahead = 1
		for c := range table.ClassCount {
			ahead += len(g.queues[c].waiting)
		}
	}
	excess := float64(g.total) + float64(ahead) - g.slots
	return g.drain.time(now, excess)
}

// defaultPolicy is what a gate without a policy goes by; it is never changed.
var defaultPolicy = table.DefaultPolicy()

func (g *Gate) rules() *table.Policy {
	if g.policy != nil {
		return g.policy
	}
	return &defaultPolicy
}
