package pool

import (
	"testing"
	"time"

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
	unbound.End(now, Answered)
	now = now.Add(unprovenTime)
	if _, found := pick("v2"); !found {
		t.Error("never again at an upstream that had ended")
	}
	p.SetUpstream(now, versioned("new", "v3"))
	if _, found := pick("v3"); !found {
		t.Error("the next version under the same id isn't known")
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
	p := New(Settings{Self: "entry-1", Region: "near"})
	check := func(step, want string, sole bool) {
		t.Helper()
		if version, found := p.SoleVersion(now, "chat"); found != sole || version != want {
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
