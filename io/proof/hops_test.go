package proof

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/fleet"
)

// visit is one log line of an entry about a request.
type visit struct {
	entry     ident.Instance
	RequestID string `json:"request-id"`
	Hops      int    `json:"hops"`
	Message   string `json:"message"`
}

// visits returns what every entry logged of requests, by request.
func (w *world) visits() map[string][]visit {
	found := map[string][]visit{}
	for _, e := range w.Entries {
		for line := range strings.Lines(e.Log()) {
			v := visit{entry: e.Plan.ID}
			if json.Unmarshal([]byte(line), &v) == nil && strings.HasPrefix(v.Message, "request ") {
				found[v.RequestID] = append(found[v.RequestID], v)
			}
		}
	}
	return found
}

// TestHops lets each region believe that the other one has room, while no engine
// takes anything and the tables of the regions differ.
func TestHops(t *testing.T) {
	t.Parallel()
	w := start(t, shape{
		entries: []string{"west-1", "west-2", "north-1", "north-2"},
		engines: []string{"west-1", "west-2", "north-1", "north-2"},
	})
	w.untilForwarded()

	// Only the north learns of a table that allows more hops, and sends all away.
	w.CutRegions("west-eu", "north-eu", true)
	w.CutPlatform("west-eu", true)
	w.must(w.SetCell(table.PolicySheet, "max-hops", "value", "3"))
	w.must(w.SetCell(table.SharesSheet, "north-eu", "cost", "0"))
	w.must(w.PublishTable(w.ctx, "other hops in the north"))
	w.inForce(w.entry("north-1"), w.Revision)
	w.inForce(w.entry("north-2"), w.Revision)
	w.burst()
	w.CutRegions("west-eu", "north-eu", false)
	w.untilForwarded()
	w.CutPlatform("west-eu", false)
	w.settle()
	// Each region sees only one entry of the other.
	w.CutEntries(w.entry("west-1"), w.entry("north-1"), true, true)
	w.CutEntries(w.entry("west-2"), w.entry("north-2"), false, true)
	w.untilForwarded()

	longest := 0
	for id, visits := range w.visits() {
		seen := map[ident.Instance]bool{}
		for _, v := range visits {
			longest = max(longest, v.Hops)
			if seen[v.entry] {
				t.Errorf("%s was at %s twice", id, v.entry)
			}
			seen[v.entry] = true
		}
		// One entry sends it away at most once, after which it is sent no further.
		if len(visits) > 2 {
			t.Errorf("%s was at %v", id, visits)
		}
	}
	if longest != 1 {
		t.Errorf("the longest way has %d hops", longest)
	}
	t.Logf("%d requests, %d of them forwarded in vain", len(w.visits()), w.hopping())
}

// burst sends requests through every entry at once.
func (w *world) burst() {
	var sent sync.WaitGroup
	for _, e := range w.Entries {
		for range 4 {
			sent.Go(func() { w.quick(e) })
		}
	}
	sent.Wait()
}

func (w *world) quick(e *fleet.Entry) {
	q := completion("everywhere", 4)
	q.Class = table.Quick
	_, _ = w.client.Call(w.ctx, e.Caller, q)
}

// hopping counts the requests that were forwarded to engines that refused them.
func (w *world) hopping() int {
	count := 0
	for _, visits := range w.visits() {
		for _, v := range visits {
			if v.Hops > 0 && v.Message == "request not answered" {
				count++
			}
		}
	}
	return count
}

// untilForwarded sends requests until more were forwarded in vain. For a request to leave
// its region, the engines there must refuse it while the other region is believed to have
// room, so each round begins with engines that take work.
func (w *world) untilForwarded() {
	w.t.Helper()
	before := w.hopping()
	w.until(func() error {
		w.setEngines(`{"faults":[]}`)
		w.until(w.regionsOfferRoom)
		w.setEngines(`{"faults":[{"kind":"refuse-before-run"}]}`)
		w.burst()
		if now := w.hopping(); now <= before {
			return fmt.Errorf("%d requests were forwarded", now)
		}
		return nil
	})
}

func (w *world) setEngines(fault string) {
	w.t.Helper()
	for _, region := range []ident.Region{"west-eu", "north-eu"} {
		w.setFault("engine", region, fault)
	}
}

// regionsOfferRoom sends requests, which ends the pauses of engines that refused before, and
// returns nil once an entry of each region knows of free slots in the other.
func (w *world) regionsOfferRoom() error {
	w.burst()
	known := map[ident.Region]bool{}
	for _, e := range w.Entries {
		s, err := w.status(e)
		if err != nil {
			return err
		}
		for _, r := range s.Regions {
			known[s.Region] = known[s.Region] || r.Fresh && r.SpareSlots > 0
		}
	}
	for region, offered := range known {
		if !offered {
			return fmt.Errorf("%s knows of no room elsewhere", region)
		}
	}
	return nil
}
