// Package quota keeps the use of each workspace, over all instances, within its quota without
// shared counters. Tokens are conserved: each instance issues its part of a quota's rate, tokens
// that are used or moved leave the balance that held them, and all balances together are bounded.
// A message that is lost loses tokens. Views of the membership that disagree cost tokens, but
// make none.
//
// In each region one instance holds a pool for the workspace, chosen by rendezvous hashing.
// The others deposit there what they don't need and draw what they lack. The holders of the regions
// lend to each other. See docs/design/quotas.md.
package quota

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/spec"
)

// Ledger holds the balances of one instance. It is safe for concurrent use. Its zero value has no
// quotas and grants everything.
type Ledger struct {
	mu     sync.Mutex
	bounds Bounds
	states map[ident.Workspace]*state
	// order holds the states in the order in which the config lists them.
	order []*state

	members Members
	// ranking counts the changes of members.
	ranking uint64
	// start is the time of the first call, from which the times in messages count.
	start time.Time
	// lastCall is the time of the last call.
	lastCall time.Time
	// issuing is set while this instance issues tokens, and grownAt is when the number of
	// instances last grew, or when the process started or resumed after a pause.
	issuing bool
	grownAt time.Time
	senders map[ident.Incarnation]*transit
	counts  Counts
}

// Counts are the tokens of all workspaces since the start.
type Counts struct {
	Quotas  int     `json:"quotas"`
	Granted float64 `json:"granted"`
	Refused float64 `json:"refused"`
	Drawn   float64 `json:"drawn"`
	Lent    float64 `json:"lent"`
	// Expired are those that exceeded a balance's capacity or came too late.
	Expired float64 `json:"expired"`
	// Issuing is set while this instance issues tokens.
	Issuing bool `json:"issuing"`
}

// state is the state of one quota. Amounts are in the unit of the quota.
type state struct {
	workspace ident.Workspace
	quota     spec.Quota
	capacity  capacity

	// own is what requests here may use; never negative. pool is what this instance holds
	// for the region, negative while it is overdrawn.
	own, pool float64
	accruedAt time.Time
	// demand is what requests here ask for, poolDemand what is asked of the pool, and inflow
	// what comes into it.
	demand, poolDemand, inflow meter
	// refused is what the pool has refused lately.
	refused timed
	// lent and borrowed are capacity that moved with loans.
	lent, borrowed timed

	// ranking is the value of Ledger.ranking that holders and holds were computed at.
	ranking    uint64
	holders    []ident.Instance
	holds      bool
	holdsSince time.Time

	depositedAt time.Time
	// askedAt is when other regions were last asked, asked for how much, and loaned what has
	// come since. othersShortUntil is set if that was little.
	askedAt          time.Time
	asked, loaned    float64
	othersShortUntil time.Time
	// lacking is the sum of the needs that the pool has refused since askedAt, and largestLack
	// the largest of them.
	lacking, largestLack float64
	// refuseUntil is until when needs of at least refuseNeed are refused without a draw.
	refuseUntil time.Time
	refuseNeed  float64
}

// Configure sets the quotas. Those that were lowered bound the balances at once; one that is new
// starts without a balance.
func (l *Ledger) Configure(now time.Time, b Bounds, workspaces []*spec.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	l.accrueAll(now)
	held := l.states
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	l.bounds = b
	l.states = make(map[ident.Workspace]*state, len(workspaces))
	l.order = l.order[:0]
	for _, w := range workspaces {
		if w.Quota.PerSecond <= 0 || l.states[w.Name] != nil {
			continue
		}
		s := held[w.Name]
		if s == nil || s.quota.Unit != w.Quota.Unit {
			s = &state{workspace: w.Name, accruedAt: now, ranking: l.ranking - 1}
		}
		s.quota = w.Quota
		s.capacity = b.capacity(&w.Quota)
		l.states[w.Name] = s
		l.order = append(l.order, s)
		l.updateHolders(now, s)
		l.trim(now, s)
	}
	if !l.active() {
		l.issuing = false
	}
}

// active reports whether there are quotas.
func (l *Ledger) active() bool {
	return len(l.order) > 0
}

// Counts returns the sums of tokens since the start, and the number of quotas.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Quotas, c.Issuing = len(l.order), l.issuing
	return c
}

// Issuing reports whether this instance issues tokens: it has quotas, and knows the others.
func (l *Ledger) Issuing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.issuing
}

func (l *Ledger) accrueAll(now time.Time) {
	for _, s := range l.order {
		l.accrue(now, s)
	}
}

// accrue issues the tokens of the time since the last call.
func (l *Ledger) accrue(now time.Time, s *state) {
	elapsed := now.Sub(s.accruedAt)
	if elapsed <= 0 || !l.issuing {
		return
	}
	s.accruedAt = now
	issued := s.capacity.rate * l.part(1) * elapsed.Seconds()
	if !s.holds && s.pool < 0 {
		// The debt of a former holder is paid first.
		paid := min(issued, -s.pool)
		s.pool += paid
		issued -= paid
	}
	if s.pool < 0 {
		s.pool = min(0, s.pool+l.debtCap(now, s)*elapsed.Seconds()/(2*l.bounds.Window.Seconds()))
	}
	s.own += issued
	l.limitOwn(s)
}

// trim applies the capacities.
func (l *Ledger) trim(now time.Time, s *state) {
	l.limitOwn(s)
	if limit := l.poolCap(now, s); s.holds && s.pool > limit {
		l.counts.Expired += s.pool - limit
		s.pool = limit
	}
}

// limitOwn bounds the own balance. What a holder can't hold itself goes to its pool.
func (l *Ledger) limitOwn(s *state) {
	limit := l.ownCap(s)
	if s.own <= limit {
		return
	}
	if s.holds {
		l.fill(s.accruedAt, s, s.own-limit)
	} else {
		l.counts.Expired += s.own - limit
	}
	s.own = limit
}

// fill adds tokens to the pool, up to its capacity.
func (l *Ledger) fill(now time.Time, s *state, amount float64) {
	s.inflow.add(now, amount)
	kept := min(amount, max(0, l.poolCap(now, s)-s.pool))
	s.pool += kept
	l.counts.Expired += amount - kept
}
