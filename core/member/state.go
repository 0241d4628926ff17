package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 250 * time.Millisecond
	// minHeartbeatPeriod is the shortest time between two heartbeats to the same peer.
	minHeartbeatPeriod = time.Second
	// heartbeatPeriodPerMember bounds the rate of heartbeats: an instance sends, and
	// receives, at most one per heartbeatPeriodPerMember, however large its region is.
	heartbeatPeriodPerMember = 120 * time.Millisecond
	// suspectPeriods and unreachablePeriods are the times without a heartbeat, in
	// periods, after which a peer is suspect and unreachable.
	suspectPeriods     = 3
	unreachablePeriods = 8
	// maxEchoAgePeriods bounds the age, in periods, of the newest own heartbeat that a
	// usable peer has confirmed. Without loss that age reaches two periods.
	maxEchoAgePeriods = 4
	// probePeriods is the time between heartbeats, in periods, to peers that do not
	// answer.
	probePeriods = 4
	// peerRetention is how long the record of a peer that is not listed and sends no
	// heartbeats is kept, so that late messages of its earlier runs are recognized.
	peerRetention = 10 * time.Minute
	// defaultPauseThreshold is the gap between ticks that counts as a pause.
	defaultPauseThreshold = 3 * time.Second
)

// Options are the settings of a State.
type Options struct {
	// Self is this instance, from its settings.
	Self Entry
	// Start identifies this run; with the instance's name it forms the incarnation.
	Start uint64
	// Seeds are peer listeners of the local region, from the settings. They are
	// contacted until a heartbeat of any peer arrives, so that a new instance joins
	// its region without the platform. There may be none.
	Seeds []netip.AddrPort
	// Random adds jitter to the sends; nil means a generator seeded with Start.
	Random *rand.Rand
	// PauseThreshold is the gap between ticks that counts as a pause; zero means 3 s.
	PauseThreshold time.Duration
}

// Counts are the numbers of ignored messages and listings, by reason, and of pauses.
type Counts struct {
	// LateHeartbeats are duplicated, reordered or of an earlier run.
	LateHeartbeats uint64
	// UnknownHeartbeats came from another region, from this instance's own name, or
	// from an unknown instance that did not describe itself.
	UnknownHeartbeats uint64
	LateSummaries     uint64
	StaleListings     uint64
	Pauses            uint64
}

// State is the membership state of one instance. It is not safe for concurrent use;
// its View is.
type State struct {
	options Options
	// startedAt is the time of the first step; sequences count from it.
	startedAt time.Time
	// now never decreases.
	now      time.Time
	lastTick time.Time
	// resumedAt is when the last pause ended: state from before it is stale.
	resumedAt time.Time
	// stale is set from a pause until the peers have sent heartbeats again.
	stale bool
	local LocalStateChanged
	// peers holds the other instances of the local region, sorted by name.
	peers   []*peer
	listing Listing
	// listedEntries holds the entries of the listing by name; it is replaced, never
	// changed.
	listedEntries map[ident.Instance]Entry
	// entriesPerZone counts the listed entries by zone; it is replaced, never changed.
	entriesPerZone map[ident.Zone]int
	// regions holds the other regions, sorted by name.
	regions      []*region
	nextSeedSend time.Time
	// failedSends holds the time of the last failed send to each instance of another
	// region.
	failedSends map[ident.Instance]time.Time
	counts      Counts
	viewChanged bool
	view        *View
	actions     []Action
}

// New returns the membership of an instance that has received no heartbeat yet.
func New(options Options) *State {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(options.Start, options.Start))
	}
	if options.PauseThreshold <= 0 {
		options.PauseThreshold = defaultPauseThreshold
	}
	s := &State{options: options, failedSends: map[ident.Instance]time.Time{}}
	s.view = s.buildView()
	return s
}

// View returns the current view, which never changes; a later step may replace it.
func (s *State) View() *View {
	return s.view
}

// Counts returns the numbers of ignored messages and listings and of pauses.
func (s *State) Counts() Counts {
	return s.counts
}

// Step processes an event and returns the resulting actions. A time before that of an
// earlier step counts as that step's time.
func (s *State) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.advance(now)
	switch e := event.(type) {
	case Tick:
		s.tick()
	case ListingRead:
		s.applyListing(e.Listing)
	case HeartbeatArrived:
		s.handleHeartbeat(&e.Heartbeat)
	case SummaryArrived:
		s.handleSummary(&e.Summary, true)
	case SendFailed:
		s.recordSendFailure(e.To)
	case LocalStateChanged:
		s.setLocalState(e)
	}
	if s.viewChanged {
		s.viewChanged = false
		s.view = s.buildView()
	}
	return s.actions
}

func (s *State) emit(a Action) {
	s.actions = append(s.actions, a)
}

// advance moves the time forward and detects a pause. Any event may be the first one
// after a pause, so the gap is measured from the last tick.
func (s *State) advance(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
		s.now = now
		s.lastTick = now
	}
	if now.After(s.now) {
		s.now = now
	}
	gap := s.now.Sub(s.lastTick)
	if gap > s.options.PauseThreshold {
		s.resume(gap)
	}
}

// resume marks everything received before a pause as stale and makes a heartbeat to
// every peer due.
func (s *State) resume(gap time.Duration) {
	s.counts.Pauses++
	s.lastTick = s.now
	// Echoes give the time of a send in whole milliseconds, so this time is truncated
	// to the same precision.
	s.resumedAt = s.startedAt.Add(s.now.Sub(s.startedAt).Truncate(time.Millisecond))
	s.stale = true
	s.viewChanged = true
	for _, p := range s.peers {
		p.nextSend = s.now
		s.updateStatus(p)
	}
	for _, r := range s.regions {
		r.stale = true
	}
	s.emit(PauseDetected{Gap: gap})
}

// period is the time between two heartbeats to the same peer. It grows with the
// region, so that the bytes per second of an instance do not.
func (s *State) period() time.Duration {
	return HeartbeatPeriod(len(s.peers) + 1)
}

// HeartbeatPeriod returns the time between two heartbeats to the same peer in a region
// with the given number of instances.
func HeartbeatPeriod(entries int) time.Duration {
	return max(minHeartbeatPeriod, time.Duration(entries)*heartbeatPeriodPerMember)
}

func (s *State) tick() {
	s.lastTick = s.now
	s.removeExpired()
	for _, p := range s.peers {
		s.updateStatus(p)
		if !p.nextSend.After(s.now) {
			s.sendHeartbeat(p)
		}
	}
	s.sendToSeeds()
	s.updateStale()
	s.sendDueSummaries()
}

// sendToSeeds sends a heartbeat to each seed until any peer has sent one.
func (s *State) sendToSeeds() {
	connected := slices.ContainsFunc(s.peers, func(p *peer) bool { return p.start != 0 })
	if connected || len(s.options.Seeds) == 0 || s.nextSeedSend.After(s.now) {
		return
	}
	s.nextSeedSend = s.now.Add(s.jitter(probePeriods * minHeartbeatPeriod))
	for _, address := range s.options.Seeds {
		self := s.options.Self
		h := Heartbeat{From: s.incarnation(), Sequence: s.currentSequence(), Phase: s.local.Phase, Revisions: s.local.Revisions, Self: &self}
		s.emit(SendHeartbeat{Address: address, Heartbeat: h})
	}
}

// updateStale clears the staleness after a pause: when every peer has sent a heartbeat
// again, or has had the time to send one.
func (s *State) updateStale() {
	if !s.stale {
		return
	}
	timedOut := s.now.Sub(s.resumedAt) > suspectPeriods*s.period()
	allResponded := true
	for _, p := range s.peers {
		if p.status == Suspect {
			allResponded = false
		}
	}
	if timedOut || allResponded {
		s.stale = false
		s.viewChanged = true
	}
}

func (s *State) setLocalState(local LocalStateChanged) {
	announce := local.Phase != s.local.Phase
	s.viewChanged = s.viewChanged || announce || local.Revisions != s.local.Revisions
	s.local = local
	if !announce {
		return
	}
	for _, p := range s.peers {
		if p.status == Alive || p.status == Suspect {
			s.sendHeartbeat(p)
		}
	}
}

func (s *State) applyListing(l Listing) {
	if l.Revision <= s.listing.Revision {
		s.counts.StaleListings++
		return
	}
	s.listing = l
	s.listedEntries = make(map[ident.Instance]Entry, len(l.Entries))
	s.entriesPerZone = map[ident.Zone]int{}
	for _, p := range s.peers {
		p.listed = false
		p.leaving = false
	}
	for _, r := range s.regions {
		r.listed = false
	}
	for _, e := range l.Entries {
		s.listedEntries[e.ID] = e
		s.entriesPerZone[e.Zone]++
		switch {
		case e.ID == s.options.Self.ID:
			s.options.Self.Leaving = e.Leaving
		case e.Region == s.options.Self.Region:
			s.markListed(e)
		default:
			if r := s.findOrAddRegion(e.Region); r != nil {
				r.listed = true
			}
		}
	}
	s.viewChanged = true
}

// markListed records that an entry of the local region is in the listing. The
// addresses in an instance's own heartbeats take precedence over the listing, which
// lags.
func (s *State) markListed(e Entry) {
	p := s.findPeer(e.ID)
	if p == nil {
		p = s.addPeer(e)
	}
	p.listed = true
	p.leaving = e.Leaving
	if !p.described {
		p.entry = e
	}
}

func (s *State) findPeer(id ident.Instance) *peer {
	i, found := slices.BinarySearchFunc(s.peers, id, comparePeer)
	if !found {
		return nil
	}
	return s.peers[i]
}

func (s *State) addPeer(e Entry) *peer {
	i, _ := slices.BinarySearchFunc(s.peers, e.ID, comparePeer)
	delay := time.Duration(s.options.Random.Int64N(int64(minHeartbeatPeriod / 2)))
	p := &peer{entry: e, nextSend: s.now.Add(delay), addedAt: s.now}
	s.peers = slices.Insert(s.peers, i, p)
	s.viewChanged = true
	return p
}

// removeExpired drops peers that are not listed and have sent no heartbeat for
// peerRetention, and regions that are not listed and have sent no summary for it.
func (s *State) removeExpired() {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool {
		expired := s.now.Sub(p.lastHeartbeatAt) > peerRetention && s.now.Sub(p.addedAt) > peerRetention
		drop := !p.listed && expired
		s.viewChanged = s.viewChanged || drop
		return drop
	})
	s.regions = slices.DeleteFunc(s.regions, func(r *region) bool {
		drop := !r.listed && s.now.Sub(r.summaryMadeAt) > peerRetention
		s.viewChanged = s.viewChanged || drop
		return drop
	})
}

func comparePeer(p *peer, id ident.Instance) int {
	return strings.Compare(string(p.entry.ID), string(id))
}
