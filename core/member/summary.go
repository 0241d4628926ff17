package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

const (
	// minSummaryPeriod is the shortest time between two summaries to a region, and
	// between two times that a region's summary is handed on.
	minSummaryPeriod = 5 * time.Second
	// summaryPeriodPerRegion bounds the bytes of summaries: an instance gets, and
	// hands on, one per summaryPeriodPerRegion in the mean.
	summaryPeriodPerRegion = time.Second
	// freshSummaryPeriods is the age, in the longest summary period seen, up to
	// which a region counts as heard.
	freshSummaryPeriods = 3
	// failedRetry is how long an instance of another region is passed over after a
	// failed send.
	failedRetry = 30 * time.Second
	// summaryRetry is the time after which a failed summary goes to the next instance.
	summaryRetry = time.Second
	// maxContacts is the number of entries that a summary names.
	maxContacts = 3
	// maxRegions bounds the regions that are kept, whatever summaries claim.
	maxRegions = 64
	// maxOrigins is the number of senders remembered for each region, so that an
	// older summary is known as such.
	maxOrigins = 8
)

// region is what is held of another region.
type region struct {
	name ident.Region
	// listed is set when the newest listing has entries there.
	listed bool
	// summary is the newest one; its Origin is zero when none was heard.
	summary RegionSummary
	// madeAt is when the summary was made, not counting its time on the way.
	madeAt time.Time
	// interval is the time between the last two summaries.
	interval time.Duration
	// origins holds the highest sequence heard of each sender, the newest last.
	origins []origin
	// stale is set by a pause until a new summary comes.
	stale bool
	// fresh is whether the last refresh found the summary fresh.
	fresh bool
	// relayUntil ends the time in which heartbeats carry the summary.
	relayUntil time.Time
	// relayAgain is when a newer summary may be handed on.
	relayAgain time.Time
	// sequence is that of the last summary sent there.
	sequence uint64
	// rounds counts the summaries sent there.
	rounds   uint64
	nextSend time.Time
}

type origin struct {
	incarnation ident.Incarnation
	sequence    uint64
}

// SummaryPeriod returns the time between two summaries that a region sends to
// each other one when there are so many regions.
func SummaryPeriod(regions int) time.Duration {
	return max(minSummaryPeriod, time.Duration(regions)*summaryPeriodPerRegion)
}

func (s *State) summaryPeriod() time.Duration {
	return SummaryPeriod(len(s.regions) + 1)
}

// region finds or adds another region; it returns nil for the own one, and when
// there are too many.
func (s *State) region(name ident.Region) *region {
	if name == s.options.Self.Region {
		return nil
	}
	i, found := slices.BinarySearchFunc(s.regions, name, compareRegion)
	if found {
		return s.regions[i]
	}
	if len(s.regions) >= maxRegions {
		return nil
	}
	r := &region{name: name, nextSend: s.now.Add(summaryRetry)}
	s.regions = slices.Insert(s.regions, i, r)
	s.changed = true
	return r
}

// takeSummary takes in a summary that is newer than the one held. One that came
// straight from the other region is handed on to the own region.
func (s *State) takeSummary(sum *RegionSummary, direct bool) {
	r := s.region(sum.Region)
	if r == nil || sum.Origin.IsZero() || !s.isNewer(r, sum) {
		s.counts.LateSummaries++
		return
	}
	madeAt := s.now.Add(-time.Duration(sum.AgeMillis) * time.Millisecond)
	if !r.madeAt.IsZero() {
		r.interval = madeAt.Sub(r.madeAt)
	}
	r.summary = *sum
	r.madeAt = madeAt
	// As with heartbeats, a buffer may have held the first ones after a pause.
	r.stale = !s.wokeAt.IsZero() && s.now.Sub(s.wokeAt) < s.period()
	r.fresh = !r.stale
	s.changed = true
	if direct && !r.relayAgain.After(s.now) {
		r.relayUntil = s.now.Add(s.period() + s.period()/10)
		r.relayAgain = s.now.Add(s.summaryPeriod() / 2)
	}
	s.act(SummaryAccepted{Summary: *sum})
}

// isNewer compares a summary with what the region was heard to say before: by
// sequence for the same sender, else by when it was made.
func (s *State) isNewer(r *region, sum *RegionSummary) bool {
	i := slices.IndexFunc(r.origins, func(o origin) bool { return o.incarnation == sum.Origin })
	if i >= 0 {
		if sum.Sequence <= r.origins[i].sequence {
			return false
		}
		r.origins = slices.Delete(r.origins, i, i+1)
	}
	r.origins = append(r.origins, origin{incarnation: sum.Origin, sequence: sum.Sequence})
	if len(r.origins) > maxOrigins {
		r.origins = slices.Delete(r.origins, 0, 1)
	}
	if r.summary.Origin == sum.Origin || r.summary.Origin.IsZero() {
		return true
	}
	madeAt := s.now.Add(-time.Duration(sum.AgeMillis) * time.Millisecond)
	return madeAt.After(r.madeAt)
}

// relayed returns the summaries that heartbeats hand on now. They have reached
// this instance within the last period, so that each peer gets each of them once.
func (s *State) relayed() []RegionSummary {
	var list []RegionSummary
	for _, r := range s.regions {
		if !r.relayUntil.After(s.now) {
			continue
		}
		sum := r.summary
		sum.AgeMillis = uint32(s.now.Sub(r.madeAt) / time.Millisecond)
		list = append(list, sum)
	}
	return list
}

// tickRegions sends the summaries that are due and this instance's to send.
func (s *State) tickRegions() {
	s.forgetFailed()
	ready := s.ready()
	for _, r := range s.regions {
		s.refreshRegion(r)
		if r.nextSend.After(s.now) {
			continue
		}
		r.nextSend = s.now.Add(s.spread(s.summaryPeriod()))
		sender, found := rank.First(string(r.name), ready)
		if found && sender == s.options.Self.ID {
			s.sendSummary(r, ready)
		}
	}
}

func (s *State) refreshRegion(r *region) {
	bound := freshSummaryPeriods * max(s.summaryPeriod(), r.interval)
	fresh := !r.madeAt.IsZero() && !r.stale && s.now.Sub(r.madeAt) <= bound
	if fresh != r.fresh {
		r.fresh = fresh
		s.changed = true
	}
}

// ready returns the entries of the own region that take traffic, this one
// included, in the order of their names.
func (s *State) ready() []ident.Instance {
	list := make([]ident.Instance, 0, len(s.peers)+1)
	for _, p := range s.peers {
		if p.status == Alive && p.phase == Ready {
			list = append(list, p.entry.ID)
		}
	}
	if s.local.Phase == Ready {
		list = append(list, s.options.Self.ID)
	}
	slices.Sort(list)
	return list
}

func (s *State) sendSummary(r *region, ready []ident.Instance) {
	r.rounds++
	to, address, found := s.target(r)
	if !found {
		return
	}
	r.sequence = max(r.sequence+1, s.sequenceNow())
	sum := RegionSummary{
		Region:        s.options.Self.Region,
		Origin:        s.incarnation(),
		Sequence:      r.sequence,
		ReadyCount:    len(ready),
		TableRevision: s.local.Revisions.Table,
		Contacts:      s.contacts(r, ready),
		Payload:       s.local.SummaryPayload,
	}
	s.act(SendSummary{To: to, Region: r.name, Address: address, Summary: sum})
}

// contacts chooses other entries for each region, so that the forwarded requests
// of all regions don't meet at the same ones.
func (s *State) contacts(r *region, ready []ident.Instance) []Contact {
	top := rank.Top("contact "+string(r.name), ready, maxContacts)
	list := make([]Contact, 0, len(top))
	for _, id := range top {
		e := s.options.Self
		start := s.options.Start
		if p := s.find(id); p != nil {
			e = p.entry
			start = p.start
		}
		list = append(list, Contact{
			Incarnation: ident.Incarnation{Instance: id, Start: start},
			Zone:        e.Zone,
			Peer:        e.Peer,
			Caller:      e.Caller,
		})
	}
	return list
}

// target chooses the entry of another region to which its summary goes. Handing
// it on costs that entry a message to each of its peers, so that the summaries of
// all regions go around the region at the same distance from each other: of 3
// regions, in one of 9 entries, the second begins at entry 3 and goes on to 4.
// Those where a send failed lately are passed over. When all have failed one is
// tried all the same, so that a healed partition is noticed.
func (s *State) target(r *region) (ident.Instance, netip.AddrPort, bool) {
	candidates := s.candidates(r)
	count := len(candidates)
	if count == 0 {
		return "", netip.AddrPort{}, false
	}
	before := 0
	for _, other := range s.regions {
		if other.name < s.options.Self.Region {
			before++
		}
	}
	first := before*count/(len(s.regions)+1) + int(r.rounds%uint64(count))
	for i := range candidates {
		c := &candidates[(first+i)%count]
		if s.works(c.ID) {
			return c.ID, c.Peer, true
		}
	}
	c := &candidates[first%count]
	return c.ID, c.Peer, true
}

// candidates returns the entries of another region that may be sent a summary, in
// the order of the listing, or the contacts when the listing has none.
func (s *State) candidates(r *region) []Entry {
	var list []Entry
	for _, e := range s.listing.Entries {
		if e.Region == r.name && !e.Leaving {
			list = append(list, e)
		}
	}
	if len(list) > 0 {
		return list
	}
	for _, c := range r.summary.Contacts {
		list = append(list, Entry{ID: c.Incarnation.Instance, Peer: c.Peer})
	}
	return list
}

// works reports whether no send to an instance of another region failed lately.
func (s *State) works(id ident.Instance) bool {
	at, failed := s.failed[id]
	return !failed || s.now.Sub(at) > failedRetry
}

// forgetFailed drops the failed sends that are old enough to try again.
func (s *State) forgetFailed() {
	for id := range s.failed {
		if s.works(id) {
			delete(s.failed, id)
			s.changed = true
		}
	}
}

// isContact reports whether another region has named the instance as a contact.
func (s *State) isContact(id ident.Instance) bool {
	for _, r := range s.regions {
		for _, c := range r.summary.Contacts {
			if c.Incarnation.Instance == id {
				return true
			}
		}
	}
	return false
}

// sendSoon lets the summary for an instance's region go to the next one there soon,
// unless all have failed.
func (s *State) sendSoon(id ident.Instance) {
	for _, r := range s.regions {
		next, _, found := s.target(r)
		if found && s.listed[id].Region == r.name && s.works(next) {
			r.nextSend = s.now.Add(min(summaryRetry, max(0, r.nextSend.Sub(s.now))))
		}
	}
}

func compareRegion(r *region, name ident.Region) int {
	return strings.Compare(string(r.name), string(name))
}
