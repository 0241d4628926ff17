// Package queue orders the requests that wait at an entry until an upstream can serve
// them in time. It holds no goroutines and no clock; the caller offers the first waiting
// request of each service a decision and reports what became of it.
package queue

import (
	"maps"
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// Item is a request that may wait.
type Item struct {
	Service ident.Service
	// Lane separates requests of a service that different regions may serve, so that one
	// that only some of them may serve doesn't block the others.
	Lane string
	// Class is the urgency class; zero is the most urgent.
	Class int
	// Workspace is the key between which the queue is fair; it may be empty.
	Workspace string
	// Cost is the work that the request causes, in any unit that is the same for all
	// requests of a service and class; zero counts as one.
	Cost float64
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// OnTimeUntil is the latest start with which the answer is of full use, and
	// UsefulUntil the latest one with which it is of any use.
	OnTimeUntil time.Time
	UsefulUntil time.Time
}

func (i *Item) cost() float64 {
	if i.Cost <= 0 {
		return 1
	}
	return i.Cost
}

// Ticket is the place of an item in the queue.
type Ticket struct {
	Item
	// Added is when the item was added.
	Added   time.Time
	waiting bool
	// postponed is set by Postpone.
	postponed bool
	// group and share hold the use that the order depends on.
	group *group
	share *share
}

// Waits reports whether the ticket is in the queue.
func (t *Ticket) Waits() bool {
	return t.waiting
}

// Late reports whether the answer can't be on time any more.
func (t *Ticket) Late(now time.Time) bool {
	return t.postponed || now.After(t.OnTimeUntil)
}

// exceeds reports whether the workspace is far ahead of its share.
func (t *Ticket) exceeds() bool {
	return exceeds(t.group, t.share, t.cost())
}

// NearlyLate reports whether the time in which the answer can still be on time is nearly over.
// The Pacer doesn't apply to such a request: at an entry without running requests of its own it
// would wait for the random interval although upstreams have room.
func (t *Ticket) NearlyLate(now time.Time) bool {
	return !t.Late(now) && !t.exceeds() && t.OnTimeUntil.Sub(now) <= t.OnTimeUntil.Sub(t.Added)/4
}

// Limits bounds the queue. A limit of zero admits nothing.
type Limits struct {
	Requests int
	Bytes    int
}

// Queue holds waiting requests. Its zero value is empty and admits nothing. It isn't safe
// for concurrent use.
//
// The order within a service is:
//   - requests that can be on time before those that can't;
//   - in either group, those of workspaces that are far ahead of their share last;
//   - by urgency class, except where a less urgent class has got less than its least share
//     (see deficits);
//   - by the latest start with which the answer is on time, to which the time is added by
//     which the workspace is ahead of its share (see shares).
type Queue struct {
	Limits Limits

	services map[ident.Service][]*Ticket
	shares   shares
	rates    map[ident.Service]*releaseRate
	deficits map[ident.Service]*deficits
	count    int
	bytes    int
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.count
}

// Observe records the arrival of a request, whether it waits or not, from which the
// queue learns the usual use of its workspace.
func (q *Queue) Observe(now time.Time, i Item) {
	q.shares.observe(now, &i)
}

// Add puts an item into the queue. It returns the ticket, or nil if the item isn't admitted:
// its answer would be of no use, or the queue is full of requests that go before it. Where the
// queue is full of others, the last ones are removed and returned.
func (q *Queue) Add(now time.Time, i Item) (added *Ticket, displaced []*Ticket) {
	t := &Ticket{Item: i, Added: now}
	t.group, t.share = q.shares.of(now, &i)
	if now.After(i.UsefulUntil) || i.Bytes > q.Limits.Bytes || q.startsTooLate(now, t) {
		return nil, nil
	}
	for q.count >= q.Limits.Requests || q.bytes+i.Bytes > q.Limits.Bytes {
		last := q.last(now)
		if last == nil || !q.before(now, t, last) {
			return nil, displaced
		}
		q.Remove(last)
		displaced = append(displaced, last)
	}
	if q.services == nil {
		q.services = map[ident.Service][]*Ticket{}
	}
	t.waiting = true
	q.services[i.Service] = append(q.services[i.Service], t)
	q.count++
	q.bytes += i.Bytes
	return t, displaced
}

// startsTooLate reports whether the requests before an item, at the rate at which the
// service's requests have left the queue lately, take longer than the item can wait.
func (q *Queue) startsTooLate(now time.Time, t *Ticket) bool {
	wait, known := q.ProjectedWait(now, t)
	return known && now.Add(wait).After(t.UsefulUntil)
}

// ProjectedWait returns the time until the ticket's turn, and false if too few requests
// have left the queue lately to tell.
func (q *Queue) ProjectedWait(now time.Time, t *Ticket) (time.Duration, bool) {
	rate, known := q.rates[t.Service].at(now)
	if !known {
		return 0, false
	}
	ahead := 0
	for _, other := range q.services[t.Service] {
		if other != t && q.before(now, other, t) {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second)), true
}

// Ahead reports whether a request that can still be on time waits ahead of one that has just
// arrived in the same lane: one of the same or higher urgency, or of a class that has fallen
// behind its least share. A request of a workspace that is far ahead of its share overtakes
// none.
func (q *Queue) Ahead(now time.Time, i Item) bool {
	if len(q.services[i.Service]) == 0 {
		return false
	}
	g, w := q.shares.of(now, &i)
	last := exceeds(g, w, i.cost())
	for _, t := range q.services[i.Service] {
		if t.Lane == i.Lane && (t.Class <= i.Class || last || q.hasDeficit(t)) && !t.Late(now) && (last || !t.exceeds()) {
			return true
		}
	}
	return false
}

// Services returns the services for which requests wait.
func (q *Queue) Services() []ident.Service {
	return slices.Sorted(maps.Keys(q.services))
}

// Next returns the first waiting request of each lane of a service, in order.
func (q *Queue) Next(now time.Time, service ident.Service) []*Ticket {
	var list []*Ticket
	for _, t := range q.services[service] {
		list = q.keepFirst(now, list, t)
	}
	slices.SortFunc(list, func(a, b *Ticket) int {
		if q.before(now, a, b) {
			return -1
		}
		return 1
	})
	return list
}

// keepFirst replaces the ticket of the same lane in the list if t goes before it.
func (q *Queue) keepFirst(now time.Time, list []*Ticket, t *Ticket) []*Ticket {
	for i, other := range list {
		if other.Lane != t.Lane {
			continue
		}
		if q.before(now, t, other) {
			list[i] = t
		}
		return list
	}
	return append(list, t)
}

// Passed counts a request that was sent at once while others waited.
func (q *Queue) Passed(now time.Time, i Item) {
	if len(q.services[i.Service]) == 0 {
		return
	}
	t := &Ticket{Item: i, Added: now}
	t.group, t.share = q.shares.of(now, &i)
	q.charge(now, t)
}

// charge counts a request that is sent as use of its workspace and class.
func (q *Queue) charge(now time.Time, t *Ticket) {
	charge(t.group, t.share, t.cost())
	q.chargeClass(now, t)
}

// Sent removes a ticket whose request is sent, and counts it as use of its workspace.
func (q *Queue) Sent(now time.Time, t *Ticket) {
	if !t.waiting {
		return
	}
	q.Remove(t)
	q.charge(now, t)
	if q.rates == nil {
		q.rates = map[ident.Service]*releaseRate{}
	}
	if q.rates[t.Service] == nil {
		q.rates[t.Service] = &releaseRate{}
	}
	q.rates[t.Service].add(now)
}

// Postpone puts a ticket behind all those that can be on time: with the wait at the
// upstreams, its answer can't be any more.
func (t *Ticket) Postpone() {
	t.postponed = true
}

// Remove removes a ticket; one that isn't in the queue is ignored.
func (q *Queue) Remove(t *Ticket) {
	if !t.waiting {
		return
	}
	t.waiting = false
	q.count--
	q.bytes -= t.Bytes
	list := slices.DeleteFunc(q.services[t.Service], func(other *Ticket) bool { return other == t })
	if len(list) == 0 {
		delete(q.services, t.Service)
		return
	}
	q.services[t.Service] = list
}

// Expired removes and returns the requests whose answer would be of no use any more.
func (q *Queue) Expired(now time.Time) []*Ticket {
	return q.removeIf(func(t *Ticket) bool { return now.After(t.UsefulUntil) })
}

// Clear removes and returns all requests.
func (q *Queue) Clear() []*Ticket {
	return q.removeIf(func(*Ticket) bool { return true })
}

func (q *Queue) removeIf(unwanted func(t *Ticket) bool) []*Ticket {
	var list []*Ticket
	for _, waiting := range q.services {
		for _, t := range waiting {
			if unwanted(t) {
				list = append(list, t)
			}
		}
	}
	for _, t := range list {
		q.Remove(t)
	}
	return list
}

// Wait returns the longest time that any of the requests which a new one of the class would go
// behind has waited so far.
func (q *Queue) Wait(now time.Time, service ident.Service, class int) time.Duration {
	wait := time.Duration(0)
	for _, t := range q.services[service] {
		if t.Class <= class && !t.Late(now) && !t.exceeds() {
			wait = max(wait, now.Sub(t.Added))
		}
	}
	return wait
}

// Lengths returns the number of waiting requests by urgency class.
func (q *Queue) Lengths() map[int]int {
	lengths := map[int]int{}
	for _, waiting := range q.services {
		for _, t := range waiting {
			lengths[t.Class]++
		}
	}
	return lengths
}

// last returns the request that goes behind all others, over all services.
func (q *Queue) last(now time.Time) *Ticket {
	var last *Ticket
	for _, waiting := range q.services {
		for _, t := range waiting {
			if last == nil || q.before(now, last, t) {
				last = t
			}
		}
	}
	return last
}

// before reports whether a goes before b.
func (q *Queue) before(now time.Time, a, b *Ticket) bool {
	lateA, lateB := a.Late(now), b.Late(now)
	if lateA != lateB {
		return lateB
	}
	if excessA, excessB := a.exceeds(), b.exceeds(); excessA != excessB {
		return excessB
	}
	if a.Class != b.Class {
		if !lateA && a.Service == b.Service && q.hasDeficit(a) != q.hasDeficit(b) {
			return q.hasDeficit(a)
		}
		return a.Class < b.Class
	}
	startA := a.OnTimeUntil.Add(lead(a.group, a.share))
	startB := b.OnTimeUntil.Add(lead(b.group, b.share))
	if !startA.Equal(startB) {
		return startA.Before(startB)
	}
	return a.Added.Before(b.Added)
}
