package wire

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
)

// TestPromptEvidenceOnWire checks that what an instance knows of prompt parts arrives as it
// was sent.
func TestPromptEvidenceOnWire(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	evidence := gossip.PromptEvidence{
		Lost: []gossip.LostRequest{
			{ID: 1 << 63, Parts: []gossip.PartKey{7, 1 << 62}, Age: 300 * time.Millisecond},
			{ID: 2},
		},
		Begun: []gossip.BegunPart{{Part: 9, Age: time.Second}},
	}
	sent := gossip.Record{ID: "entry-1", PeerAddress: address, CallerAddress: address, PromptEvidence: evidence}
	got, err := GossipRecordsFromWire(GossipRecordsToWire([]gossip.Record{sent}))
	if err != nil || !reflect.DeepEqual(got[0].PromptEvidence, evidence) {
		t.Errorf("%+v, error %v", got, err)
	}
}
