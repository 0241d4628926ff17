package pool

import (
	"testing"
	"time"
)

// TestExcess answers the pattern of a region whose engines all answer late for a reason
// that isn't seen here, such as memory that running requests hold. The projection, by
// which requests go to another region, has to follow within some answers, for their
// rank alone, and to fade when no answers come any more. Its baseline is the projection
// before.
func TestExcess(t *testing.T) {
	p := newPool("entry-1", 16)
	now := start
	ask := Request{Service: "chat", Tokens: 200, Priority: 1}
	urgent := Request{Service: "chat", Tokens: 200}
	before, _ := p.Project(now, ask)
	urgentBefore, _ := p.Project(now, urgent)
	const late = 800 * time.Millisecond
	const gap = 25 * time.Millisecond
	var waiting []*Lease
	for range 120 {
		lease, found := p.Pick(now, ask)
		if !found {
			t.Fatal("no upstream")
		}
		waiting = append(waiting, lease)
		now = now.Add(gap)
		if oldest := waiting[0]; now.Sub(oldest.started) >= before.FirstByte+late {
			oldest.ResponseReceived(now)
			oldest.End(now, Answered)
			waiting = waiting[1:]
		}
	}
	for _, lease := range waiting {
		lease.End(now, Cancelled)
	}
	after, _ := p.Project(now, ask)
	if after.FirstByte < before.FirstByte+late/2 {
		t.Errorf("projected %s after late answers, %s before", after.FirstByte, before.FirstByte)
	}
	if rise := after.FirstByte - before.FirstByte; rise > 3*late {
		t.Errorf("projected %s later after answers %s late", rise, late)
	}
	if got, _ := p.Project(now, urgent); got.FirstByte > urgentBefore.FirstByte+late/16 {
		t.Errorf("urgent ones are projected at %s, %s before", got.FirstByte, urgentBefore.FirstByte)
	}
	if waits := p.ServiceLoads(now)[0].Waits; waits[1] < late/2 || waits[0] > late/4 {
		t.Errorf("other regions are told %v", waits)
	}
	faded, _ := p.Project(now.Add(5*excessTime), ask)
	if faded.FirstByte > before.FirstByte+late/16 {
		t.Errorf("projected %s long after, %s before", faded.FirstByte, before.FirstByte)
	}
}
