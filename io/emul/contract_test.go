package emul_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/clock"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/emul/fault"
	"arbutustrestle/io/emul/plain"
	"arbutustrestle/io/emul/plat"
)

// maxAnswerBytes is the number of bytes of a response that the tests read.
const maxAnswerBytes = 1 << 20

// harness runs one stand-in at a time and sends requests to it over HTTP.
type harness struct {
	t      *testing.T
	clock  *clock.Manual
	runs   *emul.RunLog
	server *emul.Server
	client *http.Client
}

func newHarness(t *testing.T) *harness {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &harness{t: t, clock: clock.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)), client: client}
}

// serve replaces the served handler.
func (g *harness) serve(handler http.Handler) {
	g.close()
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), handler)
	if err != nil {
		g.t.Fatal(err)
	}
	g.server = server
}

func (g *harness) close() {
	if g.server != nil {
		g.server.Close()
	}
}

func (g *harness) request(ctx context.Context, method, path, id, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.server.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		g.t.Fatal(err)
	}
	r.GetBody = nil
	r.Header.Set("Request-Id", id)
	return r
}

// control sends a request to a control path and returns the response as text.
func (g *harness) control(method, path, body string) string {
	response, err := g.client.Do(g.request(context.Background(), method, path, "", body))
	if err != nil {
		return "broken\n"
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	line := fmt.Sprintf("%d", response.StatusCode)
	for _, name := range []string{"Revision", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			line += " " + name + "=" + value
		}
	}
	return strings.TrimSpace(line+" "+strings.TrimSpace(string(text))) + "\n"
}

// result is the outcome of a call as its caller sees it.
type result struct {
	status, outcome, id, end string
	leaving                  bool
	body                     []byte
}

// call sends a request and reads the response. Under a fault that hangs, it cancels
// the request once the log shows that the request was received or ran.
func (g *harness) call(method, path, id, body, kind string) result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if strings.HasPrefix(kind, "hang") {
		go g.cancelOnceReceived(cancel, uint64(len(g.runs.Runs(0))), kind == fault.HangAfterRun.String())
	}
	response, err := g.client.Do(g.request(ctx, method, path, id, body))
	if err != nil {
		return result{end: errorKind(err)}
	}
	defer response.Body.Close()
	s := result{status: fmt.Sprint(response.StatusCode), outcome: response.Header.Get("Run-Outcome"), id: response.Header.Get("Request-Id"), end: "clean"}
	s.leaving = response.Header.Get("Leaving") != ""
	s.body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		s.end = errorKind(err)
	}
	if len(s.body) == maxAnswerBytes {
		s.end = "oversize"
	}
	return s
}

func (g *harness) cancelOnceReceived(cancel func(), before uint64, ran bool) {
	for {
		runs := g.runs.Runs(before)
		if len(runs) > 0 && (!ran || runs[0].Started()) {
			cancel()
			return
		}
	}
}

// callUnderFaults makes one call under each rule of the input, and returns one line
// for each.
func (g *harness) callUnderFaults(d *datadriven.TestData, call func(kind string) string) string {
	var lines strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		var rule fault.Rule
		if err := json.Unmarshal([]byte(line), &rule); err != nil {
			g.t.Fatal(err)
		}
		if got := g.control(http.MethodPut, "/v1/faults", `{"faults":[`+line+`]}`); !strings.HasPrefix(got, "200") {
			g.t.Fatal(got)
		}
		before := len(g.runs.Runs(0))
		result := call(rule.Kind.String())
		lines.WriteString(rule.Kind.String() + ": " + result + "; " + g.describeRuns(before) + "\n")
	}
	return lines.String()
}

func errorKind(err error) string {
	switch {
	case errors.Is(err, context.Canceled):
		return "abandoned"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	default:
		return "broken"
	}
}

// describeFrames returns the number of frames of a response, whether they are the
// expected frames of the request, in order and each once, and whether the end marker
// was received.
func describeFrames(s result, id, prompt string, maxTokens int) string {
	var count int
	own, done := s.id == id, false
	want := engine.ExpectedTokens(id, prompt, maxTokens)
	lines := bufio.NewScanner(bytes.NewReader(s.body))
	lines.Buffer(nil, 2*maxAnswerBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var frame struct {
			ID    string `json:"id"`
			Index int    `json:"index"`
			Text  string `json:"text"`
		}
		if json.Unmarshal([]byte(data), &frame) != nil {
			own = false
			continue
		}
		own = own && frame.ID == id && frame.Index == count && count < len(want) && frame.Text == want[count]
		count++
	}
	return fmt.Sprintf("frames=%d own=%t done=%t", count, own, done)
}

// describeRuns returns the number of logged requests of a call, and whether any ran.
func (g *harness) describeRuns(before int) string {
	runs := g.runs.Runs(uint64(before))
	if len(runs) == 0 {
		return "not received"
	}
	return fmt.Sprintf("received=%d ran=%t", len(runs), slices.ContainsFunc(runs, emul.Run.Started))
}

func TestEngine(t *testing.T) {
	datadriven.Walk(t, "testdata/engine", func(t *testing.T, path string) {
		g := newHarness(t)
		defer func() { g.close() }()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return g.runEngineCommand(d)
		})
	})
}

func (g *harness) runEngineCommand(d *datadriven.TestData) string {
	switch d.Cmd {
	case "engine":
		settings := engine.Settings{ID: "engine-1", Clock: g.clock}
		d.MaybeScanArgs(g.t, "slots", &settings.Slots)
		d.MaybeScanArgs(g.t, "cache-blocks", &settings.CacheBlocks)
		d.MaybeScanArgs(g.t, "gap", &settings.DropEveryNthEvent)
		settings.EnforceFencing = d.HasArg("checks-fence")
		settings.EventLag, settings.LoadLag, settings.ModelLoadTime = g.duration(d, "event-lag"), g.duration(d, "load-lag"), g.duration(d, "load-time")
		for _, arg := range d.CmdArgs {
			if arg.Key == "models" {
				settings.Loaded = arg.Vals
			}
		}
		e := engine.New(settings)
		g.runs = e.Runs()
		g.serve(e.Handler())
		return "ok\n"
	case "complete":
		before := len(g.runs.Runs(0))
		return g.complete(d, "") + "; " + g.describeRuns(before) + "\n"
	case "faults":
		return g.callUnderFaults(d, func(kind string) string { return g.complete(d, kind) })
	default:
		return g.runCommand(d)
	}
}

func (g *harness) duration(d *datadriven.TestData, name string) time.Duration {
	var text string
	d.MaybeScanArgs(g.t, name, &text)
	duration, _ := time.ParseDuration(text)
	return duration
}

// runCommand runs the commands that all stand-ins share.
func (g *harness) runCommand(d *datadriven.TestData) string {
	switch d.Cmd {
	case "advance":
		var text string
		d.ScanArgs(g.t, "by", &text)
		step, err := time.ParseDuration(text)
		if err != nil {
			g.t.Fatal(err)
		}
		g.clock.Advance(step)
		return "ok\n"
	case "get", "put", "post", "delete":
		return g.control(strings.ToUpper(d.Cmd), d.CmdArgs[0].String(), d.Input)
	default:
		g.t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

// complete requests a completion and describes the result.
func (g *harness) complete(d *datadriven.TestData, kind string) string {
	id, model, version, word, tokens, blocks := "r1", "m", "1", "plan", 3, 0
	d.MaybeScanArgs(g.t, "id", &id)
	d.MaybeScanArgs(g.t, "model", &model)
	d.MaybeScanArgs(g.t, "version", &version)
	d.MaybeScanArgs(g.t, "word", &word)
	d.MaybeScanArgs(g.t, "blocks", &blocks)
	prompt := word + emul.WorkspaceMarker("cousins") + strings.Repeat("x", blocks*engine.BlockBytes)
	body, _ := json.Marshal(struct {
		Model     string `json:"model"`
		Version   string `json:"version"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max-tokens"`
	}{model, version, prompt, tokens})
	s := g.call(http.MethodPost, "/v1/completions", id, string(body), kind)
	line := fmt.Sprintf("status=%s outcome=%s end=%s ", s.status, s.outcome, s.end)
	if s.leaving {
		line += "leaving "
	}
	return line + describeFrames(s, id, prompt, tokens)
}

func TestService(t *testing.T) {
	g := newHarness(t)
	s := plain.New(plain.Settings{ID: "service-1", Clock: g.clock})
	g.runs = s.Runs()
	g.serve(s.Handler())
	defer g.close()
	datadriven.RunTest(t, "testdata/service", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd != "faults" {
			return g.runCommand(d)
		}
		body := "slot 7 " + emul.WorkspaceMarker("cousins")
		return g.callUnderFaults(d, func(kind string) string {
			result := g.call(http.MethodPost, "/reservations/7", "r1", body, kind)
			var answer plain.Answer
			whole := json.Unmarshal(result.body, &answer) == nil
			own := result.id == "r1" && answer.RequestID == "r1" && answer.BodyHash == plain.BodyHash([]byte(body))
			return fmt.Sprintf("status=%s outcome=%s end=%s whole=%t own=%t", result.status, result.outcome, result.end, whole, own)
		})
	})
}

func TestPlatform(t *testing.T) {
	g := newHarness(t)
	defer func() { g.close() }()
	datadriven.RunTest(t, "testdata/platform", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "platform":
			settings := plat.Settings{Clock: g.clock}
			d.MaybeScanArgs(t, "rate", &settings.ReadRate)
			d.MaybeScanArgs(t, "first-revision", (*uint64)(&settings.FirstRevision))
			g.serve(plat.New(settings).Handler())
			return "ok\n"
		case "put-if":
			r := g.request(context.Background(), http.MethodPut, d.CmdArgs[0].Key, "", d.Input)
			r.Header.Set("If-Match", d.CmdArgs[1].Key)
			response, err := g.client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			return fmt.Sprintf("%d Revision=%s\n", response.StatusCode, response.Header.Get("Revision"))
		case "put-size":
			var size int
			d.ScanArgs(t, "bytes", &size)
			return g.control(http.MethodPut, d.CmdArgs[0].Key, strings.Repeat("x", size))
		default:
			return g.runCommand(d)
		}
	})
}

// TestWatchDuringChanges changes the value or the faults while a watch waits. It guards
// against a watch that misses a change or returns another value's.
func TestWatchDuringChanges(t *testing.T) {
	g := newHarness(t)
	p := plat.New(plat.Settings{Clock: g.clock})
	g.serve(p.Handler())
	defer g.close()
	p.Put("list/entries", []byte("one"))
	for _, c := range []struct {
		name   string
		faults plat.Faults
		change func()
		want   string
	}{
		{"change", plat.Faults{}, func() { p.Put("list/entries", []byte("two")) }, "200 Revision=2 two\n"},
		{"deletion", plat.Faults{}, func() { p.Delete("list/entries") }, "404 Revision=3 absent\n"},
		{"other value", plat.Faults{}, func() { p.Put("list/other", nil); p.Put("list/entries", []byte("four")) }, "200 Revision=4 four\n"},
		{"end of staleness", plat.Faults{FrozenAt: g.clock.Now()}, func() { p.Put("list/entries", []byte("five")); p.SetFaults(plat.Faults{}) }, "200 Revision=5 five\n"},
		{"reset", plat.Faults{}, func() { p.SetFaults(plat.Faults{Outage: plat.Reset}) }, "broken\n"},
	} {
		_, newest, _ := p.Get("list/entries")
		p.SetFaults(c.faults)
		answers := make(chan string)
		go func() {
			answers <- g.control(http.MethodGet, fmt.Sprintf("/v1/values/list/entries?after=%d&wait=60s", newest), "")
		}()
		for p.Stats().Watching == 0 {
			continue
		}
		g.clock.Advance(time.Second)
		c.change()
		if got := <-answers; got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		for p.Stats().Watching != 0 {
			continue
		}
	}
}

// TestServerRefusesResumesAndStops checks that a server refuses connections, accepts
// them again on the same address, and completes a running stream before it stops.
func TestServerRefusesResumesAndStops(t *testing.T) {
	g := newHarness(t)
	e := engine.New(engine.Settings{StepTime: time.Millisecond})
	g.runs = e.Runs()
	g.serve(e.Handler())
	defer g.close()
	if err := g.server.RefuseConns(); err != nil {
		t.Fatal(err)
	}
	if got := g.control(http.MethodGet, "/v1/load", ""); got != "broken\n" {
		t.Fatalf("server that refuses connections responded with %q", got)
	}
	if err := g.server.AcceptConns(); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error, 1)
	go func() {
		for len(g.runs.Runs(0)) == 0 {
			continue
		}
		stopped <- g.server.Stop(context.Background())
	}()
	s := g.call(http.MethodPost, "/v1/completions", "r1", `{"model":"m","version":"1","prompt":"p","max-tokens":50}`, "")
	if got := describeFrames(s, "r1", "p", 50); got != "frames=50 own=true done=true" {
		t.Errorf("stream during a stop: %s, end %s", got, s.end)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestCancelFreesSlot cancels a request in the middle of a long response, which must
// free its slot for the next request.
func TestCancelFreesSlot(t *testing.T) {
	g := newHarness(t)
	e := engine.New(engine.Settings{Slots: 1, StepTime: 10 * time.Microsecond})
	g.runs = e.Runs()
	g.serve(e.Handler())
	defer g.close()
	long := `{"model":"m","version":"1","prompt":"p","max-tokens":65536}`
	if s := g.call(http.MethodPost, "/v1/completions", "r1", long, fault.HangAfterRun.String()); s.end == "clean" {
		t.Error("the cancelled response was completed")
	}
	s := g.call(http.MethodPost, "/v1/completions", "r2", `{"model":"m","version":"1","prompt":"p","max-tokens":3}`, "")
	if got := describeFrames(s, "r2", "p", 3); got != "frames=3 own=true done=true" {
		t.Error(got)
	}
	if first := g.runs.Runs(0)[0]; first.State != emul.Cancelled || first.Frames == 65536 {
		t.Errorf("%+v", first)
	}
}

// TestStopEndsWaitingRequests checks that a stop ends the requests that only wait,
// without a response. It guards against a stop that waits for them.
func TestStopEndsWaitingRequests(t *testing.T) {
	g := newHarness(t)
	p, hanging := plat.New(plat.Settings{}), plat.New(plat.Settings{})
	hanging.SetFaults(plat.Faults{Hang: true})
	s := plain.New(plain.Settings{})
	s.Faults().Replace(fault.Rule{Kind: fault.HangAfterRun})
	for _, c := range []struct {
		name, path string
		handler    http.Handler
		waits      func() bool
	}{
		{"watch", "/v1/values/k?after=0&wait=60s", p.Handler(), func() bool { return p.Stats().Watching == 1 }},
		{"hanging platform", "/v1/values/k", hanging.Handler(), nil},
		{"hanging service", "/k", s.Handler(), func() bool { return len(s.Runs().Runs(0)) == 1 }},
	} {
		arrived := make(chan struct{})
		g.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			c.handler.ServeHTTP(w, r)
		}))
		answers := make(chan string, 1)
		go func() { answers <- g.control(http.MethodGet, c.path, "") }()
		<-arrived
		for c.waits != nil && !c.waits() {
			continue
		}
		if err := g.server.Stop(context.Background()); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if got := <-answers; got != "broken\n" {
			t.Errorf("%s: got %q", c.name, got)
		}
	}
}
