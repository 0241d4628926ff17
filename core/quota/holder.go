package quota

import (
	"math"
	"time"

	"arbutustrestle/core/ident"
)

// Grant takes tokens from the pool for an instance of the region that draws: need in whole, or
// nothing and the time to come back. Of extra it grants as much as leaves the pool half full.
func (l *Ledger) Grant(now time.Time, w ident.Workspace, need, extra float64) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	s := l.states[w]
	need, extra = valid(need), valid(extra)
	if s == nil || need == 0 {
		return Answer{}
	}
	l.updateHolders(now, s)
	l.accrue(now, s)
	answer := l.takePool(now, s, need)
	if spare := s.pool - l.poolCap(now, s)/2; answer.Granted > 0 && spare > 0 {
		extra = min(extra, spare)
		s.pool -= extra
		answer.Granted += extra
	}
	return answer
}

// takePool takes from the pool. A need that is larger than the pool may overdraw it within its debt,
// unless the pool is empty or overdrawn already.
func (l *Ledger) takePool(now time.Time, s *state, need float64) Answer {
	l.trim(now, s)
	s.poolDemand.add(now, need)
	if s.pool >= need || s.pool > 0 && s.pool+l.debtCap(now, s) >= need {
		s.pool -= need
		return Answer{Granted: need}
	}
	after := l.retryAfter(now, s, need)
	return Answer{RetryAfter: after, Loans: after > loanTime/2 && l.lack(now, s, need)}
}

// loanTime is how long a loan takes: a round trip of 110 ms between regions and some time
// at both ends.
const loanTime = 130 * time.Millisecond

// lack records a need that the pool can't meet. It reports whether loans of other regions may meet it.
func (l *Ledger) lack(now time.Time, s *state, need float64) bool {
	s.largestLack = max(s.largestLack, need)
	s.lacking += need
	return l.hasOthers() && now.After(s.othersShortUntil) && s.lacking <= max(s.largestLack, s.capacity.pool/2)
}

func (l *Ledger) hasOthers() bool {
	for _, r := range l.members.Others {
		if len(r.Ready) > 0 {
			return true
		}
	}
	return false
}

// valid returns an amount from a message, or zero if that isn't a positive finite number.
func valid(amount float64) float64 {
	if !(amount > 0) || math.IsInf(amount, 0) {
		return 0
	}
	return amount
}
