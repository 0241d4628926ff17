package gossip

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Where the other regions have more than maxDirect instances, an instance sends heartbeats
// to a few contacts in each of them only. Each contact tells its own region, in its
// heartbeats there, when it last heard of the instance, so that all of the region know of
// it without a heartbeat to each.
//
// The contacts of an instance are chosen by rendezvous: they change only when one of them
// is gone.

const (
	// maxDirect is the number of instances of other regions up to which each gets
	// heartbeats.
	maxDirect = 12
	// contactsPerRegion is the number of contacts in each other region. With three, a
	// region that loses a third of its instances at once still hears of 26 in 27 others.
	contactsPerRegion = 3
	// relayedTimeout is the time without an update after which an instance of which only
	// contacts hear is no longer named to callers. It covers the time until other contacts
	// are chosen where all contacts are gone.
	relayedTimeout = 6 * time.Second
	// passOnTime is how long a contact sends its region the whole record of an instance
	// that is new or whose phase has changed: each of the region gets a heartbeat in it.
	passOnTime = 2 * time.Second
	// introducers is the number of instances of a region that send all records to one that
	// has just started there.
	introducers = 3
	// reportFanout is the number of instances of the region that are told the loads of
	// other regions with each round of heartbeats.
	reportFanout = 3
	// askInterval is the least time between two requests for all records.
	askInterval = time.Second
)

// InstanceKey is a hash of the name and incarnation of an instance.
type InstanceKey uint64

func keyOf(id ident.Instance, incarnation uint64) InstanceKey {
	text := append([]byte(id), 0)
	return InstanceKey(xxhash.Sum64(binary.BigEndian.AppendUint64(text, incarnation)))
}

// HeardInstance tells that the sender gets heartbeats from an instance of another region.
type HeardInstance struct {
	Key InstanceKey
	// Age is the time since the last one.
	Age time.Duration
}

// countRemote decides whether heartbeats to other regions go to contacts.
func (s *State) countRemote() {
	remote := 0
	for _, p := range s.peers {
		if p.Region != s.self.Region {
			remote++
		}
	}
	s.usesContacts = remote > maxDirect
	for _, p := range s.peers {
		p.relayed = s.usesContacts && p.Region != s.self.Region
	}
}

// chooseContacts returns the instances of other regions that get heartbeats. They are chosen
// anew with each round of heartbeats.
func (s *State) chooseContacts(now time.Time, remote []*peerState) []*peerState {
	if !s.usesContacts {
		for _, p := range remote {
			p.contact = true
		}
		return remote
	}
	if s.announcing || due(&s.lastContacts, now, HeartbeatInterval) {
		chosen := s.rankContacts(remote)
		for _, p := range s.peers {
			p.contact = slices.Contains(chosen, p)
		}
		return chosen
	}
	return slices.DeleteFunc(slices.Clone(remote), func(p *peerState) bool { return !p.contact })
}

func (s *State) rankContacts(remote []*peerState) []*peerState {
	byRegion := map[ident.Region][]ident.Instance{}
	for _, p := range remote {
		if p.servesRegion(p.Region) {
			byRegion[p.Region] = append(byRegion[p.Region], p.ID)
		}
	}
	var chosen []*peerState
	for _, ids := range byRegion {
		for _, id := range rank.Top(string(s.self.ID), ids, contactsPerRegion) {
			chosen = append(chosen, s.peers[id])
		}
	}
	slices.SortFunc(chosen, byID)
	return chosen
}

// heardInstances returns the instances of other regions from which heartbeats arrive here.
func (s *State) heardInstances(now time.Time) []HeardInstance {
	if !s.usesContacts {
		return nil
	}
	var list []HeardInstance
	for _, id := range s.ids {
		p := s.peers[id]
		if age := now.Sub(p.lastDirect); p.relayed && age < relayedTimeout {
			list = append(list, HeardInstance{keyOf(p.ID, p.Incarnation), age})
		}
	}
	return list
}

// receiveHeard takes over what an instance of the region has heard of those of others. It
// reports whether one counts as alive again.
func (s *State) receiveHeard(now time.Time, from ident.Instance, heard []HeardInstance) bool {
	if len(heard) == 0 {
		return false
	}
	changed := false
	for _, h := range heard {
		p := s.byKey[h.Key]
		if p == nil {
			s.ask = from
			continue
		}
		before := p.alive(now)
		p.heard(now.Add(-h.Age))
		changed = changed || !before && p.alive(now)
	}
	return changed
}

// passedOn returns the whole records of instances of other regions that this instance tells
// its region of: those that have just changed here.
func (s *State) passedOn(now time.Time) []Record {
	var list []Record
	for _, id := range s.ids {
		if p := s.peers[id]; now.Before(p.passOnUntil) {
			list = append(list, p.withoutReports(now))
		}
	}
	return list
}

// loadReports returns, for each other region, the record with the newest report of loads that
// came from the instance itself.
func (s *State) loadReports(now time.Time) []Record {
	if !s.usesContacts {
		return nil
	}
	newest := map[ident.Region]*peerState{}
	for _, id := range s.ids {
		p := s.peers[id]
		if !p.relayed || !p.alive(now) || p.lastDirect.IsZero() || p.lastDirect.Before(p.loadsAt) {
			continue
		}
		if best := newest[p.Region]; best == nil || p.lastDirect.After(best.lastDirect) {
			newest[p.Region] = p
		}
	}
	var list []Record
	for _, p := range newest {
		r := p.withoutReports(now)
		r.ServiceLoads = p.ServiceLoads
		r.Age = now.Sub(p.lastDirect)
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// withoutReports returns the record of a peer as it is passed on: without what only the peer
// itself tells.
func (p *peerState) withoutReports(now time.Time) Record {
	return Record{
		ID:                p.ID,
		Incarnation:       p.Incarnation,
		Sequence:          p.Sequence,
		Zone:              p.Zone,
		Region:            p.Region,
		PeerAddress:       p.PeerAddress,
		CallerAddress:     p.CallerAddress,
		Phase:             p.Phase,
		OperatorRevision:  p.OperatorRevision,
		UpstreamsRevision: p.UpstreamsRevision,
		WatchesPlatform:   p.WatchesPlatform,
		Age:               now.Sub(p.lastUpdate),
	}
}

// introduces reports whether this instance sends all records to one that is new to it. In a
// large region only some do, and those that are asked.
func (s *State) introduces(id ident.Instance, regional []*peerState) bool {
	if !s.usesContacts {
		return true
	}
	ids := []ident.Instance{s.self.ID}
	for _, p := range regional {
		if p.ID != id {
			ids = append(ids, p.ID)
		}
	}
	return slices.Contains(rank.Top(string(id), ids, introducers), s.self.ID)
}

// askHeartbeat returns a heartbeat that asks for all records, if this instance has heard of
// one that it doesn't hold.
func (s *State) askHeartbeat(now time.Time, own Record) []Heartbeat {
	p := s.peers[s.ask]
	if p == nil || !due(&s.lastAsk, now, askInterval) {
		return nil
	}
	s.ask = ""
	own.WantsRecords = true
	return appendHeartbeats(nil, []*peerState{p}, []Record{own})
}
