package pool

import (
	"testing"
	"time"
)

// TestEntryOfEarlierRunWrittenLate guards against a cold upstream that is flooded by all instances at
// once since the store does a write of its run before, which was warm, only after its new run has
// described itself.
func TestEntryOfEarlierRunWrittenLate(t *testing.T) {
	p := newPool("entry-1", 0)
	first := testUpstream(0)
	first.StartTime, first.Sequence = start, 40
	p.SetUpstream(start, first)
	second := first
	second.StartTime, second.Sequence, second.WarmupLeft = start.Add(time.Minute), 1, warmupTime
	at := start.Add(time.Minute)
	p.SetUpstream(at, second)
	if p.SetUpstream(at.Add(time.Second), first) {
		t.Error("the earlier run is taken for a new one")
	}
	expectColdAt(t, p, at.Add(time.Second))
	if got := p.replicas[first.ID].StartTime; !got.Equal(second.StartTime) {
		t.Errorf("the run that started at %s is held", got)
	}
	second.Sequence, second.WarmupLeft = 2, warmupTime-time.Second
	p.SetUpstream(at.Add(time.Second), second)
	expectColdAt(t, p, at.Add(2*time.Second))

	// Another writer may have described a later run than there is.
	first.Sequence = 60
	if !p.SetUpstream(at.Add(lateWriteTime), first) {
		t.Error("an upstream is never described again by itself")
	}
}

func expectColdAt(t *testing.T, p *Pool, now time.Time) {
	t.Helper()
	if !p.isCold(now, p.replicas["engine-0"]) {
		t.Errorf("at %s the upstream counts as warm", now.Sub(start))
	}
}
