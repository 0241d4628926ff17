package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutustrestle/core/load"
)

// TestMeterReusesSlots sends short requests, one after the other, to a region with
// four free slots, which this entry shares with another one. Without Ended it could
// send two before the next summary.
func TestMeterReusesSlots(t *testing.T) {
	now := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	remote := RemoteRegion{Load: load.RegionLoad{Region: "north", FreeSlots: 4, AsOf: now}, MaxShare: 1, Senders: 2}
	var m SpillLimiter
	send := func(end bool) int {
		sent := 0
		for range 100 {
			m.earn(now, []RemoteRegion{remote})
			if !m.room(random, &remote) {
				continue
			}
			m.spend(&remote)
			sent++
			if end {
				m.Release("north")
			}
		}
		return sent
	}
	if sent := send(true); sent != 100 {
		t.Errorf("sent %d of 100 requests that each ended", sent)
	}
	if sent := send(false); sent != 2 {
		t.Errorf("sent %d requests that don't end to 2 slots", sent)
	}
	// What a new summary shows as free is not given back a second time.
	remote.Load.AsOf = now.Add(time.Second)
	m.room(random, &remote)
	m.Release("north")
	if sent := send(false); sent != 2 {
		t.Errorf("sent %d requests after the next summary", sent)
	}
}
