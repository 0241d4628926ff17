package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/emul/fault"
	"arbutustrestle/io/emul/plain"
	"arbutustrestle/io/emul/plat"
)

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Addr()
}

// TestOutcomeUnderFaults calls an engine and a service under each fault. The outcome that
// the client reports must be consistent with the log of the stand-in: a call that ran
// must not be reported as not run.
func TestOutcomeUnderFaults(t *testing.T) {
	e := engine.New(engine.Settings{})
	s := plain.New(plain.Settings{})
	engineAddr, serviceAddr := serve(t, e.Handler()), serve(t, s.Handler())
	var client Client
	call := func(t *testing.T, cmd string, rule fault.Rule) string {
		q := &Request{RequestID: "r1", Model: "m", Version: "1", Prompt: "p", MaxTokens: 4, Class: table.Plan, KeepText: true, Timeout: time.Minute}
		to, faults, runs := engineAddr, e.Faults(), e.Runs()
		if cmd == "service" {
			to, faults, runs = serviceAddr, s.Faults(), s.Runs()
			q = &Request{RequestID: "r1", Class: table.ServiceCall, Method: http.MethodPost, Path: "/reservations", IdempotencyKey: "k", Timeout: time.Minute}
		}
		faults.Replace(rule)
		before := uint64(len(runs.Runs(0)))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if rule.Kind == fault.HangAfterRun || rule.Kind == fault.HangBeforeFirstByte {
			go func() {
				ready := func(run emul.Run) bool { return run.Started() || rule.Kind == fault.HangBeforeFirstByte }
				for !slices.ContainsFunc(runs.Runs(before), ready) {
					continue
				}
				cancel()
			}()
		}
		answer, failed := client.Call(ctx, to, q)
		seen := runs.Runs(before)
		ran := slices.ContainsFunc(seen, emul.Run.Started)
		received := fmt.Sprintf("tokens=%d; received %d times, ran %t\n", answer.Tokens, len(seen), ran)
		if failed == nil {
			own := cmd == "service" || string(answer.Text) == strings.Join(engine.ExpectedTokens("r1", "p", 4), "")
			return fmt.Sprintf("whole, own=%t ", own) + received
		}
		if failed.Outcome == result.NotRun && ran {
			t.Errorf("%s: reported as not run but ran", rule.Kind)
		}
		return fmt.Sprintf("%s %s, ", failed.Outcome, failed.Reason) + received
	}
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		var text strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var rule fault.Rule
			if err := json.Unmarshal([]byte(line), &rule); err != nil {
				t.Fatal(err)
			}
			text.WriteString(rule.Kind.String() + ": " + call(t, d.Cmd, rule))
		}
		return text.String()
	})
}

// TestConnectionRefused checks that a call to an address without a listener is reported
// as not run.
func TestConnectionRefused(t *testing.T) {
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	server.Close()
	var client Client
	_, failed := client.Call(context.Background(), server.Addr(), &Request{Class: table.Quick})
	if failed == nil || failed.Outcome != result.NotRun || failed.Reason != result.ConnectFailed {
		t.Fatal(failed)
	}
}

// closingConn is a connection that the other side closes when a call is about to reuse
// it: writes fail after the first writesLeft.
type closingConn struct {
	net.Conn
	// writesLeft is the number of writes that still succeed.
	writesLeft int
	// partialBytes is the number of bytes of the first failing write that are sent.
	partialBytes int
}

func (c *closingConn) Write(b []byte) (int, error) {
	if c.writesLeft > 0 {
		c.writesLeft--
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:min(c.partialBytes, len(b))])
	_ = c.Close()
	return n, net.ErrClosed
}

// TestConnectionClosedOnReuse calls twice over one connection, which the other side
// closes as the second call begins. The call was not run if nothing of it was sent. A
// call to an instance, which reads the whole body first, was also not run if only part of
// the body was sent. The other side doesn't answer the second call before the connection
// is closed.
func TestConnectionClosedOnReuse(t *testing.T) {
	var answered sync.Map
	answer := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if _, second := answered.LoadOrStore(r.RemoteAddr, true); second {
			<-r.Context().Done()
			return
		}
		w.Header().Set("Request-Id", "r1")
	}
	to := serve(t, http.HandlerFunc(answer))
	// The header and the body of a call are two writes.
	const head, both = 1, 2
	for _, c := range []struct {
		name   string
		id     string
		writes int
		part   int
		want   result.Outcome
	}{
		{"nothing sent to an instance", "", 0, 0, result.NotRun},
		{"part of the header sent to an instance", "", 0, 10, result.NotRun},
		{"no body sent to an instance", "", head, 0, result.NotRun},
		{"part of the body sent to an instance", "", head, 9, result.NotRun},
		{"the whole call sent to an instance", "", head, 10, result.Unknown},
		{"nothing sent to a service", "r1", 0, 0, result.NotRun},
		{"part of the header sent to a service", "r1", 0, 10, result.Unknown},
		{"no body sent to a service", "r1", head, 0, result.Unknown},
	} {
		client := Client{dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &closingConn{Conn: conn, writesLeft: both + c.writes, partialBytes: c.part}, err
		}}
		q := &Request{RequestID: c.id, Class: table.ServiceCall, Service: "app", Method: http.MethodPost, Path: "/reservations", IdempotencyKey: "k", Body: []byte(`{"day": 1}`), Timeout: time.Minute}
		if _, failed := client.Call(t.Context(), to, q); failed != nil {
			t.Fatal(failed)
		}
		_, failed := client.Call(t.Context(), to, q)
		if failed == nil || failed.Outcome != c.want {
			t.Errorf("%s: %v, want %s", c.name, failed, c.want)
		}
		client.Close()
	}
}

// fakeEntry is a minimal implementation of an instance's caller API. It refuses some
// calls and forwards the others to an engine or service unchanged.
type fakeEntry struct {
	mu             sync.Mutex
	address        netip.AddrPort
	refusals       []string
	upstream       netip.AddrPort
	adviceRequests int
	keys           []string
	// keylessReplies is the number of advice requests that are answered without a key
	// prefix.
	keylessReplies int
}

func (g *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.URL.Path == "/v1/entry" {
		g.adviceRequests++
		if g.adviceRequests <= g.keylessReplies {
			emul.WriteJSON(w, http.StatusOK, Advice{Entries: []AdvisedEntry{{Address: g.address}}})
			return
		}
		emul.WriteJSON(w, http.StatusOK, Advice{Entries: []AdvisedEntry{{Address: g.address}}, KeyPrefix: fmt.Sprintf("owner.%d.", g.adviceRequests)})
		return
	}
	g.keys = append(g.keys, r.Header.Get("Idempotency-Key"))
	if len(g.refusals) > 0 {
		outcome, reason, _ := strings.Cut(g.refusals[0], " ")
		g.refusals = g.refusals[1:]
		w.Header().Set("Run-Outcome", outcome)
		w.Header().Set("Run-Reason", reason)
		emul.WriteJSON(w, http.StatusServiceUnavailable, struct {
			RetryAfterMS int64 `json:"retry-after-ms"`
		}{1})
		return
	}
	var client Client
	name, err := ident.ParseIncarnation("entry-1~00c0ffee00c0ffee")
	if err != nil {
		panic(err)
	}
	q := &Request{RequestID: name.String(), Class: table.ServiceCall, Method: r.Method, Path: "/", KeepText: true}
	answer, failed := client.Call(r.Context(), g.upstream, q)
	if failed != nil {
		panic(failed)
	}
	w.Header().Set("Request-Id", answer.RequestID)
	w.Header().Set("Trailer", "Run-Outcome")
	_, _ = w.Write(answer.Text)
	w.Header().Set("Run-Outcome", "done")
}

// TestRetryWithoutKeyPrefix asks a stopping instance, which returns advice without a key
// prefix. A call that needs a key must request advice again; with an incomplete key it
// would be refused permanently.
func TestRetryWithoutKeyPrefix(t *testing.T) {
	fake := &fakeEntry{keylessReplies: 2, upstream: serve(t, plain.New(plain.Settings{}).Handler())}
	fake.address = serve(t, fake)
	load := Load{
		Entries: []netip.AddrPort{fake.address}, Workspaces: []ident.Workspace{"cousins"}, Service: "bookings", Path: "/", SendKeys: true,
		Workers: 1, MaxRequests: 1, MaxDuration: time.Minute, Timeout: time.Minute, MaxAttempts: 5, Seed: 1,
	}
	load.Mix[table.ServiceCall] = 1
	var client Client
	report, err := load.Run(t.Context(), &client)
	if err != nil {
		t.Fatal(err)
	}
	if got := report.Classes["service"]; got.Complete != 1 || !slices.Equal(fake.keys, []string{"owner.3.1-0"}) {
		t.Errorf("%d complete, keys %q", got.Complete, fake.keys)
	}
}

// TestRetry checks that only requests that were not run are retried, and that advice is
// requested again when it is outdated.
func TestRetry(t *testing.T) {
	for _, c := range []struct {
		refusals               []string
		whole, notRun, unknown int
		asked, sent            int
		lastKey                string
		repeat                 int
	}{
		{nil, 1, 0, 0, 1, 1, "owner.1.1-0", 0},
		{[]string{"not-run class-full", "not-run overloaded"}, 1, 0, 0, 1, 3, "owner.1.1-0", 0},
		{[]string{"not-run draining"}, 1, 0, 0, 2, 2, "owner.2.1-0", 0},
		{[]string{"not-run class-full", "not-run class-full", "not-run class-full", "not-run class-full"}, 0, 1, 0, 1, 3, "owner.1.1-0", 0},
		{[]string{"unknown owner-gone"}, 0, 0, 1, 1, 1, "owner.1.1-0", 0},
		{[]string{"odd class-full"}, 0, 0, 1, 1, 1, "owner.1.1-0", 0},
		// This fake runs a repeated call again, which the client detects in the answer.
		{nil, 0, 0, 1, 1, 2, "owner.1.1-0", 1},
	} {
		fake := &fakeEntry{refusals: c.refusals, upstream: serve(t, plain.New(plain.Settings{}).Handler())}
		fake.address = serve(t, fake)
		// The configured instance is unreachable; the directory lists a reachable one.
		unreachable, directory := serve(t, http.NotFoundHandler()), plat.New(plat.Settings{})
		directory.Put("directory", []byte(`["`+fake.address.String()+`"]`))
		load := Load{
			Entries: []netip.AddrPort{unreachable}, Platform: serve(t, directory.Handler()), Repeat: c.repeat, Workspaces: []ident.Workspace{"cousins"}, Service: "bookings", Path: "/", SendKeys: true,
			Workers: 1, MaxRequests: 1, MaxDuration: time.Minute, Timeout: time.Minute, MaxAttempts: 3, Seed: 1,
		}
		load.Mix[table.ServiceCall] = 1
		var client Client
		report, err := load.Run(context.Background(), &client)
		if err != nil {
			t.Fatal(err)
		}
		got := *report.Classes["service"]
		if got.Complete != c.whole || got.NotRun != c.notRun || got.Unknown != c.unknown || got.Retries != c.sent-1-c.repeat {
			t.Errorf("%v: report %+v", c.refusals, got)
		}
		if fake.adviceRequests != c.asked || len(fake.keys) != c.sent || fake.keys[c.sent-1] != c.lastKey {
			t.Errorf("%v: %d advice requests, keys %v", c.refusals, fake.adviceRequests, fake.keys)
		}
	}
}

// TestLoad sends a mix of classes to several engines and compares each text.
func TestLoad(t *testing.T) {
	load := Load{
		Workspaces: []ident.Workspace{"cousins", "exchange"}, Model: "m", Version: "1",
		Workers: 8, Rate: 10_000, MaxRequests: 300, MaxDuration: time.Minute, Timeout: time.Minute, MaxAttempts: 1,
		Check: func(q *Request, a *Answer) bool {
			return string(a.Text) == strings.Join(engine.ExpectedTokens(a.RequestID, q.Prompt, q.MaxTokens), "")
		},
	}
	for class := table.Quick; class <= table.Session; class++ {
		load.Mix[class], load.MaxTokens[class], load.PromptBytes[class] = 1, 20, 300
	}
	engines := []*engine.Engine{engine.New(engine.Settings{}), engine.New(engine.Settings{})}
	for _, e := range engines {
		load.DirectUpstreams = append(load.DirectUpstreams, serve(t, e.Handler()))
	}
	var client Client
	report, err := load.Run(context.Background(), &client)
	if err != nil {
		t.Fatal(err)
	}
	whole, tokens := 0, 0
	for _, c := range report.Classes {
		whole += c.Complete
		tokens += c.Tokens
	}
	if whole != 300 || tokens != 300*20 || len(report.Reasons) != 0 {
		t.Errorf("%d complete answers, %d tokens, %v", whole, tokens, report.Reasons)
	}
	for _, e := range engines {
		if runs := e.Runs().Runs(0); len(runs) != 150 || runs[0].Workspace == "" {
			t.Errorf("an engine has %d runs", len(runs))
		}
	}
	load.Workers = 0
	if _, err := load.Run(context.Background(), &client); err == nil {
		t.Error("a load without workers was accepted")
	}
}

// BenchmarkCall measures the cost of one streamed token: client, engine and loopback.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(engine.New(engine.Settings{Slots: 1000}).Handler())
	defer server.Close()
	to := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	var client Client
	const tokens = 100
	b.ReportAllocs()
	for b.Loop() {
		q := &Request{RequestID: "r1", Model: "m", Version: "1", Prompt: "p", MaxTokens: tokens, Class: table.Plan}
		if _, failed := client.Call(context.Background(), to, q); failed != nil {
			b.Fatal(failed)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}
