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

// stuck is when a read that should have ended long ago is taken for a hang.
const stuck = 5 * time.Second

// What must not reach a log stands in every body, prompt and key.
const (
	secret    = "SECRET"
	planBody  = `{"model":"planner","prompt":"` + secret + ` plan","max-tokens":3}`
	afarBody  = `{"model":"faraway","prompt":"` + secret + ` plan","max-tokens":3}`
	plainBody = secret + " booking"
)

// TestContract runs the callers' interface through the cases of testdata. A case is
// a command, such as "ask key=a < BODY"; each answer is compared with the counters of
// the instance that gave it, and the log is searched for what requests hold.
func TestContract(t *testing.T) {
	datadriven.Walk(t, "testdata/contract", func(t *testing.T, file string) {
		c := &cases{running: map[string]chan string{}, leave: map[string]context.CancelFunc{}, prefixes: map[string]string{}}
		c.rig = newRig(t, &syncBuffer{}, "")
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			var out []string
			for line := range strings.Lines(d.Input) {
				for text := range strings.SplitSeq(line, " ; ") {
					out = append(out, c.run(t, newCommand(text)))
				}
			}
			return strings.Join(collapse(out), "")
		})
		if text := c.rig.log.b.String(); strings.Contains(text, secret) || !strings.Contains(text, "request-id") {
			t.Errorf("the log holds a body, a prompt or a key, or nothing:\n%s", text)
		}
	})
}

// collapse puts equal results in a row into one, such as "3 times 400 ...".
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

// number puts an argument in the place of a number.
func number[N uint32 | uint64](c command, key string, to *N) {
	if value, err := strconv.ParseUint(c.args[key], 10, 32); err == nil {
		*to = N(value)
	}
}

// cases is the state of one file.
type cases struct {
	rig *rig
	// policy holds the rows that the rig has beside the common ones.
	policy string
	// running holds the answers of requests in the background, leave ends them.
	running map[string]chan string
	leave   map[string]context.CancelFunc
	// prefixes are those of the keys in use, by their names.
	prefixes map[string]string
}

func (c *cases) run(t *testing.T, d command) string {
	switch d.verb {
	case "rig":
		c.policy = strings.ReplaceAll(d.input, "|", "\n")
		c.rig = newRig(t, c.rig.log, c.policy)
	case "fault", "peer", "attempt", "forward":
		// Upstreams and regions that failed are avoided for a while.
		if d.args["keep"] == "" {
			c.rig = newRig(t, c.rig.log, c.policy)
		}
	}
	r := c.rig
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
		stub.faults.Put(rulesOf(t, d.input)...)
		if d.verb == "attempt" {
			d.input = ""
			return c.ask(t, d)
		}
	case "forward":
		c.script(d)
		d.input = afarBody
		return c.ask(t, d)
	case "hold":
		held := make(chan struct{})
		stub.held.Store(&held)
	case "release":
		close(*stub.held.Swap(nil))
	case "leave":
		c.leave[d.name]()
		<-c.running[d.name]
	case "settle":
		for in.core.Metrics.InFlight.Value() > 0 {
			runtime.Gosched()
		}
	case "stop":
		_ = stub.server.Refuse()
	case "advance":
		// Upstreams that failed are tried again.
		for _, in := range r.instances {
			pause, _ := time.ParseDuration(cmp.Or(d.args["by"], "20s"))
			in.pass(pause)
		}
		r.meet()
	case "drain":
		in.core.RefuseNewRequests(5 * time.Second)
		in.step(nil, node.PhaseChanged{Phase: member.Draining})
	case "unready":
		in.view.Store(node.New(node.Options{Self: in.self, Start: in.core.Self.Start}).View())
	case "table":
		in.take(newTable(8, c.policy))
	case "restart":
		// Peers believe in another run of the instance.
		in.core.Self.Start += 100
		r.meet()
	default:
		t.Fatalf("unknown command %s", d.verb)
	}
	return ""
}

// rulesOf reads rules such as {"kind":"slow"}, or one that strikes once after a number
// of frames, such as "cut-after-frames 2".
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

// script puts a scripted peer in the place of north's entry.
func (c *cases) script(d command) {
	r := c.rig
	north := r.instances["north-1"]
	r.peer = &scriptedPeer{received: make(chan int, 16), script: strings.Fields(d.input)}
	r.peer.address = servePeers(r.t, link.Identity{Incarnation: north.core.Self, Zone: "north-1", Region: "north"}, r.peer)
	for _, id := range []string{"west-1", "west-2"} {
		r.instances[id].hear(north, r.peer.address)
	}
}

// request makes the request of a case.
func (c *cases) request(d command, in *instance) *http.Request {
	if d.args["request-timeout"] != "" {
		// The request's own time is kept by the machine's clock.
		in.pass(time.Since(in.clock.Now()))
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

// setKey gives the request the key of a name, minted at the instance "owner" when
// the name is new; a name that begins with "=" is the key itself.
func (c *cases) setKey(d command, in *instance, q *http.Request) {
	name := d.args["key"]
	switch {
	case name == "":
	case strings.HasPrefix(name, "="):
		q.Header.Set("Idempotency-Key", name[1:])
	default:
		if c.prefixes[name] == "" {
			c.prefixes[name] = c.rig.instances[cmp.Or(d.args["owner"], string(in.self.ID))].core.Records.KeyPrefix()
		}
		q.Header.Set("Idempotency-Key", c.prefixes[name]+secret+name)
	}
}

// ask makes a request, or begins one in the background and returns when it has
// arrived at a held upstream, or has joined an earlier one.
func (c *cases) ask(t *testing.T, d command) string {
	in := c.rig.instances[cmp.Or(d.args["to"], "west-1")]
	q := c.request(d, in)
	background := d.args["background"]
	if background == "" {
		return c.exchange(in, q, d.args["abandon"] != "")
	}
	ctx, cancel := context.WithCancel(context.Background())
	answer := make(chan string, 1)
	c.running[background], c.leave[background] = answer, cancel
	go func() {
		response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q.WithContext(ctx))
		if err != nil {
			answer <- "no answer\n"
			return
		}
		defer response.Body.Close()
		answer <- tell(response) + "\n"
	}()
	if until := d.args["until"]; until != "joined" {
		<-c.rig.stubs[until].arrived
		return ""
	}
	for in.core.Metrics.InFlight.Value() < 2 {
		runtime.Gosched()
	}
	return ""
}

// exchange makes a request and tells what the caller saw, what ran and what was
// counted. An abandoned one is left at the first byte of its answer.
func (c *cases) exchange(in *instance, q *http.Request, abandon bool) string {
	ran := c.ran()
	counted := counters(in)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	q.Header.Set(awaited, "yes")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(q.WithContext(ctx))
	told := "cut before the head"
	if err == nil {
		defer response.Body.Close()
		if abandon {
			_, _ = response.Body.Read(make([]byte, 1))
			cancel()
			told = "abandoned"
		} else {
			told = tell(response)
		}
	}
	if response == nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		<-in.served
	}
	return told + c.after(ran) + counted() + "\n"
}

// tell says what a caller sees of an answer.
func tell(response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	h := response.Header
	text := []string{strconv.Itoa(response.StatusCode)}
	add := func(format string, a ...any) { text = append(text, fmt.Sprintf(format, a...)) }
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
	return strings.Join(text, ", ")
}

func (c *cases) ran() map[string]int {
	all := map[string]int{}
	for name, u := range c.rig.stubs {
		all[name] = u.ran()
	}
	return all
}

// after tells what ran since, once nothing runs any more, and the body bytes that
// left for a scripted peer.
func (c *cases) after(before map[string]int) string {
	var text string
	for _, name := range slices.Sorted(maps.Keys(c.rig.stubs)) {
		u := c.rig.stubs[name]
		for slices.ContainsFunc(u.runs.Runs(0), func(r emul.Run) bool { return r.State == emul.Running }) {
			runtime.Gosched()
		}
		if n := u.ran() - before[name]; n > 0 {
			text += fmt.Sprintf("; %s ran %d", name, n)
		}
	}
	if p := c.rig.peer; p != nil {
		for range p.begun.Swap(0) {
			text += fmt.Sprintf("; peer got %d bytes", <-p.received)
		}
	}
	return text
}

// counters returns a function that tells which counters of an instance have risen.
func counters(in *instance) func() string {
	sets := map[string]*expvar.Map{" ": in.core.Metrics.Requests, " as ": in.core.Metrics.Refusals, ", retried ": in.core.Metrics.Retries}
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

// forwarded sends a request over a link, as another entry would.
func (c *cases) forwarded(t *testing.T, d command) string {
	in := c.rig.instances["north-1"]
	m := newForwarded()
	m.RequestId, m.Workspace = cmp.Or(d.args["id"], m.RequestId), cmp.Or(d.args["workspace"], m.Workspace)
	number(d, "revision", &m.TableRevision)
	number(d, "class", &m.Class)
	number(d, "length", &m.BodyLength)
	number(d, "remaining", &m.RemainingMs)
	if d.args["visited"] != "" {
		m.Visited = strings.Split(d.args["visited"], ",")
	}
	ran := c.ran()
	told := sendForwarded(t, in, m, strings.Fields(cmp.Or(d.input, "body end")))
	for in.core.Metrics.InFlight.Value() > 0 {
		runtime.Gosched()
	}
	return told + c.after(ran) + "\n"
}

// raw writes lines to the callers' listener and tells the first line that comes.
func (c *cases) raw(t *testing.T, d command) string {
	in := c.rig.instances["west-1"]
	counted := counters(in)
	conn, err := net.Dial("tcp", in.self.Caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"+awaited+": yes\r\n"+strings.ReplaceAll(d.input, "|", "\r\n")+"\r\n\r\n"+secret)
	if d.args["close"] != "" {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(stuck))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer\n"
	}
	<-in.served
	return strings.TrimSpace(line) + counted() + "\n"
}
