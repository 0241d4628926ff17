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
	// LossEvidence is sent everywhere, but not in records that a third instance passes
	// on.
	LossEvidence LossEvidence
	// BegunStreams are sent with LossEvidence.
	BegunStreams []BegunStreams
	// VersionHistory is sent along with the records of third instances, and so to each
	// instance that has just started.
	VersionHistory VersionHistory
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
	// pastIncarnations holds earlier incarnations, whose late heartbeats are ignored.
	pastIncarnations []uint64
}

// State is the membership as held by one instance. It is not safe for concurrent use.
type State struct {
	self     Record
	seeds    []netip.AddrPort
	random   *rand.Rand
	peers    map[ident.Instance]*peerState
	lastTick time.Time
	digest   regionDigest

	// newInstances were first seen since the last tick and are sent the records of all
	// others.
	newInstances map[ident.Instance]struct{}
	// announcing makes the next heartbeat go to all instances.
	announcing bool
	// regionRotation and remoteRotation hold the order in which instances get heartbeats.
	regionRotation rotation
	remoteRotation rotation

	// The times at which heartbeats of each kind were last sent.

	lastRegion     time.Time
	lastRemote     time.Time
	lastRetry      time.Time
	lastMembership time.Time
}

// New returns the state of an instance that holds only its seeds.
func New(self Record, seeds []netip.AddrPort, random *rand.Rand) *State {
	return &State{
		self:   self,
		seeds:  seeds,
		random: random,
		peers:  map[ident.Instance]*peerState{},
		// The rotations begin at the own ID, so that instances which start together don't
		// all begin with the same peer.
		regionRotation: rotation{self.ID},
		remoteRotation: rotation{self.ID},
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
			if !seen && i == 0 {
				s.addNewInstance(r.ID)
			}
			if !seen && i > 0 {
				// That instance may hold no record of this one yet.
				s.Announce()
			}
		}
	}
	return changed
}

func (s *State) addNewInstance(id ident.Instance) {
	if s.newInstances == nil {
		s.newInstances = map[ident.Instance]struct{}{}
	}
	s.newInstances[id] = struct{}{}
}

func (s *State) receiveRecord(now time.Time, r Record, direct bool) bool {
	p := s.peers[r.ID]
	if p == nil {
		p = &peerState{Record: r, lastUpdate: now.Add(-r.Age)}
		if direct {
			p.lastDirect = now
		}
		s.peers[r.ID] = p
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

// receiveIncarnation merges a record of another incarnation than the one held.
func (s *State) receiveIncarnation(now time.Time, p *peerState, r Record, direct bool) bool {
	if slices.Contains(p.pastIncarnations, r.Incarnation) || !direct && p.alive(now) {
		return false
	}
	p.pastIncarnations = append(p.pastIncarnations, p.Incarnation)
	p.Record = Record{Incarnation: r.Incarnation}
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
		r.ServiceLoads = p.ServiceLoads
		r.RegionDigest = p.RegionDigest
		r.LossEvidence = p.LossEvidence
		r.BegunStreams = p.BegunStreams
	} else {
		p.lastDirect = now
	}
	// The phase never goes back within an incarnation.
	r.Phase = max(r.Phase, p.Phase)
	p.Record = r
	if updated := now.Add(-r.Age); updated.After(p.lastUpdate) {
		p.lastUpdate = updated
	}
}

func (p *peerState) alive(now time.Time) bool {
	return p.Phase != member.Stopped && now.Sub(p.lastUpdate) < aliveTimeout
}

// MarkUnreachable records that a connection to an instance was refused, so that nothing
// listens there. The instance counts as silent until the next update.
func (s *State) MarkUnreachable(now time.Time, id ident.Instance) {
	if p := s.peers[id]; p != nil && p.alive(now) {
		p.lastUpdate = now.Add(-aliveTimeout)
	}
}
