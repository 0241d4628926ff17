package gossip

import (
	"hash/fnv"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// ServiceKey identifies a service in a heartbeat.
type ServiceKey uint32

// KeyOfService returns the key of a service. Two services with the same key would share their
// reports; their instances would then hand over requests too seldom or too often, nothing
// worse.
func KeyOfService(s ident.Service) ServiceKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return ServiceKey(h.Sum32())
}

// ServiceReach is what an instance says of its connections to the upstreams of a service.
type ServiceReach struct {
	Key ServiceKey
	// Reached is the number of upstreams that have sent it something in the second before.
	Reached int
	// CutOff is set if the instance counts itself as cut off from them.
	CutOff bool
}

// PeerReach is what a peer said in its last heartbeat, which arrived at At.
type PeerReach struct {
	Peer     ident.Instance
	At       time.Time
	Services []ServiceReach
}

// RegionReach returns what the ready and alive peers of the own region say of their
// connections to upstreams.
func (v *View) RegionReach() []PeerReach {
	var list []PeerReach
	for i := range v.Members {
		m := &v.Members[i]
		if m.Region == v.Self.Region && m.Alive && m.Phase == member.Ready && len(m.Reach) > 0 {
			list = append(list, PeerReach{Peer: m.ID, At: m.LastHeartbeat, Services: m.Reach})
		}
	}
	return list
}

// CutOffFrom reports whether the instance counts itself as cut off from a service.
func (r *Record) CutOffFrom(s ident.Service) bool {
	key := KeyOfService(s)
	for _, reach := range r.Reach {
		if reach.Key == key && reach.CutOff {
			return true
		}
	}
	return false
}

// KnownRegionInstances returns the sorted names of the instances of the own region that have
// been heard of and have not said that they stopped, silent ones and this one included.
func (v *View) KnownRegionInstances() []ident.Instance {
	list := []ident.Instance{v.Self.ID}
	for i := range v.Members {
		if m := &v.Members[i]; m.Region == v.Self.Region && m.Phase != member.Stopped {
			list = append(list, m.ID)
		}
	}
	slices.Sort(list)
	return list
}

// ReadyRegionMembers returns the other instances of the own region that are alive and accept
// traffic.
func (v *View) ReadyRegionMembers() map[ident.Instance]Record {
	members := map[ident.Instance]Record{}
	for i := range v.Members {
		if m := &v.Members[i]; m.Region == v.Self.Region && m.Alive && m.Phase == member.Ready {
			members[m.ID] = m.Record
		}
	}
	return members
}
