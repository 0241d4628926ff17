// Package admit decides whether an entry instance takes on a request. A Gate holds
// the entry's part of a pool's slots and shares it between the classes: a class
// may use what the others leave, and gets its guaranteed part back as answers end.
//
// A request that can't have a slot within its class's patience is refused at once,
// with the time at which the capacity for it is expected.
package admit

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutustrestle/core/result"
)

// Request is what admission has to know of a request.
type Request struct {
	Class Class
	// Forwarded requests come from another region. They leave room for the own ones
	// and don't queue.
	Forwarded bool
	// Deadline is when the answer is of no more use; zero is none.
	Deadline time.Time
}

// forwardedRoom is the part of the slots that is kept from forwarded requests.
const forwardedRoom = 0.1

// Ticket names a request that waits in the queue of a Gate.
type Ticket uint64

// Verdict is one of Admitted, Queued and Refused.
type Verdict interface {
	verdict()
}

// Admitted takes the request on; Release must follow when it has ended.
type Admitted struct{}

// Queued lets the request wait. Either Release returns its ticket, which admits
// it, or Expire must be called at the time Until.
type Queued struct {
	Ticket Ticket
	Until  time.Time
}

// Refused is the final answer.
type Refused struct {
	Failure *result.Failure
}

func (Admitted) verdict() {}
func (Queued) verdict()   {}
func (Refused) verdict()  {}

// Gate shares an entry's part of a pool's slots between classes. It is safe for
// concurrent use. Its zero value admits everything until Resize is called.
type Gate struct {
	// Rules replaces the default rules when it isn't nil.
	Rules *[classCount]Rule

	mu    sync.Mutex
	sized bool
	// slots is this entry's part of the pool.
	slots float64
	// inFlight counts the admitted requests by class; total is their sum.
	inFlight [classCount]int
	total    int
	queues   [classCount]queue
	last     Ticket
	drain    drain
}

// queue holds the waiting requests of one class, the oldest first.
type queue struct {
	waiting []waiter
}

type waiter struct {
	ticket Ticket
	until  time.Time
}

// Resize sets this entry's part of the pool's slots. It returns the tickets that
// this admits.
func (g *Gate) Resize(now time.Time, slots float64) []Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sized = true
	g.slots = slots
	return g.grant(now)
}

// Offer decides about a request. The source of randomness spreads the times at
// which refused callers come back.
func (g *Gate) Offer(now time.Time, random *rand.Rand, r Request) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Refused{&result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.DeadlinePassed}}
	}
	class := min(r.Class, classCount-1)
	g.drain.arrive(now)
	if r.Forwarded && float64(g.total+1) > g.slots*(1-forwardedRoom) && g.sized {
		return g.refuse(now, random, result.Overloaded)
	}
	if g.fits(now, class) && !g.queues[class].live(now) {
		g.admit(class)
		return Admitted{}
	}
	until := now.Add(g.rule(class).Patience)
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		until = r.Deadline
	}
	if r.Forwarded || g.expected(now, class).After(until) {
		return g.refuse(now, random, result.ClassFull)
	}
	g.last++
	q := &g.queues[class]
	q.waiting = append(q.waiting, waiter{ticket: g.last, until: until})
	return Queued{Ticket: g.last, Until: until}
}

// Release notes that an admitted request has ended, and returns the tickets of the
// requests that are admitted in its place.
func (g *Gate) Release(now time.Time, class Class) []Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	class = min(class, classCount-1)
	if g.inFlight[class] > 0 {
		g.inFlight[class]--
		g.total--
	}
	g.drain.end(now)
	return g.grant(now)
}

// Expire ends the wait of a ticket: its time is over or its caller went away. It
// returns nil for a ticket that isn't waiting, such as one that was admitted.
func (g *Gate) Expire(now time.Time, random *rand.Rand, ticket Ticket) *result.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	for class := range g.queues {
		q := &g.queues[class]
		for i := range q.waiting {
			if q.waiting[i].ticket == ticket {
				q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
				return g.refuse(now, random, result.ClassFull).Failure
			}
		}
	}
	return nil
}

// Load returns the requests admitted and waiting, for the claim on the pool that
// peers are told of.
func (g *Gate) Load() (admitted, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.queues {
		waiting += len(g.queues[i].waiting)
	}
	return g.total, waiting
}

// InFlight returns the admitted requests of a class.
func (g *Gate) InFlight(class Class) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[min(class, classCount-1)]
}

func (g *Gate) refuse(now time.Time, random *rand.Rand, reason result.Reason) Refused {
	return Refused{&result.Failure{
		Outcome:    result.NotRun,
		Step:       result.StepAdmit,
		Reason:     reason,
		RetryAfter: g.drain.comeBack(now, random),
	}}
}

func (g *Gate) admit(class Class) {
	g.inFlight[class]++
	g.total++
}
