package loop

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/dedup"
	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/share"
	"arbutustrestle/core/table"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/wire"
)

// startTicks is the number of ticks after which a lone instance activates its table.
const startTicks = 40

// Guards against refusals as class-full right after the start: the gates were sized with
// the table, and the list of upstreams that came after it changed nothing for a second.
func TestGatesFollowList(t *testing.T) {
	g := newGateWorld()
	g.step(node.Tick{}, g.answer(fetch.ManifestKey, 0))
	for range startTicks {
		g.clock.Advance(member.TickInterval)
		g.step(node.Tick{})
	}
	if g.loop.View().Table == nil {
		t.Fatal("the table is not active")
	}
	g.step(g.answer(fetch.UpstreamsKey("west"), 0))
	want := []entry.GateLoad{{Group: "planners", Slots: 16}}
	if got := g.loop.deps.Gates.Loads(); !slices.Equal(got, want) {
		t.Errorf("gates %+v, not %+v", got, want)
	}
}

// gateWorld is a loop whose events are passed to its node by the test. The platform holds
// values, but does not answer reads of the lists.
type gateWorld struct {
	loop   *Loop
	clock  *clock.Manual
	values map[fetch.Key]fetch.Value
}

func newGateWorld() *gateWorld {
	g := &gateWorld{clock: clock.NewManual(time.UnixMilli(1 << 40)), values: map[fetch.Key]fetch.Value{}}
	texts := map[string]string{
		"zones.csv":      "zone,region\nwest-1,west\n",
		"policy.csv":     "setting,value\n",
		"traffic.csv":    "model,class,version,weight\nplanner,any,v1,1\n",
		"shares.csv":     "from,to,max-percent,cost\n",
		"workspaces.csv": "workspace,home,places,requests-per-second,in-flight,tokens-per-second\nanna,west,west,,,\n",
		"pools.csv":      "pool,kind,serves,slots,checks-orders\nplanners,engine,planner@v1,16,yes\n",
		"calls.csv":      "service,method,path,repeatable,timeout-s\n",
	}
	var sheets []table.Sheet
	for name, text := range texts {
		sheets = append(sheets, table.ParseSheet(name, []byte(text)))
	}
	pages := table.Split(sheets, table.PageBytes)
	for _, p := range pages {
		g.values[fetch.PageKey(p.Ref.Digest)] = fetch.Value{Revision: 1, Data: p.Data}
	}
	g.values[fetch.ManifestKey] = fetch.Value{Revision: 1, Data: table.NewManifest(0, "ann", "", pages).Encode()}
	upstreams := `[{"id":"planner-1","pool":"planners","zone":"west-1","address":"10.0.0.1:8000","state":"live"}]`
	g.values[fetch.UpstreamsKey("west")] = fetch.Value{Revision: 1, Data: []byte(upstreams)}

	self := member.Entry{ID: "west-1", Zone: "west-1", Region: "west", Peer: netip.MustParseAddrPort("10.0.0.2:7000")}
	n := node.New(node.Options{Self: self, Start: 1, Codec: wire.Codec{}})
	g.loop = New(Dependencies{
		Node:             n,
		Clock:            g.clock,
		Metrics:          metric.NewSet(),
		Records:          entry.NewRecords(n.View().Self, g.clock, dedup.Limits{EpochLength: time.Minute, Retention: time.Minute}),
		Gates:            entry.NewGates(g.clock, entry.NewRandom(1)),
		WorkspaceLimiter: &share.Limiter{},
		RetryBudget:      &retry.Budget{},
	})
	return g
}

func (g *gateWorld) answer(key fetch.Key, after ident.Revision) node.Event {
	answered := fetch.PlatformAnswered{Key: key, Answer: fetch.Unchanged}
	if value := g.values[key]; value.Revision > after {
		answered.Answer = fetch.Found
		answered.Value = value
	}
	return node.FetchAnswered{Event: answered, AskedAt: g.clock.Now()}
}

func (g *gateWorld) step(events ...node.Event) {
	for ; len(events) > 0; events = events[1:] {
		for _, action := range g.loop.deps.Node.Step(g.clock.Now(), events[0]) {
			switch a := action.(type) {
			case node.ReadPlatform:
				if a.Key != fetch.EntriesKey && a.Key != fetch.UpstreamsKey("west") {
					events = append(events, g.answer(a.Key, a.After))
				}
			case node.PublishView:
				g.loop.publish(a.View)
			}
		}
	}
}
