package quota

import (
	"slices"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Members is the membership as an instance sees it.
type Members struct {
	Self ident.Instance
	// Issuing is the number of instances that may issue tokens, this one included: all that are
	// known and have not said that they stopped, also silent ones.
	Issuing int
	// Ready holds the instances of the own region that are alive and ready, sorted; this one
	// included if it is ready.
	Ready []ident.Instance
	// Others holds those of the other regions.
	Others []RegionMembers
}

// Unseen returns how many instances there may be in the zones of which none is known: as many in
// each as in the zone with most of them. A process that has started during a partition, or has
// forgotten the other side, knows nothing of these.
func Unseen(known map[ident.Zone]int, zones map[ident.Zone]ident.Region) int {
	most, unseen := 0, 0
	for _, count := range known {
		most = max(most, count)
	}
	for zone := range zones {
		if known[zone] == 0 {
			unseen++
		}
	}
	return unseen * most
}

// RegionMembers holds the alive and ready instances of a region, sorted.
type RegionMembers struct {
	Region ident.Region
	Ready  []ident.Instance
}

func (m Members) equal(o Members) bool {
	return m.Self == o.Self && m.Issuing == o.Issuing && slices.Equal(m.Ready, o.Ready) &&
		slices.EqualFunc(m.Others, o.Others, func(a, b RegionMembers) bool {
			return a.Region == b.Region && slices.Equal(a.Ready, b.Ready)
		})
}

const (
	// settleTime is how long the number of instances must not have grown, after a start or a
	// pause, before tokens are issued. The number grows for about two seconds after all have
	// started together, and those that run count one that has started within a second.
	settleTime = time.Second
	// minPause is the time between two calls from which on the process counts as paused.
	// SetMembers is called several times a second.
	minPause = time.Second
	// forgetTimeout is the time after which the other instances no longer count one that is
	// silent. One that was paused for longer has lost its balances: others may hold its part.
	forgetTimeout = 2 * time.Minute
)

// SetMembers sets the membership. It must be called several times a second.
func (l *Ledger) SetMembers(now time.Time, m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notePause(now)
	if m.Issuing > l.members.Issuing || l.grownAt.IsZero() {
		l.grownAt = now
	}
	if !m.equal(l.members) {
		if l.issuing {
			l.accrueAll(now)
		}
		l.members = m
		l.ranking++
	}
	if !l.issuing && l.active() && now.Sub(l.grownAt) >= settleTime {
		l.startIssuing(now)
	}
}

// startIssuing begins to issue. The others have counted this instance since the number of
// instances last grew, so that its part of the time since then is its own.
func (l *Ledger) startIssuing(now time.Time) {
	for _, s := range l.order {
		if s.accruedAt.Before(l.grownAt) {
			s.accruedAt = l.grownAt
		}
	}
	l.issuing = true
	l.accrueAll(now)
}

// notePause stops the issue if the process was paused since the last call. Nothing is issued for
// the time of the pause.
func (l *Ledger) notePause(now time.Time) {
	before := l.lastCall
	if before.IsZero() {
		l.start, l.lastCall = now, now
		return
	}
	gap := now.Sub(before) + max(0, clock.Suspension(before, now))
	if gap < 0 {
		return
	}
	l.lastCall = now
	if gap < minPause {
		return
	}
	l.issuing = false
	l.grownAt = now
	for _, s := range l.states {
		s.accruedAt = now
		if gap > forgetTimeout {
			s.own, s.pool = 0, min(s.pool, 0)
		}
	}
}

// updateHolders updates who holds the pool of a workspace in this region, if the membership has
// changed.
func (l *Ledger) updateHolders(now time.Time, s *state) {
	if s.ranking == l.ranking {
		return
	}
	s.ranking = l.ranking
	s.holders = rank.Top(string(s.workspace), l.members.Ready, drawTargets)
	holds := len(s.holders) > 0 && s.holders[0] == l.members.Self
	if holds && !s.holds {
		s.holdsSince = now
	}
	s.holds = holds
	l.trim(now, s)
}

// drawTargets is the number of instances that a draw is tried at.
const drawTargets = 2

// part returns the part of all capacity that belongs to a number of instances.
func (l *Ledger) part(instances int) float64 {
	return float64(instances) / float64(max(1, l.members.Issuing, instances))
}

func (l *Ledger) ownCap(s *state) float64 {
	return s.capacity.own * l.part(1)
}

const (
	// newHolderTime is how long a new holder has half of its capacity only: the one before may
	// not have noticed yet.
	newHolderTime = 3 * time.Second
	// lendSlots and borrowSlots are how long the capacity of a lender is reduced by what it has
	// lent, and that of a borrower raised, in slots. The borrower's must end first, so that both
	// never have the same capacity.
	lendSlots   = 8
	borrowSlots = 3
)

// poolCap returns how much the pool here may hold. The capacity of the pools is divided by the
// numbers of instances, so that the pools of the two sides of a partition add up to one.
func (l *Ledger) poolCap(now time.Time, s *state) float64 {
	if !s.holds {
		return 0
	}
	limit := s.capacity.pool * l.part(len(l.members.Ready))
	if now.Sub(s.holdsSince) < newHolderTime {
		limit /= 2
	}
	return max(0, limit+s.borrowed.within(now, borrowSlots)-s.lent.within(now, lendSlots))
}

// debtPart is the part of capacity.debt, the debt that the bound allows in one window, that pools may
// have at once. Half of that is forgiven within the window and may be made again: 2/3 + 1/3 = 1.
const debtPart = 2.0 / 3

// debtCap returns by how much the pool here may be overdrawn. accrue forgives as much over two
// windows, so that a large request doesn't keep a small quota short of tokens for long. The debt of
// a holder that was killed is lost with it, so that a new holder may make none for one window.
func (l *Ledger) debtCap(now time.Time, s *state) float64 {
	if !s.holds || now.Sub(s.holdsSince) < l.bounds.Window {
		return 0
	}
	return s.capacity.debt * debtPart * l.part(len(l.members.Ready))
}
