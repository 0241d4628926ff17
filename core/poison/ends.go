package poison

import (
	"cmp"
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

const (
	// sameEnd is the time within which losses with one upstream are those of one end of it.
	// Instances check for up to half a second whether an upstream has ended, and losses that peers
	// report seem later by the time under way.
	sameEnd = time.Second
	// learnTime is how long after a conviction requests with its trait are still sent: by instances
	// that haven't learnt of it, and those that were under way. At 0.3 and 2 s more sound requests
	// were refused in simulations.
	learnTime = time.Second
	// maxCompanions bounds the companions of a trait. A request that lacks one of them is tried soon.
	maxCompanions = 64
	// maxCausesOfSlot bounds the causes that are held of a time at an upstream: those with the most ends,
	// since the parts of an upstream's lost requests may be thousands.
	maxCausesOfSlot = 32
)

// endSet holds when upstreams ended, by the key of the upstream.
type endSet map[uint32][]time.Time

// add adds the end with which a request was lost, and reports whether it is a new one.
func (e endSet) add(l *lostRequest) bool {
	if e.hold(l) {
		return false
	}
	upstream := upstreamOf(l.id)
	e[upstream] = append(e[upstream], l.at)
	return true
}

// hold reports whether a request was lost with one of the ends.
func (e endSet) hold(l *lostRequest) bool {
	for _, at := range e[upstreamOf(l.id)] {
		if l.at.Sub(at).Abs() < sameEnd {
			return true
		}
	}
	return false
}

// suspects are traits of the same lost requests, for example all new parts of a long prompt, that
// suffice to convict them if nothing else explains these.
type suspects struct {
	traits []gossip.TraitKey
	losses []*lostRequest
	// ends are those with which they were lost, and endedAt when each of these was.
	ends    endSet
	endedAt []time.Time
	// sufficedAt is when the losses sufficed.
	sufficedAt time.Time
}

// suspects returns the suspects, those with the most ends first.
func (d *Detector) suspects(losses map[gossip.TraitKey][]*lostRequest) []*suspects {
	byLosses := map[string]*suspects{}
	for trait, list := range losses {
		c, found := d.convict(trait, list)
		if !found {
			continue
		}
		key := []byte{byte(c.required)}
		for _, l := range list {
			key = binary.BigEndian.AppendUint64(key, l.id)
		}
		s, found := byLosses[string(key)]
		if !found {
			s = d.newSuspects(trait, list)
			byLosses[string(key)] = s
		}
		s.traits = append(s.traits, trait)
	}
	sorted := make([]*suspects, 0, len(byLosses))
	for _, key := range slices.Sorted(maps.Keys(byLosses)) {
		sorted = append(sorted, byLosses[key])
	}
	slices.SortStableFunc(sorted, func(a, b *suspects) int {
		return cmp.Or(cmp.Compare(len(b.endedAt), len(a.endedAt)), a.sufficedAt.Compare(b.sufficedAt))
	})
	return sorted
}

// newSuspects returns suspects of which the first trait isn't added yet.
func (d *Detector) newSuspects(first gossip.TraitKey, list []*lostRequest) *suspects {
	s := &suspects{losses: list, ends: endSet{}}
	for i, l := range list {
		if s.ends.add(l) {
			s.endedAt = append(s.endedAt, l.at)
		}
		if s.sufficedAt.IsZero() {
			if _, found := d.convict(first, list[:i+1]); found {
				s.sufficedAt = l.at
			}
		}
	}
	return s
}

// likelier reports whether these are likelier the cause of ends than others: they were lost with more
// of them. Once either ones are refused they can't be lost any more, so that later ends don't count.
func (s *suspects) likelier(others *suspects) bool {
	until := s.sufficedAt
	if others.sufficedAt.Before(until) {
		until = others.sufficedAt
	}
	until = until.Add(learnTime)
	return s.endsUntil(until) > others.endsUntil(until)
}

func (s *suspects) endsUntil(until time.Time) int {
	count := 0
	for _, at := range s.endedAt {
		if !at.After(until) {
			count++
		}
	}
	return count
}

// endIndex holds the ends of causes, so that those of one end are found without looking at all.
type endIndex map[endSlot][]causeEnd

// endSlot is a time of the length sameEnd at an upstream.
type endSlot struct {
	upstream uint32
	number   int64
}

type causeEnd struct {
	cause *suspects
	at    time.Time
}

func slotOf(upstream uint32, at time.Time) endSlot {
	return endSlot{upstream: upstream, number: at.UnixNano() / int64(sameEnd)}
}

// add adds a cause, after those with more ends.
func (x endIndex) add(cause *suspects) {
	for upstream, ends := range cause.ends {
		for _, at := range ends {
			slot := slotOf(upstream, at)
			if len(x[slot]) < maxCausesOfSlot {
				x[slot] = append(x[slot], causeEnd{cause, at})
			}
		}
	}
}

// causes returns the causes that were lost with the end with which a request was. One may come twice.
func (x endIndex) causes(l *lostRequest) iter.Seq[*suspects] {
	return func(yield func(*suspects) bool) {
		slot := slotOf(upstreamOf(l.id), l.at)
		for _, number := range [...]int64{slot.number - 1, slot.number, slot.number + 1} {
			for _, e := range x[endSlot{slot.upstream, number}] {
				if l.at.Sub(e.at).Abs() < sameEnd && !yield(e.cause) {
					return
				}
			}
		}
	}
}

// explains reports whether a request was lost with an end of a cause that is likelier than others; nil for
// any cause.
func (x endIndex) explains(l *lostRequest, others *suspects) bool {
	for cause := range x.causes(l) {
		if others == nil || cause.likelier(others) {
			return true
		}
	}
	return false
}

// setCompanions sets the companions of the convicted traits among the causes.
func (d *Detector) setCompanions(causes []*suspects, ends endIndex) {
	for _, s := range causes {
		companions := d.companions(s, ends)
		for _, trait := range s.traits {
			if c, found := d.convicted[trait]; found {
				c.companions = companions
				d.convicted[trait] = c
			}
		}
	}
}

// companions returns the convicted traits that were lost with the same ends as a cause, up to maxCompanions.
func (d *Detector) companions(s *suspects, ends endIndex) []gossip.TraitKey {
	var companions []gossip.TraitKey
	notConvicted := func(trait gossip.TraitKey) bool { _, found := d.convicted[trait]; return !found }
	for other := range ends.causes(s.losses[0]) {
		if slices.ContainsFunc(s.losses, func(l *lostRequest) bool { return !other.ends.hold(l) }) {
			continue
		}
		companions = append(companions, slices.DeleteFunc(slices.Clone(other.traits), notConvicted)...)
		if len(companions) >= maxCompanions {
			return companions[:maxCompanions]
		}
	}
	return companions
}
