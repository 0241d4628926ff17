package wire

import (
	"net/netip"
	"reflect"
	"testing"

	"arbutustrestle/core/gossip"
)

// TestBegunStreamsOnWire checks that begun streams, and the versions that a region offers,
// arrive as they were sent.
func TestBegunStreamsOnWire(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	sent := gossip.Record{
		ID: "entry-1", PeerAddress: address, CallerAddress: address,
		ServiceLoads: []gossip.ServiceLoad{{Service: "chat", Upstreams: 2, Versions: []string{"v1", "v2"}}},
		BegunStreams: []gossip.BegunStreams{
			{Origin: gossip.StreamOrigin{Service: "chat", Version: "v1"}, Keys: []gossip.StreamKey{1 << 63, 2}},
			{Origin: gossip.StreamOrigin{Service: "chat"}, Keys: []gossip.StreamKey{3}},
		},
	}
	got, err := GossipRecordsFromWire(GossipRecordsToWire([]gossip.Record{sent}))
	if err != nil || !reflect.DeepEqual(got[0].BegunStreams, sent.BegunStreams) || !reflect.DeepEqual(got[0].ServiceLoads, sent.ServiceLoads) {
		t.Errorf("%+v, error %v", got, err)
	}
}
