package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// Member is another entry in a View.
type Member struct {
	Record
	// Alive is false after a silence.
	Alive bool
	// LastHeartbeat is when the entry itself was last heard.
	LastHeartbeat time.Time
}

// View is the membership at one moment. It never changes.
type View struct {
	Self Record
	// Members holds the other entries, sorted by name.
	Members []Member
}

// View returns the membership now, and forgets entries that are silent for long.
func (s *State) View(now time.Time) *View {
	v := &View{Self: s.self}
	for _, id := range s.sorted() {
		h := s.others[id]
		if now.Sub(h.heard) > forgetAfter {
			delete(s.others, id)
			continue
		}
		v.Members = append(v.Members, Member{Record: h.Record, Alive: h.alive(now), LastHeartbeat: h.direct})
	}
	return v
}

// RegionInstances returns the names of the entries of the own region that are alive and take
// traffic or soon will, this one included, sorted.
func (v *View) RegionInstances() []ident.Instance {
	list := []ident.Instance{v.Self.ID}
	for _, m := range v.Members {
		if m.Alive && m.Region == v.Self.Region && m.Phase <= member.Ready {
			list = append(list, m.ID)
		}
	}
	slices.Sort(list)
	return list
}

// ReadyAddresses returns the callers' addresses of the entries in a region that take traffic,
// those of the given zone first.
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

// ReadyRegions returns the regions in which an entry is ready, sorted.
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
