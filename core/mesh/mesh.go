// Package mesh keeps what an entry knows of the others where no published list names
// them: entries find each other through seeds and tell each other who they know. It
// compares no clocks of two machines: a record is as fresh as the moment at which its
// sequence was last seen to grow, here or, less the time for which it was held, at the
// entry that passed it on.
package mesh

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

const (
	// Tick is the time between two calls of Beat.
	Tick = 100 * time.Millisecond
	// BeatInterval is the time between two beats to an entry of another region. Five of
	// them fit the time after which a silent entry is left out.
	BeatInterval = 400 * time.Millisecond
	// nearShare is how much longer the interval within a region gets with each entry
	// there: what an entry has in flight matters to the others until they hear of it, and
	// the cost of telling grows with their number.
	nearShare = 35 * time.Millisecond
	// silentAfter is the silence after which an entry is not named to callers.
	silentAfter = 2500 * time.Millisecond
	// forgetAfter is the silence after which an entry counts no more; until then it
	// is still sent beats now and then, so that islands find each other again.
	forgetAfter = 2 * time.Minute
	// retryInterval is the time between two beats to a silent entry or seed, and
	// aloneInterval that of an entry which knows nobody yet.
	retryInterval = 1200 * time.Millisecond
	aloneInterval = 200 * time.Millisecond
	// introduceInterval is the time between two beats that name third entries.
	introduceInterval = 4 * time.Second
	// fanout is how many alive entries of one kind of place a beat goes to at least; they
	// take turns. With more of them, a beat goes to as many as it takes for each to hear
	// one every fourth beat, well within silentAfter.
	fanout = 12
	rounds = 4
	// nearIntroduced and farIntroduced are how many are told of third entries each time.
	// Who is told passes it on, so that a few suffice.
	nearIntroduced = 2
	farIntroduced  = 1
)

// Ranks is the number of ranks that are told apart; less urgent requests count with
// the last.
const Ranks = 4

// ByRank holds a value for each rank; zero is the most urgent.
type ByRank[T any] [Ranks]T

// Rank returns the index of a route's priority.
func Rank(priority int) int {
	return min(max(priority, 0), Ranks-1)
}

// ReplicaLoad is what one entry has in flight at an upstream.
type ReplicaLoad struct {
	Upstream ident.Upstream
	InFlight int
	// PromptTokens were sent and have not been read yet.
	PromptTokens ByRank[int]
	// Reading is the one of these prompts that is read first.
	Reading Reading
}

// Reading is what is left of a prompt that an engine is reading. Engines read a prompt
// to its end before they turn to the next one, however urgent.
type Reading struct {
	Rank   int
	Tokens int
}

// ServiceLoad is what a further request for a service would meet in a region.
type ServiceLoad struct {
	Service ident.Service
	// Waits are those of requests of each rank, until an upstream turns to them.
	Waits ByRank[time.Duration]
	// Replicas is the number of upstreams that take new work.
	Replicas int
	// TokensPerMilli is the sum of prompt tokens read in a millisecond; zero for a
	// plain service.
	TokensPerMilli float64
}

// Record is what an entry says of itself.
type Record struct {
	ID ident.Instance
	// Start tells the runs of an entry apart.
	Start uint64
	// Sequence grows with each beat of a run.
	Sequence uint64
	Zone     ident.Zone
	Region   ident.Region
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Phase    member.Phase
	// Operator and List are the revisions of the last changes of published values that it
	// holds.
	Operator uint64
	List     uint64
	// Watches is set while it watches the platform for its region and is answered.
	Watches bool
	// Age is how long ago the sender of a beat heard of this state; zero in its own
	// record. Times on the way are not in it.
	Age time.Duration
	// Loads is told within a region, Services everywhere. Both are missing from
	// records that a third entry passes on.
	Loads    []ReplicaLoad
	Services []ServiceLoad
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

// Self changes what the entry says of itself from the next beat on.
func (s *State) Self(change func(r *Record)) {
	change(&s.self)
}

// SetSeeds replaces the addresses that are tried while nobody is known there.
func (s *State) SetSeeds(seeds []netip.AddrPort) {
	s.seeds = seeds
}

// Send is a beat to one address.
type Send struct {
	// To is empty for a seed of which only the address is known.
	To      ident.Instance
	Address netip.AddrPort
	// Records holds the sender first.
	Records []Record
}

// Beat returns the beats that are due now. It is called every Tick.
func (s *State) Beat(now time.Time) []Send {
	s.notePause(now)
	near, far, silent := s.places(now)
	s.self.Sequence++
	own := s.self
	own.Loads = nil
	sends := s.introduce(now, near, far)
	sends = append(sends, s.beatNear(now, near, own)...)
	sends = append(sends, s.beatFar(now, far, own)...)
	s.announcing = false
	retry := retryInterval
	if len(near)+len(far) == 0 {
		retry = aloneInterval
	}
	if !due(&s.retried, now, retry) {
		return sends
	}
	toSilent := []Record{own}
	sends = appendSends(sends, silent, toSilent)
	for _, address := range s.seeds {
		if address != s.self.Peer && !s.knows(now, address) {
			sends = append(sends, Send{Address: address, Records: toSilent})
		}
	}
	return sends
}

// beatNear tells entries of the region what this one has in flight.
func (s *State) beatNear(now time.Time, near []*held, own Record) []Send {
	if !due(&s.near, now, nearInterval(len(near)+1)) && !s.announcing {
		return nil
	}
	chosen, rest := s.nearTurn.next(near)
	sends := appendSends(nil, chosen, []Record{s.self})
	if s.self.Watches || s.announcing {
		// All others rely on hearing from it; what it has in flight is told to some.
		sends = appendSends(sends, rest, []Record{own})
	}
	return sends
}

// nearInterval returns the time between two beats in a region of some entries.
func nearInterval(entries int) time.Duration {
	return min(nearShare*time.Duration(entries), BeatInterval)
}

// WordAge returns how old on average is what an entry knows of what another one of its
// region has in flight, where there are so many of them.
func WordAge(entries int) time.Duration {
	others := entries - 1
	each := max(fanout, (others+rounds-1)/rounds)
	return nearInterval(entries) * time.Duration(max(1, others)) / time.Duration(2*min(each, max(1, others)))
}

// beatFar tells entries of other regions what requests for a service would meet here.
func (s *State) beatFar(now time.Time, far []*held, own Record) []Send {
	if !due(&s.far, now, BeatInterval) && !s.announcing {
		return nil
	}
	chosen, rest := s.farTurn.next(far)
	sends := appendSends(nil, chosen, []Record{own})
	if s.announcing {
		sends = appendSends(sends, rest, []Record{own})
	}
	return sends
}

// introduce tells newcomers, and now and then a few others, of all that are known.
func (s *State) introduce(now time.Time, near, far []*held) []Send {
	var to []*held
	if due(&s.introduced, now, introduceInterval) {
		to = append(to, s.sample(near, nearIntroduced)...)
		to = append(to, s.sample(far, farIntroduced)...)
	}
	for id := range s.newcomers {
		if h := s.others[id]; !slices.Contains(to, h) {
			to = append(to, h)
		}
	}
	s.newcomers = nil
	if len(to) == 0 {
		return nil
	}
	own := s.self
	own.Loads = nil
	return appendSends(nil, to, append([]Record{own}, s.introductions(now)...))
}

// Announce makes the next call of Beat send to all.
func (s *State) Announce() {
	s.announcing = true
}

// due reports whether an interval has passed since a time, and moves the time on. Half a
// tick early is due, since ticks come a little late.
func due(last *time.Time, now time.Time, interval time.Duration) bool {
	if !last.IsZero() && now.Sub(*last) < interval-Tick/2 {
		return false
	}
	*last = now
	return true
}

func appendSends(sends []Send, to []*held, records []Record) []Send {
	for _, h := range to {
		sends = append(sends, Send{To: h.ID, Address: h.Peer, Records: records})
	}
	return sends
}

// notePause shifts what was heard by the time for which this process stood still:
// its silence says nothing of the others.
func (s *State) notePause(now time.Time) {
	gap := now.Sub(s.last)
	if !s.last.IsZero() && gap > silentAfter/2 {
		for _, h := range s.others {
			h.heard = h.heard.Add(gap)
		}
	}
	s.last = now
}

// places divides the other entries into the alive ones of the own region and of others,
// and the silent ones.
func (s *State) places(now time.Time) (near, far, silent []*held) {
	for _, id := range s.sorted() {
		h := s.others[id]
		switch {
		case !h.alive(now):
			silent = append(silent, h)
		case h.Region == s.self.Region:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	return near, far, silent
}

// turns goes through a list by parts, so that each entry gets a beat as often as the
// others, also while the list changes.
type turns struct {
	// last is the one that came last.
	last ident.Instance
}

// next returns the part of a sorted list whose turn it is, and the rest.
func (t *turns) next(list []*held) (chosen, rest []*held) {
	count := max(fanout, (len(list)+rounds-1)/rounds)
	if len(list) <= count {
		return list, nil
	}
	from := slices.IndexFunc(list, func(h *held) bool { return h.ID > t.last })
	from = max(from, 0)
	around := append(slices.Clone(list[from:]), list[:from]...)
	t.last = around[count-1].ID
	return around[:count], around[count:]
}

// sample returns some of a list, which it doesn't change.
func (s *State) sample(list []*held, count int) []*held {
	var chosen []*held
	for _, i := range s.random.Perm(len(list))[:min(count, len(list))] {
		chosen = append(chosen, list[i])
	}
	return chosen
}

func (s *State) introductions(now time.Time) []Record {
	var list []Record
	for _, id := range s.sorted() {
		h := s.others[id]
		if h.alive(now) {
			r := h.Record
			r.Age = now.Sub(h.heard)
			r.Loads = nil
			r.Services = nil
			list = append(list, r)
		}
	}
	return list
}

func (s *State) sorted() []ident.Instance {
	ids := make([]ident.Instance, 0, len(s.others))
	for id := range s.others {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *State) knows(now time.Time, peer netip.AddrPort) bool {
	for _, h := range s.others {
		if h.Peer == peer && h.alive(now) {
			return true
		}
	}
	return false
}

// Take takes in a beat. It reports whether something else is believed of an entry than
// before. One that is heard for the first time, or in a new run, is answered at the next
// tick with all that is known, so that entries which start together meet at once.
func (s *State) Take(now time.Time, records []Record) bool {
	changed := false
	for i, r := range records {
		if r.ID == s.self.ID || r.ID == "" {
			continue
		}
		known := s.others[r.ID]
		met := known != nil && known.Start == r.Start
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
	if r.Start != h.Start {
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
	if slices.Contains(h.past, r.Start) || !direct && h.alive(now) {
		return false
	}
	h.past = append(h.past, h.Start)
	h.Record = Record{Start: r.Start}
	h.heard = time.Time{}
	h.direct = time.Time{}
	h.update(now, r, direct)
	return true
}

func (h *held) update(now time.Time, r Record, direct bool) {
	if !direct {
		// A third entry passes on neither loads; those that came from the entry itself
		// stay until they are replaced.
		r.Loads = h.Loads
		r.Services = h.Services
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

// Lost notes that a connection to an entry was refused: nobody listens there. It
// counts as silent until it is heard again.
func (s *State) Lost(now time.Time, id ident.Instance) {
	if h := s.others[id]; h != nil && h.alive(now) {
		h.heard = now.Add(-silentAfter)
	}
}

// Member is another entry in a View.
type Member struct {
	Record
	// Alive is false after a silence.
	Alive bool
	// Heard is when the entry itself was last heard.
	Heard time.Time
}

// View is the membership at one moment. It never changes.
type View struct {
	Self Record
	// Members holds the other entries, sorted by name.
	Members []Member
}

// View returns the membership now, and forgets entries that are silent for long.
func (s *State) View(now time.Time) *View {
	v := &View{Self: s.self}
	for _, id := range s.sorted() {
		h := s.others[id]
		if now.Sub(h.heard) > forgetAfter {
			delete(s.others, id)
			continue
		}
		v.Members = append(v.Members, Member{Record: h.Record, Alive: h.alive(now), Heard: h.direct})
	}
	return v
}

// Near returns the names of the entries of the own region that are alive and take
// traffic or soon will, this one included, sorted.
func (v *View) Near() []ident.Instance {
	list := []ident.Instance{v.Self.ID}
	for _, m := range v.Members {
		if m.Alive && m.Region == v.Self.Region && m.Phase <= member.Ready {
			list = append(list, m.ID)
		}
	}
	slices.Sort(list)
	return list
}

// Ready returns the callers' addresses of the entries in a region that take traffic,
// those of the given zone first.
func (v *View) Ready(region ident.Region, zone ident.Zone) []netip.AddrPort {
	var list []Record
	if v.Self.Region == region && v.Self.Phase == member.Ready {
		list = append(list, v.Self)
	}
	for _, m := range v.Members {
		if m.Region == region && m.Alive && m.Phase == member.Ready {
			list = append(list, m.Record)
		}
	}
	slices.SortStableFunc(list, func(a, b Record) int {
		return cmp.Compare(btoi(a.Zone != zone), btoi(b.Zone != zone))
	})
	addresses := make([]netip.AddrPort, 0, len(list))
	for _, r := range list {
		addresses = append(addresses, r.Caller)
	}
	return addresses
}

// Regions returns the regions in which an entry is ready, sorted.
func (v *View) Regions() []ident.Region {
	var list []ident.Region
	if v.Self.Phase == member.Ready {
		list = append(list, v.Self.Region)
	}
	for _, m := range v.Members {
		if m.Alive && m.Phase == member.Ready {
			list = append(list, m.Region)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
