package spill

import (
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/pool"
)

var start = time.Unix(1_800_000_000, 0)

// remoteMember returns an instance of another region with its report.
func remoteMember(id ident.Instance, region ident.Region, wait time.Duration) gossip.Member {
	return gossip.Member{
		Record: gossip.Record{
			ID:     id,
			Region: region,
			Phase:  member.Ready,
			ServiceLoads: []gossip.ServiceLoad{
				{Service: "chat", Waits: gossip.ByPriority[time.Duration]{wait, wait, wait, wait}, Upstreams: 4, TokensPerMilli: 320},
			},
		},
		Alive:   true,
		LoadsAt: start,
		Contact: true,
	}
}

func newTable(members ...gossip.Member) *Table {
	t := &Table{}
	t.Update(start, &gossip.View{Self: gossip.Record{ID: "near-1", Region: "near"}, Members: members})
	return t
}

func newRequest(localFirstByte time.Duration) Request {
	return Request{
		Service:        "chat",
		UncachedTokens: 8000,
		LocalFirstByte: localFirstByte,
		LocalAvailable: true,
		Allowed:        func(ident.Region) bool { return true },
	}
}

// Under a peak in one region, requests go to the region with the shortest wait, and only
// while the local wait exceeds the cost of the transit.
func TestPickFastestRegion(t *testing.T) {
	draining := remoteMember("north-1", "north", 0)
	draining.Phase = member.Draining
	silent := remoteMember("north-1", "north", 0)
	silent.LoadsAt = start.Add(-maxReportAge - time.Second)
	dead := remoteMember("north-1", "north", 0)
	dead.Alive = false
	idle := remoteMember("north-1", "north", 0)
	busy := remoteMember("south-1", "south", 400*time.Millisecond)
	cases := []struct {
		name    string
		members []gossip.Member
		ask     Request
		region  ident.Region
	}{
		{"no wait in the local region", []gossip.Member{idle}, newRequest(100 * time.Millisecond), ""},
		{"peak in the local region", []gossip.Member{idle, busy}, newRequest(900 * time.Millisecond), "north"},
		{"a draining instance gets no requests", []gossip.Member{draining, busy}, newRequest(900 * time.Millisecond), "south"},
		{"an old report is ignored", []gossip.Member{silent}, newRequest(900 * time.Millisecond), ""},
		{"a dead instance gets no requests", []gossip.Member{dead}, newRequest(900 * time.Millisecond), ""},
		{"no shorter wait in the other region", []gossip.Member{busy}, newRequest(500 * time.Millisecond), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			choice, found := newTable(c.members...).Pick(start, c.ask)
			if found != (c.region != "") || choice.Region.Name != c.region {
				t.Fatalf("picked %q, found %v", choice.Region.Name, found)
			}
		})
	}
}

// A region that the route doesn't allow isn't picked however idle it is, and neither is
// one that has rejected the request.
func TestPickAllowedRegions(t *testing.T) {
	table := newTable(remoteMember("north-1", "north", 0), remoteMember("south-1", "south", 0))
	req := newRequest(5 * time.Second)
	req.Allowed = func(r ident.Region) bool { return r == "south" }
	if choice, _ := table.Pick(start, req); choice.Region.Name != "south" {
		t.Fatalf("picked %q", choice.Region.Name)
	}
	req.Excluded = []ident.Region{"south"}
	if choice, found := table.Pick(start, req); found {
		t.Fatalf("picked %q", choice.Region.Name)
	}
}

// A stream goes on only in a region that reports an upstream with the version that began it.
func TestPickVersion(t *testing.T) {
	north, south := remoteMember("north-1", "north", 0), remoteMember("south-1", "south", time.Second)
	north.ServiceLoads[0].Versions = []string{"v2"}
	south.ServiceLoads[0].Versions = []string{"v2", "v1"}
	table := newTable(north, south)
	req := newRequest(5 * time.Second)
	for version, want := range map[string]ident.Region{"v1": "south", "v2": "north", "v3": "", "": ""} {
		req.VersionBound = pool.VersionBound{Bound: true, Version: version}
		if choice, _ := table.Pick(start, req); choice.Region.Name != want {
			t.Errorf("version %q: picked %q", version, choice.Region.Name)
		}
	}
}

// A burst between two reports doesn't go entirely to the region that looked idle: sent
// requests count until reports can include them.
func TestBurstIsSpread(t *testing.T) {
	table := newTable(remoteMember("north-1", "north", 0), remoteMember("south-1", "south", 0))
	sent := map[ident.Region]int{}
	for range 100 {
		choice, found := table.Pick(start, newRequest(900*time.Millisecond))
		if !found {
			sent["near"]++
			continue
		}
		sent[choice.Region.Name]++
		table.RecordSent(start, choice.Region.Name, "chat", 8000)
	}
	if sent["north"] < 10 || sent["south"] < 10 || sent["near"] < 10 {
		t.Fatalf("sent %v", sent)
	}
}
