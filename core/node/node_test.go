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

// fakeCodec encodes payloads as JSON.
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

var testAddress = netip.MustParseAddrPort("127.0.0.1:7201")

func entryOf(id string) member.Entry {
	region, _, _ := strings.Cut(id, "-")
	return member.Entry{ID: ident.Instance(id), Zone: ident.Zone(region + "-1"), Region: ident.Region(region), Peer: testAddress, Caller: testAddress, Admin: testAddress}
}

// fixture is one node together with the platform and the peers that answer its
// requests.
type fixture struct {
	now        time.Time
	node       *node.Node
	start      time.Time
	heartbeats uint64
	sheets     map[string]string
	values     map[fetch.Key]fetch.Value
	// unavailable makes the platform fail. pendingReads holds, for each read that the
	// platform has not answered, the end of its wait.
	unavailable  bool
	pendingReads map[fetch.Key]time.Time
	// reported holds the descriptions of the actions since the last call of show.
	reported []string
}

func newFixture() *fixture {
	return &fixture{now: time.Unix(1_800_000_000, 0), sheets: sheets, values: map[fetch.Key]fetch.Value{}, pendingReads: map[fetch.Key]time.Time{}}
}

func (f *fixture) startNode() {
	f.start = f.now
	f.node = node.New(node.Options{Self: entryOf("west-1"), Start: 1, Codec: fakeCodec{}})
}

func (f *fixture) report(format string, a ...any) {
	f.reported = append(f.reported, fmt.Sprintf(format, a...))
}

// step passes one event to the node and answers its requests.
func (f *fixture) step(event node.Event) {
	// The slice is valid only until the next step.
	for _, action := range slices.Clone(f.node.Step(f.now, event)) {
		switch a := action.(type) {
		case node.ReadPlatform:
			f.pendingReads[a.Key] = f.now.Add(a.Wait)
		case node.ReadPeer:
			value, found := f.values[a.Key]
			f.step(node.FetchAnswered{Event: fetch.PeerAnswered{Instance: a.Instance, Key: a.Key, Found: found, Value: value}, AskedAt: f.now})
		case node.BecameReady:
			f.report("ready from %s", a.Source)
		case node.PauseDetected:
			f.report("paused %s", a.Gap)
		case node.ValueRejected:
			f.report("refused %s %s", a.Key, a.Verdict)
		case node.SendOrder:
			f.report("order %s fence %d want %s", a.Upstream, a.Fence, strings.Join(a.Wanted, " "))
		case node.OrderHeld:
			f.report("order for %s held: %s", a.Upstream, a.Reason)
		}
	}
}

// advance moves the clock forward in ticks; the platform answers after each tick.
func (f *fixture) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(member.TickInterval)
		f.step(node.Tick{})
		for _, key := range slices.Sorted(maps.Keys(f.pendingReads)) {
			f.answer(key, !f.now.Before(f.pendingReads[key]))
		}
	}
}

func (f *fixture) answer(key fetch.Key, expired bool) {
	var event fetch.Event = fetch.PlatformAnswered{Key: key, Answer: fetch.Unchanged}
	value, found := f.values[key]
	switch {
	case f.unavailable:
		event = fetch.PlatformFailed{Key: key}
	case found && (expired || value.Revision > 1):
		event = fetch.PlatformAnswered{Key: key, Answer: fetch.Found, Value: value}
	case !expired:
		return
	case !found:
		event = fetch.PlatformAnswered{Key: key, Answer: fetch.Absent}
	}
	delete(f.pendingReads, key)
	f.step(node.FetchAnswered{Event: event, AskedAt: f.now})
}

// publish publishes a table on the platform. changes are pairs of old and new text
// that are replaced in its sheets.
func (f *fixture) publish(revision int, changes ...string) {
	var sheets []table.Sheet
	for name, text := range f.sheets {
		sheets = append(sheets, table.ParseSheet(name, []byte(strings.NewReplacer(changes...).Replace(text))))
	}
	pages := table.Split(sheets, table.PageBytes)
	for _, p := range pages {
		f.values[fetch.PageKey(p.Ref.Digest)] = fetch.Value{Data: p.Data}
	}
	manifest := table.NewManifest(ident.Revision(revision-1), "", "", pages)
	f.values[fetch.ManifestKey] = fetch.Value{Revision: ident.Revision(revision), Data: manifest.Encode()}
}

// list publishes a list on the platform. An id that ends with "!" is leaving. The part
// of an upstream's id before its first hyphen is the name of its pool.
func (f *fixture) list(key fetch.Key, revision int, ids []string) {
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
			name, e.Zone, e.Region, pool, testAddress, testAddress, testAddress, testAddress, state))
	}
	f.values[key] = fetch.Value{Revision: ident.Revision(revision), Data: []byte("[" + strings.Join(rows, ",") + "]")}
}

// receiveHeartbeat passes to the node a heartbeat of a peer that holds the given
// revision of the table.
func (f *fixture) receiveHeartbeat(id string, held int) {
	f.heartbeats++
	e := entryOf(id)
	f.step(node.HeartbeatArrived{Heartbeat: member.Heartbeat{From: ident.Incarnation{Instance: e.ID, Start: 9}, Sequence: 1000 + f.heartbeats,
		Echo: member.Echo{Start: 1, Sequence: uint64(f.now.Sub(f.start).Milliseconds())}, Phase: member.Ready, Self: &e, Revisions: member.Revisions{Table: ident.Revision(held), Entries: 1, Upstreams: 1}, Payload: []byte("{}")}})
}

// run executes one line of a test case.
func (f *fixture) run(t *testing.T, line string) string {
	words := strings.Fields(line)
	number := func(i int) int { n, _ := strconv.Atoi(words[i]); return n }
	switch words[0] {
	case "start":
		f.startNode()
	case "platform":
		f.unavailable = words[1] == "down"
	case "table":
		f.publish(number(1), words[2:]...)
	case "entries":
		f.list(fetch.EntriesKey, number(1), words[2:])
	case "upstreams":
		f.list(fetch.UpstreamsKey("west"), number(1), words[2:])
	case "pass":
		d, _ := time.ParseDuration(words[1])
		f.advance(d)
	case "pause":
		d, _ := time.ParseDuration(words[1])
		f.now = f.now.Add(d)
		f.step(node.Tick{})
	case "hear":
		f.receiveHeartbeat(words[1], number(2))
	case "summary":
		f.heartbeats++
		payload := fakeCodec{}.EncodeLoad(node.RegionLoad{Models: []node.ModelLoad{{Model: "planner", Free: 4, Slots: 8}}})
		f.step(node.SummaryArrived{Summary: member.RegionSummary{Region: "north", Origin: ident.Incarnation{Instance: "north-1", Start: 9}, Sequence: f.heartbeats,
			ReadyCount: 1, Contacts: []member.Contact{{Incarnation: ident.Incarnation{Instance: "north-1", Start: 9}, Zone: "north-1", Peer: testAddress, Caller: testAddress}}, Payload: payload}})
	case "load":
		f.step(node.LoadPolled{Upstream: ident.Upstream(words[1]), Report: load.Report{AsOf: f.now, Slots: 8, Leaving: words[2] == "leaving"},
			Models: node.ModelReport{Known: true, HighestFence: ident.Revision(number(3)), Loaded: words[4:]}})
	case "accept":
		f.step(node.OrderAnswered{Result: order.Result{Upstream: ident.Upstream(words[1]), Fence: ident.Revision(number(2)), Accepted: true}})
	case "drain":
		f.step(node.PhaseChanged{Phase: member.Draining})
	case "show":
		return f.show()
	default:
		t.Fatalf("unknown line %q", line)
	}
	return ""
}

// show returns the content of the view and the actions since the last call.
func (f *fixture) show() string {
	actions := strings.Join(f.reported, "; ")
	f.reported = nil
	v := f.node.View()
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
	return strings.TrimSuffix(strings.Join(text, ", ")+"\n  "+actions, "\n  ") + "\n"
}

// TestNode runs the test cases in testdata, each a script of events and the expected
// views and actions.
func TestNode(t *testing.T) {
	var f *fixture
	datadriven.RunTest(t, "testdata/node", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "new" {
			f = newFixture()
			f.publish(1)
			f.list(fetch.EntriesKey, 1, []string{"west-1", "west-2", "north-1"})
			f.list(fetch.UpstreamsKey("west"), 1, []string{"big-1", "big-2", "small-1", "app-1"})
		}
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			out.WriteString(f.run(t, strings.TrimSpace(line)))
		}
		return out.String()
	})
}
