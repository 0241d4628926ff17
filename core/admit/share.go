package admit

import "time"

// fits reports whether a class may have one more slot now.
func (g *Gate) fits(now time.Time, class Class) bool {
	if !g.sized {
		return true
	}
	rule := g.rule(class)
	if float64(g.total+1) > g.slots*(1+rule.Beyond) {
		return false
	}
	return !g.owed(now, class)
}

// owed reports whether another class waits that has a better right to a free slot:
// it is below its guaranteed part and further below it than this one.
func (g *Gate) owed(now time.Time, class Class) bool {
	own := g.use(class)
	for c := range classCount {
		if c != class && g.queues[c].live(now) && g.use(c) < min(1, own) {
			return true
		}
	}
	return false
}

// use returns how much of its guaranteed part a class has; 1 is all of it.
func (g *Gate) use(class Class) float64 {
	part := g.rule(class).Guarantee * g.slots
	if part <= 0 {
		return 1 + float64(g.inFlight[class])
	}
	return float64(g.inFlight[class]) / part
}

// grant admits waiting requests for as long as there is room, from the class that
// has least of its guaranteed part.
func (g *Gate) grant(now time.Time) []Ticket {
	var granted []Ticket
	for {
		class, found := g.neediest(now)
		if !found || !g.fits(now, class) {
			return granted
		}
		granted = append(granted, g.queues[class].pop(now))
		g.admit(class)
	}
}

// neediest returns the class with a waiting request that has least of its part.
func (g *Gate) neediest(now time.Time) (Class, bool) {
	var best Class
	found := false
	for c := range classCount {
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
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return ticket
}

// expected projects when a further request of the class would get a slot.
func (g *Gate) expected(now time.Time, class Class) time.Time {
	ahead := len(g.queues[class].waiting) + 1
	if g.use(class) >= 1 {
		ahead = 1
		for c := range classCount {
			ahead += len(g.queues[c].waiting)
		}
	}
	excess := float64(g.total) + float64(ahead) - g.slots
	return now.Add(g.drain.time(now, excess))
}

func (g *Gate) rule(class Class) Rule {
	if g.Rules != nil {
		return g.Rules[class]
	}
	return defaultRules[class]
}
