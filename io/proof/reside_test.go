package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/fleet"
)

// places gives the zones in which the data of each workspace may be, by the table in
// testdata.
var places = map[ident.Workspace]string{
	"everywhere": "west-eu-1 west-eu-2 north-eu-1 north-eu-2",
	"west-only":  "west-eu-1 west-eu-2",
	"north-only": "north-eu-1 north-eu-2",
	"west-zone":  "west-eu-1",
	"north-home": "north-eu-1 north-eu-2 west-eu-1",
}

func mayBe(w ident.Workspace, zone ident.Zone) bool {
	return slices.Contains(strings.Fields(places[w]), string(zone))
}

// witness notes which workspaces' bodies were sent to which entries by others.
type witness struct {
	mu   sync.Mutex
	seen map[ident.Instance]map[string]bool
}

func (n *witness) look(to ident.Instance, p []byte) {
	for _, part := range bytes.Split(p, []byte("[workspace:"))[1:] {
		name, _, _ := bytes.Cut(part, []byte("]"))
		n.mu.Lock()
		if n.seen[to] == nil {
			n.seen[to] = map[string]bool{}
		}
		n.seen[to][string(name)] = true
		n.mu.Unlock()
	}
}

// TestResidencyMatrix sends completions and keyed calls of every workspace to every
// entry, with engines that can't hold them all, so that some go to another region.
func TestResidencyMatrix(t *testing.T) {
	t.Parallel()
	saw := &witness{seen: map[ident.Instance]map[string]bool{}}
	w := start(t, shape{
		entries:     []string{"west-1", "west-2", "north-1", "north-2"},
		engines:     []string{"west-1", "west-2", "north-1", "north-2"},
		services:    []string{"west-1", "west-2", "north-1", "north-2"},
		engineFlags: []string{"-slots", "2", "-step-time", "10ms"},
		tap:         saw.look,
	})
	w.publish(table.PoolsSheet, "planners", "slots", "2")
	w.settle()
	// The matrix is sent again until a request was sent to another region.
	w.until(func() error {
		w.sendMatrix()
		return w.spilled()
	})
	checkPlaces(w, saw)
}

// sendMatrix sends each workspace's requests through each entry, all at once.
func (w *world) sendMatrix() {
	var sent sync.WaitGroup
	for name := range places {
		advice, err := w.client.FetchAdvice(w.ctx, w.homeOf(name), name)
		w.must(err)
		for _, e := range w.Entries {
			for range 3 {
				sent.Go(func() { w.expectPlace(e, completion(name, 20)) })
			}
			sent.Go(func() { w.expectPlace(e, reservation(name, advice.KeyPrefix+"matrix-"+e.Name)) })
		}
	}
	sent.Wait()
}

// homeOf returns an entry that may hold a workspace's records.
func (w *world) homeOf(name ident.Workspace) netip.AddrPort {
	i := slices.IndexFunc(w.Entries, func(e *fleet.Entry) bool { return mayBe(name, e.Plan.Zone) })
	return w.Entries[i].Caller
}

// prompts numbers the prompts, so that no two have the same prefix.
var prompts atomic.Int64

func completion(name ident.Workspace, tokens int) *bench.Request {
	return &bench.Request{
		Workspace: name,
		Class:     table.Plan,
		Timeout:   hangTimeout,
		Model:     "planner",
		Prompt:    fmt.Sprintf("%s weekend %d in Ghent", emul.WorkspaceMarker(string(name)), prompts.Add(1)),
		MaxTokens: tokens,
		KeepText:  true,
	}
}

func reservation(name ident.Workspace, key string) *bench.Request {
	return &bench.Request{
		Workspace:      name,
		Class:          table.ServiceCall,
		Timeout:        hangTimeout,
		Service:        "app",
		Method:         "POST",
		Path:           "/bookings/museum",
		Body:           []byte(emul.WorkspaceMarker(string(name)) + " sunday"),
		IdempotencyKey: key,
		KeepText:       true,
	}
}

// expectPlace sends a request to an entry. One outside the places of the workspace
// has to refuse it with 421, and to name allowed entries only.
func (w *world) expectPlace(e *fleet.Entry, q *bench.Request) {
	answer, failure := w.client.Call(w.ctx, e.Caller, q)
	if mayBe(q.Workspace, e.Plan.Zone) {
		return
	}
	if failure == nil || answer.Status != http.StatusMisdirectedRequest || failure.Reason != result.PlaceForbidden {
		w.t.Errorf("%s served %s: status %d, %v", e.Name, q.Workspace, answer.Status, failure)
		return
	}
	var refusal struct {
		Entries []bench.AdvisedEntry `json:"entries"`
	}
	if err := json.Unmarshal(answer.Text, &refusal); err != nil || len(refusal.Entries) == 0 {
		w.t.Errorf("%s refused %s without naming entries: %v %s", e.Name, q.Workspace, err, answer.Text)
	}
	for _, p := range refusal.Entries {
		if !mayBe(q.Workspace, p.Zone) {
			w.t.Errorf("%s sends %s to %s in %s", e.Name, q.Workspace, p.Instance, p.Zone)
		}
	}
}

// spilled returns nil once some entry has served a request of another region.
func (w *world) spilled() error {
	for _, e := range w.Entries {
		if strings.Contains(e.Log(), `"hops":1`) && strings.Contains(e.Log(), `"peer":"engine-`) {
			return nil
		}
	}
	return fmt.Errorf("no request was forwarded")
}

// checkPlaces compares what every stand-in and every entry received with the places
// of each workspace.
func checkPlaces(w *world, saw *witness) {
	w.t.Helper()
	received := 0
	for _, kind := range []string{"engine", "service"} {
		for id, runs := range w.runs(kind) {
			zone := w.Upstream(id).Plan.Zone
			for _, r := range runs {
				received++
				if !mayBe(ident.Workspace(r.Workspace), zone) {
					w.t.Errorf("%s in %s received data of %q", id, zone, r.Workspace)
				}
			}
		}
	}
	forwarded := 0
	saw.mu.Lock()
	defer saw.mu.Unlock()
	for id, names := range saw.seen {
		for name := range names {
			forwarded++
			if zone := w.Entry(id).Plan.Zone; !mayBe(ident.Workspace(name), zone) {
				w.t.Errorf("%s in %s was sent data of %q", id, zone, name)
			}
		}
	}
	if received == 0 || forwarded == 0 {
		w.t.Errorf("%d requests received, %d kinds forwarded", received, forwarded)
	}
	w.t.Logf("%d requests received by stand-ins, %d pairs of entry and workspace forwarded", received, forwarded)
}

// TestResidencyChange takes a place away while requests of the workspace wait for an
// engine there.
func TestResidencyChange(t *testing.T) {
	t.Parallel()
	const moved ident.Workspace = "north-home"
	w := start(t, shape{
		entries:     []string{"west-1", "north-1"},
		engines:     []string{"west-1", "north-1"},
		services:    []string{"west-1", "north-1"},
		engineFlags: []string{"-slots", "2"},
	})
	w.publish(table.PoolsSheet, "planners", "slots", "2")
	w.publish(table.SharesSheet, "west-eu", "max-percent", "0")
	// The request must still wait when the change is active, which may take seconds.
	w.addRow(table.PolicySheet, "session-max-wait-ms", "60000")
	w.must(w.PublishTable(w.ctx, "a longer wait"))
	w.settle()
	west, north := w.entry("west-1"), w.entry("north-1")
	advice, err := w.client.FetchAdvice(w.ctx, west.Caller, moved)
	w.must(err)

	var waiting *queued
	w.until(func() error {
		var err error
		waiting, err = w.queue(west, moved)
		return err
	})
	w.publish(table.WorkspacesSheet, string(moved), "places", "north-eu")
	w.settle()
	waiting.release()
	if f := <-waiting.ended; f == nil || f.Outcome != result.NotRun || f.Reason != result.PlaceForbidden {
		t.Errorf("the waiting request ended with %v", f)
	}
	w.refusesMoved(west, completion(moved, 4))
	w.refusesMoved(west, reservation(moved, advice.KeyPrefix+"late"))
	if _, f := w.client.Call(w.ctx, north.Caller, completion(moved, 4)); f != nil {
		t.Errorf("not served in the place that is left: %v", f)
	}
	// The key's owner is no longer among the places.
	if _, f := w.client.Call(w.ctx, north.Caller, reservation(moved, advice.KeyPrefix+"late")); f == nil {
		t.Error("a keyed call was passed on to an owner outside the places")
	}
	for id, runs := range w.runs("engine") {
		for _, r := range runs {
			if r.Workspace == string(moved) && w.Upstream(id).Plan.Region == "west-eu" {
				t.Errorf("%s received the moved data at %s", id, r.Time)
			}
		}
	}
}

// queued is a request that waits at a gate, behind others that hang in the engines.
type queued struct {
	// ended gets the request's failure, nil for an answer.
	ended chan *result.Failure
	// release ends the fault of the engines and those that hang in them.
	release func()
}

// queue lets a session of a workspace wait at an entry of the western region. It
// returns an error when the request was not let into the queue.
func (w *world) queue(at *fleet.Entry, workspace ident.Workspace) (*queued, error) {
	ctx, cancel := context.WithCancel(w.ctx)
	session := func(ctx context.Context, name ident.Workspace) *result.Failure {
		q := completion(name, 4)
		q.Class = table.Session
		_, failure := w.client.Call(ctx, at.Caller, q)
		return failure
	}
	// An entry that has seen nothing end lets nobody wait.
	for range 20 {
		if failure := session(ctx, "west-only"); failure != nil {
			cancel()
			return nil, failure
		}
	}
	w.setFault("engine", "west-eu", `{"faults":[{"kind":"hang-before-first-byte"}]}`)
	var fillers sync.WaitGroup
	q := &queued{ended: make(chan *result.Failure, 1)}
	q.release = func() {
		w.setFault("engine", "west-eu", `{"faults":[]}`)
		cancel()
		fillers.Wait()
	}
	for range 3 {
		fillers.Go(func() { _ = session(ctx, "west-only") })
	}
	w.until(func() error { return w.waiting(at, 1) })
	go func() { q.ended <- session(w.ctx, workspace) }()
	var refused *result.Failure
	w.until(func() error {
		select {
		case refused = <-q.ended:
			return nil
		default:
			return w.waiting(at, 2)
		}
	})
	if refused != nil {
		q.release()
		return nil, refused
	}
	return q, nil
}

// setFault sets the faults of the stand-ins of a kind in a region.
func (w *world) setFault(kind string, region ident.Region, fault string) {
	w.t.Helper()
	for _, u := range w.Upstreams {
		if u.Plan.Kind == kind && u.Plan.Region == region {
			w.must(u.SetFault(w.ctx, fault))
		}
	}
}

func (w *world) refusesMoved(e *fleet.Entry, q *bench.Request) {
	answer, failure := w.client.Call(w.ctx, e.Caller, q)
	if failure == nil || answer.Status != http.StatusMisdirectedRequest {
		w.t.Errorf("%s answers %d, %v", e.Name, answer.Status, failure)
	}
}

// waiting returns nil once at least so many requests wait at the gates of an entry.
func (w *world) waiting(e *fleet.Entry, count int) error {
	var vars struct {
		Gates []struct {
			Waiting int `json:"waiting"`
		} `json:"gates"`
	}
	if err := w.client.GetJSON(w.ctx, e.Admin, "/debug/vars", &vars); err != nil {
		return err
	}
	sum := 0
	for _, g := range vars.Gates {
		sum += g.Waiting
	}
	if sum < count {
		return fmt.Errorf("%d wait, not %d", sum, count)
	}
	return nil
}
