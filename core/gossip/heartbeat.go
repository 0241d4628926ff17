package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// TickInterval is the time between two calls of DueHeartbeats.
	TickInterval = 100 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats to an instance of another
	// region. Five of them fit into the time after which a silent instance is left out.
	HeartbeatInterval = 400 * time.Millisecond
	// intervalPerInstance is how much longer the interval within a region becomes with
	// each instance there. Peers need fresh loads, but the cost of sending them grows
	// with the number of instances.
	intervalPerInstance = 35 * time.Millisecond
	// retryInterval is the time between two heartbeats to a silent instance or a seed.
	// bootstrapInterval is used instead while no other instance is alive.
	retryInterval     = 1200 * time.Millisecond
	bootstrapInterval = 200 * time.Millisecond
	// membershipInterval is the time between two heartbeats that carry the records of
	// third instances. Where contacts tell their regions of changes, it is
	// largeMembershipInterval.
	membershipInterval      = 4 * time.Second
	largeMembershipInterval = 20 * time.Second
	// fanout is the least number of alive instances, within the region or outside it,
	// that a heartbeat goes to; they are served in rotation. When there are more
	// instances, a heartbeat goes to as many as needed for each to receive one every
	// fourth time, well within aliveTimeout.
	fanout    = 12
	maxRounds = 4
	// regionMembershipFanout and remoteMembershipFanout are how many instances receive
	// the records of third instances each time. Every receiver passes them on, so a few
	// are enough.
	regionMembershipFanout = 2
	remoteMembershipFanout = 1
)

// Heartbeat is a heartbeat to one address.
type Heartbeat struct {
	// To is empty for a seed of which only the address is known.
	To      ident.Instance
	Address netip.AddrPort
	// Records holds the sender's record first.
	Records []Record
}

// DueHeartbeats returns the heartbeats that are due now. It is called every TickInterval.
func (s *State) DueHeartbeats(now time.Time) []Heartbeat {
	s.compensatePause(now)
	s.updateDigest(now)
	s.countRemote()
	regional, remote, silent := s.groupPeers(now)
	contacts := s.chooseContacts(now, remote)
	s.self.Sequence++
	own := s.self
	own.UpstreamLoads = nil
	own.UpstreamLimits = nil
	own.LeavingUpstreams = nil
	own.EndedUpstreams = nil
	own.BrittleUpstreams = nil
	own.RegionStreams = nil
	heartbeats := s.membershipHeartbeats(now, regional, contacts, own)
	own.VersionHistory = VersionHistory{}
	heartbeats = append(heartbeats, s.regionHeartbeats(now, regional, own)...)
	heartbeats = append(heartbeats, s.remoteHeartbeats(now, contacts, own)...)
	heartbeats = append(heartbeats, s.askHeartbeat(now, own)...)
	s.announcing = false
	return append(heartbeats, s.retryHeartbeats(now, silent, len(regional)+len(remote) == 0, own)...)
}

// retryHeartbeats returns the heartbeats to silent instances, and to seeds where none is
// alive. In a large installation they go to a part of the silent ones each time.
func (s *State) retryHeartbeats(now time.Time, silent []*peerState, alone bool, own Record) []Heartbeat {
	interval := retryInterval
	if alone {
		interval = bootstrapInterval
	}
	if !due(&s.lastRetry, now, interval) {
		return nil
	}
	own.WantsRecords = alone
	records := []Record{own}
	if s.usesContacts {
		silent, _ = s.silentRotation.next(silent, fanout)
	}
	heartbeats := appendHeartbeats(nil, silent, records)
	for _, address := range s.seeds {
		if address != s.self.PeerAddress && !s.isAlive(now, address) {
			heartbeats = append(heartbeats, Heartbeat{Address: address, Records: records})
		}
	}
	return heartbeats
}

// regionHeartbeats returns the heartbeats to instances of the region, which carry this
// instance's upstream loads, and what it has heard of other regions.
func (s *State) regionHeartbeats(now time.Time, regional []*peerState, own Record) []Heartbeat {
	interval := regionInterval(len(regional) + 1)
	if s.urgent {
		interval /= 2
	}
	if !due(&s.lastRegion, now, interval) && !s.announcing {
		return s.greetings(own)
	}
	s.urgent = false
	s.unacquainted = nil
	chosen, rest := s.regionRotation.next(regional, roundSize(len(regional)))
	withLoads := s.self
	withLoads.VersionHistory = VersionHistory{}
	withLoads.Heard = s.heardInstances(now)
	withLoads.BegunStreams = slices.Concat(s.self.BegunStreams, s.self.RegionStreams)
	withLoads.RegionStreams = nil
	passedOn := s.passedOn(now)
	records := append([]Record{withLoads}, passedOn...)
	reported := min(reportFanout, len(chosen))
	heartbeats := appendHeartbeats(nil, chosen[:reported], append(slices.Clip(records), s.loadReports(now)...))
	heartbeats = appendHeartbeats(heartbeats, chosen[reported:], records)
	if s.self.WatchesPlatform || s.announcing {
		// All peers rely on the heartbeats of a watcher; the loads go to some of them.
		heartbeats = appendHeartbeats(heartbeats, rest, append([]Record{own}, passedOn...))
	}
	return heartbeats
}

// greetings returns the heartbeats to instances that may hold no record of this one.
func (s *State) greetings(own Record) []Heartbeat {
	var to []*peerState
	for id := range s.unacquainted {
		if p := s.peers[id]; p != nil {
			to = append(to, p)
		}
	}
	s.unacquainted = nil
	slices.SortFunc(to, byID)
	return appendHeartbeats(nil, to, []Record{own})
}

// regionInterval returns the time between two heartbeats in a region with the given
// number of instances.
func regionInterval(instances int) time.Duration {
	return min(intervalPerInstance*time.Duration(instances), HeartbeatInterval)
}

// MeanLoadAge returns the mean age of the load report that an instance holds of a peer,
// in a region with the given number of instances.
func MeanLoadAge(instances int) time.Duration {
	peers := instances - 1
	each := roundSize(peers)
	return regionInterval(instances) * time.Duration(max(1, peers)) / time.Duration(2*min(each, max(1, peers)))
}

// remoteHeartbeats returns the heartbeats to instances of other regions, which carry the
// service loads of this region.
func (s *State) remoteHeartbeats(now time.Time, contacts []*peerState, own Record) []Heartbeat {
	if !due(&s.lastRemote, now, HeartbeatInterval) && !s.announcing {
		return nil
	}
	chosen, rest := s.remoteRotation.next(contacts, roundSize(len(contacts)))
	heartbeats := appendHeartbeats(nil, chosen, []Record{own})
	if s.announcing {
		heartbeats = appendHeartbeats(heartbeats, rest, []Record{own})
	}
	return heartbeats
}

// membershipHeartbeats returns the heartbeats that carry the records of all alive
// instances. They go to new instances and, now and then, to a few others.
func (s *State) membershipHeartbeats(now time.Time, regional, contacts []*peerState, own Record) []Heartbeat {
	var to []*peerState
	interval := membershipInterval
	if s.usesContacts {
		interval = largeMembershipInterval
	}
	if due(&s.lastMembership, now, interval) {
		to = append(to, s.sample(regional, regionMembershipFanout)...)
		to = append(to, s.sample(contacts, remoteMembershipFanout)...)
	}
	for id, asked := range s.newInstances {
		p := s.peers[id]
		if p != nil && !slices.Contains(to, p) && (asked || s.introduces(id, regional)) {
			to = append(to, p)
		}
	}
	s.newInstances = nil
	if len(to) == 0 {
		return nil
	}
	return appendHeartbeats(nil, to, append([]Record{own}, s.membershipRecords(now)...))
}

// Announce makes the next call of DueHeartbeats send to all instances.
func (s *State) Announce() {
	s.announcing = true
}

// Hurry makes the next heartbeat to instances of the region due after half of the interval.
func (s *State) Hurry() {
	s.urgent = true
}

// due reports whether an interval has passed since a time, and if so sets the time to
// now. It allows half a tick less, since ticks arrive a little late.
func due(last *time.Time, now time.Time, interval time.Duration) bool {
	if !last.IsZero() && now.Sub(*last) < interval-TickInterval/2 {
		return false
	}
	*last = now
	return true
}

func appendHeartbeats(heartbeats []Heartbeat, to []*peerState, records []Record) []Heartbeat {
	for _, p := range to {
		heartbeats = append(heartbeats, Heartbeat{To: p.ID, Address: p.PeerAddress, Records: records})
	}
	return heartbeats
}

// compensatePause shifts the last updates of all peers by the time for which this process
// was paused: a pause here doesn't mean that the peers were silent.
func (s *State) compensatePause(now time.Time) {
	pause := now.Sub(s.lastTick)
	if !s.lastTick.IsZero() && pause > aliveTimeout/2 {
		for _, p := range s.peers {
			p.lastUpdate = p.lastUpdate.Add(pause)
		}
	}
	s.lastTick = now
}

// groupPeers divides the peers into alive ones of the own region, alive ones of other
// regions, and silent ones.
func (s *State) groupPeers(now time.Time) (regional, remote, silent []*peerState) {
	for _, id := range s.ids {
		p := s.peers[id]
		switch {
		case !p.alive(now):
			silent = append(silent, p)
		case p.Region == s.self.Region:
			regional = append(regional, p)
		default:
			remote = append(remote, p)
		}
	}
	return regional, remote, silent
}

// rotation goes through a list in parts, so that each instance receives a heartbeat as
// often as the others, also while the list changes.
type rotation struct {
	// lastSent is the instance that was served last.
	lastSent ident.Instance
}

// roundSize returns how many of a number of instances a heartbeat goes to.
func roundSize(instances int) int {
	return max(fanout, (instances+maxRounds-1)/maxRounds)
}

// next returns the part of a sorted list that is due, of at most count instances, and the
// rest.
func (r *rotation) next(list []*peerState, count int) (chosen, rest []*peerState) {
	if len(list) <= count {
		return list, nil
	}
	from := slices.IndexFunc(list, func(p *peerState) bool { return p.ID > r.lastSent })
	from = max(from, 0)
	rotated := append(slices.Clone(list[from:]), list[:from]...)
	r.lastSent = rotated[count-1].ID
	return rotated[:count], rotated[count:]
}

// sample returns a random part of a list, which it doesn't change.
func (s *State) sample(list []*peerState, count int) []*peerState {
	var chosen []*peerState
	for _, i := range s.random.Perm(len(list))[:min(count, len(list))] {
		chosen = append(chosen, list[i])
	}
	return chosen
}

// membershipRecords returns the records of alive peers, without loads.
func (s *State) membershipRecords(now time.Time) []Record {
	var list []Record
	for _, id := range s.ids {
		p := s.peers[id]
		if p.alive(now) {
			list = append(list, p.withoutReports(now))
		}
	}
	return list
}

func byID(a, b *peerState) int { return cmp.Compare(a.ID, b.ID) }

func (s *State) isAlive(now time.Time, peer netip.AddrPort) bool {
	for _, p := range s.peers {
		if p.PeerAddress == peer && p.alive(now) {
			return true
		}
	}
	return false
}
