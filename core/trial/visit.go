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

// visit is a request at one entry.
type visit struct {
	entry   *entry
	request *request
	// forwarded is set at the second entry.
	forwarded bool
	began     time.Time
	query     route.Request
	attempts  int
	admitted  bool
	counted   bool
	streamed  bool
	over      bool
	// running holds the attempts under way, two when hedged.
	running []*attempt
	// first and done are called at most once each; done last, with nil for a whole
	// answer.
	first func()
	done  func(*result.Failure)
}

func (v *visit) now() time.Time {
	return v.entry.sim.now
}

func (v *visit) pool() *pool {
	return v.entry.pools[v.request.kind()]
}

func (v *visit) maxWait() time.Duration {
	return v.entry.sim.policy.Classes[v.request.class].MaxWait
}

// begin takes a request through the limits, admission and routing.
func (v *visit) begin() {
	n := v.entry
	v.prepare()
	n.budget.AddRequest(v.now())
	n.sim.after(v.request.deadline.Sub(v.now()), v.expire)
	if !v.forwarded {
		limits := n.sim.limits(n.region)
		if f := n.ledger.Admit(v.now(), v.request.workspace, limits); f != nil {
			v.end(f)
			return
		}
		v.counted = limits != share.Limits{}
	}
	v.offer()
}

// offer asks for a slot of the entry's part.
func (v *visit) offer() {
	n := v.entry
	if n.sim.options.Policy.Admission == AdmitAll {
		v.route(nil)
		return
	}
	p := v.pool()
	verdict := p.gate.Admit(v.now(), n.random, admit.Request{
		Class:     n.class(v.request.class),
		Forwarded: v.forwarded,
		Deadline:  v.request.deadline,
	})
	switch verdict := verdict.(type) {
	case admit.Admitted:
		v.admitted = true
		v.route(nil)
	case admit.Refused:
		p.refused++
		v.route(verdict.Failure)
	case admit.Queued:
		v.wait(verdict)
	}
}

// wait keeps a request in the queue, unless another region can have it at once.
func (v *visit) wait(q admit.Queued) {
	n := v.entry
	p := v.pool()
	if n.sim.options.Policy.NoQueue {
		v.route(p.gate.Expire(v.now(), n.random, q.Ticket))
		return
	}
	v.query.QueueWait = q.ExpectedWait
	if f, away := n.pick(v).(*route.Forward); away {
		p.gate.Cancel(q.Ticket)
		v.forward(f.Region)
		return
	}
	p.tickets[q.Ticket] = func() {
		v.admitted = true
		if v.over {
			v.release()
			return
		}
		v.route(nil)
	}
	n.sim.after(q.ExpiresAt.Sub(v.now()), func() {
		if f := p.gate.Expire(v.now(), n.random, q.Ticket); f != nil && !v.over {
			delete(p.tickets, q.Ticket)
			p.refused++
			v.route(f)
		}
	})
}

// prepare fills in what decisions about the request need.
func (v *visit) prepare() {
	policy := v.entry.sim.options.Policy
	v.query.Residency = v.request.places()
	if policy.Admission != AdmitAll {
		v.query.MaxWait = v.maxWait()
	}
	v.began = v.now()
	if policy.Routing != NoAffinity {
		v.query.Affinity = v.request.affinity
		v.query.PrefixHash = v.request.prefix
	}
}

// route carries out the next decision; full is why the entry has no slot.
func (v *visit) route(full *result.Failure) {
	v.query.AdmissionFailure = full
	v.query.QueueWait = 0
	if v.query.MaxWait > 0 {
		v.query.MaxWait = max(1, v.began.Add(v.maxWait()).Sub(v.now()))
	}
	switch d := v.entry.pick(v).(type) {
	case *route.Attempt:
		v.attempt(d.Upstream)
	case *route.Forward:
		v.release()
		v.forward(d.Region)
	case *route.Refuse:
		v.end(d.Failure)
	}
}

// attempt is a request at one engine.
type attempt struct {
	visit    *visit
	job      *job
	upstream *load.Upstream
	engine   *engine
	sent     time.Time
}

func (v *visit) attempt(u *load.Upstream) {
	n := v.entry
	a := &attempt{visit: v, upstream: u, engine: n.engines[u.ID], sent: v.now()}
	a.job = v.request.job(n.class(v.request.class), &n.sim.policy)
	a.job.first = a.first
	a.job.ended = a.ended
	v.attempts++
	v.query.Tried = append(v.query.Tried, u.ID)
	v.running = append(v.running, a)
	u.Begin(v.now())
	n.sim.after(insideRegion, a.offer)
	if len(v.running) == 1 && n.sim.policy.HedgeAfter > 0 {
		n.sim.after(n.sim.policy.HedgeAfter, v.hedge)
	}
}

// offer reaches the engine.
func (a *attempt) offer() {
	if a.job.cancelled || a.engine.offer(a.job) {
		return
	}
	a.visit.entry.sim.report.bounced(a.visit.request)
	a.end(load.Refused)
	a.visit.failed(&result.Failure{Outcome: result.NotRun, Step: result.StepAttempt, Reason: result.UpstreamRefused})
}

// first takes the first token: the answer is this attempt's.
func (a *attempt) first() {
	v := a.visit
	a.upstream.Observe(v.now(), a.engine.report())
	a.upstream.ObserveFirstToken(v.now(), v.now().Sub(a.sent))
	v.streamed = true
	for _, other := range v.running {
		if other != a {
			other.cancel()
		}
	}
	v.running = []*attempt{a}
	v.first()
}

func (a *attempt) ended(ending load.AttemptResult) {
	a.end(ending)
	if ending == load.Answered {
		a.visit.end(nil)
		return
	}
	a.visit.failed(&result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.AnswerCut})
}

// end takes the attempt out of those that run.
func (a *attempt) end(ending load.AttemptResult) {
	v := a.visit
	a.upstream.End(v.now(), ending, v.now().Sub(a.sent), a.job.length)
	v.running = slices.DeleteFunc(v.running, func(other *attempt) bool { return other == a })
}

func (a *attempt) cancel() {
	a.job.cancelled = true
	a.upstream.End(a.visit.now(), load.Cancelled, 0, 0)
}

// hedge starts a second attempt where a slot is believed to be free.
func (v *visit) hedge() {
	n := v.entry
	if v.over || v.streamed || len(v.running) != 1 {
		return
	}
	call := retry.Call{Repeatable: v.request.repeatable, Attempts: v.attempts}
	wait := v.query.MaxWait
	v.query.MaxWait = 1
	d, found := n.pick(v).(*route.Attempt)
	v.query.MaxWait = wait
	if found && n.budget.AllowHedge(v.now(), call) {
		n.sim.report.retried(v.request)
		v.attempt(d.Upstream)
	}
}

// failed decides about another attempt.
func (v *visit) failed(f *result.Failure) {
	n := v.entry
	if len(v.running) > 0 {
		return
	}
	call := retry.Call{
		Repeatable: v.request.repeatable,
		Streamed:   v.streamed,
		Attempts:   v.attempts,
		Deadline:   v.request.deadline,
	}
	switch d := n.budget.Decide(v.now(), n.random, call, f).(type) {
	case retry.Again:
		n.sim.report.retried(v.request)
		n.sim.after(d.After, func() {
			switch {
			case v.over:
			case v.admitted:
				v.route(nil)
			default:
				v.offer()
			}
		})
	case retry.Stop:
		v.end(d.Failure)
	}
}

// forward hands the request to an entry of another region.
func (v *visit) forward(to ident.Region) {
	n := v.entry
	n.sim.report.forwarded(v.request)
	var target *entry
	for i, entries := range n.sim.entries {
		if regionName(i) == to {
			target = entries[n.random.IntN(len(entries))]
		}
	}
	there := &visit{entry: target, request: v.request, forwarded: true}
	there.query.Visited = []ident.Region{regionName(n.region)}
	v.query.Visited = []ident.Region{to}
	there.first = func() { n.sim.after(betweenRegions, v.first) }
	there.done = func(f *result.Failure) {
		n.sim.after(betweenRegions, func() { v.returned(f) })
	}
	n.sim.after(betweenRegions, there.begin)
}

// returned takes the answer of the other region. What was refused there is tried
// once more here, where it can go nowhere else.
func (v *visit) returned(f *result.Failure) {
	if f == nil || f.Outcome != result.NotRun || v.over {
		v.end(f)
		return
	}
	v.attempts++
	refused := *f
	refused.Reason = result.PeerRefused
	v.failed(&refused)
}

// expire ends what has not been answered by its deadline.
func (v *visit) expire() {
	v.end(&result.Failure{Outcome: result.Unknown, Step: result.StepDeadline, Reason: result.DeadlinePassed})
}

// end gives the final answer, once.
func (v *visit) end(f *result.Failure) {
	if v.over {
		return
	}
	v.over = true
	for _, a := range v.running {
		a.cancel()
	}
	v.running = nil
	if f != nil && f.Outcome == result.NotRun && f.RetryAfter == 0 {
		f.RetryAfter = v.pool().gate.RetryAfter(v.now(), v.entry.random)
	}
	if v.counted {
		v.entry.ledger.Release(v.request.workspace)
	}
	v.release()
	v.done(f)
}

// release gives the slot back.
func (v *visit) release() {
	if !v.admitted {
		return
	}
	v.admitted = false
	p := v.pool()
	p.wake(p.gate.Release(v.now(), v.entry.class(v.request.class)))
}
