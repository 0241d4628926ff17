package pool

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/spec"
)

var start = time.Unix(1_800_000_000, 0)

func listed(n int) Upstream {
	return Upstream{
		ID:        ident.Upstream(fmt.Sprintf("engine-%d", n)),
		StartTime: start.Add(-time.Hour),
		Service:   "chat",
		Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80),
		Zone:      ident.Zone(fmt.Sprintf("zone-%d", n%2)),
		Region:    "west",
		Slots:     64,
	}
}

func newPool(self ident.Instance, engines int) *Pool {
	p := New(Settings{Self: self, Region: "west", PromptRate: 60})
	p.SetServices(map[ident.Service]spec.Service{
		"chat": {Name: "chat", Warmup: 3 * time.Second, WarmupRate: 2.5, Engine: true},
	})
	for n := range engines {
		p.SetUpstream(start, listed(n))
	}
	return p
}

// prompt is a request for a subject with some tokens of its own.
func prompt(subject string, rank int) Request {
	return Request{
		Service:  "chat",
		Tokens:   12000,
		Priority: rank,
		Parts:    []PromptPart{{"system", 500}, {subject, 4900}, {subject + "-own", 6600}},
	}
}

// An upstream that drains, is in an evacuated zone, has left, or is of another region
// gets nothing new.
func TestTaken(t *testing.T) {
	cases := []struct {
		name   string
		change func(p *Pool)
	}{
		{"draining", func(p *Pool) {
			l := listed(0)
			l.Draining = true
			p.SetUpstream(start, l)
		}},
		{"evacuated", func(p *Pool) { p.EvacuateZone("zone-0") }},
		{"left", func(p *Pool) { p.RemoveUpstream("engine-0") }},
		{"replaced", func(p *Pool) {
			l := listed(0)
			l.Service = "other"
			p.SetUpstream(start, l)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPool("entry-1", 1)
			if _, found := p.Project(start, prompt("a", 0)); !found {
				t.Fatal("not usable before")
			}
			c.change(p)
			if _, found := p.Pick(start, prompt("a", 0)); found {
				t.Fatal("picked")
			}
		})
	}
	p := newPool("entry-1", 0)
	l := listed(0)
	l.Region = "north"
	p.SetUpstream(start, l)
	if _, found := p.Pick(start, prompt("a", 0)); found {
		t.Error("an upstream of another region is picked")
	}
}

// An upstream that comes back under its id is another run: nothing of what was
// believed of the first one counts, and leases of the first one change nothing.
func TestNewRun(t *testing.T) {
	p := newPool("entry-1", 1)
	lease, _ := p.Pick(start, prompt("a", 0))
	again := listed(0)
	again.StartTime = start
	again.WarmupLeft = 3 * time.Second
	if !p.SetUpstream(start, again) {
		t.Fatal("a new run changes nothing")
	}
	lease.End(start, Broken)
	if r := p.replicas["engine-0"]; r.inFlight != 0 || r.failures != 0 || !r.isCold(start) || r.prompts.total != 0 {
		t.Errorf("the new run inherits %+v", r)
	}
}

// Two entries that disagree on who feeds a cold upstream send no more together than
// the rules allow in any second: its rate and half as much again, and a few more.
func TestColdFeeders(t *testing.T) {
	const allowed = 2.5*1.5 + 3
	cold := listed(0)
	cold.WarmupLeft = 30 * time.Second
	views := [][]ident.Instance{
		{"entry-1", "entry-2", "entry-3"},
		{"entry-1"},
		{"entry-2"},
	}
	var sends []time.Time
	for _, view := range views {
		for _, self := range view {
			p := newPool(self, 0)
			p.SetUpstream(start, cold)
			p.SetRegionInstances(view)
			for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
				now := start.Add(at)
				if lease, found := p.Pick(now, prompt("a", 0)); found {
					sends = append(sends, now)
					lease.End(now.Add(time.Millisecond), Answered)
				}
			}
		}
	}
	// The view of all three and one of the lone ones overlap in one feeder at most.
	perFeeder := map[time.Time]int{}
	for _, at := range sends {
		perFeeder[at]++
	}
	for at := range perFeeder {
		n := 0
		for _, other := range sends {
			if !other.Before(at) && other.Before(at.Add(time.Second)) {
				n++
			}
		}
		if feeders := 3; float64(n) > allowed*float64(feeders)/2 {
			t.Fatalf("%d requests in the second from %s, of three feeders", n, at.Sub(start))
		}
	}
}

// A zone that is taken back counts as cold.
func TestRestoredIsCold(t *testing.T) {
	p := newPool("entry-1", 1)
	p.EvacuateZone("zone-0")
	p.RestoreZone(start, "zone-0")
	picked := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		if _, found := p.Pick(start.Add(at), prompt("a", 0)); found {
			picked++
		}
	}
	if picked == 0 || picked > 3 {
		t.Errorf("%d requests in the first second", picked)
	}
}

// Requests for one subject go to the upstream that has read it, as long as that isn't
// much busier than the others; entries that have sent nothing yet agree where.
func TestSubjects(t *testing.T) {
	first, second := newPool("entry-1", 8), newPool("entry-2", 8)
	for n := range 30 {
		subject := fmt.Sprintf("subject-%d", n)
		a, _ := first.Pick(start, prompt(subject, 1))
		b, _ := second.Pick(start, prompt(subject, 1))
		a.End(start, Answered)
		b.End(start, Answered)
		if a.Upstream.ID != b.Upstream.ID {
			t.Errorf("%s goes to %s and %s", subject, a.Upstream.ID, b.Upstream.ID)
		}
		again, _ := first.Pick(start, prompt(subject, 1))
		again.End(start, Answered)
		if again.Upstream.ID != a.Upstream.ID || again.UncachedTokens != 0 {
			t.Errorf("%s goes to %s after %s, %d tokens to read", subject, again.Upstream.ID, a.Upstream.ID, again.UncachedTokens)
		}
	}
}

// A subject that everybody asks for doesn't pile up on one upstream.
func TestPopularSubject(t *testing.T) {
	p := newPool("entry-1", 4)
	counts := map[ident.Upstream]int{}
	for n := range 40 {
		a := prompt("popular", 1)
		a.Parts[2].ID = fmt.Sprintf("own-%d", n)
		lease, _ := p.Pick(start, a)
		counts[lease.Upstream.ID]++
	}
	for id, n := range counts {
		if n > 20 {
			t.Errorf("%s got %d of 40", id, n)
		}
	}
	if len(counts) < 4 {
		t.Errorf("only %v were used", counts)
	}
}

// Under a backlog of plans, a quick question waits for the one that is being read, and
// a plan for all of them.
func TestRanks(t *testing.T) {
	p := newPool("entry-1", 1)
	for n := range 10 {
		p.Pick(start, prompt(fmt.Sprintf("s-%d", n), 1))
	}
	urgent, _ := p.Project(start, prompt("x", 0))
	plan, _ := p.Project(start, prompt("x", 1))
	if urgent.Wait < 100*time.Millisecond || urgent.Wait*4 > plan.Wait {
		t.Errorf("urgent waits %s, a plan %s", urgent.Wait, plan.Wait)
	}
}

// A long prompt holds up all that come after it, however urgent, so that quick
// questions go elsewhere until most of it has been read.
func TestLongPrompt(t *testing.T) {
	p := newPool("entry-1", 2)
	long := Request{Service: "chat", Tokens: 50000, Priority: 1}
	first, _ := p.Pick(start, long)
	for n := range 3 {
		quick := Request{Service: "chat", Tokens: 1500}
		lease, _ := p.Pick(start.Add(time.Duration(n)*time.Millisecond), quick)
		if lease.Upstream.ID == first.Upstream.ID {
			t.Errorf("quick question %d waits behind the long prompt", n)
		}
		lease.End(start.Add(time.Duration(n)*time.Millisecond), Answered)
	}
	later := start.Add(800 * time.Millisecond)
	if wait := p.weigh(later, Request{Service: "chat", Tokens: 1500}, p.replicas[first.Upstream.ID], false).Wait; wait > 100*time.Millisecond {
		t.Errorf("after most of it was read, a quick question would wait %s", wait)
	}
}

// What other entries have in flight counts like what this one has.
func TestOthers(t *testing.T) {
	p := newPool("entry-1", 2)
	p.SetPeerLoads([]gossip.UpstreamLoad{{Upstream: "engine-0", InFlight: 5, PromptTokens: gossip.ByPriority[int]{60000}}})
	for n := range 3 {
		lease, _ := p.Pick(start, prompt(fmt.Sprintf("s-%d", n), 0))
		if lease.Upstream.ID != "engine-1" {
			t.Errorf("request %d goes to %s", n, lease.Upstream.ID)
		}
	}
}

// An upstream that fails is left out for longer each time, one that is silent while
// requests wait gets no more, and what comes back after it could not be reached is
// cold.
func TestDistrust(t *testing.T) {
	p := newPool("entry-1", 1)
	lease, _ := p.Pick(start, prompt("a", 0))
	lease.End(start, Broken)
	if _, found := p.Pick(start.Add(firstAvoid/2), prompt("a", 0)); found {
		t.Error("picked right after a failure")
	}
	again, found := p.Pick(start.Add(firstAvoid), prompt("a", 0))
	if !found {
		t.Fatal("not picked after the pause")
	}
	again.End(start.Add(firstAvoid), Answered)

	waiting, _ := p.Pick(start, prompt("a", 0))
	if _, found := p.Pick(start.Add(silentAfter+time.Second), prompt("a", 0)); found {
		t.Error("a silent upstream is picked")
	}
	waiting.ResponseReceived(start.Add(silentAfter + time.Second))
	if _, found := p.Pick(start.Add(silentAfter+time.Second), prompt("a", 0)); !found {
		t.Error("not picked after it was heard")
	}

	p = newPool("entry-1", 1)
	lease, _ = p.Pick(start, prompt("a", 0))
	lease.End(start, Unreachable)
	if !p.replicas["engine-0"].isCold(start.Add(time.Second)) {
		t.Error("an upstream that could not be reached counts as warm")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 140, 1700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPool("entry-1", n)
			a := prompt("a", 1)
			for b.Loop() {
				lease, _ := p.Pick(start, a)
				lease.End(start, Answered)
			}
		})
	}
}

// Entries agree on where a subject goes although each has sent other subjects, with
// which it shares the first part of the prompt, to all upstreams.
func TestSubjectsAfterOthers(t *testing.T) {
	first, second := newPool("entry-1", 8), newPool("entry-2", 8)
	for n := range 40 {
		a, _ := first.Pick(start, prompt(fmt.Sprintf("other-%d", n), 1))
		b, _ := second.Pick(start, prompt(fmt.Sprintf("another-%d", n), 1))
		a.End(start, Answered)
		b.End(start, Answered)
	}
	differ := 0
	for n := range 40 {
		subject := fmt.Sprintf("subject-%d", n)
		a, _ := first.Pick(start, prompt(subject, 1))
		b, _ := second.Pick(start, prompt(subject, 1))
		a.End(start, Answered)
		b.End(start, Answered)
		if a.Upstream.ID != b.Upstream.ID {
			differ++
		}
	}
	if differ > 0 {
		t.Errorf("%d of 40 subjects go to two upstreams", differ)
	}
}
