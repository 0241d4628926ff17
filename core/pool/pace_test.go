package pool

import (
	"fmt"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/spec"
)

// regionSize is the number of instances of the region under test, the size of the largest
// region that the deployments have.
const regionSize = 28

// TestWarmupRateAfterRestart guards against a cold upstream that is flooded after all
// instances have restarted: until they have found each other, each holds itself to be the
// only one that may send there.
func TestWarmupRateAfterRestart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := newRegion(t, seed)
			r.startAll(regionSize)
			r.run(10 * time.Second)
			clear(r.instances)
			r.run(1200 * time.Millisecond)
			r.startAll(regionSize)
			r.run(8 * time.Second)
			r.expectBound(start)
		})
	}
}

// TestWarmupRateInDisagreement guards against a cold upstream that is flooded because
// several instances, which hold different views of the membership, each take themselves
// for its only sender.
func TestWarmupRateInDisagreement(t *testing.T) {
	t.Parallel()
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				r := newRegion(t, seed)
				r.startAll(regionSize)
				r.run(10 * time.Second)
				from := r.now
				disturb(r)
				r.run(10 * time.Second)
				r.expectBound(from)
			}
		})
	}
}

// A region that doesn't change sends to its cold upstreams at their warm-up rate, from
// soon after its start.
func TestWarmupRateIsUsed(t *testing.T) {
	t.Parallel()
	r := newRegion(t, 6)
	r.startAll(regionSize)
	r.run(20 * time.Second)
	r.expectBound(start)
	if mean := r.meanArrivals(10 * time.Second); mean < 0.8*warmupRate*warmupTime.Seconds() {
		t.Errorf("a cold upstream got %.1f requests on average", mean)
	}
}

// TestWarmupRateAcrossRelisting guards against a cold upstream that is flooded by one
// instance because its entry in the list comes and goes: the time of the last request must
// outlive the entry.
func TestWarmupRateAcrossRelisting(t *testing.T) {
	p := newPool("entry-1", 0)
	cold := testUpstream(0)
	cold.WarmupLeft = warmupTime
	sends := 0
	for at := time.Duration(0); at < time.Second; at += 50 * time.Millisecond {
		now := start.Add(at)
		p.SetRegion(now, []ident.Instance{"entry-1", "entry-2"}, true)
		p.RemoveUpstream(now, cold.ID)
		p.SetUpstream(now, cold)
		lease, found := p.Pick(now, prompt("a", 0))
		if !found {
			continue
		}
		if _, admitted := lease.AdmitSend(now); admitted {
			sends++
		}
		lease.End(now, Answered)
	}
	if sends > 3 {
		t.Errorf("%d requests in a second", sends)
	}
}

// TestColdAcrossRelisting guards against a cold upstream that counts as warm because its
// entry in the list comes and goes: that it turned cold is known from a failed connection or
// from the return of its zone, and its description says nothing of it.
func TestColdAcrossRelisting(t *testing.T) {
	for name, c := range map[string]struct {
		startTime time.Time
		cold      bool
	}{
		"same run": {cold: true},
		// What was held of the run before says nothing of the next one.
		"next run": {startTime: start},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool("entry-1", 1)
			p.SetServices(map[ident.Service]spec.Service{
				"chat": {Name: "chat", Warmup: warmupTime, WarmupRate: warmupRate, Engine: true},
			})
			p.EvacuateZone(testUpstream(0).Zone)
			p.RestoreZone(start, testUpstream(0).Zone)
			p.RemoveUpstream(start, "engine-0")
			listed := testUpstream(0)
			listed.StartTime = c.startTime
			p.SetUpstream(start.Add(time.Second), listed)
			lease, found := p.Pick(start.Add(time.Second), prompt("a", 0))
			if found == c.cold {
				t.Errorf("chosen: %t", found)
			}
			if found {
				lease.End(start.Add(time.Second), Answered)
			}
			if _, found := p.Pick(start.Add(warmupTime), prompt("a", 0)); !found {
				t.Error("not chosen when it is warm")
			}
		})
	}
}

// TestWarmupRateWithSlowConnections guards against requests to a cold upstream that were
// chosen one after the other and reach it together, because their connections took long to
// open. Two senders that do so exceed the bound.
func TestWarmupRateWithSlowConnections(t *testing.T) {
	p := newPool("entry-1", 0)
	cold := testUpstream(0)
	cold.WarmupLeft = warmupTime
	p.SetUpstream(start, cold)
	var leases []*Lease
	now := start
	for range 100 {
		p.SetRegion(now, []ident.Instance{"entry-1", "entry-2"}, true)
		if lease, found := p.Pick(now, prompt("a", 0)); found {
			leases = append(leases, lease)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if len(leases) < 2 {
		t.Fatalf("%d requests chosen in a second", len(leases))
	}
	if sends := countAdmitted(now, leases); sends != 1 {
		t.Errorf("%d requests at once", sends)
	}
}

// TestNoSendAfterRestart guards against requests that were chosen for one run of an
// upstream and are sent to the next one, or after the upstream has left the list: the next
// run is cold, and what was held of the run before says nothing of it.
func TestNoSendAfterRestart(t *testing.T) {
	for name, change := range map[string]func(p *Pool){
		"restarted": func(p *Pool) {
			restarted := testUpstream(0)
			restarted.StartTime = start
			restarted.WarmupLeft = warmupTime
			p.SetUpstream(start, restarted)
		},
		"removed": func(p *Pool) { p.RemoveUpstream(start, "engine-0") },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool("entry-1", 1)
			p.SetRegion(start, []ident.Instance{"entry-1", "entry-2"}, true)
			lease, found := p.Pick(start, prompt("a", 0))
			if !found {
				t.Fatal("no upstream")
			}
			change(p)
			if _, admitted := lease.AdmitSend(start); admitted {
				t.Error("the request is sent")
			}
		})
	}
}

// TestNoSendWhereNoneMayGo guards against requests that were chosen before their upstream
// began to drain, or before its zone was evacuated, and are sent when their connection is
// open.
func TestNoSendWhereNoneMayGo(t *testing.T) {
	for name, change := range map[string]func(p *Pool){
		"draining": func(p *Pool) {
			draining := testUpstream(0)
			draining.Draining = true
			p.SetUpstream(start, draining)
		},
		"evacuated": func(p *Pool) { p.EvacuateZone(testUpstream(0).Zone) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool("entry-1", 1)
			leases := pickMany(t, p, start, 2)
			if countAdmitted(start, leases[:1]) != 1 {
				t.Error("a request isn't sent before")
			}
			change(p)
			if countAdmitted(start, leases[1:]) != 0 {
				t.Error("a request is sent after")
			}
		})
	}
}

// TestWarmupRateOfUpstreamThatTurnsCold guards against a cold upstream that is flooded by
// requests which were chosen while it was warm.
func TestWarmupRateOfUpstreamThatTurnsCold(t *testing.T) {
	p := newPool("entry-1", 1)
	p.SetRegion(start, []ident.Instance{"entry-1", "entry-2"}, true)
	leases := pickMany(t, p, start, 20)
	cold := testUpstream(0)
	cold.WarmupLeft = warmupTime
	p.SetUpstream(start, cold)
	if sends := countAdmitted(start, leases); sends > 1 {
		t.Errorf("%d requests at once", sends)
	}
}

// pickMany chooses an upstream for a number of requests that wait for their connections.
func pickMany(t *testing.T, p *Pool, now time.Time, count int) []*Lease {
	t.Helper()
	var leases []*Lease
	for range count {
		lease, found := p.Pick(now, prompt("a", 0))
		if !found {
			t.Fatal("no upstream")
		}
		leases = append(leases, lease)
	}
	return leases
}

// countAdmitted returns how many requests may be sent if all connections open at once.
func countAdmitted(now time.Time, leases []*Lease) int {
	count := 0
	for _, lease := range leases {
		if _, admitted := lease.AdmitSend(now); admitted {
			count++
		}
	}
	return count
}
