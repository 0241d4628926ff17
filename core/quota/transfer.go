package quota

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Transfer moves tokens to another instance, asks it for some, or both. The sender has already
// given up what it moves.
type Transfer struct {
	To        ident.Instance
	Workspace ident.Workspace
	// Amount is moved: a deposit within a region, or a loan.
	Amount float64
	// Asked is what the sender would like to have from a holder of another region.
	Asked float64
	// Capacity is the part of Asked or Amount for which the borrower has no capacity of its own.
	// The borrower's capacity is raised by it for borrowSlots, and the lender's reduced for lendSlots.
	Capacity float64
}

const (
	// depositInterval is the time between two deposits of one workspace, unless its balance
	// is full before.
	depositInterval = 500 * time.Millisecond
	// askInterval is the time between two requests for loans: more than a round trip between
	// regions.
	askInterval = 150 * time.Millisecond
	// shortAskInterval is used by a pool that can't hold what is asked of it in askInterval.
	shortAskInterval = 50 * time.Millisecond
	// lowTime and targetTime are amounts, as times of the recent demand: a pool below the first
	// asks for loans, enough to reach the second. A loan takes a round trip of 110 ms and up to 100 ms
	// until the next tick.
	lowTime    = 400 * time.Millisecond
	targetTime = 800 * time.Millisecond
	// minDeposit is the least deposit, as a time of issue of one instance.
	minDeposit = 50 * time.Millisecond
)

// DueTransfers returns the transfers that are due. It is called about every 100 ms.
func (l *Ledger) DueTransfers(now time.Time) []Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	var list []Transfer
	for _, s := range l.order {
		l.updateHolders(now, s)
		l.accrue(now, s)
		if s.holds {
			l.keepPool(now, s)
			list = append(list, l.asks(now, s)...)
			continue
		}
		if t, due := l.deposit(now, s); due {
			list = append(list, t)
		}
	}
	l.forgetSenders(now)
	return list
}

// working returns what an instance keeps for its own requests.
func (l *Ledger) working(now time.Time, s *state) float64 {
	return min(l.ownCap(s)*workingPart, s.demand.perSecond(now)*workingTime.Seconds())
}

// surplus returns what the own balance holds beyond working.
func (l *Ledger) surplus(now time.Time, s *state) float64 {
	return s.own - l.working(now, s)
}

// Asks returns the requests for loans of a workspace that are due after the pool has refused a
// need, without waiting for DueTransfers: loans come after a round trip between regions.
func (l *Ledger) Asks(now time.Time, w ident.Workspace) []Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[w]
	if s == nil || !s.holds || s.lacking == 0 {
		return nil
	}
	return l.asks(now, s)
}

// keepPool moves the surplus of a holder to its pool.
func (l *Ledger) keepPool(now time.Time, s *state) {
	l.trim(now, s)
	move := min(l.surplus(now, s), max(0, l.poolCap(now, s)-s.pool))
	if move > 0 {
		s.own -= move
		l.fill(now, s, move)
	}
}

// deposit returns what is deposited at the holder: the surplus, and the pool of a former
// holder.
func (l *Ledger) deposit(now time.Time, s *state) (Transfer, bool) {
	if len(s.holders) == 0 {
		return Transfer{}, false
	}
	amount := max(0, l.surplus(now, s))
	full := s.own > l.ownCap(s)*3/4
	due := full || now.Sub(s.depositedAt) >= depositInterval
	if due && s.pool <= 0 && amount < s.quota.PerSecond*l.part(1)*minDeposit.Seconds() {
		due = false
	}
	if !due && s.pool <= 0 {
		return Transfer{}, false
	}
	s.own -= amount
	if s.pool > 0 {
		amount += s.pool
		s.pool = 0
	}
	s.depositedAt = now
	return Transfer{To: s.holders[0], Workspace: s.workspace, Amount: amount}, amount > 0
}

// asks returns the requests for loans of a pool that runs low, to the holders of other regions
// in proportion to the number of their instances.
func (l *Ledger) asks(now time.Time, s *state) []Transfer {
	rate := s.poolDemand.perSecond(now)
	low := max(rate*lowTime.Seconds(), s.lacking)
	limit := l.poolCap(now, s)
	interval := askInterval
	if rate*askInterval.Seconds() > limit {
		interval = shortAskInterval
	}
	if s.pool >= low || now.Sub(s.askedAt) < interval && s.lacking <= s.asked {
		return nil
	}
	want := max(min(max(rate*targetTime.Seconds(), s.lacking), limit), s.largestLack*loanMargin) - s.pool
	capacity := max(0, s.largestLack*loanMargin-limit)
	if want <= 0 || rate < s.quota.PerSecond*l.part(1)*minAskPart {
		return nil
	}
	l.noteLoans(now, s)
	s.lacking, s.largestLack = 0, 0
	s.askedAt, s.asked, s.loaned = now, want, 0
	return l.askOthers(s, want, capacity)
}

// noteLoans counts the pools of other regions as short of tokens if they lent too little on the
// last request.
func (l *Ledger) noteLoans(now time.Time, s *state) {
	if now.Sub(s.askedAt) >= loanTime && s.loaned < s.asked*minLoanPart {
		s.othersShortUntil = now.Add(othersShortTime)
	}
}

const (
	// minLoanPart is the part of what was asked for below which the pools of other regions
	// count as short of tokens for othersShortTime: requests don't wait for their loans meanwhile.
	minLoanPart     = 0.3
	othersShortTime = 500 * time.Millisecond
	// loanMargin is how much of a single need is asked for: other requests may take some of it.
	loanMargin = 1.1
)

// minAskPart is the demand of a pool, as a part of what one instance issues, below which it
// needs no loans.
const minAskPart = 0.01

func (l *Ledger) askOthers(s *state, want, capacity float64) []Transfer {
	total := 0
	for _, r := range l.members.Others {
		total += len(r.Ready)
	}
	var list []Transfer
	for _, r := range l.members.Others {
		holder, found := rank.First(string(s.workspace), r.Ready)
		if !found {
			continue
		}
		part := float64(len(r.Ready)) / float64(total)
		list = append(list, Transfer{To: holder, Workspace: s.workspace, Asked: want * part, Capacity: capacity * part})
	}
	return list
}

// Receive takes over the transfers of a message, and returns loans that are to be sent at once.
// sent is when the message left, by the sender's Sent.
func (l *Ledger) Receive(now time.Time, from ident.Incarnation, sent time.Duration, transfers []Transfer) []Transfer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	if l.late(now, from, sent) {
		for _, t := range transfers {
			l.counts.Expired += valid(t.Amount)
		}
		return nil
	}
	var loans []Transfer
	for _, t := range transfers {
		s := l.states[t.Workspace]
		if s == nil {
			continue
		}
		l.updateHolders(now, s)
		l.accrue(now, s)
		l.receiveTokens(now, s, t)
		if asked := valid(t.Asked); asked > 0 {
			if loan, made := l.lend(now, s, asked, valid(t.Capacity)); made {
				loan.To = from.Instance
				loans = append(loans, loan)
			}
		}
	}
	return loans
}

func (l *Ledger) receiveTokens(now time.Time, s *state, t Transfer) {
	amount := valid(t.Amount)
	switch {
	case amount == 0:
	case s.holds:
		if now.Sub(s.askedAt) < lateTimeout {
			s.loaned += amount
		}
		s.borrowed.add(now, min(valid(t.Capacity), amount))
		l.fill(now, s, amount)
	default:
		// The sender takes this instance for the holder. The next deposit passes the tokens on.
		s.own += amount
		l.limitOwn(s)
	}
}

// lend gives a holder of another region up to half of the pool, or what the pool has beyond
// what it needs here.
func (l *Ledger) lend(now time.Time, s *state, asked, capacity float64) (Transfer, bool) {
	l.trim(now, s)
	if !s.holds || s.pool <= 0 {
		return Transfer{}, false
	}
	amount := min(asked, max(s.pool/2, s.pool-s.poolDemand.perSecond(now)*lowTime.Seconds()))
	s.pool -= amount
	capacity = min(capacity, amount)
	s.lent.add(now, capacity)
	l.counts.Lent += amount
	return Transfer{Workspace: s.workspace, Amount: amount, Capacity: capacity}, true
}

// transit estimates how long the messages of a sender take beyond the fastest of them.
type transit struct {
	// least and leastBefore are the least differences between the receiver's and the
	// sender's time, in this and the previous period. The clocks of two machines drift apart
	// by some milliseconds a minute.
	least, leastBefore time.Duration
	period             time.Time
}

// transitPeriod is the time after which the differences are taken anew.
const transitPeriod = time.Minute

// Sent returns the time that a message carries which is sent now.
func (l *Ledger) Sent(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.start)
}

// late reports whether a message took lateTimeout longer than others of its sender. The first
// message of a sender can't be judged.
func (l *Ledger) late(now time.Time, from ident.Incarnation, sent time.Duration) bool {
	if l.senders == nil {
		l.senders = map[ident.Incarnation]*transit{}
	}
	difference := now.Sub(l.start) - sent
	t := l.senders[from]
	if t == nil {
		l.senders[from] = &transit{least: difference, leastBefore: difference, period: now}
		return false
	}
	if now.Sub(t.period) >= transitPeriod {
		t.leastBefore, t.least, t.period = t.least, difference, now
	}
	t.least = min(t.least, difference)
	return difference-min(t.least, t.leastBefore) > lateTimeout
}

func (l *Ledger) forgetSenders(now time.Time) {
	for from, t := range l.senders {
		if now.Sub(t.period) > 3*transitPeriod {
			delete(l.senders, from)
		}
	}
}
