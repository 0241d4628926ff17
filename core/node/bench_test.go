package node_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
)

// deploymentSize is the size of a deployment: the instances in all regions and in
// the own region, the upstreams of the own region, and the models and workspaces.
type deploymentSize struct{ entries, inRegion, upstreams, models, workspaces int }

// sizes are the present deployment, a medium one, and the target of 370 instances and
// 1,700 upstreams in 14 regions, which is 121 upstreams a region. The last one is the
// target with all upstreams in one region.
var sizes = []deploymentSize{{9, 3, 20, 2, 30}, {90, 9, 60, 14, 300}, {370, 26, 121, 14, 1300}, {370, 26, 1700, 14, 1300}}

// newSizedFixture returns a node of a deployment that is ready and has received
// heartbeats from its peers.
func newSizedFixture(s deploymentSize) *fixture {
	f := newFixture()
	text := map[string]*strings.Builder{}
	f.sheets = map[string]string{}
	appendRows := func(sheet, format string, a ...any) {
		if text[sheet] == nil {
			text[sheet] = &strings.Builder{}
			text[sheet].WriteString(strings.SplitAfter(sheets[sheet], "\n")[0])
		}
		fmt.Fprintf(text[sheet], format+"\n", a...)
	}
	for name := range sheets {
		appendRows(name, "%s", strings.TrimSpace(strings.Join(strings.SplitAfter(sheets[name], "\n")[1:], "")))
	}
	for i := range s.models {
		appendRows("pools.csv", "p%d,engine,m%d@v1,8,yes", i, i)
		appendRows("traffic.csv", "m%d,any,v1,1", i)
	}
	for i := range s.workspaces {
		appendRows("workspaces.csv", "w%d,west,west north,5,4,", i)
	}
	for name, b := range text {
		f.sheets[name] = strings.ReplaceAll(b.String(), "\n\n", "\n")
	}
	var entries, upstreams []string
	for i := range s.entries {
		region := map[bool]string{true: "west", false: "north"}[i < s.inRegion]
		entries = append(entries, fmt.Sprintf("%s-%d", region, i+1))
	}
	for i := range s.upstreams {
		upstreams = append(upstreams, fmt.Sprintf("p%d-%d", i%s.models, i))
	}
	f.publish(1)
	f.list(fetch.EntriesKey, 1, entries)
	f.list(fetch.UpstreamsKey("west"), 1, upstreams)
	f.startNode()
	// A large table is read page by page at the rate that the platform allows.
	for f.node.View().Phase != member.Ready || f.node.View().Table == nil {
		f.advance(time.Second)
		for _, id := range entries[1:s.inRegion] {
			f.receiveHeartbeat(id, 1)
		}
	}
	return f
}

// BenchmarkStep measures one event of each kind and the heap bytes of a node.
func BenchmarkStep(b *testing.B) {
	for _, s := range sizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := newSizedFixture(s)
		runtime.GC()
		runtime.ReadMemStats(&after)
		revision, heartbeats := 1, 0
		upstream := ident.Upstream(fmt.Sprintf("p0-%d", 0))
		events := []struct {
			name string
			step func()
		}{
			{"tick", func() { f.now = f.now.Add(member.TickInterval); f.node.Step(f.now, node.Tick{}) }},
			{"heartbeat", func() { heartbeats++; f.receiveHeartbeat(fmt.Sprintf("west-%d", 2+heartbeats%(s.inRegion-1)), 1) }},
			{"load", func() {
				f.node.Step(f.now, node.LoadPolled{Upstream: upstream, Report: load.Report{Slots: 8, AsOf: f.now}})
			}},
			{"publish", func() { _ = f.run(nil, "summary") }},
			{"list", func() {
				revision++
				value := f.values[fetch.UpstreamsKey("west")]
				value.Revision = ident.Revision(revision)
				found := fetch.PlatformAnswered{Key: fetch.UpstreamsKey("west"), Answer: fetch.Found, Value: value}
				f.node.Step(f.now, node.FetchAnswered{Event: found, AskedAt: f.now})
			}},
		}
		for _, e := range events {
			b.Run(fmt.Sprintf("%s/entries=%d/upstreams=%d", e.name, s.entries, s.upstreams), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					e.step()
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-B")
			})
		}
		runtime.KeepAlive(f)
	}
}
