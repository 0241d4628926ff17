package wire

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/poison"
)

// TestLossEvidenceOnWire checks that what an instance knows of lost requests arrives as it
// was sent.
func TestLossEvidenceOnWire(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	evidence := gossip.LossEvidence{
		Lost: []gossip.LostRequest{
			{ID: 1 << 63, Traits: gossip.Traits{Fingerprint: 1<<61 + 1, Parts: []gossip.TraitKey{7, 1 << 62}}, Age: 300 * time.Millisecond},
			{ID: 2},
			{ID: 3, Begun: true, Traits: gossip.Traits{Parts: []gossip.TraitKey{8}}, Age: time.Second},
		},
		Sound: []gossip.SoundTrait{{Trait: 9, Age: time.Second}},
	}
	sent := gossip.Record{ID: "entry-1", PeerAddress: address, CallerAddress: address, LossEvidence: evidence}
	got, err := GossipRecordsFromWire(GossipRecordsToWire([]gossip.Record{sent}))
	if err != nil || !reflect.DeepEqual(got[0].LossEvidence, evidence) {
		t.Errorf("%+v, error %v", got, err)
	}
}

// TestEvidenceBytes guards against heartbeats that grow with the parts of prompts, which callers choose.
func TestEvidenceBytes(t *testing.T) {
	const maxBytes = 12 << 10
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	size := func(e gossip.LossEvidence) int {
		return proto.Size(GossipRecordsToWire([]gossip.Record{{ID: "entry-1", PeerAddress: address, CallerAddress: address, LossEvidence: e}}))
	}
	now := time.Unix(1_000_000, 0)
	for _, losses := range []int{1, 64} {
		for _, parts := range []int{10, 100, 1000} {
			d := &poison.Detector{Self: "entry-1"}
			for i := range losses {
				traits := gossip.Traits{Fingerprint: gossip.TraitKey(1<<60 + i)}
				for part := range parts {
					traits.Parts = append(traits.Parts, gossip.TraitKey(1<<61+i*parts+part))
				}
				d.RequestLost(now, 1<<62+uint64(i), traits, poison.Waiting)
			}
			bytes := size(d.Evidence(now.Add(time.Second))) - size(gossip.LossEvidence{})
			t.Logf("%d lost requests of %d parts: %d bytes", losses, parts, bytes)
			if bytes > maxBytes {
				t.Errorf("%d lost requests of %d parts: %d bytes", losses, parts, bytes)
			}
		}
	}
}
