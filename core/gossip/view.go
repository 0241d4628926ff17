package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// Member is another instance in a View.
type Member struct {
	Record
	// Alive is false when no update has arrived for aliveTimeout or the instance has
	// stopped.
	Alive bool
	// LastHeartbeat is when the last heartbeat came from the instance itself.
	LastHeartbeat time.Time
	// LoadsAt is when the instance sent ServiceLoads.
	LoadsAt time.Time
	// Contact is set if this instance sends it heartbeats, so that there is a link to it.
	Contact bool
}

// View is an immutable snapshot of the membership.
type View struct {
	Self Record
	// Members holds the other instances, sorted by name.
	Members []Member
	// RegionAgrees is set while all instances of the region hold the same view of it, so
	// that a duty which is assigned over RegionInstances has one holder. It is never set
	// for an instance that is leaving.
	RegionAgrees bool
	// UsesContacts is set while instances of other regions send heartbeats to some of this
	// region only.
	UsesContacts bool
}

// View returns the membership now, and removes instances that were silent for longer than
// forgetTimeout.
func (s *State) View(now time.Time) *View {
	v := &View{Self: s.self, UsesContacts: s.usesContacts}
	s.removePeers(now)
	for _, id := range s.ids {
		p := s.peers[id]
		v.Members = append(v.Members, Member{
			Record:        p.Record,
			Alive:         p.alive(now),
			LastHeartbeat: p.lastDirect,
			LoadsAt:       p.loadsAt,
			Contact:       p.contact || p.Region == s.self.Region,
		})
	}
	v.RegionAgrees = s.regionAgrees(now)
	return v
}

// RegionInstances returns the sorted names of the alive instances of the own region that
// accept traffic or soon will, this one included.
func (v *View) RegionInstances() []ident.Instance {
	list := []ident.Instance{v.Self.ID}
	for _, m := range v.Members {
		if m.Alive && m.servesRegion(v.Self.Region) {
			list = append(list, m.ID)
		}
	}
	slices.Sort(list)
	return list
}

// RegionLimits returns what the other instances of the own region know of the limits of
// upstreams, with ages as of now.
func (v *View) RegionLimits(now time.Time) []UpstreamLimit {
	return v.regionReports(now, func(r *Record) []UpstreamLimit { return r.UpstreamLimits })
}

// RegionBrittle is like RegionLimits, for upstreams that say that they are brittle.
func (v *View) RegionBrittle(now time.Time) []UpstreamLimit {
	return v.regionReports(now, func(r *Record) []UpstreamLimit { return r.BrittleUpstreams })
}

func (v *View) regionReports(now time.Time, of func(r *Record) []UpstreamLimit) []UpstreamLimit {
	var list []UpstreamLimit
	for i := range v.Members {
		m := &v.Members[i]
		if m.Region != v.Self.Region {
			continue
		}
		for _, l := range of(&m.Record) {
			l.Age += now.Sub(m.LastHeartbeat)
			list = append(list, l)
		}
	}
	return list
}

// LeavingUpstreams returns the upstreams that said to other instances of the own region that
// they leave.
func (v *View) LeavingUpstreams() []UpstreamRun {
	var list []UpstreamRun
	for _, m := range v.Members {
		if m.Region == v.Self.Region {
			list = append(list, m.LeavingUpstreams...)
		}
	}
	return list
}

// EndedUpstreams returns the upstreams that other instances of the own region have found to have
// ended, with ages as of now.
func (v *View) EndedUpstreams(now time.Time) []UpstreamEnd {
	var list []UpstreamEnd
	for i := range v.Members {
		m := &v.Members[i]
		if m.Region != v.Self.Region {
			continue
		}
		for _, e := range m.EndedUpstreams {
			e.Age += now.Sub(m.LastHeartbeat)
			list = append(list, e)
		}
	}
	return list
}

// ReadyAddresses returns the caller addresses of the instances in a region that accept
// traffic, with the instances of the given availability zone first.
func (v *View) ReadyAddresses(region ident.Region, zone ident.Zone) []netip.AddrPort {
	var list []Record
	if v.Self.Region == region && v.Self.Phase == member.Ready {
		list = append(list, v.Self)
	}
	for _, m := range v.Members {
		if m.Region == region && m.Alive && m.Phase == member.Ready {
			list = append(list, m.Record)
		}
	}
	slices.SortStableFunc(list, func(a, b Record) int {
		return cmp.Compare(btoi(a.Zone != zone), btoi(b.Zone != zone))
	})
	addresses := make([]netip.AddrPort, 0, len(list))
	for _, r := range list {
		addresses = append(addresses, r.CallerAddress)
	}
	return addresses
}

// ReadyRegions returns the regions in which an instance is ready, sorted.
func (v *View) ReadyRegions() []ident.Region {
	var list []ident.Region
	if v.Self.Phase == member.Ready {
		list = append(list, v.Self.Region)
	}
	for _, m := range v.Members {
		if m.Alive && m.Phase == member.Ready {
			list = append(list, m.Region)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
