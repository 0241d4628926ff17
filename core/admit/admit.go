// Package admit decides whether an instance accepts a request. A Gate holds the
// instance's part of a pool's slots and shares it between the classes: a class may use
// the slots that the others leave free, and gets its guaranteed slots back as requests
// end.
//
// A request that is not expected to get a slot within the longest wait of its class is
// refused immediately, with the time at which capacity for it is expected.
package admit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	// Class is Quick, Plan, Session or ServiceCall.
	Class table.Class
	// Forwarded requests come from another region. They leave a reserve for local
	// requests and don't queue.
	Forwarded bool
	// Deadline is the time from which the response is no longer of use; zero means
	// none.
	Deadline time.Time
}

// forwardedReserve is the part of the slots that forwarded requests may not use.
const forwardedReserve = 0.1

// quickSmoothing is the weight of one arrival in the moving average of quick requests.
const quickSmoothing = 0.02

// Ticket identifies a request that waits in the queue of a Gate.
type Ticket uint64

// Decision is one of Admitted, Queued and Refused.
type Decision interface {
	decision()
}

// Admitted accepts the request; Release must follow when it has ended.
type Admitted struct{}

// Queued makes the request wait. Either Release or SetSlots returns its ticket, which
// admits it, or Expire must be called at the time ExpiresAt.
type Queued struct {
	Ticket    Ticket
	ExpiresAt time.Time
	// ExpectedWait is the projected wait.
	ExpectedWait time.Duration
}

// Refused refuses the request with a failure.
type Refused struct {
	Failure *result.Failure
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Gate shares an instance's part of a pool's slots between classes. It is safe for
// concurrent use. Its zero value has the default policy and admits everything until
// SetSlots is called.
type Gate struct {
	mu sync.Mutex
	// policy is nil until Configure is called.
	policy     *table.Policy
	slotsKnown bool
	// slots is this instance's part of the pool's slots.
	slots float64
	// inFlight counts the admitted requests by class; total is their sum.
	inFlight   [table.ClassCount]int
	total      int
	queues     [table.ClassCount]queue
	lastTicket Ticket
	// quickInUse is a moving average of the quick requests in flight, sampled at
	// arrivals.
	quickInUse float64
	retries    retryScheduler
}

// queue holds the waiting requests of one class, the oldest first.
type queue struct {
	waiting []waiter
}

type waiter struct {
	ticket    Ticket
	expiresAt time.Time
}

// Configure sets the policy: the limits of the classes and the bounds of Retry-After.
func (g *Gate) Configure(policy *table.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = policy
}

// SetSlots sets this instance's part of the pool's slots. A part of less than one slot
// counts as one, since otherwise nothing would ever be admitted. It returns the tickets
// of the requests that are admitted as a result.
func (g *Gate) SetSlots(now time.Time, slots float64) []Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slotsKnown = true
	g.slots = slots
	if slots > 0 {
		g.slots = max(1, slots)
	}
	return g.grant(now)
}

// Admit decides whether a request is admitted, queued or refused. The source of
// randomness spreads the retries of refused callers.
func (g *Gate) Admit(now time.Time, random *rand.Rand, r Request) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Refused{&result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.DeadlinePassed}}
	}
	class := min(r.Class, table.ServiceCall)
	g.quickInUse += quickSmoothing * (float64(g.inFlight[table.Quick]) - g.quickInUse)
	if r.Forwarded && float64(g.total+1) > g.slots*(1-forwardedReserve) && g.slotsKnown {
		return g.refuse(now, random, result.Overloaded)
	}
	if g.hasSlot(class) && !g.queues[class].hasLive(now) {
		g.addInFlight(class)
		return Admitted{}
	}
	expiresAt := now.Add(g.activePolicy().Classes[class].MaxWait)
	if !r.Deadline.IsZero() && r.Deadline.Before(expiresAt) {
		expiresAt = r.Deadline
	}
	q := &g.queues[class]
	queueFull := len(q.waiting) >= g.activePolicy().Classes[class].QueueLength
	wait := g.expectedWait(now, class)
	if r.Forwarded || queueFull || now.Add(wait).After(expiresAt) {
		return g.refuse(now, random, result.ClassFull)
	}
	g.lastTicket++
	q.waiting = append(q.waiting, waiter{ticket: g.lastTicket, expiresAt: expiresAt})
	return Queued{Ticket: g.lastTicket, ExpiresAt: expiresAt, ExpectedWait: wait}
}

// Release records the end of an admitted request, and returns the tickets of the
// requests that are admitted in its place.
func (g *Gate) Release(now time.Time, class table.Class) []Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	class = min(class, table.ServiceCall)
	if g.inFlight[class] > 0 {
		g.inFlight[class]--
		g.total--
	}
	g.retries.recordEnd(now)
	return g.grant(now)
}

// Expire refuses the request of a ticket whose wait is over. It returns nil for a
// ticket that isn't waiting, such as one that was admitted.
func (g *Gate) Expire(now time.Time, random *rand.Rand, ticket Ticket) *result.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.remove(ticket) {
		return nil
	}
	return g.refuse(now, random, result.ClassFull).Failure
}

// Cancel ends the wait of a ticket whose request was sent elsewhere or whose caller
// disconnected. It returns false for a ticket that isn't waiting: if it was admitted in
// the meantime, Release must follow.
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

// RetryAfter reserves a retry time for a caller that another step refuses for lack of
// capacity, and returns the time until then.
func (g *Gate) RetryAfter(now time.Time, random *rand.Rand) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.retryAfter(now, random, g.activePolicy())
}

// Load returns the number of admitted and of waiting requests, for the demand on the
// pool that is reported to peers.
func (g *Gate) Load() (admitted, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.queues {
		waiting += len(g.queues[i].waiting)
	}
	return g.total, waiting
}

// Slots returns this instance's part of the pool's slots; zero until SetSlots is called.
func (g *Gate) Slots() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}

// InFlight returns the number of admitted requests of a class.
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
		RetryAfter: g.retries.retryAfter(now, random, g.activePolicy()),
	}}
}

func (g *Gate) addInFlight(class table.Class) {
	g.inFlight[class]++
	g.total++
}
