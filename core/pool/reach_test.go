package pool

import (
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

// TestColdAcrossCut guards against a cold upstream that is flooded at the end of a cut: what it
// said of being cold while this instance could not connect to it was taken back with what the
// failed connections had led to.
func TestColdAcrossCut(t *testing.T) {
	for _, c := range []struct {
		name string
		// says makes the upstream cold once a connection has failed.
		says func(p *Pool, l *Lease)
	}{
		{"entry of the list", func(p *Pool, _ *Lease) {
			u := testUpstream(0)
			u.WarmupLeft = 2 * time.Second
			p.SetUpstream(start, u)
		}},
		{"answer", func(_ *Pool, l *Lease) { l.MarkCold(start, 2*time.Second) }},
		{"return of its zone", func(p *Pool, _ *Lease) {
			p.EvacuateZone(testUpstream(0).Zone)
			p.RestoreZone(start, testUpstream(0).Zone)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPool("entry-1", 1)
			lease, found := p.Pick(start, prompt("a", 0))
			if !found {
				t.Fatal("no upstream")
			}
			lease.End(start, Unreachable)
			c.says(p, lease)
			p.ClearUnreachable("chat", true)
			if !p.isCold(start.Add(time.Second), p.replicas["engine-0"]) {
				t.Error("the upstream counts as warm after the cut")
			}
		})
	}
}

// TestWarmAfterCut guards against a region that uses no upstream for the time of a warm-up after
// a cut, since connections to all of them had failed.
func TestWarmAfterCut(t *testing.T) {
	p := newPool("entry-1", 1)
	lease, _ := p.Pick(start, prompt("a", 0))
	lease.End(start, Unreachable)
	p.ClearUnreachable("chat", true)
	if p.isCold(start.Add(time.Second), p.replicas["engine-0"]) {
		t.Error("the upstream counts as cold after the cut")
	}
}

// TestColdAfterCutWithOldList guards against upstreams that are flooded at the end of a cut because
// they have restarted behind it, while the list could not be read either.
func TestColdAfterCutWithOldList(t *testing.T) {
	p := newPool("entry-1", 1)
	p.SetRegion(start, []ident.Instance{"entry-1"}, true)
	lease, _ := p.Pick(start, prompt("a", 0))
	lease.End(start, Unreachable)
	p.ClearUnreachable("chat", false)
	if !p.isCold(start.Add(warmupTime-time.Millisecond), p.replicas["engine-0"]) {
		t.Error("the upstream counts as warm after the cut")
	}
	if _, found := p.Pick(start, prompt("a", 0)); !found {
		t.Error("no request is sent to find out")
	}
}
