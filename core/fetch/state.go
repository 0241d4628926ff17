package fetch

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/random"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/table"
)

const (
	// readersPerZone is the number of instances in each zone that watch the platform.
	readersPerZone = 2
	// startTimeout is how long a starting instance waits for the platform and for
	// every expected peer before it continues with the values from one of them.
	startTimeout = 4 * time.Second
	// otherZoneDelay and otherZoneJitter delay a read from a peer of another zone, as
	// the readers of the local zone will have the value soon.
	otherZoneDelay  = time.Second
	otherZoneJitter = time.Second
)

// Options are the settings of a State.
type Options struct {
	Instance ident.Instance
	Zone     ident.Zone
	Region   ident.Region
	// Random spreads the reads; nil means a generator seeded with the instance's name.
	Random *rand.Rand
	// ValidateList rejects a list that cannot be read; nil accepts every list.
	ValidateList func(key Key, data []byte) error
}

// Counts are the numbers of reads, and of answers that changed nothing, by reason.
type Counts struct {
	PlatformReads    uint64
	PlatformFailures uint64
	PeerReads        uint64
	// StaleAnswers have a lower revision than the value held.
	StaleAnswers uint64
	// BadPages did not have the requested digest.
	BadPages       uint64
	RejectedTables uint64
	RejectedLists  uint64
	// Conflicts are manifests with the active revision and different bytes.
	Conflicts uint64
}

// Status is the state of the published values, for operators.
type Status struct {
	Ready  bool
	Active table.Version
	// Candidate is a newer version that still lacks pages; zero if there is none.
	Candidate    table.Version
	MissingPages int
	// Rejected is the version rejected last, and RejectionError is the reason.
	Rejected       table.Version
	RejectionError error
	// Conflict is a version with the active revision and another digest.
	Conflict table.Version
	// Reader is set when the instance watches the platform.
	Reader bool
	// PlatformDown is set when the newest reads of the platform failed.
	PlatformDown bool
	Revisions    member.Revisions
}

// State is one instance's state of the published values. It is not safe for concurrent
// use.
type State struct {
	options   Options
	startedAt time.Time
	// now never decreases.
	now   time.Time
	ready bool
	// watches holds the entries, the manifest and the upstreams, in this order.
	watches  [watchCount]watch
	platform platformState
	peers    []Peer
	// localPeers is the number of peers in the local region; regionsFresh is set
	// unless other regions are listed and none has a fresh summary.
	localPeers    int
	regionsFresh  bool
	remote        remoteState
	expectedPeers int
	// fleetSize and fleetReaders are as in Membership.
	fleetSize    int
	fleetReaders int
	// reader is set when this instance is one of its zone's readers, alone when it has
	// no peer in its region.
	reader bool
	alone  bool
	// membershipCurrent is set when a Membership arrived after the newest list of
	// instances, so that expectedPeers belongs to that list.
	membershipCurrent bool
	table             tableState
	counts            Counts
	// announcedRevisions was sent to the zone last.
	announcedRevisions member.Revisions
	actions            []Action
}

// New returns the state of an instance that holds no values.
func New(options Options) *State {
	if options.Random == nil {
		options.Random = random.ForInstance(options.Instance)
	}
	s := &State{options: options, alone: true}
	s.watches[watchManifest].key = ManifestKey
	s.watches[watchEntries].key = EntriesKey
	s.watches[watchUpstreams].key = UpstreamsKey(options.Region)
	return s
}

// Step processes an event and returns the resulting actions.
func (s *State) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.advance(now)
	switch e := event.(type) {
	case Tick:
	case Membership:
		s.setMembership(e)
	case PeerAnnounced:
		s.setPeerRevisions(e)
	case PlatformAnswered:
		s.handlePlatformAnswer(e)
	case PlatformFailed:
		s.handlePlatformFailure(e)
	case PeerAnswered:
		s.handlePeerAnswer(e)
	case PeerFailed:
		s.handlePeerFailure(e.Instance, e.Key)
	}
	s.readRemotes()
	s.planPeerReads()
	s.planPlatformReads()
	s.planPageReads()
	s.checkReady()
	return s.actions
}

func (s *State) emit(a Action) {
	s.actions = append(s.actions, a)
}

func (s *State) advance(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
		s.now = now
		s.platform.refilledAt = now
		// Instances that start together do not read together.
		s.platform.retryAt = now.Add(s.randomBelow(time.Second))
	}
	if now.After(s.now) {
		s.now = now
	}
}

// Revisions returns the active revisions, for heartbeats.
func (s *State) Revisions() member.Revisions {
	return member.Revisions{
		Table:     s.table.active.Revision,
		Entries:   s.watches[watchEntries].value.Revision,
		Upstreams: s.watches[watchUpstreams].value.Revision,
	}
}

// Counts returns the numbers of reads and of answers that changed nothing.
func (s *State) Counts() Counts {
	return s.counts
}

// Status returns the state of the published values.
func (s *State) Status() Status {
	status := Status{
		Ready:          s.ready,
		Active:         s.table.active,
		Rejected:       s.table.rejected,
		RejectionError: s.table.rejectionError,
		Conflict:       s.table.conflict,
		Reader:         s.watchesPlatform(),
		PlatformDown:   s.platform.failures > 0,
		Revisions:      s.Revisions(),
	}
	if c := s.table.candidate; c != nil {
		status.Candidate = c.version
		status.MissingPages = len(c.missing)
	}
	return status
}

// Value returns the answer to a peer's read: the active manifest, a list, or a page of
// the active table or of the one being fetched. It reports false for any value not
// held, and for a manifest or list with a revision that is not above after.
func (s *State) Value(key Key, after ident.Revision) (Value, bool) {
	if digest, isPage := key.PageDigest(); isPage {
		data, found := s.table.page(digest)
		return Value{Data: data}, found
	}
	if key == ManifestKey {
		return s.table.manifest, s.table.active.Revision > after
	}
	for i := range s.watches {
		w := &s.watches[i]
		if w.key == key {
			return w.value, w.value.Revision > after
		}
	}
	return Value{}, false
}

// setMembership stores the alive instances and elects the readers again.
func (s *State) setMembership(m Membership) {
	wasWatching := s.watchesPlatform()
	s.peers = m.Peers
	s.expectedPeers = m.ExpectedPeers
	s.fleetSize = m.FleetSize
	s.fleetReaders = m.FleetReaders
	s.localPeers = 0
	for _, p := range m.Peers {
		if !p.Remote {
			s.localPeers++
		}
	}
	s.alone = s.localPeers == 0
	s.regionsFresh = m.ListedRegions == 0 || m.FreshRegions > 0
	s.remote.instances = m.RemoteEntries
	s.addRemotePeers()
	s.membershipCurrent = s.watches[watchEntries].value.Revision > 0
	zone := []ident.Instance{s.options.Instance}
	for _, p := range m.Peers {
		if p.Zone == s.options.Zone {
			zone = append(zone, p.Instance)
		}
	}
	readers := rank.Top("reader "+string(s.options.Zone), zone, readersPerZone)
	s.reader = !s.alone && slices.Contains(readers, s.options.Instance)
	if s.watchesPlatform() && !wasWatching {
		s.startWatching()
	}
}

// setPeerRevisions stores an announcement. The embedder's next Membership may be older
// than it for one heartbeat, which costs one read at most.
func (s *State) setPeerRevisions(e PeerAnnounced) {
	i := slices.IndexFunc(s.peers, func(p Peer) bool { return p.Instance == e.Instance })
	if i < 0 {
		return
	}
	s.peers = slices.Clone(s.peers)
	s.peers[i].Revisions = e.Revisions
}

// watchesPlatform reports whether the instance watches the platform by long polls.
func (s *State) watchesPlatform() bool {
	return s.reader || s.alone
}

// startWatching makes the watches of a newly elected instance due.
func (s *State) startWatching() {
	latest := s.now.Add(s.randomBelow(electedJitter))
	for i := range s.watches {
		w := &s.watches[i]
		if w.nextReadAt.After(latest) {
			w.nextReadAt = latest
		}
	}
}

// announce announces a new value to the zone. An instance that got it from a peer
// leaves that to the readers, if it is not one.
func (s *State) announce(from ident.Instance) {
	revisions := s.Revisions()
	if revisions == s.announcedRevisions || (from != "" && !s.reader) {
		return
	}
	s.announcedRevisions = revisions
	var to []ident.Instance
	for _, p := range s.peers {
		if p.Usable && p.Zone == s.options.Zone {
			to = append(to, p.Instance)
		}
	}
	if len(to) > 0 {
		s.emit(Announce{To: to, Revisions: revisions})
	}
}

// checkReady ends the start once the newest values known to be on the platform and on
// peers are active.
func (s *State) checkReady() {
	if s.ready || !s.upToDate() {
		return
	}
	platformAnswered := s.allWatchesAnswered()
	peersAnswered := s.membershipCurrent && s.localPeers >= s.expectedPeers && s.regionsAnswered()
	timedOut := s.startTimedOut()
	answered := platformAnswered && peersAnswered
	if !timedOut && !answered {
		return
	}
	s.ready = true
	source := SourceBoth
	switch {
	case !platformAnswered:
		source = SourcePeersOnly
	case !peersAnswered && s.localPeers > 0:
		source = SourceSomePeers
	case !peersAnswered:
		source = SourcePlatformOnly
	}
	s.emit(BecameReady{Source: source})
}

// startTimedOut reports whether the longest wait of a start is over.
func (s *State) startTimedOut() bool {
	return s.now.Sub(s.startedAt) >= startTimeout
}

// upToDate reports whether a table and both lists are active, and no usable peer has
// newer ones. During the start a peer counts from its first heartbeat, as it may be
// usable a moment later.
func (s *State) upToDate() bool {
	if s.table.active.Revision == 0 {
		return false
	}
	if s.table.candidate != nil && !s.candidateStalled() {
		return false
	}
	for i := range s.watches {
		w := &s.watches[i]
		if i != watchManifest && w.value.Revision == 0 && !w.absent {
			return false
		}
		if s.newestUsable(i) > s.ownRevision(i) {
			return false
		}
		if !s.startTimedOut() && s.newestOfAll(i) > s.ownRevision(i) {
			return false
		}
	}
	return true
}

func (s *State) allWatchesAnswered() bool {
	for i := range s.watches {
		if !s.watches[i].answered {
			return false
		}
	}
	return true
}

// randomBelow returns a random time below the given one.
func (s *State) randomBelow(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.options.Random.Int64N(int64(d)))
}
