package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutustrestle/core/load"
)

// TestSpillLimiterReusesReleasedSlots sends short requests one after the other to a
// region with four free slots, which two instances share. Without Release only two
// requests could be sent before the next summary.
func TestSpillLimiterReusesReleasedSlots(t *testing.T) {
	now := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	remote := RemoteRegion{Load: load.RegionLoad{Region: "north", FreeSlots: 4, AsOf: now}, MaxShare: 1, Senders: 2}
	var limiter SpillLimiter
	send := func(release bool) int {
		sent := 0
		for range 100 {
			limiter.addRequest(now, []RemoteRegion{remote})
			if !limiter.allows(random, &remote) {
				continue
			}
			limiter.recordSpill(&remote)
			sent++
			if release {
				limiter.Release("north")
			}
		}
		return sent
	}
	if sent := send(true); sent != 100 {
		t.Errorf("sent %d of 100 requests that are released at once, want 100", sent)
	}
	if sent := send(false); sent != 2 {
		t.Errorf("sent %d requests that are not released to 2 slots, want 2", sent)
	}
	// Slots that the new summary reports as free are not released a second time.
	remote.Load.AsOf = now.Add(time.Second)
	limiter.allows(random, &remote)
	limiter.Release("north")
	if sent := send(false); sent != 2 {
		t.Errorf("sent %d requests after the next summary, want 2", sent)
	}
}
