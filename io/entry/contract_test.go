package entry_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/fault"
	"arbutustrestle/io/link"
)

// hangTimeout is the time after which a read is reported as a hang.
const hangTimeout = 5 * time.Second

// Every body, prompt and key contains secret, which must not be logged.
const (
	secret     = "SECRET"
	planBody   = `{"model":"planner","prompt":"` + secret + ` plan","max-tokens":3}`
	remoteBody = `{"model":"faraway","prompt":"` + secret + ` plan","max-tokens":3}`
	plainBody  = secret + " booking"
)

// TestContract runs the HTTP interface and the peer interface through the cases in
// testdata. A case is a command, such as "ask key=a < BODY". It guards against responses
// that differ from the counters of the instance that sent them, and against logs that hold
// bodies, prompts or keys.
func TestContract(t *testing.T) {
	datadriven.Walk(t, "testdata/contract", func(t *testing.T, file string) {
		c := &cases{running: map[string]chan string{}, cancels: map[string]context.CancelFunc{}, prefixes: map[string]string{}}
		c.cluster = newCluster(t, &syncBuffer{}, "")
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			var out []string
			for line := range strings.Lines(d.Input) {
				for text := range strings.SplitSeq(line, " ; ") {
					out = append(out, c.run(t, newCommand(text)))
				}
			}
			return strings.Join(collapse(out), "")
		})
		if text := c.cluster.log.b.String(); strings.Contains(text, secret) || !strings.Contains(text, "request-id") {
			t.Errorf("the log contains a body, prompt or key, or has no request-id:\n%s", text)
		}
	})
}

// collapse joins equal consecutive results into one, such as "3 times 400 ...".
func collapse(results []string) []string {
	var out []string
	results = slices.DeleteFunc(results, func(s string) bool { return s == "" })
	for count := 0; len(results) > 0; results = results[count:] {
		for count = 1; count < len(results) && results[count] == results[0]; {
			count++
		}
		out = append(out, strings.TrimPrefix(fmt.Sprintf("%d times %s", count, results[0]), "1 times "))
	}
	return out
}

// command is one line of a case; name is its first argument.
type command struct {
	verb, name, input string
	args              map[string]string
}

func newCommand(line string) command {
	head, input, _ := strings.Cut(strings.TrimSpace(line), " < ")
	words := strings.Fields(head)
	c := command{verb: words[0], args: map[string]string{}, input: input}
	for _, word := range words[1:] {
		key, value, _ := strings.Cut(word, "=")
		c.args[key] = cmp.Or(value, "yes")
		c.name = cmp.Or(c.name, key)
	}
	return c
}

// parseNumber sets *to to a numeric argument, if the argument is present.
func parseNumber[N uint32 | uint64](c command, key string, to *N) {
	if value, err := strconv.ParseUint(c.args[key], 10, 32); err == nil {
		*to = N(value)
	}
}

// cases holds the state of the cases of one file.
type cases struct {
	cluster *cluster
	// policy holds the policy rows of the cluster in addition to the common ones.
	policy string
	// running holds the results of requests in the background, cancels their cancel functions.
	running map[string]chan string
	cancels map[string]context.CancelFunc
	// prefixes holds the prefix of each key in use, by the name of the key.
	prefixes map[string]string
}

func (c *cases) run(t *testing.T, d command) string {
	switch d.verb {
	case "rig":
		c.policy = strings.ReplaceAll(d.input, "|", "\n")
		c.cluster = newCluster(t, c.cluster.log, c.policy)
	case "fault", "peer", "attempt", "forward":
		// A new cluster, since upstreams and regions that failed are avoided for a while.
		if d.args["keep"] == "" {
			c.cluster = newCluster(t, c.cluster.log, c.policy)
		}
	}
	r := c.cluster
	in, stub := r.instances[d.name], r.stubs[d.name]
	switch d.verb {
	case "ask":
		return c.ask(t, d)
	case "forwarded":
		return c.forwarded(t, d)
	case "raw":
		return c.raw(t, d)
	case "wait":
		return <-c.running[d.name]
	case "runs":
		return fmt.Sprintf("%s ran %d in all\n", d.name, stub.ran())
	case "rig":
	case "fault", "attempt":
		stub.faults.Replace(rulesOf(t, d.input)...)
		if d.verb == "attempt" {
			d.input = ""
			return c.ask(t, d)
		}
	case "forward":
		c.script(d)
		d.input = remoteBody
		return c.ask(t, d)
	case "hold":
		held := make(chan struct{})
		stub.held.Store(&held)
	case "release":
		close(*stub.held.Swap(nil))
	case "leave":
		c.cancels[d.name]()
		<-c.running[d.name]
	case "settle":
		for in.server.Metrics.InFlight.Value() > 0 {
			runtime.Gosched()
		}
	case "stop":
		_ = stub.server.RefuseConns()
	case "advance":
		// After this time, upstreams that failed are tried again.
		for _, in := range r.instances {
			pause, _ := time.ParseDuration(cmp.Or(d.args["by"], "20s"))
			in.advance(pause)
		}
		r.exchangeHeartbeats()
	case "drain":
		in.server.RefuseNewRequests(5 * time.Second)
		in.step(nil, node.PhaseChanged{Phase: member.Draining})
	case "unready":
		in.view.Store(node.New(node.Options{Self: in.self, Start: in.server.Self.Start}).View())
	case "table":
		in.activate(newTable(8, c.policy))
	case "restart":
		// The peers have the state of another run of the instance.
		in.server.Self.Start += 100
		r.exchangeHeartbeats()
	default:
		t.Fatalf("unknown command %s", d.verb)
	}
	return ""
}

// rulesOf parses fault rules such as {"kind":"slow"}, or a rule that applies once after a
// number of frames, such as "cut-after-frames 2".
func rulesOf(t *testing.T, text string) (rules []fault.Rule) {
	if text != "" && text[0] != '{' {
		kind, frames, _ := strings.Cut(text, " ")
		text = fmt.Sprintf(`{"kind":%q,"count":1,"frames":%s}`, kind, cmp.Or(frames, "0"))
	}
	if err := json.Unmarshal([]byte("["+text+"]"), &rules); err != nil {
		t.Fatal(err)
	}
	return rules
}

// script replaces the instance of north by a scripted peer.
func (c *cases) script(d command) {
	r := c.cluster
	north := r.instances["north-1"]
	r.peer = &scriptedPeer{received: make(chan int, 16), script: strings.Fields(d.input)}
	r.peer.address = servePeers(r.t, link.Identity{Incarnation: north.server.Self, Zone: "north-1", Region: "north"}, r.peer)
	for _, id := range []string{"west-1", "west-2"} {
		r.instances[id].receiveFrom(north, r.peer.address)
	}
}

// request returns the HTTP request of a case.
func (c *cases) request(d command, in *instance) *http.Request {
	if d.args["request-timeout"] != "" {
		// The Request-Timeout of a request is measured by the machine's clock.
		in.advance(time.Since(in.clock.Now()))
	}
	method, path := cmp.Or(d.args["method"], "POST"), cmp.Or(d.args["path"], "/v1/completions")
	if call, found := strings.CutPrefix(path, "app/"); found {
		path = "/v1/services/app/" + call
	}
	body := planBody
	switch {
	case method == "GET":
		body = ""
	case d.input != "":
		body = d.input
	case d.args["large"] != "":
		body = strings.Repeat("x", bodyLimit+1)
	case strings.HasPrefix(path, "/v1/services"):
		body = plainBody
	}
	q, _ := http.NewRequest(method, in.caller.URL+path, strings.NewReader(body))
	q.Header.Set("Workspace", cmp.Or(d.args["workspace"], "anna"))
	if d.args["large-header"] != "" {
		q.Header.Set("Padding", strings.Repeat("x", 4*bodyLimit))
	}
	for _, h := range []string{"Request-Class", "Request-Timeout", "Session"} {
		if value := d.args[strings.ToLower(h)]; value != "" {
			q.Header.Set(h, value)
		}
	}
	c.setKey(d, in, q)
	return q
}

// setKey sets the key of the given name. The key of a new name is created with the prefix
// of the instance "owner". A name that begins with "=" is the key itself.
func (c *cases) setKey(d command, in *instance, q *http.Request) {
	name := d.args["key"]
	switch {
	case name == "":
	case strings.HasPrefix(name, "="):
		q.Header.Set("Idempotency-Key", name[1:])
	default:
		if c.prefixes[name] == "" {
			c.prefixes[name] = c.cluster.instances[cmp.Or(d.args["owner"], string(in.self.ID))].server.Records.KeyPrefix()
		}
		q.Header.Set("Idempotency-Key", c.prefixes[name]+secret+name)
	}
}

// ask makes a request. With the argument "background" it starts the request and returns
// when the request has arrived at a held upstream, or has joined an earlier one.
func (c *cases) ask(t *testing.T, d command) string {
	in := c.cluster.instances[cmp.Or(d.args["to"], "west-1")]
	q := c.request(d, in)
	background := d.args["background"]
	if background == "" {
		return c.exchange(in, q, d.args["abandon"] != "")
	}
	ctx, cancel := context.WithCancel(context.Background())
	answer := make(chan string, 1)
	c.running[background], c.cancels[background] = answer, cancel
	go func() {
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q.WithContext(ctx))
		if err != nil {
			answer <- "no answer\n"
			return
		}
		defer response.Body.Close()
		answer <- describeAnswer(response) + "\n"
	}()
	if until := d.args["until"]; until != "joined" {
		<-c.cluster.stubs[until].arrived
		return ""
	}
	for in.server.Metrics.InFlight.Value() < 2 {
		runtime.Gosched()
	}
	return ""
}

// exchange makes a request and describes the response, the upstreams that ran it and the
// counters that rose. An abandoned request is cancelled at the first byte of its response.
func (c *cases) exchange(in *instance, q *http.Request, abandon bool) string {
	ran := c.runCounts()
	counted := counters(in)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q.Header.Set(awaitedHeader, "yes")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(q.WithContext(ctx))
	description := "cut before the head"
	if err == nil {
		defer response.Body.Close()
		if abandon {
			_, _ = response.Body.Read(make([]byte, 1))
			cancel()
			description = "abandoned"
		} else {
			description = describeAnswer(response)
		}
	}
	if response == nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		<-in.served
	}
	return description + c.describeRuns(ran) + counted() + "\n"
}

// describeAnswer describes a response as the caller receives it.
func describeAnswer(response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	h := response.Header
	parts := []string{strconv.Itoa(response.StatusCode)}
	add := func(format string, a ...any) { parts = append(parts, fmt.Sprintf(format, a...)) }
	if outcome := h.Get("Run-Outcome") + response.Trailer.Get("Run-Outcome"); outcome != "" {
		add("%s", strings.TrimSpace(outcome+" "+h.Get("Run-Step")+" "+h.Get("Run-Reason")))
	}
	if h.Get("Retry-After") != "" {
		add("retry-after")
	}
	var refusal struct {
		Outcome, Step, Reason string
		Entries               []struct{ Instance string }
		KeyPrefix             string `json:"key-prefix"`
	}
	start, event, _ := strings.Cut(string(body), "event: error\ndata: ")
	if json.Unmarshal([]byte(event), &refusal) == nil {
		add("error event %s %s %s", refusal.Outcome, refusal.Step, refusal.Reason)
	}
	if strings.HasPrefix(h.Get("Content-Type"), "text/event-stream") {
		add("%d tokens, whole %t", strings.Count(start, "data: {"), strings.HasSuffix(start, "data: [DONE]\n\n"))
	} else if json.Unmarshal(body, &refusal) == nil && refusal.Reason != h.Get("Run-Reason") {
		add("body and headers differ")
	}
	for _, e := range refusal.Entries {
		add("entry %s", e.Instance)
	}
	if refusal.KeyPrefix != "" {
		add("key-prefix")
	}
	if err != nil {
		add("connection aborted")
	}
	return strings.Join(parts, ", ")
}

func (c *cases) runCounts() map[string]int {
	all := map[string]int{}
	for name, u := range c.cluster.stubs {
		all[name] = u.ran()
	}
	return all
}

// describeRuns waits until nothing runs, and describes the runs since the counts in before
// and the body bytes that a scripted peer received.
func (c *cases) describeRuns(before map[string]int) string {
	var text string
	for _, name := range slices.Sorted(maps.Keys(c.cluster.stubs)) {
		u := c.cluster.stubs[name]
		for slices.ContainsFunc(u.runs.Runs(0), func(r emul.Run) bool { return r.State == emul.Running }) {
			runtime.Gosched()
		}
		if n := u.ran() - before[name]; n > 0 {
			text += fmt.Sprintf("; %s ran %d", name, n)
		}
	}
	if p := c.cluster.peer; p != nil {
		for range p.begun.Swap(0) {
			text += fmt.Sprintf("; peer got %d bytes", <-p.received)
		}
	}
	return text
}

// counters returns a function that describes which counters of an instance have risen.
func counters(in *instance) func() string {
	sets := map[string]*expvar.Map{" ": in.server.Metrics.Requests, " as ": in.server.Metrics.Refusals, ", retried ": in.server.Metrics.Retries}
	before := map[string]int64{}
	each := func(visit func(name string, value int64)) {
		for prefix, m := range sets {
			m.Do(func(kv expvar.KeyValue) { visit(prefix+kv.Key, kv.Value.(*expvar.Int).Value()) })
		}
	}
	each(func(name string, value int64) { before[name] = value })
	return func() string {
		var risen []string
		each(func(name string, value int64) {
			risen = append(risen, strings.Repeat(name, int(value-before[name])))
		})
		slices.Sort(risen)
		return "; counted" + strings.Join(risen, "")
	}
}

// forwarded sends a request over a link, as a forwarding instance does.
func (c *cases) forwarded(t *testing.T, d command) string {
	in := c.cluster.instances["north-1"]
	m := newForwarded()
	m.RequestId, m.Workspace = cmp.Or(d.args["id"], m.RequestId), cmp.Or(d.args["workspace"], m.Workspace)
	parseNumber(d, "revision", &m.TableRevision)
	parseNumber(d, "class", &m.Class)
	parseNumber(d, "length", &m.BodyLength)
	parseNumber(d, "remaining", &m.RemainingMs)
	if d.args["visited"] != "" {
		m.Visited = strings.Split(d.args["visited"], ",")
	}
	ran := c.runCounts()
	description := sendForwarded(t, in, m, strings.Fields(cmp.Or(d.input, "body end")))
	for in.server.Metrics.InFlight.Value() > 0 {
		runtime.Gosched()
	}
	return description + c.describeRuns(ran) + "\n"
}

// raw writes lines to the callers' listener and returns the first line of the response.
func (c *cases) raw(t *testing.T, d command) string {
	in := c.cluster.instances["west-1"]
	counted := counters(in)
	conn, err := net.Dial("tcp", in.self.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"+awaitedHeader+": yes\r\n"+strings.ReplaceAll(d.input, "|", "\r\n")+"\r\n\r\n"+secret)
	if d.args["close"] != "" {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(hangTimeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer\n"
	}
	<-in.served
	return strings.TrimSpace(line) + counted() + "\n"
}
