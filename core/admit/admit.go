// Package admit decides whether an entry instance takes on a request. A Gate holds
// the entry's part of a pool's slots and shares it between the classes: a class
// may use what the others leave, and gets its guaranteed part back as answers end.
//
// A request that can't have a slot within its class's patience is refused at once,
// with the time at which the capacity for it is expected.
package admit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Request is what admission has to know of a request.
type Request struct {
	// Class is Quick, Plan, Session or ServiceCall.
	Class table.Class
	// Forwarded requests come from another region. They leave room for the own ones
	// and don't queue.
	Forwarded bool
	// Deadline is when the answer is of no more use; zero is none.
	Deadline time.Time
}

// forwardedRoom is the part of the slots that is kept from forwarded requests.
const forwardedRoom = 0.1

// quickSmoothing is the weight of one arrival in the average use of quick questions.
const quickSmoothing = 0.02

// Ticket names a request that waits in the queue of a Gate.
type Ticket uint64

// Decision is one of Admitted, Queued and Refused.
type Decision interface {
	verdict()
}

// Admitted takes the request on; Release must follow when it has ended.
type Admitted struct{}

// Queued lets the request wait. Either Release returns its ticket, which admits
// it, or Expire must be called at the time Until.
type Queued struct {
	Ticket    Ticket
	ExpiresAt time.Time
	// ExpectedWait is the projected wait.
	ExpectedWait time.Duration
}

// Refused is the final answer.
type Refused struct {
	Failure *result.Failure
}

func (Admitted) verdict() {}
func (Queued) verdict()   {}
func (Refused) verdict()  {}

// Gate shares an entry's part of a pool's slots between classes. It is safe for
// concurrent use. Its zero value has the default policy and admits everything until
// Resize is called.
type Gate struct {
	mu sync.Mutex
	// policy is nil until Configure is called.
	policy *table.Policy
	sized  bool
	// slots is this entry's part of the pool.
	slots float64
	// inFlight counts the admitted requests by class; total is their sum.
	inFlight [table.ClassCount]int
	total    int
	queues   [table.ClassCount]queue
	last     Ticket
	// quick is a moving average of the quick questions in flight, taken at arrivals.
	quick float64
	drain drain
}

// queue holds the waiting requests of one class, the oldest first.
type queue struct {
	waiting []waiter
}

type waiter struct {
	ticket Ticket
	until  time.Time
}

// Configure sets the treatment of the classes and the bounds of Retry-After.
func (g *Gate) Configure(policy *table.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = policy
}

// SetSlots sets this entry's part of the pool's slots. A part of less than one slot
// counts as one, since it would otherwise never admit anything. It returns the
// tickets that this admits.
func (g *Gate) SetSlots(now time.Time, slots float64) []Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sized = true
	g.slots = slots
	if slots > 0 {
		g.slots = max(1, slots)
	}
	return g.grant(now)
}

// Admit decides about a request. The source of randomness spreads the times at
// which refused callers come back.
func (g *Gate) Admit(now time.Time, random *rand.Rand, r Request) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Refused{&result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.DeadlinePassed}}
	}
	class := min(r.Class, table.ServiceCall)
	g.quick += quickSmoothing * (float64(g.inFlight[table.Quick]) - g.quick)
	if r.Forwarded && float64(g.total+1) > g.slots*(1-forwardedRoom) && g.sized {
		return g.refuse(now, random, result.Overloaded)
	}
	if g.fits(class) && !g.queues[class].live(now) {
		g.admit(class)
		return Admitted{}
	}
	until := now.Add(g.rules().Classes[class].MaxWait)
	if !r.Deadline.IsZero() && r.Deadline.Before(until) {
		until = r.Deadline
	}
	q := &g.queues[class]
	crowded := len(q.waiting) >= g.rules().Classes[class].QueueLength
	expected := g.expected(now, class)
	if r.Forwarded || crowded || now.Add(expected).After(until) {
		return g.refuse(now, random, result.ClassFull)
	}
	g.last++
	q.waiting = append(q.waiting, waiter{ticket: g.last, until: until})
	return Queued{Ticket: g.last, ExpiresAt: until, ExpectedWait: expected}
}

// Release notes that an admitted request has ended, and returns the tickets of the
// requests that are admitted in its place.
func (g *Gate) Release(now time.Time, class table.Class) []Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	class = min(class, table.ServiceCall)
	if g.inFlight[class] > 0 {
		g.inFlight[class]--
		g.total--
	}
	g.drain.end(now)
	return g.grant(now)
}

// Expire ends the wait of a ticket whose time is over with the final answer. It
// returns nil for a ticket that isn't waiting, such as one that was admitted.
func (g *Gate) Expire(now time.Time, random *rand.Rand, ticket Ticket) *result.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.remove(ticket) {
		return nil
	}
	return g.refuse(now, random, result.ClassFull).Failure
}

// Cancel ends the wait of a ticket whose request went elsewhere or whose caller
// left. It reports false for one that isn't waiting: if it was admitted meanwhile,
// Release must follow.
func (g *Gate) Cancel(ticket Ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.remove(ticket)
}

func (g *Gate) remove(ticket Ticket) bool {
	for class := range g.queues {
		q := &g.queues[class]
		for i := range q.waiting {
			if q.waiting[i].ticket == ticket {
				q.waiting = slices.Delete(q.waiting, i, i+1)
				return true
			}
		}
	}
	return false
}

// RetryAfter books the return of a caller whom another step refuses for want of
// capacity, and returns when to come back.
func (g *Gate) RetryAfter(now time.Time, random *rand.Rand) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drain.comeBack(now, random, g.rules())
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
func (g *Gate) InFlight(class table.Class) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[min(class, table.ServiceCall)]
}

func (g *Gate) refuse(now time.Time, random *rand.Rand, reason result.Reason) Refused {
	return Refused{&result.Failure{
		Outcome:    result.NotRun,
		Step:       result.StepAdmit,
		Reason:     reason,
		RetryAfter: g.drain.comeBack(now, random, g.rules()),
	}}
}

func (g *Gate) admit(class table.Class) {
	g.inFlight[class]++
	g.total++
}
