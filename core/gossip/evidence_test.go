package gossip

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

// TestLossEvidence checks that evidence reaches instances of all regions, that it grows
// older while its sender is silent, and that it isn't passed on by a third instance, which
// would make it seem younger.
func TestLossEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	far := Record{ID: "far", Incarnation: 1, Region: "r-2", PeerAddress: netip.MustParseAddrPort("10.0.0.2:1")}
	s := New(Record{ID: "near", Incarnation: 1, Region: "r-1", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")}, nil, rand.New(rand.NewPCG(1, 2)))
	s.UpdateSelf(func(r *Record) { r.LossEvidence = LossEvidence{Lost: []LostRequest{{ID: 5}}} })
	far.Sequence = 1
	far.LossEvidence = LossEvidence{Lost: []LostRequest{{ID: 6, Age: time.Second}}}
	s.Receive(now, []Record{far})
	later := now.Add(2 * time.Second)
	if got := s.View(later).Members[0].EvidenceAt(later); len(got.Lost) != 1 || got.Lost[0].Age != 3*time.Second {
		t.Errorf("held: %+v", got)
	}
	sent := 0
	for _, hb := range s.DueHeartbeats(now) {
		if lost := hb.Records[0].LossEvidence.Lost; hb.To == "far" && len(lost) == 1 && lost[0].ID == 5 {
			sent++
		}
		for _, r := range hb.Records[1:] {
			if len(r.LossEvidence.Lost) > 0 {
				t.Errorf("evidence of %s passed on", r.ID)
			}
		}
	}
	if sent == 0 {
		t.Error("no evidence sent to another region")
	}
}

// TestRegionStreams checks that the streams that only the region needs to hear of stay there.
func TestRegionStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Record{ID: "self", Incarnation: 1, Region: "r-1", PeerAddress: netip.MustParseAddrPort("10.0.0.1:1")}, nil, rand.New(rand.NewPCG(1, 2)))
	s.UpdateSelf(func(r *Record) {
		r.BegunStreams = []BegunStreams{{Keys: []StreamKey{1}}}
		r.RegionStreams = []BegunStreams{{Keys: []StreamKey{2}}}
	})
	for i, region := range []string{"r-1", "r-2"} {
		address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), uint16(i+1))
		s.Receive(now, []Record{{ID: ident.Instance(region), Incarnation: 1, Sequence: 1, Region: ident.Region(region), PeerAddress: address}})
	}
	most := map[ident.Instance]int{}
	for range 20 {
		now = now.Add(TickInterval)
		for _, hb := range s.DueHeartbeats(now) {
			own := hb.Records[0]
			most[hb.To] = max(most[hb.To], len(own.BegunStreams))
			if len(own.RegionStreams) > 0 {
				t.Errorf("to %s: %v", hb.To, own.RegionStreams)
			}
		}
	}
	if most["r-1"] != 2 || most["r-2"] != 1 {
		t.Errorf("groups of streams told: %v", most)
	}
}
