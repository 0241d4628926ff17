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
	for _, region := range []ident.Region{"west-eu", "north-eu"} {
		w.setFault("engine", region, `{"faults":[{"kind":"refuse-before-run"}]}`)
	}
	w.untilForwarded(0)

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
	w.untilForwarded(w.hopping())
	w.CutPlatform("west-eu", false)
	w.settle()
	// Each region sees only one entry of the other.
	w.CutEntries(w.entry("west-1"), w.entry("north-1"), true, true)
	w.CutEntries(w.entry("west-2"), w.entry("north-2"), false, true)
	w.untilForwarded(w.hopping())

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
	t.Logf("%d requests, %d of them forwarded", len(w.visits()), w.hopping())
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

// hopping counts the requests that were forwarded.
func (w *world) hopping() int {
	count := 0
	for _, visits := range w.visits() {
		for _, v := range visits {
			if v.Hops > 0 {
				count++
			}
		}
	}
	return count
}

// untilForwarded sends requests until more were forwarded than before.
func (w *world) untilForwarded(before int) {
	w.t.Helper()
	w.until(func() error {
		w.burst()
		if now := w.hopping(); now <= before {
			return fmt.Errorf("%d requests were forwarded", now)
		}
		return nil
	})
}
