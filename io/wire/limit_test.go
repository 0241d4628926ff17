package wire

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
)

// The limits of upstreams arrive as they were sent; a rate that no upstream can name is
// taken as zero.
func TestLimitsOnWire(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	limits := []gossip.UpstreamLimit{
		{Upstream: "u-1", StartTime: time.UnixMilli(1000), RateLimit: gossip.RateLimit{Named: true, PerSecond: 1.6}, Age: 300 * time.Millisecond},
		{Upstream: "u-2"},
	}
	sent := gossip.Record{ID: "entry-1", PeerAddress: address, CallerAddress: address, UpstreamLimits: limits}
	got, err := GossipRecordsFromWire(GossipRecordsToWire([]gossip.Record{sent}))
	if err != nil || !slices.Equal(got[0].UpstreamLimits, limits) {
		t.Errorf("%v, error %v", got, err)
	}
	for _, rate := range []float64{math.Inf(1), math.NaN(), -1} {
		if l := limitFromWire(&UpstreamLimit{Named: true, PerSecond: rate}); l.PerSecond != 0 || !l.Named {
			t.Errorf("%v: %v", rate, l)
		}
	}
}
