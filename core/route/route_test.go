package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

var start = time.Unix(1_000_000, 0)

// allowAll allows all zones and regions.
type allowAll struct{}

func (allowAll) AllowsZone(ident.Zone) bool     { return true }
func (allowAll) AllowsRegion(ident.Region) bool { return true }

type onlyZone ident.Zone

func (z onlyZone) AllowsZone(zone ident.Zone) bool { return zone == ident.Zone(z) }
func (onlyZone) AllowsRegion(ident.Region) bool    { return false }

func newUpstreams(count int) []*load.Upstream {
	list := make([]*load.Upstream, count)
	for i := range list {
		list[i] = &load.Upstream{
			ID:   ident.Upstream(fmt.Sprintf("engine-%d", i)),
			Zone: ident.Zone(fmt.Sprintf("zone-%d", i%3)),
		}
	}
	return list
}

func reportRunning(list []*load.Upstream, running int) {
	for _, u := range list {
		u.Observe(start, load.Report{Running: running, Slots: 8, AsOf: start})
	}
}

// refuseAll has every upstream refuse an attempt while it still reports its load.
func refuseAll(list []*load.Upstream) {
	for _, u := range list {
		u.Begin(start)
		u.End(start, load.Refused, 0, 0)
	}
}

func newView(list []*load.Upstream, remotes ...RemoteRegion) *View {
	v := &View{Region: "west", Versions: []Version{NewVersion("v1", 1, list)}, Remotes: remotes, SpillLimiter: &SpillLimiter{}}
	// The shares permit one request more, so that only the other rules can keep it in
	// the local region.
	v.SpillLimiter.addRequest(start, remotes)
	return v
}

func northRegion(wait time.Duration) RemoteRegion {
	return RemoteRegion{
		Load:        load.RegionLoad{Region: "north", FreeSlots: 100, Wait: wait, AsOf: start},
		WaitPenalty: 100 * time.Millisecond,
		MaxShare:    1,
	}
}

func TestPick(t *testing.T) {
	full := &result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.ClassFull}
	stale := northRegion(0)
	stale.Load.AsOf = start.Add(-time.Minute)
	zeroShare := northRegion(0)
	zeroShare.MaxShare = 0
	noFreeSlots := northRegion(0)
	noFreeSlots.Load.FreeSlots = 0
	cost := func(v *View) *View { v.Objective = table.Cost; return v }
	for _, c := range []struct {
		name    string
		running int
		view    func(list []*load.Upstream) *View
		request Request
		want    string
	}{
		{"free locally", 0, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: allowAll{}}, "attempt"},
		{"no residency rules fail closed", 0, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{}, "no-upstream"},
		{"full locally spills", 16, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: allowAll{}}, "north"},
		{"cost stays while the wait is acceptable", 16, func(l []*load.Upstream) *View { return cost(newView(l, northRegion(0))) }, Request{Residency: allowAll{}, MaxWait: 10 * time.Second}, "attempt"},
		{"cost spills beyond the longest wait", 16, func(l []*load.Upstream) *View { return cost(newView(l, northRegion(0))) }, Request{Residency: allowAll{}, MaxWait: time.Second}, "north"},
		{"visited is not forwarded again", 16, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: allowAll{}, Visited: []ident.Region{"south"}}, "attempt"},
		{"restricted to a local zone", 16, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: onlyZone("zone-1")}, "attempt"},
		{"not admitted spills", 0, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: allowAll{}, AdmissionFailure: full}, "north"},
		{"not admitted and restricted to a local zone", 0, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: onlyZone("zone-1"), AdmissionFailure: full}, "class-full"},
		{"wait too long everywhere", 16, func(l []*load.Upstream) *View { return newView(l) }, Request{Residency: allowAll{}, MaxWait: time.Second}, "overloaded"},
		{"longer wait in the other region", 16, func(l []*load.Upstream) *View { return newView(l, northRegion(time.Minute)) }, Request{Residency: allowAll{}}, "attempt"},
		{"stale summary", 16, func(l []*load.Upstream) *View { return newView(l, stale) }, Request{Residency: allowAll{}}, "attempt"},
		{"zero share", 16, func(l []*load.Upstream) *View { return newView(l, zeroShare) }, Request{Residency: allowAll{}}, "attempt"},
		{"no free slot in the other region", 16, func(l []*load.Upstream) *View { return newView(l, noFreeSlots) }, Request{Residency: allowAll{}}, "attempt"},
		{"all failing spills", -1, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: allowAll{}}, "north"},
		{"all failing and restricted to a local zone", -1, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: onlyZone("zone-1")}, "attempt"},
		{"queued keeps waiting", 0, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: allowAll{}, QueueWait: 100 * time.Millisecond}, "wait"},
		{"queued for long spills", 0, func(l []*load.Upstream) *View { return newView(l, northRegion(0)) }, Request{Residency: allowAll{}, QueueWait: time.Second}, "north"},
		{"all tried", 0, func(l []*load.Upstream) *View { return newView(l) }, Request{Residency: onlyZone("zone-2"), Tried: []ident.Upstream{"engine-2", "engine-5"}}, "no-upstream"},
	} {
		list := newUpstreams(6)
		reportRunning(list, max(0, c.running))
		if c.running < 0 {
			refuseAll(list)
		}
		random := rand.New(rand.NewPCG(1, 1))
		for range 20 {
			request := c.request
			got := describe(Pick(start, random, c.view(list), &request))
			if got != c.want {
				t.Errorf("%s: got %s, want %s", c.name, got, c.want)
				break
			}
		}
	}
}

func describe(d Decision) string {
	switch d := d.(type) {
	case *Attempt:
		return "attempt"
	case *Forward:
		return string(d.Region)
	case *Refuse:
		return d.Failure.Reason.String()
	default:
		return "wait"
	}
}

func TestPickRespectsZonesWeightsAndTried(t *testing.T) {
	list := newUpstreams(9)
	v := newView(list)
	v.Versions = []Version{NewVersion("v1", 3, list), NewVersion("v2", 1, list), NewVersion("v3", 0, list)}
	random := rand.New(rand.NewPCG(2, 2))
	count := map[ident.Version]int{}
	r := &Request{Residency: onlyZone("zone-1"), Tried: []ident.Upstream{"engine-1"}}
	for range 4000 {
		a := Pick(start, random, v, r).(*Attempt)
		if a.Upstream.Zone != "zone-1" || a.Upstream.ID == "engine-1" {
			t.Fatalf("picked %s in %s", a.Upstream.ID, a.Upstream.Zone)
		}
		count[a.Version]++
	}
	if count["v3"] > 0 || count["v1"] < 2800 || count["v1"] > 3200 {
		t.Errorf("versions by weight 3 to 1: %v", count)
	}
}

func TestAffinityYieldsToLoad(t *testing.T) {
	list := newUpstreams(9)
	random := rand.New(rand.NewPCG(3, 3))
	r := &Request{Residency: allowAll{}, Affinity: "session-7"}
	preferred := Pick(start, random, newView(list), r).(*Attempt).Upstream
	for range 100 {
		if got := Pick(start, random, newView(list), r).(*Attempt).Upstream; got != preferred {
			t.Fatalf("went to %s, want %s", got.ID, preferred.ID)
		}
	}
	preferred.Observe(start, load.Report{Running: 8, Waiting: 8, Slots: 8, AsOf: start})
	if got := Pick(start, random, newView(list), r).(*Attempt).Upstream; got == preferred {
		t.Error("stayed at an upstream with a long queue")
	}
}

func TestSpillLimiterEnforcesMaxShare(t *testing.T) {
	list := newUpstreams(3)
	reportRunning(list, 40)
	remote := northRegion(0)
	remote.MaxShare = 0.2
	remote.Load.FreeSlots = 1000
	v := newView(list, remote)
	random := rand.New(rand.NewPCG(4, 4))
	sent := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if _, spilled := Pick(now, random, v, &Request{Residency: allowAll{}}).(*Forward); spilled {
			sent++
		}
	}
	if sent > 200 || sent < 190 {
		t.Errorf("sent %d of 1000, the share permits 200", sent)
	}
}

func ExamplePick() {
	engine := &load.Upstream{ID: "engine-1", Zone: "west-a"}
	v := &View{Region: "west", Versions: []Version{NewVersion("v1", 1, []*load.Upstream{engine})}}
	request := Request{Residency: onlyZone("west-a"), Affinity: "session-7"}
	switch d := Pick(start, rand.New(rand.NewPCG(1, 1)), v, &request).(type) {
	case *Attempt:
		fmt.Println("attempt at", d.Upstream.ID, d.Version)
	case *Forward:
		fmt.Println("forward to", d.Region)
	case *Refuse:
		fmt.Println(d.Failure)
	}
	// Output: attempt at engine-1 v1
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{3, 10, 40, 121, 1700} {
		for _, affinity := range []string{"", "session-7"} {
			b.Run(fmt.Sprintf("upstreams=%d/affinity=%t", size, affinity != ""), func(b *testing.B) {
				list := newUpstreams(size)
				v := newView(list)
				for i := range 13 {
					remote := northRegion(0)
					remote.Load.Region = ident.Region(fmt.Sprintf("region-%d", i))
					v.Remotes = append(v.Remotes, remote)
				}
				random := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					r := Request{Residency: allowAll{}, Affinity: affinity}
					Pick(start, random, v, &r)
				}
			})
		}
	}
}
