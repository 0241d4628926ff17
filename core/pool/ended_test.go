package pool

import (
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// expectCold checks whether the upstream counts as cold at a time after the start.
func expectCold(t *testing.T, p *Pool, after time.Duration, want bool) {
	t.Helper()
	if got := p.isCold(start.Add(after), p.replicas["engine-0"]); got != want {
		t.Errorf("after %s: cold %t, want %t", after, got, want)
	}
}

// TestEndToldByPeer guards against a cold upstream that is flooded by the instances that did not
// notice that it ended, because those that did told nobody.
func TestEndToldByPeer(t *testing.T) {
	finder, told := newPool("entry-1", 1), newPool("entry-2", 1)
	u := testUpstream(0)
	finder.MarkEnded(start, u.ID, u.Address)
	ends := finder.EndedUpstreams(start.Add(100 * time.Millisecond))
	if news := told.SetPeerEnds(start.Add(100*time.Millisecond), ends); len(news) != 1 {
		t.Fatalf("news %v", news)
	}
	expectCold(t, told, 5*time.Second, true)
	if own := told.EndedUpstreams(start.Add(time.Second)); len(own) != 0 {
		t.Errorf("passed on as its own: %v", own)
	}

	next := u
	next.StartTime = start.Add(time.Second)
	told.SetUpstream(start.Add(time.Second), next)
	told.SetPeerEnds(start.Add(2*time.Second), finder.EndedUpstreams(start.Add(2*time.Second)))
	expectCold(t, told, 2*time.Second, false)
}

// TestEndOutlastsWarmup guards against a cold upstream that is flooded because it stays down for
// longer than its warm-up takes, while the store is away: when it is back it is cold until its
// warm-up has passed.
func TestEndOutlastsWarmup(t *testing.T) {
	sender, told := newPool("entry-1", 1), newPool("entry-2", 1)
	u := testUpstream(0)
	sender.MarkEnded(start, u.ID, u.Address)
	told.SetPeerEnds(start, sender.EndedUpstreams(start))
	expectCold(t, told, 10*time.Second, true)

	back := start.Add(10 * time.Second)
	sender.SetRegion(back, []ident.Instance{"entry-1"}, true)
	lease, found := sender.Pick(back, prompt("a", 0))
	if !found {
		t.Fatal("the sender does not try the upstream")
	}
	lease.ResponseReceived(back.Add(time.Millisecond))
	told.SetPeerEnds(back.Add(100*time.Millisecond), sender.EndedUpstreams(back.Add(100*time.Millisecond)))
	for _, p := range []*Pool{sender, told} {
		expectCold(t, p, 10*time.Second+warmupTime-time.Millisecond, true)
		expectCold(t, p, 10*time.Second+warmupTime+time.Second, false)
	}
	lease.End(back.Add(time.Second), Answered)
}

// TestEndIsForgotten guards against an upstream that stays cold for ever since a peer once found
// it to have ended and no request has gone there since.
func TestEndIsForgotten(t *testing.T) {
	p := newPool("entry-1", 1)
	u := testUpstream(0)
	p.SetPeerEnds(start, []gossip.UpstreamEnd{{UpstreamRun: gossip.UpstreamRun{Upstream: u.ID, StartTime: u.StartTime}}})
	expectCold(t, p, endMemory-time.Second, true)
	expectCold(t, p, endMemory, false)
}

// TestReportedEndOnCut guards against the end of an upstream that is forgotten when a cut of this
// instance ends.
func TestReportedEndOnCut(t *testing.T) {
	p := newPool("entry-1", 1)
	u := testUpstream(0)
	p.MarkEnded(start, u.ID, u.Address)
	p.ClearUnreachable(u.Service, true)
	expectCold(t, p, time.Second, true)
}

// TestVersionAfterEnd guards against a stream that is bound to the version of the run before: it
// began at an upstream that has ended and come back with other software before the list shows
// that. Nor may one version count as the only one in use meanwhile.
func TestVersionAfterEnd(t *testing.T) {
	p := newPool("entry-1", 1)
	p.MarkListRead(start, time.Time{})
	begun := prompt("a", 0)
	begun.VersionBound.Proved = true
	now := start.Add(versionMemory)
	p.SetRegion(now, []ident.Instance{"entry-1"}, true)
	lease, found := p.Pick(now, begun)
	if !found {
		t.Fatal("no upstream for a stream that begins")
	}
	if _, sole := p.SoleVersion(now, "chat", time.Second); !sole {
		t.Fatal("the only version isn't known")
	}
	u := testUpstream(0)
	p.SetPeerEnds(now, []gossip.UpstreamEnd{{UpstreamRun: gossip.UpstreamRun{Upstream: u.ID, StartTime: u.StartTime}}})
	if _, admitted := lease.AdmitSend(now); admitted {
		t.Error("a stream is sent to an upstream whose version isn't proved")
	}
	if _, found := p.Pick(now, begun); found {
		t.Error("an upstream whose version isn't proved is chosen for a stream")
	}
	other, found := p.Pick(now, prompt("a", 0))
	if !found {
		t.Fatal("no other request is sent there")
	}
	now = now.Add(time.Millisecond)
	other.started = now
	other.ResponseReceived(now)
	if _, sole := p.SoleVersion(now, "chat", time.Second); sole {
		t.Error("one version counts as the only one in use")
	}
	now = now.Add(time.Second)
	p.SetRegion(now, []ident.Instance{"entry-1"}, true)
	unproved := begun
	unproved.UnprovedSuffices = true
	if l, found := p.Pick(now, unproved); !found || l.ProvesVersion(now) {
		t.Error("a stream that need not go on isn't begun, or its version counts as proved")
	}
	next := u
	next.StartTime = now
	p.SetUpstream(now, next)
	if _, found := p.Pick(now, begun); !found {
		t.Error("not chosen for a stream once the list shows the new run")
	}
}
