package gossip

import (
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// TickInterval is the time between two calls of Beat.
	TickInterval = 100 * time.Millisecond
	// HeartbeatInterval is the time between two beats to an entry of another region. Five of
	// them fit the time after which a silent entry is left out.
	HeartbeatInterval = 400 * time.Millisecond
	// nearShare is how much longer the interval within a region gets with each entry
	// there: what an entry has in flight matters to the others until they hear of it, and
	// the cost of telling grows with their number.
	nearShare = 35 * time.Millisecond
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

// Heartbeat is a beat to one address.
type Heartbeat struct {
	// To is empty for a seed of which only the address is known.
	To      ident.Instance
	Address netip.AddrPort
	// Records holds the sender first.
	Records []Record
}

// DueHeartbeats returns the beats that are due now. It is called every Tick.
func (s *State) DueHeartbeats(now time.Time) []Heartbeat {
	s.notePause(now)
	near, far, silent := s.places(now)
	s.self.Sequence++
	own := s.self
	own.UpstreamLoads = nil
	sends := s.introduce(now, near, far, own)
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
		if address != s.self.PeerAddress && !s.knows(now, address) {
			sends = append(sends, Heartbeat{Address: address, Records: toSilent})
		}
	}
	return sends
}

// beatNear tells entries of the region what this one has in flight.
func (s *State) beatNear(now time.Time, near []*held, own Record) []Heartbeat {
	if !due(&s.near, now, nearInterval(len(near)+1)) && !s.announcing {
		return nil
	}
	chosen, rest := s.nearTurn.next(near)
	sends := appendSends(nil, chosen, []Record{s.self})
	if s.self.WatchesPlatform || s.announcing {
		// All others rely on hearing from it; what it has in flight is told to some.
		sends = appendSends(sends, rest, []Record{own})
	}
	return sends
}

// nearInterval returns the time between two beats in a region of some entries.
func nearInterval(entries int) time.Duration {
	return min(nearShare*time.Duration(entries), HeartbeatInterval)
}

// MeanLoadAge returns how old, on average, an entry's word is of what another one has in flight,
// in a region of a number of entries.
func MeanLoadAge(entries int) time.Duration {
	others := entries - 1
	each := max(fanout, (others+rounds-1)/rounds)
	return nearInterval(entries) * time.Duration(max(1, others)) / time.Duration(2*min(each, max(1, others)))
}

// beatFar tells entries of other regions what requests for a service would meet here.
func (s *State) beatFar(now time.Time, far []*held, own Record) []Heartbeat {
	if !due(&s.far, now, HeartbeatInterval) && !s.announcing {
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
func (s *State) introduce(now time.Time, near, far []*held, own Record) []Heartbeat {
	var to []*held
	if due(&s.introduced, now, introduceInterval) {
		to = append(to, s.sample(near, nearIntroduced)...)
		to = append(to, s.sample(far, farIntroduced)...)
	}
	for id := range s.newcomers {
		if h := s.others[id]; h != nil && !slices.Contains(to, h) {
			to = append(to, h)
		}
	}
	s.newcomers = nil
	if len(to) == 0 {
		return nil
	}
	return appendSends(nil, to, append([]Record{own}, s.introductions(now)...))
}

// Announce makes the next call of Beat send to all.
func (s *State) Announce() {
	s.announcing = true
}

// due reports whether an interval has passed since a time, and moves the time on. Half a
// tick early is due, since ticks come a little late.
func due(last *time.Time, now time.Time, interval time.Duration) bool {
	if !last.IsZero() && now.Sub(*last) < interval-TickInterval/2 {
		return false
	}
	*last = now
	return true
}

func appendSends(sends []Heartbeat, to []*held, records []Record) []Heartbeat {
	for _, h := range to {
		sends = append(sends, Heartbeat{To: h.ID, Address: h.PeerAddress, Records: records})
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
			r.UpstreamLoads = nil
			r.ServiceLoads = nil
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
		if h.PeerAddress == peer && h.alive(now) {
			return true
		}
	}
	return false
}
