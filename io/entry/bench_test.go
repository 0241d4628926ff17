package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/dedup"
	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/share"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/wire"
)

// benchSheets holds the sheets of a table with one zone, one model and one workspace.
var benchSheets = map[string]string{
	"zones.csv":      "zone,region\nwest-1,west\n",
	"policy.csv":     "setting,value\nramp-up-s,0\nplan-share-percent,90\nquick-share-percent,5\nsession-share-percent,5\n",
	"pools.csv":      "pool,kind,serves,slots,checks-orders\nengines,engine,planner@v1,2000,no\n",
	"traffic.csv":    "model,class,version,weight\nplanner,any,v1,1\n",
	"shares.csv":     "from,to,max-percent,cost\n",
	"calls.csv":      "service,method,path,repeatable,timeout-s\n",
	"workspaces.csv": "workspace,home,places,requests-per-second,in-flight,tokens-per-second\ncousins,west,west,,,\n",
}

// benchValues returns the published values with one engine.
func benchValues(b *testing.B, upstream netip.AddrPort) map[fetch.Key]fetch.Value {
	var sheets []table.Sheet
	for name, text := range benchSheets {
		sheets = append(sheets, table.ParseSheet(name, []byte(text)))
	}
	if _, faults := table.Check(sheets); len(faults) > 0 {
		b.Fatal(faults)
	}
	values := map[fetch.Key]fetch.Value{}
	pages := table.Split(sheets, table.PageBytes)
	for _, p := range pages {
		values[fetch.PageKey(p.Ref.Digest)] = fetch.Value{Revision: 1, Data: p.Data}
	}
	values[fetch.ManifestKey] = fetch.Value{Revision: 1, Data: table.NewManifest(0, "bench", "", pages).Encode()}
	values[fetch.EntriesKey] = fetch.Value{Revision: 1, Data: []byte(
		`[{"id":"entry-1","zone":"west-1","region":"west","peer":"127.0.0.1:1","caller":"127.0.0.1:2","admin":"127.0.0.1:3","state":"live"}]`)}
	values[fetch.UpstreamsKey("west")] = fetch.Value{Revision: 1, Data: fmt.Appendf(nil,
		`[{"id":"engine-1","pool":"engines","zone":"west-1","address":%q,"state":"live"}]`, upstream)}
	return values
}

// fixedView is the view of an instance whose control loop does not run.
type fixedView struct {
	view *node.View
}

// View returns the view.
func (f fixedView) View() *node.View {
	return f.view
}

// readyView steps a node until the values are active, and returns its view.
func readyView(b *testing.B, self ident.Incarnation, values map[fetch.Key]fetch.Value) *node.View {
	n := node.New(node.Options{
		Self:  member.Entry{ID: self.Instance, Zone: "west-1", Region: "west"},
		Start: self.Start,
		Codec: wire.Codec{},
	})
	const ticks = 40
	for i := range ticks {
		now := time.Now().Add(time.Duration(i-ticks) * member.TickInterval)
		events := []node.Event{node.Tick{}}
		for len(events) > 0 {
			actions := n.Step(now, events[0])
			events = events[1:]
			for _, action := range actions {
				read, ok := action.(node.ReadPlatform)
				if !ok {
					continue
				}
				answered := fetch.PlatformAnswered{Key: read.Key, Answer: fetch.Unchanged}
				if value := values[read.Key]; value.Revision > read.After {
					answered.Answer, answered.Value = fetch.Found, value
				}
				events = append(events, node.FetchAnswered{Event: answered, AskedAt: now})
			}
		}
	}
	if v := n.View(); v.Table != nil && v.Phase == member.Ready {
		return v
	}
	b.Fatalf("the node is not ready: %+v", n.FetchStatus())
	return nil
}

// newServer returns an entry server with one engine.
func newServer(b *testing.B, upstream netip.AddrPort) *entry.Server {
	self := ident.Incarnation{Instance: "entry-1", Start: 1}
	view := readyView(b, self, benchValues(b, upstream))
	random := entry.NewRandom(1)
	system := clock.System{}
	server := &entry.Server{
		Self: self, Zone: "west-1", Region: "west", Clock: system, Views: fixedView{view},
		Links: &link.Pool{}, UpstreamClient: invoke.NewClient(0, 0, 0), Metrics: metric.NewSet(),
		Log:     zerolog.New(&bytes.Buffer{}).Level(zerolog.InfoLevel),
		Limits:  entry.Limits{BodyBytes: 1 << 20, BodyTimeout: time.Minute, WriteTimeout: time.Minute, KeyedAnswerBytes: 1 << 20},
		Records: entry.NewRecords(self, system, dedup.Limits{}),
		Gates:   entry.NewGates(system, random), WorkspaceLimiter: &share.Limiter{}, RetryBudget: &retry.Budget{}, Random: random,
	}
	server.Gates.Resize(view)
	server.Init()
	b.Cleanup(func() {
		server.UpstreamClient.Close()
		server.Links.Close()
	})
	return server
}

// serveEntry serves an instance with one engine, and returns its address for callers.
func serveEntry(b *testing.B, upstream netip.AddrPort) netip.AddrPort {
	server := httptest.NewServer(newServer(b, upstream).Handler())
	b.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// serveEngine serves an emulated engine with the given time between tokens.
func serveEngine(b *testing.B, step time.Duration) netip.AddrPort {
	e := engine.New(engine.Settings{ID: "engine-1", Slots: 2000, StepTime: step})
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), e.Handler())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	return server.Addr()
}

// directAndThrough runs a benchmark against an engine, directly and through an instance.
func directAndThrough(b *testing.B, step time.Duration, run func(b *testing.B, to netip.AddrPort, direct bool)) {
	b.Run("direct", func(b *testing.B) { run(b, serveEngine(b, step), true) })
	b.Run("through", func(b *testing.B) { run(b, serveEntry(b, serveEngine(b, step)), false) })
}

func completion(tokens int, direct bool) *bench.Request {
	q := &bench.Request{Workspace: "cousins", Class: table.Plan, Model: "planner", Prompt: "p", MaxTokens: tokens}
	if direct {
		q.RequestID, q.Version = "0123456789abcdef0123456789abcdef", "v1"
	}
	return q
}

// BenchmarkRequest measures the time and the allocations of a short response, of client and
// engine, without an instance and through one. The difference is the instance's part.
func BenchmarkRequest(b *testing.B) {
	directAndThrough(b, 0, func(b *testing.B, to netip.AddrPort, direct bool) {
		var client bench.Client
		b.ReportAllocs()
		for b.Loop() {
			if _, f := client.Call(context.Background(), to, completion(1, direct)); f != nil {
				b.Fatal(f)
			}
		}
	})
}

// BenchmarkTokens measures the tokens per second and the processor time per token of
// client, engine and instance together. With -cpu 1 they share one core.
func BenchmarkTokens(b *testing.B) {
	for _, streams := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			directAndThrough(b, time.Millisecond, func(b *testing.B, to netip.AddrPort, direct bool) {
				benchmarkTokens(b, streams, to, direct)
			})
		})
	}
}

const benchTokens = 100

func benchmarkTokens(b *testing.B, streams int, to netip.AddrPort, direct bool) {
	var client bench.Client
	before := processorTime()
	for b.Loop() {
		var answers sync.WaitGroup
		for range streams {
			answers.Go(func() {
				if _, f := client.Call(context.Background(), to, completion(benchTokens, direct)); f != nil {
					b.Error(f)
				}
			})
		}
		answers.Wait()
	}
	tokens := float64(b.N * streams * benchTokens)
	b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
	b.ReportMetric((processorTime()-before).Seconds()*1e6/tokens, "cpu-us/token")
}

// processorTime returns the processor time of this process, in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
