package wire

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
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
