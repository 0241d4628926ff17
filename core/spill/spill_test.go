package spill

import (
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

var start = time.Unix(1_800_000_000, 0)

// far returns an entry of another region with its report.
func far(id ident.Instance, region ident.Region, wait time.Duration) gossip.Member {
	return gossip.Member{
		Record: gossip.Record{
			ID:     id,
			Region: region,
			Phase:  member.Ready,
			ServiceLoads: []gossip.ServiceLoad{
				{Service: "chat", Waits: gossip.ByPriority[time.Duration]{wait, wait, wait, wait}, Upstreams: 4, TokensPerMilli: 320},
			},
		},
		Alive:         true,
		LastHeartbeat: start,
	}
}

func tableOf(members ...gossip.Member) *Table {
	t := &Table{}
	t.Update(start, &gossip.View{Self: gossip.Record{ID: "near-1", Region: "near"}, Members: members})
	return t
}

func ask(local time.Duration) Request {
	return Request{
		Service:        "chat",
		UncachedTokens: 8000,
		LocalFirstByte: local,
		LocalAvailable: true,
		Allowed:        func(ident.Region) bool { return true },
	}
}

// A peak in one region goes to the one that is best off, and only while the wait here
// is worse than the way.
func TestPick(t *testing.T) {
	draining := far("north-1", "north", 0)
	draining.Phase = member.Draining
	silent := far("north-1", "north", 0)
	silent.LastHeartbeat = start.Add(-staleAfter - time.Second)
	dead := far("north-1", "north", 0)
	dead.Alive = false
	idle := far("north-1", "north", 0)
	busy := far("south-1", "south", 400*time.Millisecond)
	cases := []struct {
		name    string
		members []gossip.Member
		ask     Request
		region  ident.Region
	}{
		{"calm here", []gossip.Member{idle}, ask(100 * time.Millisecond), ""},
		{"peak here", []gossip.Member{idle, busy}, ask(900 * time.Millisecond), "north"},
		{"a draining entry takes nothing", []gossip.Member{draining, busy}, ask(900 * time.Millisecond), "south"},
		{"an old report counts for nothing", []gossip.Member{silent}, ask(900 * time.Millisecond), ""},
		{"a dead entry takes nothing", []gossip.Member{dead}, ask(900 * time.Millisecond), ""},
		{"as busy there", []gossip.Member{busy}, ask(500 * time.Millisecond), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			choice, found := tableOf(c.members...).Pick(start, c.ask)
			if found != (c.region != "") || choice.Region.Name != c.region {
				t.Fatalf("picked %q, found %v", choice.Region.Name, found)
			}
		})
	}
}

// A region outside the homes is not taken however idle it is, and neither is one that
// has refused.
func TestPickAllowed(t *testing.T) {
	table := tableOf(far("north-1", "north", 0), far("south-1", "south", 0))
	a := ask(5 * time.Second)
	a.Allowed = func(r ident.Region) bool { return r == "south" }
	if choice, _ := table.Pick(start, a); choice.Region.Name != "south" {
		t.Fatalf("picked %q", choice.Region.Name)
	}
	a.Excluded = []ident.Region{"south"}
	if choice, found := table.Pick(start, a); found {
		t.Fatalf("picked %q", choice.Region.Name)
	}
}

// A burst between two reports doesn't all go to the region that looked idle: what was
// sent counts until it can show in a report.
func TestBurstIsSpread(t *testing.T) {
	table := tableOf(far("north-1", "north", 0), far("south-1", "south", 0))
	sent := map[ident.Region]int{}
	for range 100 {
		choice, found := table.Pick(start, ask(900*time.Millisecond))
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
