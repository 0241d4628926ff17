package quota

import (
	"time"

	"arbutustrestle/core/ident"
)

// Decision is the answer to a request for tokens: Granted, Draw or Refused.
type Decision interface{ decision() }

// Granted means that the tokens were taken.
type Granted struct{}

// Draw means that tokens are to be drawn at the first of From that answers. Settle ends it.
type Draw struct {
	From []ident.Instance
	// Amount is the cost of the request, of which Held was set aside here.
	Amount, Held float64
	// Need must be granted in whole; Extra is drawn beyond it for the requests that follow.
	Need, Extra float64
	// After is how long to wait before the draw, for loans of other regions or for the start of
	// the issue. From is empty if this instance holds the pool itself.
	After time.Duration
	// Asked is when the draw begins.
	Asked time.Time
}

// Answer is what a holder answers to a draw: tokens, or when to come back.
type Answer struct {
	Granted    float64
	RetryAfter time.Duration
	// Loans is set if loans of other regions are under way that may meet the need.
	Loans bool
}

// Refused means that the workspace is at its quota.
type Refused struct {
	RetryAfter time.Duration
}

func (Granted) decision() {}
func (Draw) decision()    {}
func (Refused) decision() {}

const (
	// workingTime is the time for which an instance keeps tokens by its recent demand, within
	// workingPart of what it may hold.
	workingTime = 300 * time.Millisecond
	workingPart = 0.5
	// maxRefuseTime bounds how long requests are refused without a draw after a refusal. It keeps
	// a workspace far over its quota from causing a draw for each request.
	maxRefuseTime = 100 * time.Millisecond
	// lateTimeout is the time after which tokens in transit are no longer accepted. They are
	// in no balance meanwhile, so that it bounds by how much they exceed the capacities.
	lateTimeout = 500 * time.Millisecond
	// startDelay is how long after it has begun to issue an instance draws for the requests that
	// came before: the holder has the deposits of the others by then.
	startDelay = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 8 * time.Second
)

// Take takes the cost of a request. A workspace without a quota is granted everything.
func (l *Ledger) Take(now time.Time, w ident.Workspace, amount float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	s := l.states[w]
	if s == nil || !(amount > 0) {
		return Granted{}
	}
	l.updateHolders(now, s)
	l.accrue(now, s)
	s.demand.add(now, amount)
	if s.own >= amount {
		s.own -= amount
		l.counts.Granted += amount
		return Granted{}
	}
	need := amount - s.own
	if !l.issuing {
		return l.drawAtStart(now, s, amount)
	}
	switch {
	case s.holds:
		answer := l.takePool(now, s, need)
		if answer.Granted > 0 {
			s.own = 0
			l.counts.Granted += amount
			return Granted{}
		}
		if answer.Loans {
			return l.drawAgain(now, s, Draw{Amount: amount, Need: need})
		}
		return l.refuse(amount, answer.RetryAfter)
	case len(s.holders) == 0 || need >= s.refuseNeed && now.Before(s.refuseUntil):
		return l.refuse(amount, l.retryAfter(now, s, need))
	}
	held := s.own
	s.own = 0
	return Draw{From: s.holders, Amount: amount, Held: held, Need: need, Extra: l.working(now, s), Asked: now}
}

// Return gives back the cost of a request that was granted and has not run.
func (l *Ledger) Return(now time.Time, w ident.Workspace, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	s := l.states[w]
	if s == nil || !(amount > 0) {
		return
	}
	l.updateHolders(now, s)
	l.accrue(now, s)
	l.counts.Granted -= amount
	s.own += amount
	l.limitOwn(s)
}

// drawAtStart returns a draw after the moment at which this instance begins to issue, so that
// requests that come just after a start wait for a part of a second and aren't refused.
func (l *Ledger) drawAtStart(now time.Time, s *state, amount float64) Decision {
	wait := l.grownAt.Add(settleTime).Sub(now) + startDelay
	if l.grownAt.IsZero() {
		wait = settleTime + startDelay
	}
	if len(s.holders) == 0 || wait < 0 {
		return l.refuse(amount, l.retryAfter(now, s, amount))
	}
	d := Draw{From: s.holders, Amount: amount, Held: s.own, Need: amount - s.own, After: wait, Asked: now.Add(wait)}
	if s.holds {
		d.From = nil
	}
	s.own = 0
	return d
}

// Settle ends a draw with the answer of a holder; a zero one if none has answered. It returns
// another Draw if loans may meet the need, unless d has waited already.
func (l *Ledger) Settle(now time.Time, w ident.Workspace, d Draw, answer Answer) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	s := l.states[w]
	if s == nil {
		return Granted{}
	}
	l.updateHolders(now, s)
	l.accrue(now, s)
	granted := valid(answer.Granted)
	if now.Sub(d.Asked) > lateTimeout {
		l.counts.Expired += d.Held + granted
		return l.refuse(d.Amount, l.retryAfter(now, s, d.Need))
	}
	l.counts.Drawn += granted
	s.own += d.Held + granted
	if s.holds && !s.covers(d.Amount) {
		// What exceeds the own capacity goes to the pool before the need is known.
		l.trim(now, s)
		answer = l.takePool(now, s, d.Amount-s.own)
		s.own += answer.Granted
	}
	if s.covers(d.Amount) {
		s.own = max(0, s.own-d.Amount)
		l.limitOwn(s)
		l.counts.Granted += d.Amount
		return Granted{}
	}
	if answer.Loans && d.After == 0 {
		return l.drawAgain(now, s, d)
	}
	l.limitOwn(s)
	after := answer.RetryAfter
	if after > 0 {
		s.refuseUntil = now.Add(min(after/2, maxRefuseTime))
		s.refuseNeed = d.Need
	} else {
		after = l.retryAfter(now, s, d.Need)
	}
	return l.refuse(d.Amount, after)
}

// covers reports whether the own balance is enough for a request. The sum of what was held and
// what was granted may be less by a rounding error.
func (s *state) covers(amount float64) bool {
	return s.own >= amount*(1-1e-9)
}

// drawAgain returns a draw after the loans that are under way.
func (l *Ledger) drawAgain(now time.Time, s *state, d Draw) Draw {
	d.Held = s.own
	d.Need = d.Amount - s.own
	s.own = 0
	d.After = loanTime
	d.Asked = now.Add(loanTime)
	return d
}

func (l *Ledger) refuse(amount float64, after time.Duration) Refused {
	l.counts.Refused += amount
	return Refused{RetryAfter: after}
}

// retryAfter estimates when a need that is refused may be met: what was refused lately comes
// first, so that callers don't come back together.
func (l *Ledger) retryAfter(now time.Time, s *state, need float64) time.Duration {
	waiting := s.refused.within(now, refusedSlots)
	s.refused.add(now, need)
	inflow := s.quota.PerSecond * l.part(len(l.members.Ready))
	if s.holds {
		inflow = max(inflow, min(s.inflow.perSecond(now), s.quota.PerSecond))
	}
	after := seconds((waiting + max(0, need-s.pool)) / inflow)
	if !l.issuing {
		after = max(0, l.grownAt.Add(settleTime).Sub(now)) + seconds((waiting+need)/s.quota.PerSecond)
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// refusedSlots is the time over which refused needs are counted as waiting, in slots.
const refusedSlots = 3

// seconds converts a number of seconds, at most maxRetryAfter.
func seconds(number float64) time.Duration {
	return time.Duration(min(number, maxRetryAfter.Seconds()) * float64(time.Second))
}
