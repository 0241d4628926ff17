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

// size is a deployment: its entries, those of the own region and its upstreams there.
type size struct{ entries, inRegion, upstreams, models, workspaces int }

// sizes are today's, two between, and the target: 370 entries and 1,700 upstreams in
// 14 regions of 121; the last one has all upstreams in one region.
var sizes = []size{{9, 3, 20, 2, 30}, {90, 9, 60, 14, 300}, {370, 26, 121, 14, 1300}, {370, 26, 1700, 14, 1300}}

// newSized returns a node of a deployment that is ready and has heard its peers.
func newSized(s size) *world {
	w := newWorld()
	text := map[string]*strings.Builder{}
	w.sheets = map[string]string{}
	add := func(sheet, format string, a ...any) {
		if text[sheet] == nil {
			text[sheet] = &strings.Builder{}
			text[sheet].WriteString(strings.SplitAfter(sheets[sheet], "\n")[0])
		}
		fmt.Fprintf(text[sheet], format+"\n", a...)
	}
	for name := range sheets {
		add(name, "%s", strings.TrimSpace(strings.Join(strings.SplitAfter(sheets[name], "\n")[1:], "")))
	}
	for i := range s.models {
		add("pools.csv", "p%d,engine,m%d@v1,8,yes", i, i)
		add("traffic.csv", "m%d,any,v1,1", i)
	}
	for i := range s.workspaces {
		add("workspaces.csv", "w%d,west,west north,5,4,", i)
	}
	for name, b := range text {
		w.sheets[name] = strings.ReplaceAll(b.String(), "\n\n", "\n")
	}
	var entries, upstreams []string
	for i := range s.entries {
		region := map[bool]string{true: "west", false: "north"}[i < s.inRegion]
		entries = append(entries, fmt.Sprintf("%s-%d", region, i+1))
	}
	for i := range s.upstreams {
		upstreams = append(upstreams, fmt.Sprintf("p%d-%d", i%s.models, i))
	}
	w.publish(1)
	w.list(fetch.EntriesKey, 1, entries)
	w.list(fetch.UpstreamsKey("west"), 1, upstreams)
	w.begin()
	// A large table is read page by page, at the rate that the platform allows.
	for w.node.View().Phase != member.Ready || w.node.View().Table == nil {
		w.pass(time.Second)
		for _, id := range entries[1:s.inRegion] {
			w.hear(id, 1)
		}
	}
	return w
}

// BenchmarkStep measures one event of each kind, and the bytes that a node holds.
func BenchmarkStep(b *testing.B) {
	for _, s := range sizes {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := newSized(s)
		runtime.GC()
		runtime.ReadMemStats(&after)
		revision, beat := 1, 0
		upstream := ident.Upstream(fmt.Sprintf("p0-%d", 0))
		events := []struct {
			name string
			step func()
		}{
			{"tick", func() { w.now = w.now.Add(member.TickInterval); w.node.Step(w.now, node.Tick{}) }},
			{"heartbeat", func() { beat++; w.hear(fmt.Sprintf("west-%d", 2+beat%(s.inRegion-1)), 1) }},
			{"load", func() {
				w.node.Step(w.now, node.LoadPolled{Upstream: upstream, Report: load.Report{Slots: 8, AsOf: w.now}})
			}},
			{"publish", func() { _ = w.run(nil, "summary") }},
			{"list", func() {
				revision++
				value := w.values[fetch.UpstreamsKey("west")]
				value.Revision = ident.Revision(revision)
				found := fetch.PlatformAnswered{Key: fetch.UpstreamsKey("west"), Answer: fetch.Found, Value: value}
				w.node.Step(w.now, node.FetchAnswered{Event: found, AskedAt: w.now})
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
		runtime.KeepAlive(w)
	}
}
