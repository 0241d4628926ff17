package gossip

import (
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
	// third instances.
	membershipInterval = 4 * time.Second
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
	regional, remote, silent := s.groupPeers(now)
	s.self.Sequence++
	own := s.self
	own.UpstreamLoads = nil
	own.UpstreamLimits = nil
	own.LeavingUpstreams = nil
	heartbeats := s.membershipHeartbeats(now, regional, remote, own)
	own.VersionHistory = VersionHistory{}
	heartbeats = append(heartbeats, s.regionHeartbeats(now, regional, own)...)
	heartbeats = append(heartbeats, s.remoteHeartbeats(now, remote, own)...)
	s.announcing = false
	retry := retryInterval
	if len(regional)+len(remote) == 0 {
		retry = bootstrapInterval
	}
	if !due(&s.lastRetry, now, retry) {
		return heartbeats
	}
	retryRecords := []Record{own}
	heartbeats = appendHeartbeats(heartbeats, silent, retryRecords)
	for _, address := range s.seeds {
		if address != s.self.PeerAddress && !s.isAlive(now, address) {
			heartbeats = append(heartbeats, Heartbeat{Address: address, Records: retryRecords})
		}
	}
	return heartbeats
}

// regionHeartbeats returns the heartbeats to instances of the region, which carry this
// instance's upstream loads.
func (s *State) regionHeartbeats(now time.Time, regional []*peerState, own Record) []Heartbeat {
	if !due(&s.lastRegion, now, regionInterval(len(regional)+1)) && !s.announcing {
		return nil
	}
	chosen, rest := s.regionRotation.next(regional)
	withLoads := s.self
	withLoads.VersionHistory = VersionHistory{}
	heartbeats := appendHeartbeats(nil, chosen, []Record{withLoads})
	if s.self.WatchesPlatform || s.announcing {
		// All peers rely on the heartbeats of a watcher; the loads go to some of them.
		heartbeats = appendHeartbeats(heartbeats, rest, []Record{own})
	}
	return heartbeats
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
	each := max(fanout, (peers+maxRounds-1)/maxRounds)
	return regionInterval(instances) * time.Duration(max(1, peers)) / time.Duration(2*min(each, max(1, peers)))
}

// remoteHeartbeats returns the heartbeats to instances of other regions, which carry the
// service loads of this region.
func (s *State) remoteHeartbeats(now time.Time, remote []*peerState, own Record) []Heartbeat {
	if !due(&s.lastRemote, now, HeartbeatInterval) && !s.announcing {
		return nil
	}
	chosen, rest := s.remoteRotation.next(remote)
	heartbeats := appendHeartbeats(nil, chosen, []Record{own})
	if s.announcing {
		heartbeats = appendHeartbeats(heartbeats, rest, []Record{own})
	}
	return heartbeats
}

// membershipHeartbeats returns the heartbeats that carry the records of all alive
// instances. They go to new instances and, now and then, to a few others.
func (s *State) membershipHeartbeats(now time.Time, regional, remote []*peerState, own Record) []Heartbeat {
	var to []*peerState
	if due(&s.lastMembership, now, membershipInterval) {
		to = append(to, s.sample(regional, regionMembershipFanout)...)
		to = append(to, s.sample(remote, remoteMembershipFanout)...)
	}
	for id := range s.newInstances {
		if p := s.peers[id]; p != nil && !slices.Contains(to, p) {
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
	for _, id := range s.sortedIDs() {
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

// next returns the part of a sorted list that is due, and the rest.
func (r *rotation) next(list []*peerState) (chosen, rest []*peerState) {
	count := max(fanout, (len(list)+maxRounds-1)/maxRounds)
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
	for _, id := range s.sortedIDs() {
		p := s.peers[id]
		if p.alive(now) {
			r := p.Record
			r.Age = now.Sub(p.lastUpdate)
			r.UpstreamLoads = nil
			r.UpstreamLimits = nil
			r.LeavingUpstreams = nil
			r.ServiceLoads = nil
			r.RegionDigest = 0
			r.LossEvidence = LossEvidence{}
			r.BegunStreams = nil
			r.VersionHistory = VersionHistory{}
			list = append(list, r)
		}
	}
	return list
}

func (s *State) sortedIDs() []ident.Instance {
	ids := make([]ident.Instance, 0, len(s.peers))
	for id := range s.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *State) isAlive(now time.Time, peer netip.AddrPort) bool {
	for _, p := range s.peers {
		if p.PeerAddress == peer && p.alive(now) {
			return true
		}
	}
	return false
}
