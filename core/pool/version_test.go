package pool

import (
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

func versioned(id ident.Upstream, version string) Upstream {
	return Upstream{ID: id, Service: "chat", Version: version, Region: "near", Zone: "z", Slots: 8}
}

// TestVersionBound checks that a stream goes on only at upstreams with the version that began
// it, whatever their load, and not at one that has just ended, whose listed version may be
// that of its last run.
func TestVersionBound(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Self: "entry-1", Region: "near", PromptRate: 60})
	p.SetUpstream(now, versioned("old", "v1"))
	p.SetUpstream(now, versioned("new", "v2"))
	pick := func(version string) (*Lease, bool) {
		lease, found := p.Pick(now, Request{Service: "chat", VersionBound: VersionBound{Bound: true, Version: version}})
		if found {
			lease.End(now, Answered)
		}
		return lease, found
	}
	for range 8 {
		if lease, found := pick("v1"); !found || lease.Upstream.ID != "old" {
			t.Fatal("not at the version that began it")
		}
	}
	if _, found := pick("v3"); found {
		t.Error("at another version, as there is none")
	}
	if _, found := pick(""); found {
		t.Error("a version that isn't published counts as one that is")
	}
	lease, _ := pick("v2")
	lease.MarkEnded(now)
	if _, found := pick("v2"); found {
		t.Error("at an upstream that has ended")
	}
	unbound, found := p.Pick(now, Request{Service: "chat", Excluded: []ident.Upstream{"old"}})
	if !found {
		t.Fatal("a new request is bound too")
	}
	now = now.Add(time.Second)
	unbound.started = now
	unbound.ResponseReceived(now)
	unbound.End(now, Answered)
	for range unprovenTime / time.Second {
		now = now.Add(time.Second)
		p.MarkListHeard(now)
	}
	now = now.Add(time.Second)
	p.MarkListHeard(now)
	if _, found := pick("v2"); !found {
		t.Error("never again at an upstream that had ended")
	}
	p.SetUpstream(now, versioned("new", "v3"))
	if _, found := pick("v3"); !found {
		t.Error("the next version under the same id isn't known")
	}
}

// TestVersionProvedByList guards against a stream that goes on at other software, since the listed
// version of an upstream that has ended counts again though nobody has heard of the list: a store that
// is away, or has just come back, shows no new run. It guards as well against an upstream that never
// counts again.
func TestVersionProvedByList(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for _, c := range []struct {
		name string
		// returns is the second of the first answer after the end, and away are the first and last
		// second without word of the list.
		returns, awayFrom, awayTo int
		// proved is the second from which on the version is proved again.
		proved int
	}{
		{"the list is followed", 2, 0, 0, 7},
		{"back after some time", 8, 0, 0, 13},
		{"the store is away from before the end", 2, -1, 8, 14},
		{"the store is away from after the return", 2, 4, 12, 18},
		{"the store is away for a moment", 2, 4, 4, 7},
		{"the store is away for good", 2, 1, 99, 99},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(Settings{Self: "entry-1", Region: "near", PromptRate: 60})
			p.SetUpstream(second(-10), versioned("u", "v1"))
			for n := -10; n < 30; n++ {
				now := second(n)
				if n < c.awayFrom || n > c.awayTo || c.awayTo == 0 {
					p.MarkListHeard(now)
				}
				r := p.replicas["u"]
				switch n {
				case 0:
					p.markEnded(now, r)
				case c.returns:
					p.recordReturn(now, now, r)
				}
				if proved, want := p.versionProved(now, r), n < 0 || n >= c.proved; proved != want {
					t.Errorf("at %d s: proved is %v", n, proved)
				}
			}
		})
	}
}

// TestVersionUnprovenAtSend guards against a stream that goes on at other software under the
// same id: its upstream ended after it was chosen, while the request waited for a connection.
func TestVersionUnprovenAtSend(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Self: "entry-1", Region: "near", PromptRate: 60})
	p.SetUpstream(now, versioned("u", "v1"))
	bound, _ := p.Pick(now, Request{Service: "chat", VersionBound: VersionBound{Bound: true, Version: "v1"}})
	unbound, _ := p.Pick(now, Request{Service: "chat"})
	unbound.MarkEnded(now.Add(time.Millisecond))
	now = now.Add(time.Second)
	if _, admitted := bound.AdmitSend(now); admitted {
		t.Error("a stream goes on at an upstream that has ended since it was chosen")
	}
	if _, admitted := unbound.AdmitSend(now); !admitted {
		t.Error("a new request isn't sent")
	}
}

// TestSoleVersion checks when a stream can have begun at one version only: upstreams of other
// regions count, and so do versions whose last upstream has left lately.
func TestSoleVersion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const streamLife = 8 * time.Second
	p := New(Settings{Self: "entry-1", Region: "near"})
	p.MarkListRead(now, time.Time{})
	now = now.Add(streamLife)
	check := func(step, want string, sole bool) {
		t.Helper()
		if version, found := p.SoleVersion(now, "chat", streamLife); found != sole || version != want {
			t.Errorf("%s: %q, %v", step, version, found)
		}
	}
	check("none listed", "", false)
	p.SetUpstream(now, versioned("a", "v1"))
	check("one", "v1", true)
	far := versioned("b", "v2")
	far.Region = "far"
	p.SetUpstream(now, far)
	check("another one in another region", "", false)
	p.RemoveUpstream(now, "a")
	now = now.Add(versionMemory)
	check("the first has left lately", "", false)
	now = now.Add(time.Second)
	check("long ago", "v2", true)
	p.SetUpstream(now, versioned("b", "v3"))
	check("another version under the same id", "", false)
}

// TestSoleVersionAfterStart guards against a stream that goes on at the only version that is
// listed, though it began at one that left while this instance wasn't there to see it. An
// instance that has just started, or has not read the list for a while, must have followed it
// for as long as streams last, unless a peer that has tells it.
func TestSoleVersionAfterStart(t *testing.T) {
	const streamLife = 8 * time.Second
	start := time.Unix(1_000_000, 0)
	list := func() *Pool {
		p := New(Settings{Self: "entry-1", Region: "near"})
		p.SetUpstream(start, versioned("a", "v2"))
		p.MarkListRead(start, time.Time{})
		return p
	}
	peer := list()
	peer.SetUpstream(start, versioned("b", "v1"))
	peer.RemoveUpstream(start.Add(time.Second), "b")
	calm := list()
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for _, c := range []struct {
		name  string
		tell  func(p *Pool)
		after int
		sole  bool
	}{
		{"just started", func(*Pool) {}, 1, false},
		{"nearly as long as streams last", func(*Pool) {}, 7, false},
		{"as long as streams last", func(*Pool) {}, 8, true},
		{"told by a peer that has followed for long", func(p *Pool) { p.LearnVersions(second(20), calm.VersionHistory(second(20))) }, 20, true},
		{"told by one that has just started too", func(p *Pool) { p.LearnVersions(second(3), calm.VersionHistory(second(3))) }, 4, false},
		{"told of a version that left before", func(p *Pool) { p.LearnVersions(second(20), peer.VersionHistory(second(20))) }, 21, false},
		{"told that long ago", func(p *Pool) { p.LearnVersions(second(20), peer.VersionHistory(second(20))) }, 62, true},
		{"told of one that isn't listed here yet", func(p *Pool) {
			p.LearnVersions(second(20), gossip.VersionHistory{Followed: time.Minute, InUse: []gossip.VersionUse{{Service: "chat", Version: "v3"}}})
		}, 30, false},
		{"the list wasn't read for a while", func(p *Pool) { p.MarkListRead(second(20), second(17)) }, 21, false},
		{"the list was read again at once", func(p *Pool) { p.MarkListRead(second(20), second(19)) }, 21, true},
	} {
		p := list()
		c.tell(p)
		if _, sole := p.SoleVersion(second(c.after), "chat", streamLife); sole != c.sole {
			t.Errorf("%s: sole is %v", c.name, sole)
		}
	}
	early := New(Settings{Self: "entry-1", Region: "near"})
	early.LearnVersions(second(20), calm.VersionHistory(second(20)))
	if _, sole := early.SoleVersion(second(20), "chat", streamLife); sole {
		t.Error("sole before the list is read")
	}
	early.SetUpstream(second(21), versioned("a", "v2"))
	early.MarkListRead(second(21), time.Time{})
	if version, sole := early.SoleVersion(second(21), "chat", streamLife); !sole || version != "v2" {
		t.Error("what a peer told before the list was read is forgotten")
	}
}
