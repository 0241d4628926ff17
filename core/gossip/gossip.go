// Package gossip keeps what an entry knows of the others where no published list names
// them: entries find each other through seeds and tell each other who they know. It
// compares no clocks of two machines: a record is as fresh as the moment at which its
// sequence was last seen to grow, here or, less the time for which it was held, at the
// entry that passed it on.
package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

const (
	// silentAfter is the silence after which an entry is not named to callers.
	silentAfter = 2500 * time.Millisecond
	// forgetAfter is the silence after which an entry counts no more; until then it
	// is still sent beats now and then, so that islands find each other again.
	forgetAfter = 2 * time.Minute
)

// Record is what an entry says of itself.
type Record struct {
	ID ident.Instance
	// Incarnation tells the runs of an entry apart.
	Incarnation uint64
	// Sequence grows with each beat of a run.
	Sequence      uint64
	Zone          ident.Zone
	Region        ident.Region
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	Phase         member.Phase
	// OperatorRevision and List are the revisions of the last changes of published values that it
	// holds.
	OperatorRevision  uint64
	UpstreamsRevision uint64
	// WatchesPlatform is set while it watches the platform for its region and is answered.
	WatchesPlatform bool
	// Age is how long ago the sender of a beat heard of this state; zero in its own
	// record. Times on the way are not in it.
	Age time.Duration
	// UpstreamLoads is told within a region, Services everywhere. Both are missing from
	// records that a third entry passes on.
	UpstreamLoads []UpstreamLoad
	ServiceLoads  []ServiceLoad
}

// held is what is known of another entry.
type held struct {
	Record
	// heard is when the sequence last grew.
	heard time.Time
	// direct is when the entry itself was last heard; zero if never in this run.
	direct time.Time
	// past holds earlier runs, whose late beats are ignored.
	past []uint64
}

// State is the membership of one entry. It is not safe for concurrent use.
type State struct {
	self   Record
	seeds  []netip.AddrPort
	random *rand.Rand
	others map[ident.Instance]*held
	last   time.Time

	// newcomers were met since the last beat and are told of all others.
	newcomers map[ident.Instance]struct{}
	// announcing makes the next beat go to all.
	announcing bool
	// nearTurn and farTurn say whose turn it is to get a beat.
	nearTurn turns
	farTurn  turns

	// The times at which beats of each kind were last sent.

	near       time.Time
	far        time.Time
	retried    time.Time
	introduced time.Time
}

// New returns the state of an entry that knows nobody but its seeds.
func New(self Record, seeds []netip.AddrPort, random *rand.Rand) *State {
	return &State{
		self:   self,
		seeds:  seeds,
		random: random,
		others: map[ident.Instance]*held{},
		// Entries that start together don't all begin with the same one.
		nearTurn: turns{self.ID},
		farTurn:  turns{self.ID},
	}
}

// UpdateSelf changes what the entry says of itself from the next beat on.
func (s *State) UpdateSelf(change func(r *Record)) {
	change(&s.self)
}

// SetSeeds replaces the addresses that are tried while nobody is known there.
func (s *State) SetSeeds(seeds []netip.AddrPort) {
	s.seeds = seeds
}

// Receive takes in a beat. It reports whether something else is believed of an entry than
// before. One that is heard for the first time, or in a new run, is answered at the next
// tick with all that is known, so that entries which start together meet at once.
func (s *State) Receive(now time.Time, records []Record) bool {
	changed := false
	for i, r := range records {
		if r.ID == s.self.ID || r.ID == "" {
			continue
		}
		known := s.others[r.ID]
		met := known != nil && known.Incarnation == r.Incarnation
		if s.take(now, r, i == 0) {
			changed = true
			if !met && i == 0 {
				s.meet(r.ID)
			}
			if !met && i > 0 {
				// It may not know of this entry yet.
				s.Announce()
			}
		}
	}
	return changed
}

func (s *State) meet(id ident.Instance) {
	if s.newcomers == nil {
		s.newcomers = map[ident.Instance]struct{}{}
	}
	s.newcomers[id] = struct{}{}
}

func (s *State) take(now time.Time, r Record, direct bool) bool {
	h := s.others[r.ID]
	if h == nil {
		h = &held{Record: r, heard: now.Add(-r.Age)}
		if direct {
			h.direct = now
		}
		s.others[r.ID] = h
		return true
	}
	if r.Incarnation != h.Incarnation {
		return s.takeRun(now, h, r, direct)
	}
	if r.Sequence <= h.Sequence {
		return false
	}
	changed := r.Phase != h.Phase || !h.alive(now)
	h.update(now, r, direct)
	return changed
}

// takeRun takes in a record of another run than the one that is held.
func (s *State) takeRun(now time.Time, h *held, r Record, direct bool) bool {
	if slices.Contains(h.past, r.Incarnation) || !direct && h.alive(now) {
		return false
	}
	h.past = append(h.past, h.Incarnation)
	h.Record = Record{Incarnation: r.Incarnation}
	h.heard = time.Time{}
	h.direct = time.Time{}
	h.update(now, r, direct)
	return true
}

func (h *held) update(now time.Time, r Record, direct bool) {
	if !direct {
		// A third entry passes on neither loads; those that came from the entry itself
		// stay until they are replaced.
		r.UpstreamLoads = h.UpstreamLoads
		r.ServiceLoads = h.ServiceLoads
	} else {
		h.direct = now
	}
	// What an entry has said of its end is not taken back within a run.
	r.Phase = max(r.Phase, h.Phase)
	h.Record = r
	if heard := now.Add(-r.Age); heard.After(h.heard) {
		h.heard = heard
	}
}

func (h *held) alive(now time.Time) bool {
	return h.Phase != member.Stopped && now.Sub(h.heard) < silentAfter
}

// MarkUnreachable notes that a connection to an entry was refused: nobody listens there. It
// counts as silent until it is heard again.
func (s *State) MarkUnreachable(now time.Time, id ident.Instance) {
	if h := s.others[id]; h != nil && h.alive(now) {
		h.heard = now.Add(-silentAfter)
	}
}
