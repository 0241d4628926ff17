package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/queue"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/guard"
	"arbutustrestle/io/http1"
)

const (
	// maxWaiting and maxWaitingBytes bound the requests that wait at an instance. The
	// smallest instances have 144 MB.
	maxWaiting      = 400
	maxWaitingBytes = 16 << 20
	// waitingBytes is the memory that a waiting request takes besides its body: its
	// connection, its goroutine and its header.
	waitingBytes = 24 << 10
	// offerInterval is the time between two decisions on the waiting requests, besides
	// those when a request of this instance makes room.
	offerInterval = 20 * time.Millisecond
	// entriesLife is the age from which on the number of instances is determined anew.
	entriesLife = 400 * time.Millisecond
	// sendFraction is the fraction of a route's latency objective that a request which may
	// wait here may wait at an upstream instead. It keeps upstreams busy between two
	// reports of load; what waits beyond it can still be ordered and refused.
	sendFraction = 0.15
	// minSendWait is the lower bound of that wait: a shorter one passes before the next
	// decision on the queue.
	minSendWait = 2 * offerInterval
	// lateFraction is the part of that for requests that can't be on time any more, so that
	// they take only what others leave.
	lateFraction = 0.5
	// onTimeFraction is the fraction of the latency objective within which the first byte
	// of a request that has waited must be projected, with its wait at the upstream counted
	// twice since more urgent requests will come during it. Without that, most of those that
	// were served in overload came just too late (TestMixedOverload at 1.5 times capacity).
	onTimeFraction = 0.9
	// maxTailFraction bounds the part of a route's timeout that streams are taken to need
	// after their first event.
	maxTailFraction = 0.5
	// halfRequest is the room that a request makes with its first byte, and again with its
	// end: the first frees the upstream to read another prompt, the second a slot.
	halfRequest = 0.5
	// tailWeight is the weight of the newest stream in the average time that streams of a
	// route take after their first event.
	tailWeight = 0.1
)

// entryQueue holds the requests that wait at this instance. Its zero value is empty.
type entryQueue struct {
	mu      sync.Mutex
	queue   queue.Queue
	pacer   queue.Pacer
	waiters map[*queue.Ticket]*waiter
	// entries is the number of instances of the region, as of entriesAt.
	entries   int
	entriesAt time.Time
	// tails holds the average time from the first event of a stream to its end, by route.
	tails map[string]time.Duration
	// offering is set while a timer runs for the next decision.
	offering bool
	closed   bool
	waits    waitTimes
	// length is the number of waiting requests, read without the lock.
	length atomic.Int64
}

// waiter is a request that waits. Its call belongs to the holder of the queue's lock until
// the turn is received or the ticket is removed.
type waiter struct {
	call *Call
	turn chan turn
}

// turn is the decision on a request that has waited.
type turn struct {
	to      destination
	refusal *result.Failure
}

// chooseOrWait returns the destination of a request. Where the settings enable the queue
// (queue.enabled), one that can't be sent now and can be served in time later waits for its turn.
func (p *Proxy) chooseOrWait(ctx context.Context, call *Call) (destination, *result.Failure) {
	if call.waits = p.QueueRequests && mayWait(call) && !p.waiting.isClosed(); !call.waits {
		return p.choose(call)
	}
	if !p.mustWait(call) {
		to, refusal := p.choose(call)
		if refusal == nil {
			p.recordPassed(call)
		}
		if refusal == nil || refusal.Reason != result.Overloaded {
			return to, refusal
		}
	}
	w, refusal := p.enqueue(call)
	if refusal != nil {
		return destination{}, refusal
	}
	return p.awaitTurn(ctx, w)
}

func (q *entryQueue) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// mustWait reports whether a request would overtake one that waits.
func (p *Proxy) mustWait(call *Call) bool {
	now := p.Clock.Now()
	q := &p.waiting
	q.mu.Lock()
	defer q.mu.Unlock()
	item := q.item(call)
	if call.sends == 0 {
		q.queue.Observe(now, item)
	}
	call.usefulUntil = item.UsefulUntil
	call.localDelay = q.queue.Wait(now, item.Service, item.Class)
	return !q.closed && q.queue.Ahead(now, item)
}

// recordPassed counts a request that was sent at once while others may wait.
func (p *Proxy) recordPassed(call *Call) {
	q := &p.waiting
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Passed(p.Clock.Now(), q.item(call))
}

// enqueue adds a request to the queue.
func (p *Proxy) enqueue(call *Call) (*waiter, *result.Failure) {
	now := p.Clock.Now()
	q := &p.waiting
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, refuse(result.StepAdmit, result.Draining, minRetryAfter)
	}
	q.queue.Limits = queue.Limits{Requests: maxWaiting, Bytes: maxWaitingBytes}
	if q.queue.Len() == 0 {
		q.pacer.Restart(now, call.Service, rand.Float64())
	}
	ticket, displaced := q.queue.Add(now, q.item(call))
	for _, t := range displaced {
		p.Metrics.Events.Add("queue-displaced", 1)
		q.deliver(now, t, turn{refusal: p.refuseWaiting(now, q.waiters[t].call)})
	}
	if ticket == nil {
		p.Metrics.Events.Add("queue-refused", 1)
		return nil, p.refuseWaiting(now, call)
	}
	p.Metrics.Events.Add("queued", 1)
	w := &waiter{call: call, turn: make(chan turn, 1)}
	if q.waiters == nil {
		q.waiters = map[*queue.Ticket]*waiter{}
	}
	q.waiters[ticket] = w
	call.ticket = ticket
	call.usefulUntil = ticket.UsefulUntil
	q.length.Store(int64(q.queue.Len()))
	p.offerLater()
	return w, nil
}

// refuseWaiting refuses a request that is removed from the queue or not admitted to it. The
// caller may come back when upstreams will have worked off half of what waits there.
func (p *Proxy) refuseWaiting(now time.Time, call *Call) *result.Failure {
	return refuse(result.StepAdmit, result.Overloaded, p.retryAfter(call.projection.Wait/2, call.Deadline.Sub(now)))
}

// awaitTurn waits for the decision on a request in the queue.
func (p *Proxy) awaitTurn(ctx context.Context, w *waiter) (destination, *result.Failure) {
	select {
	case t := <-w.turn:
		return t.to, t.refusal
	case <-ctx.Done():
	}
	q := &p.waiting
	q.mu.Lock()
	defer q.mu.Unlock()
	now := p.Clock.Now()
	select {
	case t := <-w.turn:
		// The turn came as the caller left: what was reserved for it is given back.
		if t.to.lease != nil {
			t.to.lease.End(now, pool.Cancelled)
		}
	default:
		p.Metrics.Events.Add("queue-left", 1)
		q.queue.Remove(w.call.ticket)
		q.forget(now, w.call.ticket)
	}
	if now.Before(w.call.Deadline) {
		return destination{}, &result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: http1.CancelReason(ctx), Cause: ctx.Err()}
	}
	return destination{}, refuse(result.StepDeadline, result.DeadlinePassed, 0)
}

// forget removes the waiter of a ticket that has left the queue.
func (q *entryQueue) forget(now time.Time, t *queue.Ticket) *waiter {
	w := q.waiters[t]
	delete(q.waiters, t)
	q.length.Store(int64(q.queue.Len()))
	waited := now.Sub(t.Added)
	w.call.queued += waited
	q.waits.record(t.Class, waited)
	return w
}

// deliver tells a waiting request its turn.
func (q *entryQueue) deliver(now time.Time, t *queue.Ticket, decision turn) {
	w := q.forget(now, t)
	w.turn <- decision
}

// madeRoom records that a request of this instance has made room at its upstream for a part
// of another one, and offers it to the ones that wait.
func (p *Proxy) madeRoom(service ident.Service, part float64) {
	q := &p.waiting
	if q.length.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := p.Clock.Now()
	q.pacer.Freed(now, service, part)
	p.refuseExpired(now)
	p.offer(now, service)
}

// offerLater starts the timer of the next decision if it isn't running. The caller holds
// the queue's lock.
func (p *Proxy) offerLater() {
	q := &p.waiting
	if q.offering || q.queue.Len() == 0 {
		return
	}
	q.offering = true
	time.AfterFunc(offerInterval, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		defer p.offerLater()
		defer guard.Recover(p.Log, p.Metrics.Events, "queue of waiting requests")
		q.offering = false
		now := p.Clock.Now()
		p.refuseExpired(now)
		for _, service := range q.queue.Services() {
			p.offer(now, service)
			p.reportWaits(now, service)
		}
	})
}

// reportWaits makes the waits here known to other regions.
func (p *Proxy) reportWaits(now time.Time, service ident.Service) {
	var waits gossip.ByPriority[time.Duration]
	for class := range waits {
		waits[class] = p.waiting.queue.Wait(now, service, class)
	}
	p.Pool.SetQueueWaits(now, service, waits)
}

// refuseExpired refuses the requests whose answer would be of no use any more. It is called
// before each decision, also the first one after a pause of the process.
func (p *Proxy) refuseExpired(now time.Time) {
	q := &p.waiting
	for _, t := range q.queue.Expired(now) {
		p.Metrics.Events.Add("queue-expired", 1)
		q.deliver(now, t, turn{refusal: p.refuseWaiting(now, q.waiters[t].call)})
	}
}

// offer decides anew on the waiting requests of a service, in order, until one has to wait
// on. The first ones of other lanes are decided on after that, since another region may
// serve them.
func (p *Proxy) offer(now time.Time, service ident.Service) {
	q := &p.waiting
	full := false
	stopped := map[string]bool{}
	for again := true; again; {
		again = false
		for _, t := range q.queue.Next(now, service) {
			w := q.waiters[t]
			if stopped[t.Lane] || !p.mayRelease(now, w.call) {
				continue
			}
			late := t.Late(now)
			w.call.localDelay = q.queue.Wait(now, service, t.Class)
			w.call.localFull = full
			to, refusal := p.choose(w.call)
			w.call.localFull = false
			if refusal != nil && (refusal.Reason == result.Overloaded || refusal.Reason == result.NoUpstream) {
				if postponed := t.Late(now) != late; postponed {
					again = true
					break
				}
				full = true
				stopped[t.Lane] = true
				continue
			}
			if refusal != nil {
				q.queue.Remove(t)
			} else {
				q.queue.Sent(now, t)
				q.pacer.Released(now, service, rand.Float64())
			}
			q.deliver(now, t, turn{to, refusal})
			again = true
			break
		}
	}
}

// mayRelease reports whether a waiting request may be released into what seems to be free.
func (p *Proxy) mayRelease(now time.Time, call *Call) bool {
	q := &p.waiting
	if !q.pacer.HasCredit(now, call.Service) {
		entries := p.countEntries(now)
		contention := queue.Contention{Entries: entries, ReportAge: gossip.MeanLoadAge(entries)}
		if entries > 1 {
			room := p.Pool.Room(now, call.poolRequest(), call.maxSendWait(now))
			contention.Room = room.Upstreams
			contention.ReportAge = min(contention.ReportAge, room.HoldTime)
		}
		q.pacer.Advance(now, call.Service, contention)
	}
	return call.ticket.NearlyLate(now) || q.pacer.MayRelease(now, call.Service)
}

// countEntries returns the number of instances of the region. Those that have fallen silent
// count: they may still use the upstreams.
func (p *Proxy) countEntries(now time.Time) int {
	q := &p.waiting
	if q.entries > 0 && now.Sub(q.entriesAt) < entriesLife {
		return q.entries
	}
	q.entries, q.entriesAt = 1, now
	for _, m := range p.Loop.View().Membership.Members {
		if m.Region == p.Region && m.Phase != member.Stopped {
			q.entries++
		}
	}
	return q.entries
}

// recordTail records how long a stream took after its first event.
func (q *entryQueue) recordTail(now time.Time, call *Call, f *result.Failure) {
	if f != nil || call.Route == nil || call.Route.Kind != spec.Stream || call.firstByteAt.IsZero() || !hasTimes(call.Route) {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tails == nil {
		q.tails = map[string]time.Duration{}
	}
	tail := q.tails[call.Route.Name]
	q.tails[call.Route.Name] = tail + time.Duration(tailWeight*float64(now.Sub(call.firstByteAt)-tail))
}

// closeQueue refuses all that wait, when the instance drains, and what would wait later.
func (p *Proxy) closeQueue() {
	now := p.Clock.Now()
	q := &p.waiting
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, t := range q.queue.Clear() {
		q.deliver(now, t, turn{refusal: refuse(result.StepAdmit, result.Draining, minRetryAfter)})
	}
}
