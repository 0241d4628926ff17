package trial

import (
	"slices"
	"time"

	"arbutustrestle/core/admit"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/result"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/route"
	"arbutustrestle/core/share"
)

// handler processes one request at one instance.
type handler struct {
	instance *instance
	request  *request
	// forwarded is set at the second instance.
	forwarded bool
	startedAt time.Time
	query     route.Request
	attempts  int
	admitted  bool
	limited   bool
	streamed  bool
	finished  bool
	// running holds the attempts in flight, two when hedged.
	running []*attempt
	// onFirstToken and onDone are called at most once each, onDone last, with nil for a
	// complete answer.
	onFirstToken func()
	onDone       func(*result.Failure)
}

func (h *handler) now() time.Time {
	return h.instance.sim.now
}

func (h *handler) pool() *pool {
	return h.instance.pools[h.request.kind()]
}

func (h *handler) maxWait() time.Duration {
	return h.instance.sim.policy.Classes[h.request.class].MaxWait
}

// start applies the limits, admission and routing to a request.
func (h *handler) start() {
	n := h.instance
	h.setQuery()
	n.budget.AddRequest(h.now())
	n.sim.after(h.request.deadline.Sub(h.now()), h.expire)
	if !h.forwarded {
		limits := n.sim.workspaceLimits(n.region)
		if f := n.workspaceLimiter.Admit(h.now(), h.request.workspace, limits); f != nil {
			h.finish(f)
			return
		}
		h.limited = limits != share.Limits{}
	}
	h.admit()
}

// admit requests a slot of the instance's share.
func (h *handler) admit() {
	n := h.instance
	if n.sim.options.Policy.Admission == AdmitAll {
		h.route(nil)
		return
	}
	p := h.pool()
	verdict := p.gate.Admit(h.now(), n.random, admit.Request{
		Class:     n.admissionClass(h.request.class),
		Forwarded: h.forwarded,
		Deadline:  h.request.deadline,
	})
	switch verdict := verdict.(type) {
	case admit.Admitted:
		h.admitted = true
		h.route(nil)
	case admit.Refused:
		p.refused++
		h.route(verdict.Failure)
	case admit.Queued:
		h.enqueue(verdict)
	}
}

// enqueue keeps a request in the queue, unless another region can serve it at once.
func (h *handler) enqueue(q admit.Queued) {
	n := h.instance
	p := h.pool()
	if n.sim.options.Policy.NoQueue {
		h.route(p.gate.Expire(h.now(), n.random, q.Ticket))
		return
	}
	h.query.QueueWait = q.ExpectedWait
	if f, isForward := n.pick(h).(*route.Forward); isForward {
		p.gate.Cancel(q.Ticket)
		h.forward(f.Region)
		return
	}
	p.tickets[q.Ticket] = func() {
		h.admitted = true
		if h.finished {
			h.releaseSlot()
			return
		}
		h.route(nil)
	}
	n.sim.after(q.ExpiresAt.Sub(h.now()), func() {
		if f := p.gate.Expire(h.now(), n.random, q.Ticket); f != nil && !h.finished {
			delete(p.tickets, q.Ticket)
			p.refused++
			h.route(f)
		}
	})
}

// setQuery sets the inputs of the decisions about the request.
func (h *handler) setQuery() {
	policy := h.instance.sim.options.Policy
	h.query.Residency = h.request.residency()
	if policy.Admission != AdmitAll {
		h.query.MaxWait = h.maxWait()
	}
	h.startedAt = h.now()
	if policy.Routing != NoAffinity {
		h.query.Affinity = h.request.affinity
		h.query.PrefixHash = h.request.prefix
	}
}

// route executes the next decision. full is the reason why the instance has no free
// slot, or nil.
func (h *handler) route(admissionFailure *result.Failure) {
	h.query.AdmissionFailure = admissionFailure
	h.query.QueueWait = 0
	if h.query.MaxWait > 0 {
		h.query.MaxWait = max(1, h.startedAt.Add(h.maxWait()).Sub(h.now()))
	}
	switch d := h.instance.pick(h).(type) {
	case *route.Attempt:
		h.startAttempt(d.Upstream)
	case *route.Forward:
		h.releaseSlot()
		h.forward(d.Region)
	case *route.Refuse:
		h.finish(d.Failure)
	}
}

// attempt is one attempt of a request at one engine.
type attempt struct {
	handler  *handler
	job      *job
	upstream *load.Upstream
	engine   *engine
	sentAt   time.Time
}

func (h *handler) startAttempt(u *load.Upstream) {
	n := h.instance
	a := &attempt{handler: h, upstream: u, engine: n.engines[u.ID], sentAt: h.now()}
	a.job = h.request.job(n.admissionClass(h.request.class), &n.sim.policy)
	a.job.onFirstToken = a.onFirstToken
	a.job.onEnd = a.onEnd
	h.attempts++
	h.query.Tried = append(h.query.Tried, u.ID)
	h.running = append(h.running, a)
	u.Begin(h.now())
	n.sim.after(intraRegionDelay, a.submit)
	if len(h.running) == 1 && n.sim.policy.HedgeAfter > 0 {
		n.sim.after(n.sim.policy.HedgeAfter, h.hedge)
	}
}

// submit submits the job to the engine.
func (a *attempt) submit() {
	if a.job.cancelled || a.engine.enqueue(a.job) {
		return
	}
	a.handler.instance.sim.report.recordRefusedAttempt(a.handler.request)
	a.end(load.Refused)
	a.handler.handleFailure(&result.Failure{Outcome: result.NotRun, Step: result.StepAttempt, Reason: result.UpstreamRefused})
}

// onFirstToken records the first token and cancels the other attempt of a hedge.
func (a *attempt) onFirstToken() {
	h := a.handler
	a.upstream.Observe(h.now(), a.engine.loadReport())
	a.upstream.ObserveFirstToken(h.now(), h.now().Sub(a.sentAt))
	h.streamed = true
	for _, other := range h.running {
		if other != a {
			other.cancel()
		}
	}
	h.running = []*attempt{a}
	h.onFirstToken()
}

func (a *attempt) onEnd(outcome load.AttemptResult) {
	a.end(outcome)
	if outcome == load.Answered {
		a.handler.finish(nil)
		return
	}
	a.handler.handleFailure(&result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.AnswerCut})
}

// end removes the attempt from the running ones and records its result.
func (a *attempt) end(outcome load.AttemptResult) {
	h := a.handler
	a.upstream.End(h.now(), outcome, h.now().Sub(a.sentAt), a.job.outputTokens)
	h.running = slices.DeleteFunc(h.running, func(other *attempt) bool { return other == a })
}

func (a *attempt) cancel() {
	a.job.cancelled = true
	a.upstream.End(a.handler.now(), load.Cancelled, 0, 0)
}

// hedge starts a second attempt if a slot is estimated to be free.
func (h *handler) hedge() {
	n := h.instance
	if h.finished || h.streamed || len(h.running) != 1 {
		return
	}
	call := retry.Call{Repeatable: h.request.repeatable, Attempts: h.attempts}
	wait := h.query.MaxWait
	h.query.MaxWait = 1
	d, found := n.pick(h).(*route.Attempt)
	h.query.MaxWait = wait
	if found && n.budget.AllowHedge(h.now(), call) {
		n.sim.report.recordRetry(h.request)
		h.startAttempt(d.Upstream)
	}
}

// handleFailure retries a failed request or ends it.
func (h *handler) handleFailure(f *result.Failure) {
	n := h.instance
	if len(h.running) > 0 {
		return
	}
	call := retry.Call{
		Repeatable: h.request.repeatable,
		Streamed:   h.streamed,
		Attempts:   h.attempts,
		Deadline:   h.request.deadline,
	}
	switch d := n.budget.Decide(h.now(), n.random, call, f).(type) {
	case retry.Again:
		n.sim.report.recordRetry(h.request)
		n.sim.after(d.After, func() {
			switch {
			case h.finished:
			case h.admitted:
				h.route(nil)
			default:
				h.admit()
			}
		})
	case retry.Stop:
		h.finish(d.Failure)
	}
}

// forward sends the request to an instance of another region.
func (h *handler) forward(to ident.Region) {
	n := h.instance
	n.sim.report.recordForward(h.request)
	var target *instance
	for i, instances := range n.sim.instances {
		if regionName(i) == to {
			target = instances[n.random.IntN(len(instances))]
		}
	}
	remote := &handler{instance: target, request: h.request, forwarded: true}
	remote.query.Visited = []ident.Region{regionName(n.region)}
	h.query.Visited = []ident.Region{to}
	remote.onFirstToken = func() { n.sim.after(interRegionDelay, h.onFirstToken) }
	remote.onDone = func(f *result.Failure) {
		n.sim.after(interRegionDelay, func() { h.handleForwardResult(f) })
	}
	n.sim.after(interRegionDelay, remote.start)
}

// handleForwardResult processes the answer of the other region. A request that was
// refused there gets one more attempt in this region, from which it can't be forwarded
// again.
func (h *handler) handleForwardResult(f *result.Failure) {
	if f == nil || f.Outcome != result.NotRun || h.finished {
		h.finish(f)
		return
	}
	h.attempts++
	refused := *f
	refused.Reason = result.PeerRefused
	h.handleFailure(&refused)
}

// expire fails a request that has not been answered by its deadline.
func (h *handler) expire() {
	h.finish(&result.Failure{Outcome: result.Unknown, Step: result.StepDeadline, Reason: result.DeadlinePassed})
}

// finish reports the final result, once.
func (h *handler) finish(f *result.Failure) {
	if h.finished {
		return
	}
	h.finished = true
	for _, a := range h.running {
		a.cancel()
	}
	h.running = nil
	if f != nil && f.Outcome == result.NotRun && f.RetryAfter == 0 {
		f.RetryAfter = h.pool().gate.RetryAfter(h.now(), h.instance.random)
	}
	if h.limited {
		h.instance.workspaceLimiter.Release(h.request.workspace)
	}
	h.releaseSlot()
	h.onDone(f)
}

// releaseSlot returns the slot to the gate.
func (h *handler) releaseSlot() {
	if !h.admitted {
		return
	}
	h.admitted = false
	p := h.pool()
	p.resume(p.gate.Release(h.now(), h.instance.admissionClass(h.request.class)))
}
