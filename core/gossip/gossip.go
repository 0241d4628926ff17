// Package gossip maintains the membership of instances where no published list names
// them: instances find each other through seeds and exchange the records that they hold.
// It doesn't compare the clocks of two machines: the age of a record counts from the
// moment at which its sequence was last seen to grow, here or, less the time for which it
// was held there, at the instance that passed it on.
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
	// aliveTimeout is the time without an update after which an instance is no longer
	// named to callers.
	aliveTimeout = 2500 * time.Millisecond
	// forgetTimeout is the time without an update after which an instance is removed.
	// Until then it still gets occasional heartbeats, so that partitions merge again.
	forgetTimeout = 2 * time.Minute
)

// Record is the state that an instance announces of itself.
type Record struct {
	ID ident.Instance
	// Incarnation distinguishes the runs of an instance.
	Incarnation uint64
	// Sequence grows with each heartbeat of an incarnation.
	Sequence      uint64
	Zone          ident.Zone
	Region        ident.Region
	PeerAddress   netip.AddrPort
	CallerAddress netip.AddrPort
	Phase         member.Phase
	// OperatorRevision and UpstreamsRevision are the revisions of the last changes of
	// published values that the instance holds.
	OperatorRevision  uint64
	UpstreamsRevision uint64
	// WatchesPlatform is set while the instance watches the platform for its region and
	// the platform responds.
	WatchesPlatform bool
	// RegionDigest identifies the view that the instance has of its region; zero while
	// that has not settled. Records that a third instance passes on don't have it.
	RegionDigest uint64
	// Age is the time since the sender of a heartbeat received this state; zero in its
	// own record. It doesn't include transit times.
	Age time.Duration
	// UpstreamLoads is sent within a region, ServiceLoads everywhere. Records that a
	// third instance passes on have neither.
	UpstreamLoads []UpstreamLoad
	ServiceLoads  []ServiceLoad
	// UpstreamLimits and LeavingUpstreams are sent with UpstreamLoads.
	UpstreamLimits   []UpstreamLimit
	LeavingUpstreams []UpstreamRun
	// EndedUpstreams is sent with UpstreamLoads.
	EndedUpstreams []UpstreamEnd
	// BrittleUpstreams is sent with UpstreamLoads. The rate in it is the number of rejections
	// in a second that the upstream tolerates.
	BrittleUpstreams []UpstreamLimit
	// Reach is sent everywhere. Records that a third instance passes on don't have it.
	Reach []ServiceReach
	// LossEvidence is sent everywhere, but not in records that a third instance passes
	// on.
	LossEvidence LossEvidence
	// BegunStreams are sent with LossEvidence.
	BegunStreams []BegunStreams
	// RegionStreams are sent along with BegunStreams within the region; nil in records of
	// others.
	RegionStreams []BegunStreams
	// VersionHistory is sent along with the records of third instances, and so to each
	// instance that has just started.
	VersionHistory VersionHistory
	// WantsRecords asks the receiver for the records of all instances.
	WantsRecords bool
	// Heard holds the instances of other regions that the sender gets heartbeats from. It is
	// sent within a region.
	Heard []HeardInstance
}

// servesRegion reports whether the instance is one of a region and is not leaving.
func (r *Record) servesRegion(region ident.Region) bool {
	return r.Region == region && r.Phase <= member.Ready
}

// peerState is the state held of another instance.
type peerState struct {
	Record
	// lastUpdate is when the sequence last grew.
	lastUpdate time.Time
	// lastDirect is when the last heartbeat came from the instance itself; zero if none
	// did in this incarnation.
	lastDirect time.Time
	// loadsAt is when ServiceLoads were sent.
	loadsAt time.Time
	// refusedAt is when a connection to the instance was last refused.
	refusedAt time.Time
	// relayed is set for an instance of another region of which only contacts hear, and
	// contact if it gets heartbeats from this one.
	relayed, contact bool
	// passOnUntil is until when the whole record is sent to the region; zero unless it has
	// changed here lately.
	passOnUntil time.Time
	// pastIncarnations holds earlier incarnations, whose late heartbeats are ignored.
	pastIncarnations []uint64
}

// State is the membership as held by one instance. It is not safe for concurrent use.
type State struct {
	self   Record
	seeds  []netip.AddrPort
	random *rand.Rand
	peers  map[ident.Instance]*peerState
	// ids holds the names of the peers, sorted, and byKey the peers by the key of the run that
	// is held.
	ids      []ident.Instance
	byKey    map[InstanceKey]*peerState
	lastTick time.Time
	digest   regionDigest

	// newInstances were first seen since the last tick, or have asked for it, and are sent
	// the records of all others. The value is set for those that have asked.
	newInstances map[ident.Instance]bool
	// unacquainted instances may hold no record of this one yet, and get a heartbeat soon.
	unacquainted map[ident.Instance]struct{}
	// announcing makes the next heartbeat go to the whole region, and to all instances of
	// other regions that get any.
	announcing bool
	// urgent makes the next one to instances of the region due sooner.
	urgent bool
	// usesContacts is set while heartbeats to other regions go to contacts only.
	usesContacts bool
	// ask is an instance that knows of one which this instance doesn't; empty if there is
	// none.
	ask ident.Instance
	// regionRotation and remoteRotation hold the order in which instances get heartbeats.
	regionRotation rotation
	remoteRotation rotation
	silentRotation rotation

	// The times at which heartbeats of each kind were last sent.

	lastRegion     time.Time
	lastRemote     time.Time
	lastRetry      time.Time
	lastMembership time.Time
	lastAsk        time.Time
	lastContacts   time.Time
}

// New returns the state of an instance that holds only its seeds.
func New(self Record, seeds []netip.AddrPort, random *rand.Rand) *State {
	return &State{
		self:   self,
		seeds:  seeds,
		random: random,
		peers:  map[ident.Instance]*peerState{},
		byKey:  map[InstanceKey]*peerState{},
		// The rotations begin at the own ID, so that instances which start together don't
		// all begin with the same peer.
		regionRotation: rotation{self.ID},
		remoteRotation: rotation{self.ID},
		silentRotation: rotation{self.ID},
	}
}

// UpdateSelf changes the instance's own record, from the next heartbeat on.
func (s *State) UpdateSelf(change func(r *Record)) {
	change(&s.self)
}

// SetSeeds replaces the addresses that get heartbeats while no alive instance is known
// there.
func (s *State) SetSeeds(seeds []netip.AddrPort) {
	s.seeds = seeds
}

// Receive merges the records of a heartbeat. It reports whether the state held of any
// instance has changed. A sender that is new, or has a new incarnation, is sent all
// records at the next tick, so that instances which start together find each other at
// once.
func (s *State) Receive(now time.Time, records []Record) bool {
	changed := false
	for i, r := range records {
		if r.ID == s.self.ID || r.ID == "" {
			continue
		}
		peer := s.peers[r.ID]
		seen := peer != nil && peer.Incarnation == r.Incarnation
		if s.receiveRecord(now, r, i == 0) {
			changed = true
			s.noteChange(now, r.ID, seen, i == 0)
		}
		if i == 0 && r.WantsRecords {
			s.addNewInstance(r.ID, true)
		}
		if i == 0 && s.receiveHeard(now, r.ID, r.Heard) {
			changed = true
		}
	}
	return changed
}

// noteChange records whom to tell of an instance that has changed, from its own heartbeat or
// by the word of another one.
func (s *State) noteChange(now time.Time, id ident.Instance, seen, direct bool) {
	p := s.peers[id]
	switch {
	case direct && s.usesContacts && p.Region != s.self.Region:
		p.passOnUntil = now.Add(passOnTime)
		s.announcing = true
	case seen:
	case direct:
		s.addNewInstance(id, false)
	case !s.usesContacts:
		// That instance may hold no record of this one yet.
		s.Announce()
	case p.Region == s.self.Region:
		s.addUnacquainted(id)
	}
}

func (s *State) addNewInstance(id ident.Instance, asked bool) {
	if s.newInstances == nil {
		s.newInstances = map[ident.Instance]bool{}
	}
	s.newInstances[id] = s.newInstances[id] || asked
}

func (s *State) addUnacquainted(id ident.Instance) {
	if s.unacquainted == nil {
		s.unacquainted = map[ident.Instance]struct{}{}
	}
	s.unacquainted[id] = struct{}{}
}

func (s *State) receiveRecord(now time.Time, r Record, direct bool) bool {
	p := s.peers[r.ID]
	if p == nil {
		p = &peerState{Record: r, lastUpdate: now.Add(-r.Age)}
		p.loadsAt = p.lastUpdate
		if direct {
			p.lastDirect = now
		}
		p.relayed = s.usesContacts && r.Region != s.self.Region
		s.addPeer(p)
		return true
	}
	if r.Incarnation != p.Incarnation {
		return s.receiveIncarnation(now, p, r, direct)
	}
	if r.Sequence <= p.Sequence {
		return false
	}
	changed := r.Phase != p.Phase || !p.alive(now)
	p.update(now, r, direct)
	return changed
}

func (s *State) addPeer(p *peerState) {
	s.peers[p.ID] = p
	s.byKey[keyOf(p.ID, p.Incarnation)] = p
	i, _ := slices.BinarySearch(s.ids, p.ID)
	s.ids = slices.Insert(s.ids, i, p.ID)
}

// removePeers removes the peers that were silent for longer than forgetTimeout.
func (s *State) removePeers(now time.Time) {
	s.ids = slices.DeleteFunc(s.ids, func(id ident.Instance) bool {
		p := s.peers[id]
		if now.Sub(p.lastUpdate) <= forgetTimeout {
			return false
		}
		delete(s.peers, id)
		delete(s.byKey, keyOf(p.ID, p.Incarnation))
		return true
	})
}

// receiveIncarnation merges a record of another incarnation than the one held.
func (s *State) receiveIncarnation(now time.Time, p *peerState, r Record, direct bool) bool {
	if slices.Contains(p.pastIncarnations, r.Incarnation) || !direct && p.alive(now) {
		return false
	}
	p.pastIncarnations = append(p.pastIncarnations, p.Incarnation)
	delete(s.byKey, keyOf(p.ID, p.Incarnation))
	s.byKey[keyOf(r.ID, r.Incarnation)] = p
	p.Record = Record{ID: r.ID, Incarnation: r.Incarnation}
	p.lastUpdate = time.Time{}
	p.lastDirect = time.Time{}
	p.update(now, r, direct)
	return true
}

func (p *peerState) update(now time.Time, r Record, direct bool) {
	if !direct {
		// A third instance passes on neither loads nor a digest. Those that came from
		// the instance itself stay until they are replaced.
		r.UpstreamLoads = p.UpstreamLoads
		r.UpstreamLimits = p.UpstreamLimits
		r.LeavingUpstreams = p.LeavingUpstreams
		r.EndedUpstreams = p.EndedUpstreams
		r.BrittleUpstreams = p.BrittleUpstreams
		r.Reach = p.Reach
		p.keepLoads(now, &r)
		r.RegionDigest = p.RegionDigest
		r.LossEvidence = p.LossEvidence
		r.BegunStreams = p.BegunStreams
		r.VersionHistory = p.VersionHistory
		r.Heard = p.Heard
	} else {
		p.lastDirect = now
		p.loadsAt = now
	}
	// The phase never goes back within an incarnation.
	r.Phase = max(r.Phase, p.Phase)
	p.Record = r
	p.heard(now.Add(-r.Age))
}

// keepLoads keeps the held loads unless a third instance has passed on newer ones.
func (p *peerState) keepLoads(now time.Time, r *Record) {
	if at := now.Add(-r.Age); len(r.ServiceLoads) > 0 && at.After(p.loadsAt) {
		p.loadsAt = at
		return
	}
	r.ServiceLoads = p.ServiceLoads
}

// heard records when the instance was last heard of, unless a connection to it was refused
// since.
func (p *peerState) heard(at time.Time) {
	if at.After(p.lastUpdate) && at.After(p.refusedAt) {
		p.lastUpdate = at
	}
}

func (p *peerState) alive(now time.Time) bool {
	return p.Phase != member.Stopped && now.Sub(p.lastUpdate) < p.timeout()
}

// timeout returns the time without an update after which the instance counts as silent.
func (p *peerState) timeout() time.Duration {
	if p.relayed {
		return relayedTimeout
	}
	return aliveTimeout
}

// MarkUnreachable records that a connection to an instance was refused, so that nothing
// listens there. The instance counts as silent until the next update.
func (s *State) MarkUnreachable(now time.Time, id ident.Instance) {
	if p := s.peers[id]; p != nil && p.alive(now) {
		p.lastUpdate = now.Add(-p.timeout())
		p.refusedAt = now
	}
}
