package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
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
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/emul/fault"
	"arbutustrestle/io/emul/plain"
	"arbutustrestle/io/ending"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/wire"
)

// sheets holds the sheets of the table of all cases; a case may add rows to the policy.
var sheets = map[string]string{
	"zones.csv":  "zone,region\nwest-1,west\nwest-2,west\nnorth-1,north\n",
	"policy.csv": "setting,value\nramp-up-s,0\nhedge-after-ms,0\n",
	"pools.csv": "pool,kind,serves,slots,checks-orders\n" +
		"models,engine,planner@v1,2,yes\nremote,engine,faraway@v1,8,yes\napp,service,app,8,\n",
	"traffic.csv": "model,class,version,weight\nplanner,any,v1,1\nfaraway,any,v1,1\n",
	"shares.csv":  "from,to,max-percent,cost\nwest,north,100,0\n",
	"calls.csv":   "service,method,path,repeatable,timeout-s\napp,GET,/pages,yes,20\napp,POST,/bookings,no,20\n",
	"workspaces.csv": "workspace,home,places,requests-per-second,in-flight,tokens-per-second\n" +
		"anna,west,west north,,,\nlena,west,west-1,,1,\nmia,west,west,,,\nzoe,west,west-2,,,\nnora,north,north,,,\n",
}

type published = map[fetch.Key]fetch.Value

func newTable(revision ident.Revision, policy string) published {
	var list []table.Sheet
	for name, text := range sheets {
		if name == "policy.csv" {
			if strings.Contains(policy, "hedge-after-ms") {
				text = strings.Replace(text, "hedge-after-ms,0\n", "", 1)
			}
			text += policy + "\n"
		}
		list = append(list, table.ParseSheet(name, []byte(text)))
	}
	pages := table.Split(list, table.PageBytes)
	manifest := table.NewManifest(revision-1, "test", "", pages)
	values := published{fetch.ManifestKey: {Revision: revision, Data: manifest.Encode()}}
	for _, p := range pages {
		values[fetch.PageKey(p.Ref.Digest)] = fetch.Value{Revision: 1, Data: p.Data}
	}
	return values
}

// instance is an entry instance whose control state is stepped by the test.
type instance struct {
	server   *entry.Server
	node     *node.Node
	self     member.Entry
	clock    *clock.Manual
	view     atomic.Pointer[node.View]
	sequence uint64
	caller   *httptest.Server
	// served gets a value when a request with the header awaitedHeader has ended.
	served chan struct{}
}

const awaitedHeader = "Awaited"

// View returns the latest view.
func (in *instance) View() *node.View { return in.view.Load() }

// step applies events to the node, and answers its reads from the values.
func (in *instance) step(values published, events ...node.Event) {
	for len(events) > 0 {
		event := events[0]
		events = events[1:]
		for _, action := range in.node.Step(in.clock.Now(), event) {
			switch a := action.(type) {
			case node.ReadPlatform:
				answer := fetch.PlatformAnswered{Key: a.Key, Answer: fetch.Unchanged}
				if value := values[a.Key]; value.Revision > a.After {
					answer.Answer, answer.Value = fetch.Found, value
				}
				events = append(events, node.FetchAnswered{Event: answer, AskedAt: in.clock.Now()})
			case node.PublishView:
				in.view.Store(a.View)
				in.server.Gates.Resize(a.View)
				if t := a.View.Table; t != nil {
					in.server.RetryBudget.Configure(float64(t.Policy().RetryBudgetPercent), t.Policy().MaxAttempts)
				}
			}
		}
	}
}

// activate activates a table, and advances the time by startTicks.
func (in *instance) activate(values published) {
	found := fetch.PlatformAnswered{Key: fetch.ManifestKey, Answer: fetch.Found, Value: values[fetch.ManifestKey]}
	in.step(values, node.FetchAnswered{Event: found, AskedAt: in.clock.Now()})
	in.step(values, node.Tick{})
	for range startTicks {
		in.clock.Advance(member.TickInterval)
		in.step(values, node.Tick{})
	}
}

// advance advances the time of the control state.
func (in *instance) advance(pause time.Duration) {
	for ; pause > 0; pause -= member.TickInterval {
		in.clock.Advance(min(pause, member.TickInterval))
		in.step(nil, node.Tick{})
	}
}

// stub is an emulated upstream that can hold requests before it runs them.
type stub struct {
	server *emul.Server
	runs   *emul.RunLog
	faults *fault.Set
	// held is nil while requests pass; arrived gets a value for each held request.
	held    atomic.Pointer[chan struct{}]
	arrived chan struct{}
}

func newStub(t *testing.T, handler http.Handler, runs *emul.RunLog, faults *fault.Set) *stub {
	u := &stub{runs: runs, faults: faults, arrived: make(chan struct{}, 16)}
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if held := u.held.Load(); held != nil {
			u.arrived <- struct{}{}
			<-*held
		}
		handler.ServeHTTP(w, r)
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	u.server = server
	return u
}

// ran counts the requests that ran, whole or in part.
func (u *stub) ran() (count int) {
	for _, r := range u.runs.Runs(0) {
		if r.Started() {
			count++
		}
	}
	return count
}

// cluster has instances in the zones west-1, west-2 and north-1, and an engine and a
// service in each region. Each engine and service is listed twice, as two upstreams, so
// that a retry finds another upstream.
type cluster struct {
	t         *testing.T
	log       *syncBuffer
	instances map[string]*instance
	stubs     map[string]*stub
	// peer replaces the instance that is north's contact; nil if it is not replaced.
	peer *scriptedPeer
}

// syncBuffer is a log buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

const (
	bodyLimit  = 4 << 10
	startTicks = 40
)

func newCluster(t *testing.T, log *syncBuffer, policy string) *cluster {
	c := &cluster{t: t, log: log, instances: map[string]*instance{}, stubs: map[string]*stub{}}
	for _, region := range []string{"west", "north"} {
		e := engine.New(engine.Settings{ID: "engine"})
		c.stubs["engine-"+region] = newStub(t, e.Handler(), e.Runs(), e.Faults())
		s := plain.New(plain.Settings{ID: "service"})
		c.stubs["service-"+region] = newStub(t, s.Handler(), s.Runs(), s.Faults())
	}
	var entries []string
	for _, id := range []string{"west-1", "west-2", "north-1"} {
		in := c.newInstance(id)
		entries = append(entries, fmt.Sprintf(`{"id":%q,"zone":%q,"region":%q,"peer":%q,"caller":%q,"admin":"127.0.0.1:1","state":"live"}`,
			id, id, in.self.Region, in.self.Peer, in.self.Caller))
	}
	for _, in := range c.instances {
		values := newTable(7, policy)
		values[fetch.EntriesKey] = fetch.Value{Revision: 1, Data: []byte("[" + strings.Join(entries, ",") + "]")}
		values[fetch.UpstreamsKey(in.self.Region)] = fetch.Value{Revision: 1, Data: c.upstreams(string(in.self.Region))}
		in.activate(values)
		if in.View().Table == nil || in.View().Phase != member.Ready {
			t.Fatalf("%s is not ready: %+v", in.self.ID, in.node.FetchStatus())
		}
	}
	c.exchangeHeartbeats()
	return c
}

func (c *cluster) upstreams(region string) []byte {
	rows := []string{"m-1 models engine", "m-2 models engine", "a-1 app service", "a-2 app service", "f-1 remote engine"}
	if region == "west" {
		rows = rows[:4]
	}
	for i, row := range rows {
		f := strings.Fields(row)
		rows[i] = fmt.Sprintf(`{"id":%q,"pool":%q,"zone":%q,"address":%q,"state":"live"}`,
			f[0], f[1], region+"-1", c.stubs[f[2]+"-"+region].server.Addr())
	}
	return []byte("[" + strings.Join(rows, ",") + "]")
}

// newInstance starts an instance whose clock reaches the machine's time by the end of the
// start, because the deadlines of requests are measured by the machine's clock.
func (c *cluster) newInstance(id string) *instance {
	start := uint64(len(c.instances) + 1)
	self := link.Identity{Incarnation: ident.Incarnation{Instance: ident.Instance(id), Start: start},
		Zone: ident.Zone(id), Region: ident.Region(strings.Split(id, "-")[0])}
	manual := clock.NewManual(time.Now().Add(-startTicks * member.TickInterval))
	random := entry.NewRandom(start)
	in := &instance{clock: manual, served: make(chan struct{}, 64)}
	in.server = &entry.Server{
		Self: self.Incarnation, Zone: self.Zone, Region: self.Region, Clock: manual, Views: in,
		Links: &link.Pool{Self: self}, UpstreamClient: invoke.NewClient(0, 0, 0), Metrics: metric.NewSet(),
		Log: zerolog.New(c.log).Level(zerolog.DebugLevel),
		Limits: entry.Limits{BodyBytes: bodyLimit, BodyTimeout: 200 * time.Millisecond,
			WriteTimeout: 30 * time.Second, KeyedAnswerBytes: bodyLimit},
		Records: entry.NewRecords(self.Incarnation, manual, dedup.Limits{EpochLength: time.Minute, Retention: time.Minute}),
		Gates:   entry.NewGates(manual, random), WorkspaceLimiter: &share.Limiter{}, RetryBudget: &retry.Budget{}, Random: random,
	}
	in.server.Init()
	callers := in.server.Handler()
	in.caller = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(awaitedHeader) != "" {
			defer func() { in.served <- struct{}{} }()
		}
		callers.ServeHTTP(w, q)
	}))
	in.caller.Config.MaxHeaderBytes = bodyLimit
	in.caller.Config.ConnContext = ending.ConnContext
	in.caller.Start()
	c.t.Cleanup(func() {
		in.server.Links.Close()
		in.server.UpstreamClient.Close()
		in.caller.Close()
	})
	in.self = member.Entry{ID: ident.Instance(id), Zone: self.Zone, Region: self.Region, Admin: netip.MustParseAddrPort("127.0.0.1:1"),
		Peer: servePeers(c.t, self, &peerHandler{forwardHandler: &entry.ForwardHandler{Server: in.server}}), Caller: netip.MustParseAddrPort(in.caller.Listener.Addr().String())}
	in.node = node.New(node.Options{Self: in.self, Start: start, Codec: wire.Codec{}})
	in.view.Store(in.node.View())
	c.instances[id] = in
	return in
}

// servePeers serves links until the test ends, and returns the address.
func servePeers(t *testing.T, self link.Identity, h link.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- (&link.Server{Self: self, Handler: h}).Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-ended })
	return netip.MustParseAddrPort(listener.Addr().String())
}

// exchangeHeartbeats sends heartbeats and summaries between all instances.
func (c *cluster) exchangeHeartbeats() {
	for _, to := range c.instances {
		for _, from := range c.instances {
			if from != to {
				to.receiveFrom(from, from.self.Peer)
			}
		}
	}
}

// receiveFrom applies a heartbeat or a summary of another instance. The peer address in it
// may be that of a scripted peer.
func (in *instance) receiveFrom(from *instance, peer netip.AddrPort) {
	from.sequence++
	if from.self.Region == in.self.Region {
		in.step(nil, node.HeartbeatArrived{Heartbeat: member.Heartbeat{From: from.server.Self, Sequence: 1000 + from.sequence,
			Phase: member.Ready, Self: &from.self, Payload: wire.Codec{}.EncodeGossip(in.clock.Now(), node.Gossip{})}})
		return
	}
	load := node.RegionLoad{
		Models:   []node.ModelLoad{{Model: "faraway", Free: 8, Slots: 8}, {Model: "planner", Free: 2, Slots: 2}},
		Services: []node.ServiceLoad{{Service: "app", Free: 8, Slots: 8}},
	}
	in.step(nil, node.SummaryArrived{Summary: member.RegionSummary{
		Region: from.self.Region, Origin: from.server.Self, Sequence: 1000 + from.sequence, ReadyCount: 1, TableRevision: 7,
		Contacts: []member.Contact{{Incarnation: from.server.Self, Zone: from.self.Zone, Peer: peer, Caller: from.self.Caller}},
		Payload:  wire.Codec{}.EncodeLoad(load),
	}})
}
