package pool

import (
	"testing"
	"time"
)

// TestExcessDelay covers a region whose engines all respond late for a reason that isn't
// visible here, such as memory that running requests hold. The projection, which decides
// when requests go to another region, must follow within some responses, for their
// priority class alone, and must decay when no responses arrive any more. The baseline is
// the projection before.
func TestExcessDelay(t *testing.T) {
	p := newPool("entry-1", 16)
	now := start
	request := Request{Service: "chat", Tokens: 200, Priority: 1}
	urgent := Request{Service: "chat", Tokens: 200}
	before, _ := p.Project(now, request)
	urgentBefore, _ := p.Project(now, urgent)
	const late = 800 * time.Millisecond
	const gap = 25 * time.Millisecond
	var leases []*Lease
	for range 120 {
		lease, found := p.Pick(now, request)
		if !found {
			t.Fatal("no upstream")
		}
		leases = append(leases, lease)
		now = now.Add(gap)
		if oldest := leases[0]; now.Sub(oldest.started) >= before.FirstByte+late {
			oldest.ResponseReceived(now)
			oldest.End(now, Answered)
			leases = leases[1:]
		}
	}
	for _, lease := range leases {
		lease.End(now, Cancelled)
	}
	after, _ := p.Project(now, request)
	if after.FirstByte < before.FirstByte+late/2 {
		t.Errorf("projected %s after late responses, %s before", after.FirstByte, before.FirstByte)
	}
	if rise := after.FirstByte - before.FirstByte; rise > 3*late {
		t.Errorf("projected %s later after responses %s late", rise, late)
	}
	if got, _ := p.Project(now, urgent); got.FirstByte > urgentBefore.FirstByte+late/16 {
		t.Errorf("urgent requests are projected at %s, %s before", got.FirstByte, urgentBefore.FirstByte)
	}
	if waits := p.ServiceLoads(now)[0].Waits; waits[1] < late/2 || waits[0] > late/4 {
		t.Errorf("waits reported to other regions: %v", waits)
	}
	decayed, _ := p.Project(now.Add(5*excessDecay), request)
	if decayed.FirstByte > before.FirstByte+late/16 {
		t.Errorf("projected %s after the decay, %s before", decayed.FirstByte, before.FirstByte)
	}
}
