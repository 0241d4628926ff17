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
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/syncer"
)

// manner is how the test's callers and upstreams speak.
type manner struct{}

func (manner) ParseRequest(r *http.Request) (Request, error) {
	q := Request{ID: r.Header.Get("Id"), Header: r.Header.Clone(), LastEventID: r.Header.Get("Last")}
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

func (manner) SetErrorHeaders(h http.Header, id string) { h.Set("Id", id) }

// speech is the codec between the entry and upstreams.
type speech struct{}

func (speech) RequestHeader(a *http1.Attempt) http.Header {
	return http.Header{"Id": {a.RequestID}, "Last": {a.LastEventID}}
}

func (speech) ParseResponse(status int, h http.Header) http1.AnswerMeta {
	return http1.AnswerMeta{
		RequestID: h.Get("Id"),
		NotRun:    h.Get("Not-Run") != "",
		Replaced:  status == http.StatusMisdirectedRequest,
		Signed:    h.Get("Signed") != "",
	}
}

// source publishes one state of everything.
type source struct {
	mu    sync.Mutex
	items map[mirror.Group][]mirror.Item
}

func (s *source) List(_ context.Context, g mirror.Group) ([]mirror.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		return nil, 0, errors.New("nothing yet")
	}
	return s.items[g], 1, nil
}

func (s *source) Watch(ctx context.Context, _ mirror.Group, after uint64, wait time.Duration) ([]mirror.Item, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, errors.Trace(ctx.Err())
	case <-time.After(wait):
		return nil, after, nil
	}
}

// decoder finds changes by key.
type decoder map[string]mirror.Change

func (d decoder) Decode(i mirror.Item) (mirror.Change, error) {
	return d[i.Key], nil
}

// upstream does what a test says with each request.
type upstream struct {
	listener net.Listener

	mu sync.Mutex
	// runs holds the id of each request that arrived, and its last event.
	runs []string
	// then replaces what it was started with.
	then reply
}

func (u *upstream) seen() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.runs, " ")
}

type reply func(c net.Conn, r *http.Request)

// do replaces what both upstreams do with requests from now on.
func (w *world) do(do reply) {
	for _, u := range w.upstreams {
		u.mu.Lock()
		u.then = do
		u.mu.Unlock()
	}
}

func (u *upstream) serve(t *testing.T, do reply) {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
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
			if u.then != nil {
				do = u.then
			}
			u.mu.Unlock()
			do(c, r)
		}()
	}
}

// answer sends one answer and closes the connection.
func answer(head, body string) reply {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, r.Header.Get("Id"), len(body), body)
	}
}

// chunked sends parts of a stream, and its end unless it is cut.
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

// world is one entry before two upstreams, of which the first is preferred: the other
// one is slower by its list entry's slots.
type world struct {
	core      *Proxy
	source    *source
	server    *httptest.Server
	upstreams [2]*upstream
}

func routes() []spec.Route {
	to := []spec.Target{{Service: "app", Weight: 1}}
	return []spec.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: spec.Safe, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: spec.Unsafe, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "single", Host: "h", Prefix: "/single/", Kind: spec.Unsafe, MaxAttempts: 1, Timeout: 500 * time.Millisecond, Targets: to},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: spec.Stream, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "resume", Host: "h", Prefix: "/resume/", Kind: spec.Stream, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second, Targets: to},
		{Name: "long", Host: "h", Prefix: "/long/", Kind: spec.Stream, MaxAttempts: 1, Timeout: 20 * time.Second, Targets: to},
		{Name: "homes", Host: "h", Prefix: "/homes/", Kind: spec.Safe, MaxAttempts: 2, HomeRegions: []ident.Region{"far"}, Targets: to},
	}
}

func newWorld(t *testing.T, first, second reply) *world {
	t.Helper()
	w := &world{source: &source{}}
	changes := decoder{"config": mirror.ConfigUpdated{Config: spec.New(1, routes(), []spec.Service{{Name: "app"}}, spec.Limits{BodyBytes: 100})}}
	items := []mirror.Item{}
	for i, do := range []reply{first, second} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		u := &upstream{listener: l}
		w.upstreams[i] = u
		go u.serve(t, do)
		id := fmt.Sprintf("u-%d", i)
		changes[id] = mirror.UpstreamUpdated{Upstream: pool.Upstream{
			ID: ident.Upstream(id), Service: "app", Zone: "z", Region: "near", Slots: 100,
			Address: l.Addr().(*net.TCPAddr).AddrPort(),
		}}
		items = append(items, mirror.Item{Key: id, Revision: 1})
	}
	c := clock.System{}
	self := gossip.Record{ID: "entry-1", Incarnation: 1, Zone: "z", Region: "near", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), CallerAddress: netip.MustParseAddrPort("127.0.0.1:2")}
	links := &link.Pool{}
	parts := syncer.Parts{
		Self: self, Source: w.source, Decoder: changes, Clock: c, Log: zerolog.Nop(), Metrics: metric.NewSet(), Links: links,
		Pool:  pool.New(pool.Settings{Self: "entry-1", Region: "near", PromptRate: 60}),
		Spill: &spill.Table{}, Budget: &budget.Budget{Limits: budget.Limits{Ratio: 0.2, Window: 10 * time.Second, FreeAttempts: 1000}},
	}
	loop := syncer.New(parts)
	w.core = &Proxy{
		Self: "entry-1", Region: "near", Clock: c, Log: zerolog.Nop(), Metrics: parts.Metrics, Loop: loop, Pool: parts.Pool,
		Spill: parts.Spill, Budget: parts.Budget, UpstreamClient: http1.NewClient(speech{}, c, time.Second), Links: links, Latencies: &Latencies{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		loop.Run(ctx)
		close(done)
	}()
	w.server = httptest.NewServer(w.core.Handler(manner{}))
	t.Cleanup(func() {
		w.server.Close()
		cancel()
		<-done
	})
	w.publish(map[mirror.Group][]mirror.Item{mirror.OperatorGroup: {{Key: "config", Revision: 1}}, mirror.UpstreamsGroup: items})
	return w
}

func (w *world) publish(items map[mirror.Group][]mirror.Item) {
	w.source.mu.Lock()
	defer w.source.mu.Unlock()
	w.source.items = items
}

// ready waits until the entry takes traffic.
func (w *world) ready(t *testing.T) *world {
	t.Helper()
	for range 500 {
		if (&Directory{Loop: w.core.Loop}).Ready() {
			return w
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not ready")
	return nil
}

// ask sends a request and returns the status, the body and whether it was cut.
func (w *world) ask(t *testing.T, path, body string, header http.Header) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header = header
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set("Id", "q")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// arrivals returns the number of requests at both upstreams.
func (w *world) arrivals() int {
	n := 0
	for _, u := range w.upstreams {
		n += len(strings.Fields(u.seen()))
	}
	return n
}

var (
	fine      = answer("200 OK\r\nSigned: 1", "fine")
	broken    = answer("500 Broken\r\nSigned: 1", "broken")
	shed      = answer("503 Full\r\nNot-Run: 1", "")
	unsigned  = answer("200 OK", "whose")
	replaced  = answer("421 Misdirected", "")
	hangUp    = func(net.Conn, *http.Request) {}
	hold      = func(c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) }
	cutStream = chunked(true, "id: 1\ndata: a\n\n", "id: 2\nda")
)

// What a caller gets and how often its request arrives, when both upstreams do the
// same. What may have run is sent once, and never called not run.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name, path string
		do         reply
		status     int
		arrivals   int
		comeBack   bool
	}{
		{"whole", "/once/", fine, 200, 1, false},
		{"no route", "/none/", fine, 404, 0, false},
		{"failure of what runs once", "/once/", broken, 500, 1, false},
		{"failure of what may repeat", "/safe/", broken, 500, 2, false},
		{"shed everywhere", "/once/", shed, 503, 2, true},
		{"shed, one attempt", "/single/", shed, 503, 1, true},
		{"another upstream", "/single/", replaced, 503, 2, true},
		{"closed, runs once", "/once/", hangUp, 502, 1, false},
		{"closed, may repeat", "/safe/", hangUp, 502, 2, false},
		{"success without a signature", "/once/", unsigned, 502, 1, false},
		{"silence until the timeout", "/single/", hold, 504, 1, false},
		{"outside the homes", "/homes/", fine, 503, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.do, c.do).ready(t)
			response, body, err := w.ask(t, c.path, "", nil)
			if err != nil || response.StatusCode != c.status {
				t.Fatalf("response %v, body %q, error %v", response, body, err)
			}
			if w.arrivals() != c.arrivals {
				t.Errorf("%d arrivals, not %d", w.arrivals(), c.arrivals)
			}
			if (response.Header.Get("Retry-After") != "") != c.comeBack {
				t.Errorf("Retry-After %q", response.Header.Get("Retry-After"))
			}
		})
	}
}

// Until a config is known nothing is said of any route.
func TestNothingKnown(t *testing.T) {
	w := newWorld(t, fine, fine)
	w.publish(nil)
	response, _, err := w.ask(t, "/none/", "", nil)
	if err == nil && response.StatusCode == http.StatusNotFound {
		t.Fatalf("status %d", response.StatusCode)
	}
}

func TestLongBody(t *testing.T) {
	w := newWorld(t, fine, fine).ready(t)
	response, _, err := w.ask(t, "/once/", strings.Repeat("x", 200), nil)
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge || w.arrivals() != 0 {
		t.Fatalf("response %v, error %v, %d arrivals", response, err, w.arrivals())
	}
}

// A stream that may be resumed goes on at another upstream after the last whole event;
// one that may not is cut, and doesn't look whole.
func TestStreams(t *testing.T) {
	rest := chunked(false, "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n")
	after := func(c net.Conn, r *http.Request) {
		if r.Header.Get("Last") == "" {
			cutStream(c, r)
			return
		}
		rest(c, r)
	}
	t.Run("resumed", func(t *testing.T) {
		w := newWorld(t, after, after).ready(t)
		response, body, err := w.ask(t, "/resume/", "", nil)
		want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
		if err != nil || response.StatusCode != http.StatusOK || body != want {
			t.Fatalf("%q, error %v", body, err)
		}
		if w.arrivals() != 2 || !strings.Contains(w.upstreams[0].seen()+" "+w.upstreams[1].seen(), "q1") {
			t.Errorf("arrivals %q and %q", w.upstreams[0].seen(), w.upstreams[1].seen())
		}
	})
	t.Run("the rest is a failure", func(t *testing.T) {
		do := func(c net.Conn, r *http.Request) {
			if r.Header.Get("Last") == "" {
				cutStream(c, r)
				return
			}
			broken(c, r)
		}
		w := newWorld(t, do, do).ready(t)
		if _, body, err := w.ask(t, "/resume/", "", nil); err == nil || strings.Contains(body, "broken") {
			t.Fatalf("%q, error %v", body, err)
		}
	})
	t.Run("not to be resumed", func(t *testing.T) {
		w := newWorld(t, after, after).ready(t)
		_, body, err := w.ask(t, "/stream/", "", nil)
		if err == nil || !strings.HasPrefix(body, "id: 1") || w.arrivals() != 1 {
			t.Fatalf("%q, error %v, %d arrivals", body, err, w.arrivals())
		}
	})
}

// A caller that leaves ends the work upstream.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{}, 2)
	do := func(c net.Conn, r *http.Request) {
		hold(c, r)
		ended <- struct{}{}
	}
	w := newWorld(t, do, do).ready(t)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, w.server.URL+"/once/", nil)
	r.Host = "h"
	r.Header.Set("Id", "q")
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("answered")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the upstream goes on working")
	}
}
