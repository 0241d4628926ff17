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

// everywhere allows all places; nowhere allows none.
type everywhere struct{}

func (everywhere) AllowsZone(ident.Zone) bool     { return true }
func (everywhere) AllowsRegion(ident.Region) bool { return true }

type onlyZone ident.Zone

func (z onlyZone) AllowsZone(zone ident.Zone) bool { return zone == ident.Zone(z) }
func (onlyZone) AllowsRegion(ident.Region) bool    { return false }

func upstreams(count int) []*load.Upstream {
	list := make([]*load.Upstream, count)
	for i := range list {
		list[i] = &load.Upstream{
			ID:   ident.Upstream(fmt.Sprintf("engine-%d", i)),
			Zone: ident.Zone(fmt.Sprintf("zone-%d", i%3)),
		}
	}
	return list
}

func busy(list []*load.Upstream, running int) {
	for _, u := range list {
		u.Observe(start, load.Report{Running: running, Slots: 8, AsOf: start})
	}
}

// fail has all upstreams refuse, although they tell their load.
func fail(list []*load.Upstream) {
	for _, u := range list {
		u.Begin(start)
		u.End(start, load.Refused, 0, 0)
	}
}

func view(list []*load.Upstream, remotes ...RemoteRegion) *View {
	v := &View{Region: "west", Versions: []Version{NewVersion("v1", 1, list)}, Remotes: remotes, SpillLimiter: &SpillLimiter{}}
	// The shares allow one request more, so that a test shows what else keeps it here.
	v.SpillLimiter.earn(start, remotes)
	return v
}

func north(wait time.Duration) RemoteRegion {
	return RemoteRegion{
		Load:        load.RegionLoad{Region: "north", FreeSlots: 100, Wait: wait, AsOf: start},
		WaitPenalty: 100 * time.Millisecond,
		MaxShare:    1,
	}
}

func TestPick(t *testing.T) {
	full := &result.Failure{Outcome: result.NotRun, Step: result.StepAdmit, Reason: result.ClassFull}
	stale := north(0)
	stale.Load.AsOf = start.Add(-time.Minute)
	closed := north(0)
	closed.MaxShare = 0
	crowded := north(0)
	crowded.Load.FreeSlots = 0
	cost := func(v *View) *View { v.Objective = table.Cost; return v }
	for _, c := range []struct {
		name    string
		running int
		view    func(list []*load.Upstream) *View
		request Request
		want    string
	}{
		{"free at home", 0, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: everywhere{}}, "attempt"},
		{"no places fails closed", 0, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{}, "no-upstream"},
		{"full at home goes away", 16, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: everywhere{}}, "north"},
		{"cost keeps it while it fits", 16, func(l []*load.Upstream) *View { return cost(view(l, north(0))) }, Request{Residency: everywhere{}, MaxWait: 10 * time.Second}, "attempt"},
		{"cost sends away what doesn't fit", 16, func(l []*load.Upstream) *View { return cost(view(l, north(0))) }, Request{Residency: everywhere{}, MaxWait: time.Second}, "north"},
		{"visited goes no further", 16, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: everywhere{}, Visited: []ident.Region{"south"}}, "attempt"},
		{"bound to home", 16, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: onlyZone("zone-1")}, "attempt"},
		{"not admitted goes away", 0, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: everywhere{}, AdmissionFailure: full}, "north"},
		{"not admitted and bound", 0, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: onlyZone("zone-1"), AdmissionFailure: full}, "class-full"},
		{"too long a wait anywhere", 16, func(l []*load.Upstream) *View { return view(l) }, Request{Residency: everywhere{}, MaxWait: time.Second}, "overloaded"},
		{"worse there", 16, func(l []*load.Upstream) *View { return view(l, north(time.Minute)) }, Request{Residency: everywhere{}}, "attempt"},
		{"old summary", 16, func(l []*load.Upstream) *View { return view(l, stale) }, Request{Residency: everywhere{}}, "attempt"},
		{"share of zero", 16, func(l []*load.Upstream) *View { return view(l, closed) }, Request{Residency: everywhere{}}, "attempt"},
		{"no free slot there", 16, func(l []*load.Upstream) *View { return view(l, crowded) }, Request{Residency: everywhere{}}, "attempt"},
		{"all failing goes away", -1, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: everywhere{}}, "north"},
		{"all failing and bound", -1, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: onlyZone("zone-1")}, "attempt"},
		{"queued goes on waiting", 0, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: everywhere{}, QueueWait: 100 * time.Millisecond}, "wait"},
		{"queued for long goes away", 0, func(l []*load.Upstream) *View { return view(l, north(0)) }, Request{Residency: everywhere{}, QueueWait: time.Second}, "north"},
		{"all tried", 0, func(l []*load.Upstream) *View { return view(l) }, Request{Residency: onlyZone("zone-2"), Tried: []ident.Upstream{"engine-2", "engine-5"}}, "no-upstream"},
	} {
		list := upstreams(6)
		busy(list, max(0, c.running))
		if c.running < 0 {
			fail(list)
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

func TestPickKeepsZonesVersionsAndTried(t *testing.T) {
	list := upstreams(9)
	v := view(list)
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

func TestAffinityStaysUntilLoadForbids(t *testing.T) {
	list := upstreams(9)
	random := rand.New(rand.NewPCG(3, 3))
	r := &Request{Residency: everywhere{}, Affinity: "session-7"}
	home := Pick(start, random, view(list), r).(*Attempt).Upstream
	for range 100 {
		if got := Pick(start, random, view(list), r).(*Attempt).Upstream; got != home {
			t.Fatalf("went to %s, home is %s", got.ID, home.ID)
		}
	}
	home.Observe(start, load.Report{Running: 8, Waiting: 8, Slots: 8, AsOf: start})
	if got := Pick(start, random, view(list), r).(*Attempt).Upstream; got == home {
		t.Error("stayed at a home with a long queue")
	}
}

func TestMeterHoldsShare(t *testing.T) {
	list := upstreams(3)
	busy(list, 40)
	remote := north(0)
	remote.MaxShare = 0.2
	remote.Load.FreeSlots = 1000
	v := view(list, remote)
	random := rand.New(rand.NewPCG(4, 4))
	sent := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if _, away := Pick(now, random, v, &Request{Residency: everywhere{}}).(*Forward); away {
			sent++
		}
	}
	if sent > 200 || sent < 190 {
		t.Errorf("sent %d of 1000, the share allows 200", sent)
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
				list := upstreams(size)
				v := view(list)
				for i := range 13 {
					remote := north(0)
					remote.Load.Region = ident.Region(fmt.Sprintf("region-%d", i))
					v.Remotes = append(v.Remotes, remote)
				}
				random := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					r := Request{Residency: everywhere{}, Affinity: affinity}
					Pick(start, random, v, &r)
				}
			})
		}
	}
}
