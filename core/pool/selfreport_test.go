package pool

import (
	"testing"
	"time"

	"arbutustrestle/core/gossip"
)

// sendable reports whether a new request may be chosen for, and sent to, the only upstream
// of a pool.
func sendable(p *Pool, now time.Time) bool {
	lease, found := p.Pick(now, prompt("a", 0))
	if !found {
		return false
	}
	_, admitted := lease.AdmitSend(now)
	lease.End(now, Cancelled)
	return admitted
}

// TestLeavingUpstream guards against requests to an upstream that has said that it leaves:
// those that wait for a connection, and new ones, whatever the list says later. Its next
// run takes requests.
func TestLeavingUpstream(t *testing.T) {
	p := newPool("entry-1", 1)
	lease, _ := p.Pick(start, prompt("a", 0))
	waiting, _ := p.Pick(start, prompt("a", 0))
	if !lease.ReportLeaving() || lease.ReportLeaving() {
		t.Error("the first report is no news, or the second is")
	}
	if _, admitted := waiting.AdmitSend(start); admitted {
		t.Error("a waiting request is sent")
	}
	if sendable(p, start) {
		t.Error("a new request is sent")
	}
	ready := testUpstream(0)
	ready.Sequence = 9
	p.SetUpstream(start, ready)
	if sendable(p, start) {
		t.Error("sent after the list says that the upstream is ready")
	}
	p.RemoveUpstream(start, ready.ID)
	p.SetUpstream(start.Add(time.Second), ready)
	if sendable(p, start.Add(time.Second)) {
		t.Error("sent after the upstream was missing from the list")
	}
	ready.StartTime = start
	p.SetUpstream(start.Add(2*time.Second), ready)
	if !sendable(p, start.Add(2*time.Second)) {
		t.Error("the next run gets nothing")
	}
}

// TestLeavingByPeers checks that instances of a region learn from each other that an
// upstream leaves, of the run that said so only.
func TestLeavingByPeers(t *testing.T) {
	told, other := newPool("entry-1", 1), newPool("entry-2", 1)
	lease, _ := told.Pick(start, prompt("a", 0))
	lease.ReportLeaving()
	runs := told.LeavingUpstreams()
	if news := other.SetPeerLeaving(runs); len(news) != 1 || sendable(other, start) {
		t.Errorf("news %v, but requests are sent", news)
	}
	if news := other.SetPeerLeaving(runs); len(news) != 0 {
		t.Errorf("news twice: %v", news)
	}
	restarted := newPool("entry-3", 0)
	u := testUpstream(0)
	u.StartTime = start
	restarted.SetUpstream(start, u)
	if restarted.SetPeerLeaving(runs); !sendable(restarted, start) {
		t.Error("the next run gets nothing")
	}
	if restarted.SetPeerLeaving([]gossip.UpstreamRun{{Upstream: "unknown"}}); len(restarted.LeavingUpstreams()) != 0 {
		t.Error("an unknown upstream leaves")
	}
}

// TestPausedUpstream guards against requests to an upstream in the time for which it has
// said that it wants none: those that wait for a connection, and new ones. A shorter pause
// doesn't end a longer one, and a very long one is shortened.
func TestPausedUpstream(t *testing.T) {
	p := newPool("entry-1", 1)
	lease, _ := p.Pick(start, prompt("a", 0))
	waiting, _ := p.Pick(start, prompt("a", 0))
	lease.ReportPause(start, 10*time.Second)
	lease.ReportPause(start, time.Second)
	if _, admitted := waiting.AdmitSend(start); admitted {
		t.Error("a waiting request is sent")
	}
	waiting.End(start, Cancelled)
	lease.End(start, Refused)
	before, after := start.Add(10*time.Second-time.Millisecond), start.Add(10*time.Second)
	if sendable(p, before) || !sendable(p, after) {
		t.Error("the pause isn't kept to its end")
	}
	if kept := lease.ReportPause(after, 100*time.Hour); kept != maxPause {
		t.Errorf("%s kept", kept)
	}
	if loads := p.ServiceLoads(after.Add(time.Minute)); len(loads) != 0 {
		t.Errorf("other regions are told of %v", loads)
	}
}

// TestPauseLeft checks that the time until an upstream takes requests again is known if all
// of them have asked for a pause.
func TestPauseLeft(t *testing.T) {
	p := newPool("entry-1", 2)
	if left := p.PauseLeft(start, prompt("a", 0)); left != 0 {
		t.Errorf("%s left without a pause", left)
	}
	for i, pause := range []time.Duration{9 * time.Second, 4 * time.Second} {
		lease, found := p.Pick(start, prompt("a", 0))
		if !found {
			t.Fatal("no upstream")
		}
		lease.ReportPause(start, pause)
		if left := p.PauseLeft(start, prompt("a", 0)); left != []time.Duration{0, 4 * time.Second}[i] {
			t.Errorf("%s left after %d pauses", left, i+1)
		}
	}
}
