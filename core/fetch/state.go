package fetch

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/table"
)

const (
	// readersPerZone is the number of entries in each zone that watch the platform.
	readersPerZone = 2
	// startWait is how long a starting instance waits for the platform and for
	// every expected peer before it goes on with what one of them gave.
	startWait = 4 * time.Second
	// otherZoneDelay and otherZoneSpread hold back a question to a peer of another
	// zone, as the readers of the own zone will have the value soon.
	otherZoneDelay  = time.Second
	otherZoneSpread = time.Second
)

// Options are the settings of a State.
type Options struct {
	Instance ident.Instance
	Zone     ident.Zone
	Region   ident.Region
	// Random spreads the reads; nil means a generator seeded with the instance's name.
	Random *rand.Rand
	// ValidateList refuses a list that cannot be read; nil takes every list.
	ValidateList func(key Key, data []byte) error
}

// Counts are the answers that changed nothing, by reason, and the reads made.
type Counts struct {
	PlatformReads    uint64
	PlatformFailures uint64
	PeerReads        uint64
	// StaleAnswers are of a lower revision than what is held.
	StaleAnswers uint64
	// BadPages did not have the digest that was asked for.
	BadPages       uint64
	RejectedTables uint64
	RejectedLists  uint64
	// Conflicts are manifests with the revision in force and other bytes.
	Conflicts uint64
}

// Status is what is held, for operators.
type Status struct {
	Ready  bool
	Active table.Version
	// Candidate is a newer version that still lacks pages; zero if there is none.
	Candidate    table.Version
	MissingPages int
	// Rejected is the version refused last, and Problem is why.
	Rejected       table.Version
	RejectionError error
	// Conflict is a version with the revision in force and another digest.
	Conflict table.Version
	// Reader is set when the instance watches the platform.
	Reader bool
	// PlatformDown is set when the newest reads of the platform failed.
	PlatformDown bool
	Revisions    member.Revisions
}

// State is what one instance holds of the published values. It is not safe for
// concurrent use.
type State struct {
	options Options
	began   time.Time
	// now never decreases.
	now   time.Time
	ready bool
	// watches holds the entries, the manifest and the upstreams, in this order.
	watches  [watchCount]watch
	platform platform
	peers    []Peer
	// local is the number of peers in the own region; regions is set unless other
	// regions are listed and none was heard lately.
	local    int
	regions  bool
	remote   remoteState
	expected int
	// fleet and readers are as in Members.
	fleet   int
	readers int
	// reader is set when this instance is one of its zone's readers, alone when it
	// hears no other entry.
	reader bool
	alone  bool
	// counted is set when Members came after the newest list of entries, so that
	// expected is that list's.
	counted bool
	table   tableState
	counts  Counts
	// announced is what the zone was told last.
	announced member.Revisions
	actions   []Action
}

// New returns the state of an instance that holds nothing.
func New(options Options) *State {
	if options.Random == nil {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(options.Instance))
		options.Random = rand.New(rand.NewPCG(hash.Sum64(), 0))
	}
	s := &State{options: options, alone: true}
	s.watches[watchManifest].key = ManifestKey
	s.watches[watchEntries].key = EntriesKey
	s.watches[watchUpstreams].key = UpstreamsKey(options.Region)
	return s
}

// Step takes in an event and returns what is to be done.
func (s *State) Step(now time.Time, event Event) []Action {
	s.actions = nil
	s.advance(now)
	switch e := event.(type) {
	case Tick:
	case Membership:
		s.setMembers(e)
	case PeerAnnounced:
		s.setHeld(e)
	case PlatformAnswered:
		s.platformAnswered(e)
	case PlatformFailed:
		s.platformFailed(e)
	case PeerAnswered:
		s.peerAnswered(e)
	case PeerFailed:
		s.peerFailed(e.Instance, e.Key)
	}
	s.askRemotes()
	s.planQuestions()
	s.planReads()
	s.planPages()
	s.checkReady()
	return s.actions
}

func (s *State) act(a Action) {
	s.actions = append(s.actions, a)
}

func (s *State) advance(now time.Time) {
	if s.began.IsZero() {
		s.began = now
		s.now = now
		s.platform.refilled = now
		// Instances that start together do not read together.
		s.platform.retryAt = now.Add(s.upTo(time.Second))
	}
	if now.After(s.now) {
		s.now = now
	}
}

// Revisions returns the revisions that are in force, for heartbeats.
func (s *State) Revisions() member.Revisions {
	return member.Revisions{
		Table:     s.table.inForce.Revision,
		Entries:   s.watches[watchEntries].value.Revision,
		Upstreams: s.watches[watchUpstreams].value.Revision,
	}
}

// Counts returns the numbers of reads and of answers that changed nothing.
func (s *State) Counts() Counts {
	return s.counts
}

// Status returns what is held.
func (s *State) Status() Status {
	status := Status{
		Ready:          s.ready,
		Active:         s.table.inForce,
		Rejected:       s.table.refused,
		RejectionError: s.table.problem,
		Conflict:       s.table.conflict,
		Reader:         s.watching(),
		PlatformDown:   s.platform.failures > 0,
		Revisions:      s.Revisions(),
	}
	if c := s.table.candidate; c != nil {
		status.Candidate = c.version
		status.MissingPages = len(c.missing)
	}
	return status
}

// Value returns what a peer that asks gets: the manifest in force, a list, or a
// page of the table in force or of the one being fetched. It reports false for
// anything not held, and for a manifest or list that is not above after.
func (s *State) Value(key Key, after ident.Revision) (Value, bool) {
	if digest, isPage := key.PageDigest(); isPage {
		data, found := s.table.page(digest)
		return Value{Data: data}, found
	}
	if key == ManifestKey {
		return s.table.manifest, s.table.inForce.Revision > after
	}
	for i := range s.watches {
		w := &s.watches[i]
		if w.key == key {
			return w.value, w.value.Revision > after
		}
	}
	return Value{}, false
}

// setMembers takes over the alive entries and elects the readers anew.
func (s *State) setMembers(m Membership) {
	watched := s.watching()
	s.peers = m.Peers
	s.expected = m.ExpectedPeers
	s.fleet = m.FleetSize
	s.readers = m.FleetReaders
	s.local = 0
	for _, p := range m.Peers {
		if !p.Remote {
			s.local++
		}
	}
	s.alone = s.local == 0
	s.regions = m.ListedRegions == 0 || m.FreshRegions > 0
	s.remote.names = m.RemoteEntries
	s.addRemotes()
	s.counted = s.watches[watchEntries].value.Revision > 0
	zone := []ident.Instance{s.options.Instance}
	for _, p := range m.Peers {
		if p.Zone == s.options.Zone {
			zone = append(zone, p.Instance)
		}
	}
	readers := rank.Top("reader "+string(s.options.Zone), zone, readersPerZone)
	s.reader = !s.alone && slices.Contains(readers, s.options.Instance)
	if s.watching() && !watched {
		s.startWatching()
	}
}

// setHeld notes an announcement. The embedder's next Members may be older than it
// for one heartbeat, which costs a question at most.
func (s *State) setHeld(e PeerAnnounced) {
	i := slices.IndexFunc(s.peers, func(p Peer) bool { return p.Instance == e.Instance })
	if i < 0 {
		return
	}
	s.peers = slices.Clone(s.peers)
	s.peers[i].Revisions = e.Revisions
}

// watching reports whether the instance waits at the platform for changes.
func (s *State) watching() bool {
	return s.reader || s.alone
}

// startWatching makes the watches of an instance that was elected due.
func (s *State) startWatching() {
	at := s.now.Add(s.upTo(electedSpread))
	for i := range s.watches {
		w := &s.watches[i]
		if w.nextRead.After(at) {
			w.nextRead = at
		}
	}
}

// announce tells the zone of a new value. An instance that got it from a peer
// leaves that to the readers, if it is not one.
func (s *State) announce(from ident.Instance) {
	held := s.Revisions()
	if held == s.announced || (from != "" && !s.reader) {
		return
	}
	s.announced = held
	var to []ident.Instance
	for _, p := range s.peers {
		if p.Usable && p.Zone == s.options.Zone {
			to = append(to, p.Instance)
		}
	}
	if len(to) > 0 {
		s.act(Announce{To: to, Revisions: held})
	}
}

// checkReady ends the start: once the newest values that the platform and the
// peers are known to have are in force.
func (s *State) checkReady() {
	if s.ready || !s.complete() {
		return
	}
	platform := s.platformAnsweredAll()
	peers := s.counted && s.local >= s.expected && (s.regions || s.remote.answered)
	waited := s.waited()
	answered := platform && peers
	if !waited && !answered {
		return
	}
	s.ready = true
	source := SourceBoth
	switch {
	case !platform:
		source = SourcePeersOnly
	case !peers && s.local > 0:
		source = SourceSomePeers
	case !peers:
		source = SourcePlatformOnly
	}
	s.act(BecameReady{Source: source})
}

// waited reports whether the longest wait of a start is over.
func (s *State) waited() bool {
	return s.now.Sub(s.began) >= startWait
}

// complete reports whether a table and both lists are in force, and no usable
// peer has newer ones. During the start a peer counts from when it is heard: it may
// be usable a moment later.
func (s *State) complete() bool {
	if s.table.inForce.Revision == 0 {
		return false
	}
	if s.table.candidate != nil && !s.stalled() {
		return false
	}
	for i := range s.watches {
		w := &s.watches[i]
		if i != watchManifest && w.value.Revision == 0 && !w.absent {
			return false
		}
		if s.newest(i) > s.mine(i) {
			return false
		}
		if !s.waited() && s.newestHeard(i) > s.mine(i) {
			return false
		}
	}
	return true
}

func (s *State) platformAnsweredAll() bool {
	for i := range s.watches {
		if !s.watches[i].answered {
			return false
		}
	}
	return true
}

// upTo returns a random time below the given one.
func (s *State) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.options.Random.Int64N(int64(d)))
}
