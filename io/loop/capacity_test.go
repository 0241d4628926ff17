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

// The target size of the system: 370 instances in 14 regions with 48 zones, 14 models
// and 1,300 workspaces.
const (
	targetInstances  = 370
	targetRegions    = 14
	targetModels     = 14
	targetWorkspaces = 1300
	// segmentBytes is the overhead of yamux, TCP and IP for a message of some hundred
	// bytes, including the acknowledgement on the way back.
	segmentBytes = 12 + 2*52
	// remoteInstances is the number of instances that run in each other region: as many
	// as a summary names.
	remoteInstances = 3
	simStep         = 50 * time.Millisecond
)

// size is the size of region r00.
type size struct{ instances, upstreams, claims int }

// instance is one instance with its control state.
type instance struct {
	entry member.Entry
	node  *node.Node
	// bytes and messages count both directions. elapsed is the time spent in Step and in
	// the codec.
	bytes, messages int
	elapsed         time.Duration
}

// world simulates the control states of all instances of r00, and of some in the other
// regions, on one virtual clock. It encodes messages as on the wire.
type world struct {
	size      size
	now       time.Time
	all       []*instance
	local     []*instance
	byPeer    map[netip.AddrPort]*instance
	values    map[fetch.Key]fetch.Value
	sheets    []table.Sheet
	scheduled map[time.Time][]func()
	claims    []share.WorkspaceClaims
	reads     int
	polls     int
	// messageSizes holds the sizes of the messages sent in r00, by category.
	messageSizes map[string][]int
	// stepCounts and stepTimes hold the number and the total time of the calls of Step in
	// r00, by kind.
	stepCounts map[string]int
	stepTimes  map[string]time.Duration
}

func newWorld(s size) *world {
	w := &world{size: s, now: time.UnixMilli(1 << 40), byPeer: map[netip.AddrPort]*instance{}, values: map[fetch.Key]fetch.Value{}, scheduled: map[time.Time][]func(){}}
	w.reset()
	w.publishLists()
	w.sheets = newSheets()
	w.publishTable(1)
	for i := range s.claims {
		claim := share.Claim{Held: 1.5 + float64(i), Wanted: 1.25}
		w.claims = append(w.claims, share.WorkspaceClaims{Workspace: ident.Workspace(fmt.Sprintf("workspace-%04d", i)), Requests: claim, InFlight: claim, Tokens: claim})
	}
	for i, in := range w.all {
		in.node = node.New(node.Options{Self: in.entry, Start: 1<<60 + uint64(i), Codec: wire.Codec{}})
		offset := time.Duration(i%5) * simStep
		w.schedule(offset, func() { w.tick(in) })
	}
	w.run(40 * time.Second)
	return w
}

func (w *world) reset() {
	w.stepCounts = map[string]int{}
	w.stepTimes = map[string]time.Duration{}
	w.messageSizes = map[string][]int{}
	w.reads, w.polls = 0, 0
	for _, in := range w.all {
		in.bytes, in.messages, in.elapsed = 0, 0, 0
	}
}

// publishLists publishes a list of 370 instances, of which those of r00 and three of each
// other region run, and a list of the upstreams of r00.
func (w *world) publishLists() {
	var rows []map[string]string
	for r := range targetRegions {
		count := w.size.instances
		if r > 0 {
			count = max(remoteInstances, (targetInstances-w.size.instances)/(targetRegions-1))
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
			if r > 0 && i >= remoteInstances {
				continue
			}
			in := &instance{entry: e}
			w.all = append(w.all, in)
			w.byPeer[e.Peer] = in
			if r == 0 {
				w.local = append(w.local, in)
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

func newSheets() []table.Sheet {
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

func (w *world) schedule(d time.Duration, f func()) {
	at := w.now.Add(max(simStep, d.Round(simStep)))
	w.scheduled[at] = append(w.scheduled[at], f)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simStep) {
		due := w.scheduled[w.now]
		delete(w.scheduled, w.now)
		for _, f := range due {
			f()
		}
	}
}

func (w *world) tick(in *instance) {
	w.step(in, "tick", node.Tick{Usage: w.claims})
	w.schedule(member.TickInterval, func() { w.tick(in) })
}

// step passes an event to an instance. A step that published a view is counted under a
// separate kind.
func (w *world) step(in *instance, kind string, event node.Event) {
	before := in.node.View()
	started := time.Now()
	actions := slices.Clone(in.node.Step(w.now, event))
	took := time.Since(started)
	in.elapsed += took
	after := in.node.View()
	switch {
	case after.Table != before.Table:
		kind = "table"
	case after != before:
		kind += "+view"
	}
	if in.entry.Region == "region-00" {
		w.stepCounts[kind]++
		w.stepTimes[kind] += took
	}
	for _, action := range actions {
		w.perform(in, action)
	}
}

func (w *world) recordSize(in *instance, category string, size int) {
	if in.entry.Region == "region-00" {
		w.messageSizes[category] = append(w.messageSizes[category], size)
	}
}

func (w *world) perform(in *instance, action node.Action) {
	switch a := action.(type) {
	case node.SendHeartbeat:
		size := w.send(in, a.Address, func() *wire.Notice { return heartbeatNotice(a.Heartbeat) })
		w.recordSize(in, "B-heartbeat", size)
		w.recordSize(in, "B-payload", len(a.Heartbeat.Payload))
	case node.SendSummary:
		size := w.send(in, a.Address, func() *wire.Notice { return summaryNotice(a.Summary) })
		w.recordSize(in, "B-summary", size)
	case node.SendAnnouncement:
		for _, to := range a.To {
			w.send(in, to, func() *wire.Notice { return announcementNotice(in.node.View().Self, a.Revisions) })
		}
	case node.ReadPlatform:
		w.read(in, a.ReadPlatform)
	case node.ReadPeer:
		w.fetchFromPeer(in, a)
	case node.PollLoad:
		w.poll(in, a.Upstream)
	}
}

// send encodes a notice, counts it at both ends and schedules its receipt.
func (w *world) send(from *instance, address netip.AddrPort, notice func() *wire.Notice) int {
	started := time.Now()
	data, _ := proto.Marshal(notice())
	from.elapsed += time.Since(started)
	bytes := len(data) + 2 + segmentBytes
	from.bytes += bytes
	from.messages++
	to, found := w.byPeer[address]
	if !found {
		return len(data)
	}
	w.schedule(simStep, func() {
		to.bytes += bytes
		to.messages++
		w.receive(to, from.node.View().Self, data)
	})
	return len(data)
}

func (w *world) receive(in *instance, from ident.Incarnation, data []byte) {
	started := time.Now()
	var notice wire.Notice
	_ = proto.Unmarshal(data, &notice)
	event := noticeEvent(link.Identity{Incarnation: from}, &notice)
	in.elapsed += time.Since(started)
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
	requestedAt := w.now
	w.schedule(wait, func() { w.step(in, "read", node.FetchAnswered{Event: answer, AskedAt: requestedAt}) })
}

func (w *world) fetchFromPeer(in *instance, a node.ReadPeer) {
	peer := w.byPeer[a.Address]
	value, found := peer.node.Value(a.Key, a.After)
	for _, end := range []*instance{in, peer} {
		end.bytes += len(value.Data) + 3*segmentBytes
	}
	answer := fetch.PeerAnswered{Instance: a.Instance, Key: a.Key, Found: found, Value: value}
	w.schedule(simStep, func() { w.step(in, "read", node.FetchAnswered{Event: answer, AskedAt: w.now}) })
}

func (w *world) poll(in *instance, id ident.Upstream) {
	if in.entry.Region == "region-00" {
		w.polls++
	}
	model := id[len("engines-"):len("engines-00")]
	models := node.ModelReport{Known: true, Loaded: []string{"model-" + string(model) + "@v1", "model-" + string(model) + "@v2"}}
	report := load.Report{Running: 9, Waiting: 1, Slots: 16, TokensPerSecond: 321, AsOf: w.now}
	w.schedule(simStep, func() { w.step(in, "load", node.LoadPolled{Upstream: id, Report: report, Models: models}) })
}

// cases increase the size of the whole region, then only the number of upstreams, then
// only the number of workspace claims in heartbeats.
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

// BenchmarkRegion measures the traffic, the computing time and the memory of one instance
// of r00 in steady state, and the cost of a change of one row of the table.
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
	heapPerInstance := float64(heapBytes()-before) / float64(len(w.all))
	const seconds = 60
	w.reset()
	w.run(seconds * time.Second)
	count := float64(len(w.local))
	var bytes, messages, busiest float64
	var elapsed time.Duration
	for _, in := range w.local {
		bytes += float64(in.bytes)
		messages += float64(in.messages)
		busiest = max(busiest, float64(in.bytes))
		elapsed += in.elapsed
	}
	report := func(value float64, unit string) { b.ReportMetric(value, unit) }
	report(heapPerInstance/1000, "KB-held")
	report(bytes/count/seconds, "B/s")
	report(busiest/seconds, "busiest-B/s")
	report(messages/count/seconds, "messages/s")
	report(float64(elapsed.Microseconds())/count/seconds, "us/s")
	report(float64(w.polls)/count/seconds, "polls/s")
	report(float64(w.reads)/count/seconds, "reads/s")
	for category, list := range w.messageSizes {
		sum := 0
		for _, size := range list {
			sum += size
		}
		report(float64(sum)/float64(len(list)), category)
	}
	for kind, steps := range w.stepCounts {
		report(float64(w.stepTimes[kind].Nanoseconds())/float64(steps)/1000, "us-"+kind)
		report(float64(steps)/count/seconds, kind+"/s")
	}
	w.reset()
	w.sheets[4].Rows[7].Cells[4] = "41"
	w.publishTable(2)
	w.run(8 * time.Second)
	report(float64(w.stepTimes["table"].Microseconds())/count, "us-change")
	report(float64(w.stepCounts["table"])/count, "changes")
	runtime.KeepAlive(w)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
