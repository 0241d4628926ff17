package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/poison"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/reach"
	"arbutustrestle/core/resume"
	"arbutustrestle/core/spec"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/ending"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/syncer"
	"arbutustrestle/io/syntax"
)

// testCallerCodec parses and writes the headers of the test's callers.
type testCallerCodec struct{}

func (testCallerCodec) ParseRequest(r *http.Request) (Request, error) {
	q := Request{ID: r.Header.Get("Id"), Header: r.Header.Clone(), LastEventID: r.Header.Get("Last"), Resumes: r.Header.Get("Resumes"), Key: r.Header.Get("Key")}
	for _, id := range strings.FieldsFunc(r.Header.Get("Parts"), func(r rune) bool { return r == ',' }) {
		q.Parts = append(q.Parts, pool.PromptPart{ID: id, Tokens: 10})
	}
	if text := r.Header.Get("Wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil {
			return q, errors.Trace(err)
		}
		q.Remaining = wait
	}
	if q.ID == "" {
		return q, errors.NotValidf("request without an id")
	}
	return q, nil
}

func (testCallerCodec) RemoveKey(h http.Header) { h.Del("Key") }

func (testCallerCodec) SetErrorHeaders(h http.Header, id string) { h.Set("Id", id) }

// testUpstreamCodec writes and parses the headers of the test's upstreams.
type testUpstreamCodec struct{}

func (testUpstreamCodec) RequestHeader(a *http1.Attempt) http.Header {
	return http.Header{"Id": {a.RequestID}, "Last": {a.LastEventID}, "Parts": a.Header["Parts"],
		"Key": a.Header["Key"], "Workspace": {string(a.Workspace)}, "Priority": {strconv.Itoa(a.Priority)}}
}

func (testUpstreamCodec) ParseResponse(status int, h http.Header) http1.AnswerMeta {
	m := http1.AnswerMeta{
		RequestID: syntax.Single(h, "Id"),
		NotRun:    h.Get("Not-Run") != "",
		Replaced:  status == http.StatusMisdirectedRequest,
		Signed:    h.Get("Signed") != "",
		Leaving:   h.Get("Leaving") != "",
	}
	if text := h.Get("Brittle"); text != "" {
		m.Brittle.Named = true
		m.Brittle.PerSecond, m.BrittleError = strconv.ParseFloat(text, 64)
	}
	if text := h.Get("Limit"); text != "" {
		m.Limit.Named = true
		m.Limit.PerSecond, m.LimitError = strconv.ParseFloat(text, 64)
	}
	return m
}

// testDecoder maps the keys of items to changes.
type testDecoder map[string]mirror.Change

func (d testDecoder) Decode(i mirror.Item) (mirror.Change, error) {
	return d[i.Key], nil
}

// upstream handles each request with a function that the test sets.
type upstream struct {
	listener net.Listener

	mu sync.Mutex
	// conns holds all connections that were accepted.
	conns []net.Conn
	// runs holds the id of each request that arrived, followed by its last event id.
	runs []string
	// override replaces the initial reply function.
	override reply
}

func (u *upstream) seen() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.runs, " ")
}

type reply func(c net.Conn, r *http.Request)

// setReply replaces the reply function of both upstreams.
func (inst *testInstance) setReply(do reply) {
	for _, u := range inst.upstreams {
		u.mu.Lock()
		u.override = do
		u.mu.Unlock()
	}
}

// serve accepts connections until the listener is closed.
func (u *upstream) serve(t testing.TB, l net.Listener, do reply) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, c)
		u.mu.Unlock()
		go func() {
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			u.mu.Lock()
			u.runs = append(u.runs, r.Header.Get("Id")+r.Header.Get("Last"))
			do := do
			if u.override != nil {
				do = u.override
			}
			u.mu.Unlock()
			do(c, r)
		}()
	}
}

// answer returns a reply that sends one answer and closes the connection.
func answer(head, body string) reply {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, r.Header.Get("Id"), len(body), body)
	}
}

// chunked returns a reply that sends the parts of a stream, and its end unless cut is
// set.
func chunked(cut bool, parts ...string) reply {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for _, chunk := range parts {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
			time.Sleep(5 * time.Millisecond)
		}
		if !cut {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	}
}

// closing returns a reply that sends a whole stream and says that its connection ends, so that
// no further request is lost on it.
func closing(events string) reply {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(events), events)
	}
}

// testInstance is an instance in front of two upstreams.
type testInstance struct {
	proxy     *Proxy
	source    *testSource
	server    *httptest.Server
	upstreams [2]*upstream
	// decoder holds what the published values mean, by key.
	decoder testDecoder
}

func routes() []spec.Route {
	to := []spec.Target{{Service: "app", Weight: 1}}
	return []spec.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: spec.Safe, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: spec.Unsafe, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "single", Host: "h", Prefix: "/single/", Kind: spec.Unsafe, MaxAttempts: 1, Timeout: 500 * time.Millisecond, Targets: to},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: spec.Stream, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: spec.Stream, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "resume-long", Host: "h", Prefix: "/resume-long/", Kind: spec.Stream, Resumable: true, MaxAttempts: 2, Timeout: 15 * time.Second, Targets: to},
		{Name: "resume-slow", Host: "h", Prefix: "/resume-slow/", Kind: spec.Stream, Resumable: true, MaxAttempts: 2, Timeout: time.Minute, Targets: to},
		{Name: "long", Host: "h", Prefix: "/long/", Kind: spec.Stream, MaxAttempts: 1, Timeout: 20 * time.Second, Targets: to},
		{Name: "homes", Host: "h", Prefix: "/homes/", Kind: spec.Safe, MaxAttempts: 2, HomeRegions: []ident.Region{"far"}, Targets: to},
	}
}

// newSettledBudget returns a budget that has held one instance for long enough to spend
// free attempts.
func newSettledBudget() *budget.Budget {
	b := &budget.Budget{Limits: budget.Limits{Ratio: 0.2, Window: 10 * time.Second, FreeAttempts: 1000}}
	now := clock.System{}.Now()
	b.SetInstanceCount(now.Add(-time.Minute), 1)
	b.SetInstanceCount(now, 1)
	return b
}

func newTestInstance(t testing.TB, first, second reply) *testInstance {
	t.Helper()
	return newTestInstanceWith(t, first, second, func(d mirror.Decoder) mirror.Decoder { return d })
}

// newTestInstanceWith returns an instance whose decoder of published values is wrapped.
func newTestInstanceWith(t testing.TB, first, second reply, wrap func(mirror.Decoder) mirror.Decoder) *testInstance {
	t.Helper()
	inst := &testInstance{source: &testSource{}}
	changes := testDecoder{"config": mirror.ConfigUpdated{Config: spec.New(1, routes(), []spec.Service{{Name: "app"}}, spec.Limits{BodyBytes: 100})}}
	items := []mirror.Item{}
	for i, do := range []reply{first, second} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		u := &upstream{listener: l}
		inst.upstreams[i] = u
		go u.serve(t, l, do)
		id := fmt.Sprintf("u-%d", i)
		changes[id] = mirror.UpstreamUpdated{Upstream: pool.Upstream{
			ID: ident.Upstream(id), Service: "app", Zone: "z", Region: "near", Slots: 100,
			Address: l.Addr().(*net.TCPAddr).AddrPort(),
		}}
		items = append(items, mirror.Item{Key: id, Revision: 1})
	}
	inst.decoder = changes
	c := clock.System{}
	self := gossip.Record{ID: "entry-1", Incarnation: 1, Zone: "z", Region: "near", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), CallerAddress: netip.MustParseAddrPort("127.0.0.1:2")}
	links := &link.Pool{}
	parts := syncer.Options{
		Self: self, Source: inst.source, Decoder: wrap(changes), Clock: c, Log: zerolog.Nop(), Metrics: metric.NewSet(), Links: links,
		Pool:  pool.New(pool.Settings{Self: "entry-1", Region: "near", PromptRate: 60}),
		Spill: &spill.Table{}, Budget: newSettledBudget(), Poison: &poison.Detector{Self: "entry-1"}, Reach: &reach.Detector{}, Streams: &resume.Table{},
	}
	loop := syncer.New(parts)
	inst.proxy = &Proxy{
		Self: "entry-1", Region: "near", Clock: c, Log: zerolog.Nop(), Metrics: parts.Metrics, Loop: loop, Pool: parts.Pool,
		Spill: parts.Spill, Budget: parts.Budget, Poison: parts.Poison, Reach: parts.Reach, Streams: parts.Streams,
		UpstreamClient: http1.NewClient(testUpstreamCodec{}, c, time.Second), Links: links, Latencies: &Latencies{},
		QueueRequests: true,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		loop.Run(ctx)
		close(done)
	}()
	inst.server = httptest.NewUnstartedServer(inst.proxy.Handler(testCallerCodec{}))
	inst.server.Config.ConnContext = ending.ConnContext
	inst.server.Start()
	t.Cleanup(func() {
		inst.server.Close()
		cancel()
		<-done
	})
	inst.publish(map[mirror.Group][]mirror.Item{mirror.OperatorGroup: {{Key: "config", Revision: 1}}, mirror.UpstreamsGroup: items})
	return inst
}

func (inst *testInstance) publish(items map[mirror.Group][]mirror.Item) {
	inst.source.mu.Lock()
	defer inst.source.mu.Unlock()
	inst.source.items = items
}

// ready waits until the instance accepts traffic.
func (inst *testInstance) ready(t testing.TB) *testInstance {
	t.Helper()
	for range 500 {
		if (&Directory{Loop: inst.proxy.Loop}).Ready() {
			return inst
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not ready")
	return nil
}

// send sends a request and returns the response and its body. The error is set if the
// body was cut off.
func (inst *testInstance) send(t testing.TB, path, body string, header http.Header) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, inst.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header = header
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if r.Header.Get("Id") == "" {
		r.Header.Set("Id", "q")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// arrivals returns the number of requests that arrived at both upstreams.
func (inst *testInstance) arrivals() int {
	n := 0
	for _, u := range inst.upstreams {
		n += len(strings.Fields(u.seen()))
	}
	return n
}

var (
	okAnswer       = answer("200 OK\r\nSigned: 1", "fine")
	errorAnswer    = answer("500 Broken\r\nSigned: 1", "broken")
	shedAnswer     = answer("503 Full\r\nNot-Run: 1", "")
	unsignedAnswer = answer("200 OK", "whose")
	replacedAnswer = answer("421 Misdirected", "")
	hangUp         = func(net.Conn, *http.Request) {}
	holdOpen       = func(c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) }
	cutStream      = chunked(true, "id: 1\ndata: a\n\n", "id: 2\nda")
)
