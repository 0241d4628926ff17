package queue

import (
	"time"

	"arbutustrestle/core/ident"
)

const (
	// leastShare is the part of what leaves the queue that each class gets at least while it
	// has requests that can be on time, so that no class starves while a more urgent one
	// takes all capacity.
	leastShare = 0.1
	// maxClasses bounds the urgency classes that are told apart.
	maxClasses = 8
)

// deficits holds, by class, the work by which it has fallen behind its least share.
type deficits [maxClasses]float64

func classIndex(class int) int {
	return min(max(class, 0), maxClasses-1)
}

// chargeClass counts a request that leaves the queue as work of its class.
func (q *Queue) chargeClass(now time.Time, sent *Ticket) {
	if q.deficits == nil {
		q.deficits = map[ident.Service]*deficits{}
	}
	d := q.deficits[sent.Service]
	if d == nil {
		d = &deficits{}
		q.deficits[sent.Service] = d
	}
	var waits [maxClasses]bool
	for _, t := range q.services[sent.Service] {
		waits[classIndex(t.Class)] = waits[classIndex(t.Class)] || !t.Late(now)
	}
	for class := range d {
		switch {
		case class == classIndex(sent.Class):
			d[class] = max(0, d[class]-sent.cost())
		case waits[class]:
			d[class] += leastShare * sent.cost()
		default:
			d[class] = 0
		}
	}
}

// hasDeficit reports whether the class of a request has fallen behind its least share by at
// least the cost of the request, which then goes before more urgent ones.
func (q *Queue) hasDeficit(t *Ticket) bool {
	d := q.deficits[t.Service]
	return d != nil && d[classIndex(t.Class)] >= t.cost()
}
