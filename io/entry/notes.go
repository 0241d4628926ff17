package entry

import (
	"net/netip"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// noteHolders returns the addresses of instances that may hold a successor note on a
// stopped instance: the members of this region and the contacts of the other regions.
func noteHolders(v *member.View, stopped ident.Instance) []netip.AddrPort {
	var holders []netip.AddrPort
	for i := range v.Members() {
		m := &v.Members()[i]
		if m.Status == member.Alive && m.Entry.ID != v.Self.Entry.ID && m.Entry.ID != stopped {
			holders = append(holders, m.Entry.Peer)
		}
	}
	for i := range v.Regions() {
		for _, c := range v.Regions()[i].Contacts {
			if c.Incarnation.Instance != stopped {
				holders = append(holders, c.Peer)
			}
		}
	}
	return holders[:min(len(holders), maxNoteHolders)]
}

// maxNoteHolders bounds the number of instances that are asked about one stopped instance.
const maxNoteHolders = 16
