package loop

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/share"
	"arbutustrestle/core/table"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// The target: 370 entries in 14 regions with 48 zones, 14 models and 1,300
// workspaces.
const (
	targetEntries    = 370
	targetRegions    = 14
	targetModels     = 14
	targetWorkspaces = 1300
	// segmentBytes is what yamux, TCP and IP add to a message of some hundred bytes,
	// and the acknowledgement on the way back.
	segmentBytes = 12 + 2*52
	// remoteEntries is the number of entries that run in each other region: as many
	// as a summary names.
	remoteEntries = 3
	simStep       = 50 * time.Millisecond
)

// size says what region r00 holds.
type size struct{ entries, upstreams, claims int }

// instance is one entry with its control state.
type instance struct {
	entry member.Entry
	node  *node.Node
	// bytes and messages count both directions; spent is the time in Step and in the
	// codec.
	bytes, messages int
	spent           time.Duration
}

// world drives the control states of r00, and some of the other regions, under one
// virtual clock, with the messages as they are on the wire.
type world struct {
	size    size
	now     time.Time
	all     []*instance
	home    []*instance
	byPeer  map[netip.AddrPort]*instance
	values  map[fetch.Key]fetch.Value
	sheets  []table.Sheet
	pending map[time.Time][]func()
	usage   []share.WorkspaceClaims
	reads   int
	polls   int
	// sizes holds the messages sent in r00, by what is counted of them.
	sizes map[string][]int
	// steps and nanos count the calls of Step in r00 by what they did.
	steps map[string]int
	nanos map[string]time.Duration
}

func newWorld(s size) *world {
	w := &world{size: s, now: time.UnixMilli(1 << 40), byPeer: map[netip.AddrPort]*instance{}, values: map[fetch.Key]fetch.Value{}, pending: map[time.Time][]func(){}}
	w.reset()
	w.publishLists()
	w.sheets = sheetsOf()
	w.publishTable(1)
	for i := range s.claims {
		claim := share.Claim{Held: 1.5 + float64(i), Wanted: 1.25}
		w.usage = append(w.usage, share.WorkspaceClaims{Workspace: ident.Workspace(fmt.Sprintf("workspace-%04d", i)), Requests: claim, InFlight: claim, Tokens: claim})
	}
	for i, in := range w.all {
		in.node = node.New(node.Options{Self: in.entry, Start: 1<<60 + uint64(i), Codec: wire.Codec{}})
		offset := time.Duration(i%5) * simStep
		w.after(offset, func() { w.tick(in) })
	}
	w.run(40 * time.Second)
	return w
}

func (w *world) reset() {
	w.steps = map[string]int{}
	w.nanos = map[string]time.Duration{}
	w.sizes = map[string][]int{}
	w.reads, w.polls = 0, 0
	for _, in := range w.all {
		in.bytes, in.messages, in.spent = 0, 0, 0
	}
}

// publishLists lists 370 entries, of which those of r00 and three of each other
// region run, and the upstreams of r00.
func (w *world) publishLists() {
	var rows []map[string]string
	for r := range targetRegions {
		count := w.size.entries
		if r > 0 {
			count = max(remoteEntries, (targetEntries-w.size.entries)/(targetRegions-1))
		}
		for i := range count {
			e := member.Entry{
				ID:     ident.Instance(fmt.Sprintf("entry-r%02d-%03d", r, i)),
				Zone:   ident.Zone(fmt.Sprintf("region-%02d-z%d", r, i%4)),
				Region: ident.Region(fmt.Sprintf("region-%02d", r)),
			}
			address := func(port uint16) netip.AddrPort {
				return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(r), byte(i), 1}), port)
			}
			e.Peer, e.Caller, e.Admin = address(7000), address(8000), address(9000)
			rows = append(rows, map[string]string{
				"id": string(e.ID), "zone": string(e.Zone), "region": string(e.Region), "state": "live",
				"peer": e.Peer.String(), "caller": e.Caller.String(), "admin": e.Admin.String(),
			})
			if r > 0 && i >= remoteEntries {
				continue
			}
			in := &instance{entry: e}
			w.all = append(w.all, in)
			w.byPeer[e.Peer] = in
			if r == 0 {
				w.home = append(w.home, in)
			}
		}
	}
	w.publishJSON(fetch.EntriesKey, rows)
	var upstreams []map[string]string
	for i := range w.size.upstreams {
		upstreams = append(upstreams, map[string]string{
			"id": fmt.Sprintf("engines-%02d-r00-%04d", i%targetModels, i), "pool": fmt.Sprintf("engines-%02d", i%targetModels),
			"zone": fmt.Sprintf("region-00-z%d", i%4), "address": fmt.Sprintf("10.200.%d.%d:8000", i/250, i%250), "state": "live",
		})
	}
	for r := range targetRegions {
		w.publishJSON(fetch.UpstreamsKey(ident.Region(fmt.Sprintf("region-%02d", r))), upstreams)
	}
}

func (w *world) publishJSON(key fetch.Key, rows any) {
	body, _ := json.Marshal(rows)
	w.values[key] = fetch.Value{Revision: w.values[key].Revision + 1, Data: body}
}

func sheetsOf() []table.Sheet {
	var zones, traffic, shares, rows, pools strings.Builder
	for r := range targetRegions {
		for z := range 4 {
			fmt.Fprintf(&zones, "region-%02d-z%d,region-%02d\n", r, z, r)
		}
		for j := 1; j < targetRegions; j++ {
			fmt.Fprintf(&shares, "region-%02d,region-%02d,20,120\n", r, (r+j)%targetRegions)
		}
	}
	for m := range targetModels {
		fmt.Fprintf(&traffic, "model-%02d,any,v1,90\nmodel-%02d,any,v2,10\n", m, m)
		fmt.Fprintf(&pools, "engines-%02d,engine,model-%02d@v1 model-%02d@v2,16,yes\n", m, m, m)
	}
	for i := range targetWorkspaces {
		r := i % targetRegions
		fmt.Fprintf(&rows, "workspace-%04d,region-%02d,region-%02d region-%02d,20,40,2000\n", i, r, r, (r+1)%targetRegions)
	}
	texts := []string{
		"zones.csv", "zone,region\n" + zones.String(),
		"policy.csv", "setting,value\nobjective,latency\n",
		"traffic.csv", "model,class,version,weight\n" + traffic.String(),
		"shares.csv", "from,to,max-percent,cost\n" + shares.String(),
		"workspaces.csv", "workspace,home,places,requests-per-second,in-flight,tokens-per-second\n" + rows.String(),
		"pools.csv", "pool,kind,serves,slots,checks-orders\n" + pools.String(),
		"calls.csv", "service,method,path,repeatable,timeout-s\n",
	}
	var sheets []table.Sheet
	for pair := range slices.Chunk(texts, 2) {
		sheets = append(sheets, table.ParseSheet(pair[0], []byte(pair[1])))
	}
	return sheets
}

func (w *world) publishTable(revision ident.Revision) {
	pages := table.Split(w.sheets, table.PageBytes)
	for _, p := range pages {
		w.values[fetch.PageKey(p.Ref.Digest)] = fetch.Value{Revision: 1, Data: p.Data}
	}
	manifest := table.NewManifest(revision-1, "ann", "", pages)
	w.values[fetch.ManifestKey] = fetch.Value{Revision: w.values[fetch.ManifestKey].Revision + 1, Data: manifest.Encode()}
}

func (w *world) after(d time.Duration, run func()) {
	at := w.now.Add(max(simStep, d.Round(simStep)))
	w.pending[at] = append(w.pending[at], run)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simStep) {
		due := w.pending[w.now]
		delete(w.pending, w.now)
		for _, run := range due {
			run()
		}
	}
}

func (w *world) tick(in *instance) {
	w.step(in, "tick", node.Tick{Usage: w.usage})
	w.after(member.TickInterval, func() { w.tick(in) })
}

// step gives an event to an instance, and counts a step that published a view under
// a name of its own.
func (w *world) step(in *instance, kind string, event node.Event) {
	before := in.node.View()
	began := time.Now()
	actions := slices.Clone(in.node.Step(w.now, event))
	took := time.Since(began)
	in.spent += took
	after := in.node.View()
	switch {
	case after.Table != before.Table:
		kind = "table"
	case after != before:
		kind += "+view"
	}
	if in.entry.Region == "region-00" {
		w.steps[kind]++
		w.nanos[kind] += took
	}
	for _, action := range actions {
		w.carryOut(in, action)
	}
}

func (w *world) count(in *instance, what string, size int) {
	if in.entry.Region == "region-00" {
		w.sizes[what] = append(w.sizes[what], size)
	}
}

func (w *world) carryOut(in *instance, action node.Action) {
	switch a := action.(type) {
	case node.SendHeartbeat:
		size := w.send(in, a.Address, func() *wire.Notice { return heartbeatNotice(a.Heartbeat) })
		w.count(in, "B-heartbeat", size)
		w.count(in, "B-payload", len(a.Heartbeat.Payload))
	case node.SendSummary:
		size := w.send(in, a.Address, func() *wire.Notice { return summaryNotice(a.Summary) })
		w.count(in, "B-summary", size)
	case node.SendAnnouncement:
		for _, to := range a.To {
			w.send(in, to, func() *wire.Notice { return announcementNotice(in.node.View().Self, a.Revisions) })
		}
	case node.ReadPlatform:
		w.read(in, a.ReadPlatform)
	case node.ReadPeer:
		w.ask(in, a)
	case node.PollLoad:
		w.poll(in, a.Upstream)
	}
}

// send writes a notice, counts it at both ends and lets the recipient read it.
func (w *world) send(from *instance, address netip.AddrPort, notice func() *wire.Notice) int {
	began := time.Now()
	data, _ := proto.Marshal(notice())
	from.spent += time.Since(began)
	bytes := len(data) + 2 + segmentBytes
	from.bytes += bytes
	from.messages++
	to, runs := w.byPeer[address]
	if !runs {
		return len(data)
	}
	w.after(simStep, func() {
		to.bytes += bytes
		to.messages++
		w.receive(to, from.node.View().Self, data)
	})
	return len(data)
}

func (w *world) receive(in *instance, from ident.Incarnation, data []byte) {
	began := time.Now()
	var notice wire.Notice
	_ = proto.Unmarshal(data, &notice)
	event := noticeEvent(link.Identity{Incarnation: from}, &notice)
	in.spent += time.Since(began)
	kind := "announcement"
	switch event.(type) {
	case node.HeartbeatArrived:
		kind = "heartbeat"
	case node.SummaryArrived:
		kind = "summary"
	}
	w.step(in, kind, event)
}

func (w *world) read(in *instance, a fetch.ReadPlatform) {
	if in.entry.Region == "region-00" {
		w.reads++
	}
	value := w.values[a.Key]
	answer := fetch.PlatformAnswered{Key: a.Key, Answer: fetch.Unchanged}
	wait := a.Wait
	if value.Revision > a.After {
		answer = fetch.PlatformAnswered{Key: a.Key, Answer: fetch.Found, Value: value}
		wait = 0
	}
	asked := w.now
	w.after(wait, func() { w.step(in, "read", node.FetchAnswered{Event: answer, AskedAt: asked}) })
}

func (w *world) ask(in *instance, a node.ReadPeer) {
	peer := w.byPeer[a.Address]
	value, found := peer.node.Value(a.Key, a.After)
	for _, end := range []*instance{in, peer} {
		end.bytes += len(value.Data) + 3*segmentBytes
	}
	answer := fetch.PeerAnswered{Instance: a.Instance, Key: a.Key, Found: found, Value: value}
	w.after(simStep, func() { w.step(in, "read", node.FetchAnswered{Event: answer, AskedAt: w.now}) })
}

func (w *world) poll(in *instance, id ident.Upstream) {
	if in.entry.Region == "region-00" {
		w.polls++
	}
	model := id[len("engines-"):len("engines-00")]
	models := node.ModelReport{Known: true, Loaded: []string{"model-" + string(model) + "@v1", "model-" + string(model) + "@v2"}}
	report := load.Report{Running: 9, Waiting: 1, Slots: 16, TokensPerSecond: 321, AsOf: w.now}
	w.after(simStep, func() { w.step(in, "load", node.LoadPolled{Upstream: id, Report: report, Models: models}) })
}

// cases grow the whole region, then its upstreams alone, then what heartbeats tell of
// workspaces alone.
var cases = []struct {
	name string
	size size
}{
	{"region/entries=9", size{9, 41, 4}},
	{"region/entries=26", size{26, 121, 4}},
	{"region/entries=65", size{65, 300, 4}},
	{"region/entries=120", size{120, 550, 4}},
	{"load/upstreams=40", size{26, 40, 4}},
	{"load/upstreams=121", size{26, 121, 4}},
	{"load/upstreams=300", size{26, 300, 4}},
	{"load/upstreams=550", size{26, 550, 4}},
	{"limits/claims=0", size{26, 121, 0}},
	{"limits/claims=4", size{26, 121, 4}},
	{"limits/claims=16", size{26, 121, 16}},
	{"limits/claims=93", size{26, 121, 93}},
}

// BenchmarkRegion gives what one entry of r00 sends, receives, computes and holds in
// calm, and for a change of one row.
func BenchmarkRegion(b *testing.B) {
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measure(b, c.size)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measure(b *testing.B, s size) {
	before := heapBytes()
	w := newWorld(s)
	held := float64(heapBytes()-before) / float64(len(w.all))
	const seconds = 60
	w.reset()
	w.run(seconds * time.Second)
	count := float64(len(w.home))
	var bytes, messages, most float64
	var spent time.Duration
	for _, in := range w.home {
		bytes += float64(in.bytes)
		messages += float64(in.messages)
		most = max(most, float64(in.bytes))
		spent += in.spent
	}
	report := func(value float64, unit string) { b.ReportMetric(value, unit) }
	report(held/1000, "KB-held")
	report(bytes/count/seconds, "B/s")
	report(most/seconds, "busiest-B/s")
	report(messages/count/seconds, "messages/s")
	report(float64(spent.Microseconds())/count/seconds, "us/s")
	report(float64(w.polls)/count/seconds, "polls/s")
	report(float64(w.reads)/count/seconds, "reads/s")
	for what, list := range w.sizes {
		sum := 0
		for _, size := range list {
			sum += size
		}
		report(float64(sum)/float64(len(list)), what)
	}
	for kind, steps := range w.steps {
		report(float64(w.nanos[kind].Nanoseconds())/float64(steps)/1000, "us-"+kind)
		report(float64(steps)/count/seconds, kind+"/s")
	}
	w.reset()
	w.sheets[4].Rows[7].Cells[4] = "41"
	w.publishTable(2)
	w.run(8 * time.Second)
	report(float64(w.nanos["table"].Microseconds())/count, "us-change")
	report(float64(w.steps["table"])/count, "changes")
	runtime.KeepAlive(w)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
