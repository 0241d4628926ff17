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
	// minPeriod is the shortest time between two heartbeats to the same peer.
	minPeriod = time.Second
	// periodPerMember bounds the rate of heartbeats: an instance sends, and
	// hears, one per periodPerMember at most, however large its region is.
	periodPerMember = 120 * time.Millisecond
	// suspectPeriods and unreachablePeriods are the silence, in periods, after
	// which a peer is suspect and unreachable.
	suspectPeriods     = 3
	unreachablePeriods = 8
	// echoPeriods bounds the age of the newest own heartbeat that a usable peer
	// has confirmed. Without loss that age reaches two periods.
	echoPeriods = 4
	// slowPeriods is the time between heartbeats, in periods, to peers that do
	// not answer.
	slowPeriods = 4
	// forgetAfter is how long the record of a peer that is neither listed nor
	// heard is kept, so that late messages of its earlier runs are known.
	forgetAfter = 10 * time.Minute
	// defaultPauseAfter is the gap between ticks that counts as a pause.
	defaultPauseAfter = 3 * time.Second
)

// Options are the settings of a State.
type Options struct {
	// Self is this instance, from its settings.
	Self Entry
	// Start is that of this run's incarnation.
	Start uint64
	// Seeds are peer listeners of the own region, from the settings. They are tried
	// as long as no peer was heard, so that a new instance finds its region without
	// the platform. There may be none.
	Seeds []netip.AddrPort
	// Random spreads the sends; nil means a generator seeded with Start.
	Random *rand.Rand
	// PauseThreshold is the gap between ticks that counts as a pause; zero means 3 s.
	PauseThreshold time.Duration
}

// Counts are the events that were not taken, by reason.
type Counts struct {
	// LateHeartbeats are doubled, reordered or of an earlier run.
	LateHeartbeats uint64
	// UnknownHeartbeats came from another region, from this instance's own name,
	// or from an unknown instance that did not describe itself.
	UnknownHeartbeats uint64
	LateSummaries     uint64
	StaleListings     uint64
	Pauses            uint64
}

// State is the membership as one entry instance knows it. It is not safe for
// concurrent use; the View that it gives is.
type State struct {
	options Options
	// began is the time of the first step; sequences count from it.
	began time.Time
	// now never decreases.
	now      time.Time
	lastTick time.Time
	// wokeAt is when the last pause ended: what was heard before it is stale.
	wokeAt time.Time
	// stale is set from a pause until peers have been heard again.
	stale bool
	local LocalStateChanged
	// peers holds the other instances of the own region, sorted by name.
	peers   []*peer
	listing Listing
	// listed holds the entries of the listing by name; it is replaced, never changed.
	listed map[ident.Instance]Entry
	// zones counts them by zone; it is replaced, never changed.
	zones map[ident.Zone]int
	// regions holds the other regions, sorted by name.
	regions   []*region
	nextSeeds time.Time
	// failed holds when a send to an instance of another region failed last.
	failed  map[ident.Instance]time.Time
	counts  Counts
	changed bool
	view    *View
	actions []Action
}

// New returns the membership of an instance that has heard from no other.
func New(options Options) *State {
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(options.Start, options.Start))
	}
	if options.PauseThreshold <= 0 {
		options.PauseThreshold = defaultPauseAfter
	}
	s := &State{options: options, failed: map[ident.Instance]time.Time{}}
	s.view = s.buildView()
	return s
}

// View returns the current view, which never changes; a later step may replace it.
func (s *State) View() *View {
	return s.view
}

// Counts returns the numbers of events that were not taken.
func (s *State) Counts() Counts {
	return s.counts
}

// Step takes in an event and returns what is to be done. A time before that of an
// earlier step counts as that step's time.
func (s *State) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.advance(now)
	switch e := event.(type) {
	case Tick:
		s.tick()
	case ListingRead:
		s.takeListing(e.Listing)
	case HeartbeatArrived:
		s.hear(&e.Heartbeat)
	case SummaryArrived:
		s.takeSummary(&e.Summary, true)
	case SendFailed:
		s.sendFailed(e.To)
	case LocalStateChanged:
		s.setLocal(e)
	}
	if s.changed {
		s.changed = false
		s.view = s.buildView()
	}
	return s.actions
}

func (s *State) act(a Action) {
	s.actions = append(s.actions, a)
}

// advance moves the time on and notices a pause. Any event may be the first one
// after a pause, so the gap is taken from the last tick.
func (s *State) advance(now time.Time) {
	if s.began.IsZero() {
		s.began = now
		s.now = now
		s.lastTick = now
	}
	if now.After(s.now) {
		s.now = now
	}
	gap := s.now.Sub(s.lastTick)
	if gap > s.options.PauseThreshold {
		s.wake(gap)
	}
}

// wake makes everything heard before a pause stale and asks every peer again.
func (s *State) wake(gap time.Duration) {
	s.counts.Pauses++
	s.lastTick = s.now
	// Echoes tell the time of a send in whole milliseconds, so does this.
	s.wokeAt = s.began.Add(s.now.Sub(s.began).Truncate(time.Millisecond))
	s.stale = true
	s.changed = true
	for _, p := range s.peers {
		p.nextSend = s.now
		s.refresh(p)
	}
	for _, r := range s.regions {
		r.stale = true
	}
	s.act(PauseDetected{Gap: gap})
}

// period is the time between two heartbeats to the same peer. It grows with the
// region, so that the bytes a second of an instance do not.
func (s *State) period() time.Duration {
	return HeartbeatPeriod(len(s.peers) + 1)
}

// HeartbeatPeriod returns the time between two heartbeats to the same peer in a region
// of the given number of entries.
func HeartbeatPeriod(entries int) time.Duration {
	return max(minPeriod, time.Duration(entries)*periodPerMember)
}

func (s *State) tick() {
	s.lastTick = s.now
	s.forget()
	for _, p := range s.peers {
		s.refresh(p)
		if !p.nextSend.After(s.now) {
			s.send(p)
		}
	}
	s.trySeeds()
	s.refreshStale()
	s.tickRegions()
}

// trySeeds sends a heartbeat to each seed until a peer was heard.
func (s *State) trySeeds() {
	heard := slices.ContainsFunc(s.peers, func(p *peer) bool { return p.start != 0 })
	if heard || len(s.options.Seeds) == 0 || s.nextSeeds.After(s.now) {
		return
	}
	s.nextSeeds = s.now.Add(s.spread(slowPeriods * minPeriod))
	for _, address := range s.options.Seeds {
		self := s.options.Self
		h := Heartbeat{From: s.incarnation(), Sequence: s.sequenceNow(), Phase: s.local.Phase, Revisions: s.local.Revisions, Self: &self}
		s.act(SendHeartbeat{Address: address, Heartbeat: h})
	}
}

// refreshStale ends the time of staleness after a pause: when every peer was
// heard again, or the silent ones have had the time for it.
func (s *State) refreshStale() {
	if !s.stale {
		return
	}
	settled := s.now.Sub(s.wokeAt) > suspectPeriods*s.period()
	heard := true
	for _, p := range s.peers {
		if p.status == Suspect {
			heard = false
		}
	}
	if settled || heard {
		s.stale = false
		s.changed = true
	}
}

func (s *State) setLocal(local LocalStateChanged) {
	announce := local.Phase != s.local.Phase
	s.changed = s.changed || announce || local.Revisions != s.local.Revisions
	s.local = local
	if !announce {
		return
	}
	for _, p := range s.peers {
		if p.status == Alive || p.status == Suspect {
			s.send(p)
		}
	}
}

func (s *State) takeListing(l Listing) {
	if l.Revision <= s.listing.Revision {
		s.counts.StaleListings++
		return
	}
	s.listing = l
	s.listed = make(map[ident.Instance]Entry, len(l.Entries))
	s.zones = map[ident.Zone]int{}
	for _, p := range s.peers {
		p.listed = false
		p.leaving = false
	}
	for _, r := range s.regions {
		r.listed = false
	}
	for _, e := range l.Entries {
		s.listed[e.ID] = e
		s.zones[e.Zone]++
		switch {
		case e.ID == s.options.Self.ID:
			s.options.Self.Leaving = e.Leaving
		case e.Region == s.options.Self.Region:
			s.list(e)
		default:
			if r := s.region(e.Region); r != nil {
				r.listed = true
			}
		}
	}
	s.changed = true
}

// list notes that an entry of the own region is in the listing. What the running
// instance says of its addresses goes before the listing, which lags.
func (s *State) list(e Entry) {
	p := s.find(e.ID)
	if p == nil {
		p = s.add(e)
	}
	p.listed = true
	p.leaving = e.Leaving
	if !p.described {
		p.entry = e
	}
}

func (s *State) find(id ident.Instance) *peer {
	i, found := slices.BinarySearchFunc(s.peers, id, comparePeer)
	if !found {
		return nil
	}
	return s.peers[i]
}

func (s *State) add(e Entry) *peer {
	i, _ := slices.BinarySearchFunc(s.peers, e.ID, comparePeer)
	spread := time.Duration(s.options.Random.Int64N(int64(minPeriod / 2)))
	p := &peer{entry: e, nextSend: s.now.Add(spread), addedAt: s.now}
	s.peers = slices.Insert(s.peers, i, p)
	s.changed = true
	return p
}

// forget drops peers and regions that are neither listed nor heard for a long time.
func (s *State) forget() {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool {
		quiet := s.now.Sub(p.heardAt) > forgetAfter && s.now.Sub(p.addedAt) > forgetAfter
		drop := !p.listed && quiet
		s.changed = s.changed || drop
		return drop
	})
	s.regions = slices.DeleteFunc(s.regions, func(r *region) bool {
		drop := !r.listed && s.now.Sub(r.madeAt) > forgetAfter
		s.changed = s.changed || drop
		return drop
	})
}

func comparePeer(p *peer, id ident.Instance) int {
	return strings.Compare(string(p.entry.ID), string(id))
}
