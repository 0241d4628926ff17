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
	// between two relays of a region's summary.
	minSummaryPeriod = 5 * time.Second
	// summaryPeriodPerRegion bounds the bytes of summaries: an instance receives, and
	// relays, one per summaryPeriodPerRegion on average.
	summaryPeriodPerRegion = time.Second
	// freshSummaryPeriods is the maximum age of a fresh summary, as a multiple of the
	// longer of the summary period and the time between the last two summaries.
	freshSummaryPeriods = 3
	// failedSendRetry is how long an instance of another region is skipped after a
	// failed send.
	failedSendRetry = 30 * time.Second
	// summaryRetry is the time after which a failed summary is sent to the next
	// instance.
	summaryRetry = time.Second
	// maxContacts is the number of instances that a summary names.
	maxContacts = 3
	// maxRegions bounds the regions that are kept, whatever summaries claim.
	maxRegions = 64
	// maxOrigins is the number of senders remembered for each region, so that an older
	// summary is recognized.
	maxOrigins = 8
)

// region is the state held for another region.
type region struct {
	name ident.Region
	// listed is set when the newest listing has instances there.
	listed bool
	// summary is the newest one; its Origin is zero when none was received.
	summary RegionSummary
	// summaryMadeAt is when the summary was made, without its time in transit.
	summaryMadeAt time.Time
	// summaryInterval is the time between the last two summaries.
	summaryInterval time.Duration
	// origins holds the highest sequence received from each sender, the newest last.
	origins []origin
	// stale is set by a pause until a new summary arrives.
	stale bool
	// fresh is set when the last updateFresh found the summary fresh.
	fresh bool
	// relayUntil is when heartbeats stop carrying the summary.
	relayUntil time.Time
	// nextRelayAt is when a newer summary may be relayed.
	nextRelayAt time.Time
	// sequence is that of the last summary sent there.
	sequence uint64
	// sendAttempts counts the summaries sent there, or not sent for lack of a target.
	sendAttempts uint64
	nextSend     time.Time
}

type origin struct {
	incarnation ident.Incarnation
	sequence    uint64
}

// SummaryPeriod returns the time between two summaries that a region sends to each
// other one, for the given number of regions.
func SummaryPeriod(regions int) time.Duration {
	return max(minSummaryPeriod, time.Duration(regions)*summaryPeriodPerRegion)
}

func (s *State) summaryPeriod() time.Duration {
	return SummaryPeriod(len(s.regions) + 1)
}

// findOrAddRegion finds or adds another region; it returns nil for the local one, and
// when there are too many.
func (s *State) findOrAddRegion(name ident.Region) *region {
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
	s.viewChanged = true
	return r
}

// handleSummary stores a summary that is newer than the one held. One that came
// directly from the other region is relayed in the local region.
func (s *State) handleSummary(sum *RegionSummary, direct bool) {
	r := s.findOrAddRegion(sum.Region)
	if r == nil || sum.Origin.IsZero() || !s.recordIfNewer(r, sum) {
		s.counts.LateSummaries++
		return
	}
	madeAt := s.now.Add(-time.Duration(sum.AgeMillis) * time.Millisecond)
	if !r.summaryMadeAt.IsZero() {
		r.summaryInterval = madeAt.Sub(r.summaryMadeAt)
	}
	r.summary = *sum
	r.summaryMadeAt = madeAt
	// As with heartbeats, a buffer may have held the first ones after a pause.
	r.stale = !s.resumedAt.IsZero() && s.now.Sub(s.resumedAt) < s.period()
	r.fresh = !r.stale
	s.viewChanged = true
	if direct && !r.nextRelayAt.After(s.now) {
		r.relayUntil = s.now.Add(s.period() + s.period()/10)
		r.nextRelayAt = s.now.Add(s.summaryPeriod() / 2)
	}
	s.emit(SummaryAccepted{Summary: *sum})
}

// recordIfNewer reports whether a summary is newer than those received before, and
// records its sequence: by sequence for the same sender, otherwise by when it was
// made.
func (s *State) recordIfNewer(r *region, sum *RegionSummary) bool {
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
	return madeAt.After(r.summaryMadeAt)
}

// relayedSummaries returns the summaries that heartbeats relay now. They reached this
// instance within the last period, so that each peer gets each of them once.
func (s *State) relayedSummaries() []RegionSummary {
	var list []RegionSummary
	for _, r := range s.regions {
		if !r.relayUntil.After(s.now) {
			continue
		}
		sum := r.summary
		sum.AgeMillis = uint32(s.now.Sub(r.summaryMadeAt) / time.Millisecond)
		list = append(list, sum)
	}
	return list
}

// sendDueSummaries sends the summaries that are due and that this instance is chosen
// to send.
func (s *State) sendDueSummaries() {
	s.removeExpiredFailures()
	ready := s.readyInstances()
	for _, r := range s.regions {
		s.updateFresh(r)
		if r.nextSend.After(s.now) {
			continue
		}
		r.nextSend = s.now.Add(s.jitter(s.summaryPeriod()))
		sender, found := rank.First(string(r.name), ready)
		if found && sender == s.options.Self.ID {
			s.sendSummary(r, ready)
		}
	}
}

func (s *State) updateFresh(r *region) {
	maxAge := freshSummaryPeriods * max(s.summaryPeriod(), r.summaryInterval)
	fresh := !r.summaryMadeAt.IsZero() && !r.stale && s.now.Sub(r.summaryMadeAt) <= maxAge
	if fresh != r.fresh {
		r.fresh = fresh
		s.viewChanged = true
	}
}

// readyInstances returns the instances of the local region that take traffic, this one
// included, sorted by name.
func (s *State) readyInstances() []ident.Instance {
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
	r.sendAttempts++
	to, address, found := s.summaryTarget(r)
	if !found {
		return
	}
	r.sequence = max(r.sequence+1, s.currentSequence())
	sum := RegionSummary{
		Region:        s.options.Self.Region,
		Origin:        s.incarnation(),
		Sequence:      r.sequence,
		ReadyCount:    len(ready),
		TableRevision: s.local.Revisions.Table,
		Contacts:      s.chooseContacts(r, ready),
		Payload:       s.local.SummaryPayload,
	}
	s.emit(SendSummary{To: to, Region: r.name, Address: address, Summary: sum})
}

// chooseContacts chooses different instances for each region, so that the requests
// forwarded by all regions do not concentrate on the same ones.
func (s *State) chooseContacts(r *region, ready []ident.Instance) []Contact {
	top := rank.Top("contact "+string(r.name), ready, maxContacts)
	list := make([]Contact, 0, len(top))
	for _, id := range top {
		e := s.options.Self
		start := s.options.Start
		if p := s.findPeer(id); p != nil {
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

// summaryTarget chooses the instance of another region that receives this region's
// summary. Relaying it costs that instance a message to each of its peers, so the
// summaries of all regions rotate through the region at equal distances: of 3 regions,
// in one of 9 instances, the second begins at instance 3 and continues with 4.
// Instances with a recent failed send are skipped. When all have failed one is tried
// all the same, so that a healed partition is detected.
func (s *State) summaryTarget(r *region) (ident.Instance, netip.AddrPort, bool) {
	candidates := s.summaryCandidates(r)
	count := len(candidates)
	if count == 0 {
		return "", netip.AddrPort{}, false
	}
	preceding := 0
	for _, other := range s.regions {
		if other.name < s.options.Self.Region {
			preceding++
		}
	}
	first := preceding*count/(len(s.regions)+1) + int(r.sendAttempts%uint64(count))
	for i := range candidates {
		c := &candidates[(first+i)%count]
		if s.noRecentFailure(c.ID) {
			return c.ID, c.Peer, true
		}
	}
	c := &candidates[first%count]
	return c.ID, c.Peer, true
}

// summaryCandidates returns the instances of another region that may be sent a
// summary, in the order of the listing, or the contacts when the listing has none.
func (s *State) summaryCandidates(r *region) []Entry {
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

// noRecentFailure reports whether no send to an instance of another region failed
// within failedSendRetry.
func (s *State) noRecentFailure(id ident.Instance) bool {
	at, failed := s.failedSends[id]
	return !failed || s.now.Sub(at) > failedSendRetry
}

// removeExpiredFailures drops the failed sends that are old enough to try again.
func (s *State) removeExpiredFailures() {
	for id := range s.failedSends {
		if s.noRecentFailure(id) {
			delete(s.failedSends, id)
			s.viewChanged = true
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

// expediteSummary makes the summary for an instance's region due soon, for the next
// instance there, unless sends to all have failed.
func (s *State) expediteSummary(id ident.Instance) {
	for _, r := range s.regions {
		next, _, found := s.summaryTarget(r)
		if found && s.listedEntries[id].Region == r.name && s.noRecentFailure(next) {
			r.nextSend = s.now.Add(min(summaryRetry, max(0, r.nextSend.Sub(s.now))))
		}
	}
}

func compareRegion(r *region, name ident.Region) int {
	return strings.Compare(string(r.name), string(name))
}
