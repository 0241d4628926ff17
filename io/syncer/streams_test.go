package syncer

import (
	"fmt"
	"testing"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// TestAnnouncePeers checks that all peers are told of a stream where there are few, and some
// of each kind where there are many.
func TestAnnouncePeers(t *testing.T) {
	for _, c := range []struct{ near, far, dead, wantNear, wantFar int }{
		{0, 0, 0, 0, 0},
		{2, 6, 4, 2, 6},
		{3, 6, 0, announceNear, announceFar},
		{27, 56, 5, announceNear, announceFar},
		{1, 30, 0, 1, announceFar},
		{30, 0, 0, announceNear, 0},
	} {
		v := &gossip.View{Self: gossip.Record{ID: "self", Region: "near"}}
		add := func(count int, region ident.Region, alive bool) {
			for i := range count {
				id := ident.Instance(fmt.Sprintf("%s-%v-%d", region, alive, i))
				v.Members = append(v.Members, gossip.Member{Record: gossip.Record{ID: id, Region: region}, Alive: alive, Contact: true})
			}
		}
		add(c.near, "near", true)
		add(c.far, "far", true)
		add(c.dead, "near", false)
		// One that gets no heartbeats, so that there is no link to it.
		v.Members = append(v.Members, gossip.Member{Record: gossip.Record{ID: "unlinked", Region: "far"}, Alive: true})
		near, far := 0, 0
		for _, m := range announcePeers(v) {
			switch {
			case !m.Alive || !m.Contact:
				t.Errorf("%s is told, alive %v, contact %v", m.ID, m.Alive, m.Contact)
			case m.Region == "near":
				near++
			default:
				far++
			}
		}
		if near != c.wantNear || far != c.wantFar {
			t.Errorf("%d and %d peers: %d and %d are told", c.near, c.far, near, far)
		}
	}
}
