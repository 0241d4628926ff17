package node_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/order"
	"arbutustrestle/core/table"
)

// fakeCodec writes payloads as JSON.
type fakeCodec struct{}

func (fakeCodec) EncodeGossip(_ time.Time, g node.Gossip) []byte { b, _ := json.Marshal(g); return b }
func (fakeCodec) EncodeLoad(l node.RegionLoad) []byte            { b, _ := json.Marshal(l); return b }
func (fakeCodec) DecodeGossip(_ time.Time, p []byte) (g node.Gossip, err error) {
	return g, json.Unmarshal(p, &g)
}
func (fakeCodec) DecodeLoad(p []byte) (l node.RegionLoad, err error) {
	return l, json.Unmarshal(p, &l)
}

var sheets = map[string]string{
	"zones.csv":      "zone,region\nwest-1,west\nnorth-1,north\n",
	"policy.csv":     "setting,value\n",
	"pools.csv":      "pool,kind,serves,slots,checks-orders\nbig,engine,planner@v1 planner@v2,8,yes\nsmall,engine,helper@v1,8,no\napp,service,app,8,\n",
	"traffic.csv":    "model,class,version,weight\nplanner,any,v1,90\nplanner,any,v2,10\nhelper,quick,v1,1\n",
	"shares.csv":     "from,to,max-percent,cost\nwest,north,20,100\n",
	"calls.csv":      "service,method,path,repeatable,timeout-s\napp,any,/bookings,no,15\n",
	"workspaces.csv": "workspace,home,places,requests-per-second,in-flight,tokens-per-second\nanna,west,west,,,\n",
}

var address = netip.MustParseAddrPort("127.0.0.1:7201")

func entryOf(id string) member.Entry {
	region, _, _ := strings.Cut(id, "-")
	return member.Entry{ID: ident.Instance(id), Zone: ident.Zone(region + "-1"), Region: ident.Region(region), Peer: address, Caller: address, Admin: address}
}

// world is one node with what answers its questions: the platform and its peers.
type world struct {
	now    time.Time
	node   *node.Node
	start  time.Time
	beats  uint64
	sheets map[string]string
	values map[fetch.Key]fetch.Value
	// down makes the platform fail; waiting holds the reads that it has not answered.
	down    bool
	waiting map[fetch.Key]time.Time
	// did holds the actions that are told, since they were last asked for.
	did []string
}

func newWorld() *world {
	return &world{now: time.Unix(1_800_000_000, 0), sheets: sheets, values: map[fetch.Key]fetch.Value{}, waiting: map[fetch.Key]time.Time{}}
}

func (w *world) begin() {
	w.start = w.now
	w.node = node.New(node.Options{Self: entryOf("west-1"), Start: 1, Codec: fakeCodec{}})
}

func (w *world) tell(format string, a ...any) { w.did = append(w.did, fmt.Sprintf(format, a...)) }

// step gives one event to the node and answers its questions.
func (w *world) step(event node.Event) {
	// The slice is only valid until the next step.
	for _, action := range slices.Clone(w.node.Step(w.now, event)) {
		switch a := action.(type) {
		case node.ReadPlatform:
			w.waiting[a.Key] = w.now.Add(a.Wait)
		case node.AskPeer:
			value, found := w.values[a.Key]
			w.step(node.FetchAnswered{Event: fetch.PeerAnswered{Instance: a.Instance, Key: a.Key, Found: found, Value: value}, AskedAt: w.now})
		case node.BecameReady:
			w.tell("ready from %s", a.Source)
		case node.PauseDetected:
			w.tell("paused %s", a.Gap)
		case node.ValueRejected:
			w.tell("refused %s %s", a.Key, a.Verdict)
		case node.SendOrder:
			w.tell("order %s fence %d want %s", a.Upstream, a.Fence, strings.Join(a.Wanted, " "))
		case node.OrderHeld:
			w.tell("order for %s held: %s", a.Upstream, a.Reason)
		}
	}
}

// pass lets time pass in ticks, in which the platform answers.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(member.TickInterval)
		w.step(node.Tick{})
		for _, key := range slices.Sorted(maps.Keys(w.waiting)) {
			w.answer(key, !w.now.Before(w.waiting[key]))
		}
	}
}

func (w *world) answer(key fetch.Key, over bool) {
	var event fetch.Event = fetch.PlatformAnswered{Key: key, Answer: fetch.Unchanged}
	value, found := w.values[key]
	switch {
	case w.down:
		event = fetch.PlatformFailed{Key: key}
	case found && (over || value.Revision > 1):
		event = fetch.PlatformAnswered{Key: key, Answer: fetch.Found, Value: value}
	case !over:
		return
	case !found:
		event = fetch.PlatformAnswered{Key: key, Answer: fetch.Absent}
	}
	delete(w.waiting, key)
	w.step(node.FetchAnswered{Event: event, AskedAt: w.now})
}

// publish puts a table on the platform, after replacing texts in its sheets.
func (w *world) publish(revision int, changes ...string) {
	var list []table.Sheet
	for name, text := range w.sheets {
		list = append(list, table.ParseSheet(name, []byte(strings.NewReplacer(changes...).Replace(text))))
	}
	pages := table.Split(list, table.PageBytes)
	for _, p := range pages {
		w.values[fetch.PageKey(p.Ref.Digest)] = fetch.Value{Data: p.Data}
	}
	manifest := table.NewManifest(ident.Revision(revision-1), "", "", pages)
	w.values[fetch.ManifestKey] = fetch.Value{Revision: ident.Revision(revision), Data: manifest.Encode()}
}

// list puts a list on the platform; an id that ends with "!" is leaving. The rest of
// an upstream's id before the last hyphen is its pool.
func (w *world) list(key fetch.Key, revision int, ids []string) {
	rows := []string{}
	for _, id := range ids {
		name, leaving := strings.CutSuffix(id, "!")
		state := map[bool]string{false: "live", true: "leaving"}[leaving]
		e := entryOf(name)
		pool, _, _ := strings.Cut(name, "-")
		if key != fetch.EntriesKey {
			e.Zone, e.Region = "west-1", "west"
		}
		rows = append(rows, fmt.Sprintf(`{"id":%q,"zone":%q,"region":%q,"pool":%q,"peer":%q,"address":%q,"caller":%q,"admin":%q,"state":%q}`,
			name, e.Zone, e.Region, pool, address, address, address, address, state))
	}
	w.values[key] = fetch.Value{Revision: ident.Revision(revision), Data: []byte("[" + strings.Join(rows, ",") + "]")}
}

// hear brings a heartbeat of a peer that holds the given table.
func (w *world) hear(id string, held int) {
	w.beats++
	e := entryOf(id)
	w.step(node.HeartbeatArrived{Heartbeat: member.Heartbeat{From: ident.Incarnation{Instance: e.ID, Start: 9}, Sequence: 1000 + w.beats,
		Echo: member.Echo{Start: 1, Sequence: uint64(w.now.Sub(w.start).Milliseconds())}, Phase: member.Ready, Self: &e, Revisions: member.Revisions{Table: ident.Revision(held), Entries: 1, Upstreams: 1}, Payload: []byte("{}")}})
}

// run carries out one line of a case.
func (w *world) run(t *testing.T, line string) string {
	words := strings.Fields(line)
	number := func(i int) int { n, _ := strconv.Atoi(words[i]); return n }
	switch words[0] {
	case "start":
		w.begin()
	case "platform":
		w.down = words[1] == "down"
	case "table":
		w.publish(number(1), words[2:]...)
	case "entries":
		w.list(fetch.EntriesKey, number(1), words[2:])
	case "upstreams":
		w.list(fetch.UpstreamsKey("west"), number(1), words[2:])
	case "pass":
		d, _ := time.ParseDuration(words[1])
		w.pass(d)
	case "pause":
		d, _ := time.ParseDuration(words[1])
		w.now = w.now.Add(d)
		w.step(node.Tick{})
	case "hear":
		w.hear(words[1], number(2))
	case "summary":
		w.beats++
		payload := fakeCodec{}.EncodeLoad(node.RegionLoad{Models: []node.ModelLoad{{Model: "planner", Free: 4, Slots: 8}}})
		w.step(node.SummaryArrived{Summary: member.RegionSummary{Region: "north", Origin: ident.Incarnation{Instance: "north-1", Start: 9}, Sequence: w.beats,
			ReadyCount: 1, Contacts: []member.Contact{{Incarnation: ident.Incarnation{Instance: "north-1", Start: 9}, Zone: "north-1", Peer: address, Caller: address}}, Payload: payload}})
	case "load":
		w.step(node.LoadPolled{Upstream: ident.Upstream(words[1]), Report: load.Report{AsOf: w.now, Slots: 8, Leaving: words[2] == "leaving"},
			Models: node.ModelReport{Known: true, HighestFence: ident.Revision(number(3)), Loaded: words[4:]}})
	case "accept":
		w.step(node.OrderAnswered{OrderResult: order.OrderResult{Upstream: ident.Upstream(words[1]), Fence: ident.Revision(number(2)), Accepted: true}})
	case "drain":
		w.step(node.PhaseChanged{Phase: member.Draining})
	case "show":
		return w.show()
	default:
		t.Fatalf("unknown line %q", line)
	}
	return ""
}

// show tells the actions since it was last called, and the view.
func (w *world) show() string {
	did := strings.Join(w.did, "; ")
	w.did = nil
	v := w.node.View()
	text := []string{v.Phase.String(), "alive " + fmt.Sprint(v.Members.AliveInstances()), fmt.Sprintf("upstreams %d", v.UpstreamCount())}
	if v.Table != nil {
		text = append(text, fmt.Sprintf("table %d", v.Table.Version().Revision))
	}
	if v.Resuming {
		text = append(text, "waking")
	}
	for _, m := range []ident.Model{"planner", "helper"} {
		r, found := v.ModelRoutes(m, table.Quick)
		if !found {
			continue
		}
		for _, version := range r.Versions {
			names := []string{}
			for _, a := range version.Candidates {
				if !a.Upstream.Leaving() {
					names = append(names, string(a.Upstream.ID))
				}
			}
			text = append(text, fmt.Sprintf("%s@%s*%d%v", m, version.Version, version.Weight, names))
		}
		for _, remote := range r.Remotes {
			text = append(text, fmt.Sprintf("%s to %s free %g", m, remote.Load.Region, remote.Load.FreeSlots))
		}
	}
	return strings.TrimSuffix(strings.Join(text, ", ")+"\n  "+did, "\n  ") + "\n"
}

// TestNode runs the control state through the cases of testdata.
func TestNode(t *testing.T) {
	var w *world
	datadriven.RunTest(t, "testdata/node", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "new" {
			w = newWorld()
			w.publish(1)
			w.list(fetch.EntriesKey, 1, []string{"west-1", "west-2", "north-1"})
			w.list(fetch.UpstreamsKey("west"), 1, []string{"big-1", "big-2", "small-1", "app-1"})
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			out.WriteString(w.run(t, strings.TrimSpace(line)))
		}
		return out.String()
	})
}
