package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/yield"
	"arbutustrestle/io/strict"
)

// events counts refusals by reason.
type events struct{ counts sync.Map }

func (e *events) Add(name string, delta int64) {
	n, _ := e.counts.LoadOrStore(name, new(atomic.Int64))
	n.(*atomic.Int64).Add(delta)
}

func (e *events) count(r refusal) int64 {
	n, _ := e.counts.LoadOrStore("callers-refused-"+r.String(), new(atomic.Int64))
	return n.(*atomic.Int64).Load()
}

// rig is a server behind a gate. Its handler reads the body and answers with its length.
type rig struct {
	t       *testing.T
	gate    *Gate
	events  *events
	address string
}

func startRig(t *testing.T, g *Gate, handler http.HandlerFunc) *rig {
	t.Helper()
	if handler == nil {
		handler = answerLength(g)
	}
	r := &rig{t: t, gate: g, events: &events{}}
	if g.Clock == nil {
		g.Clock = clock.System{}
	}
	g.Events = r.events
	g.Start()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	server := &http.Server{
		Handler:        handler,
		MaxHeaderBytes: ServerHeadBytes,
		ConnContext:    ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			strict.ConnState(c, state)
			ConnState(c, state, strict.AtHead(c))
		},
	}
	go func() { _ = server.Serve(strict.Listener{Listener: g.Listen(l)}) }()
	t.Cleanup(func() { _ = server.Close() })
	return r
}

// answerLength reads a body into memory of the gate.
func answerLength(g *Gate) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		share := g.Memory.NewShare()
		defer share.Release()
		body := StartBody(r, share)
		total, buffer := 0, make([]byte, 1<<10)
		for {
			n, err := r.Body.Read(buffer)
			total += n
			if !share.Grow(int64(total)) || body.GaveWay() {
				w.Header().Set("Connection", "close")
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if !body.End() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s %d %d", r.Method, r.URL.Path, len(r.Header), total)
	}
}

// caller is a raw connection to the server.
type caller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (r *rig) dial() *caller {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &caller{r.t, c, bufio.NewReader(c)}
}

func (c *caller) send(text string) { _, _ = io.WriteString(c, text) }

// answer returns the status and the body of the next answer; zero if there is none.
func (c *caller) answer() (int, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	if status := response.StatusCode; status == http.StatusServiceUnavailable && response.ContentLength == 0 && response.Header.Get("Retry-After") == "" {
		c.t.Error("503 without Retry-After")
	}
	return response.StatusCode, string(body)
}

func (c *caller) expect(status int, body string) {
	c.t.Helper()
	if gotStatus, got := c.answer(); gotStatus != status || body != "" && got != body {
		c.t.Errorf("status %d, %q; want %d, %q", gotStatus, got, status, body)
	}
}

// until waits for a condition that comes true soon.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("not so after 10 s: %s", what)
		}
	}
}

// headOf returns a head of exactly the given number of bytes that is made of equal lines.
func headOf(t *testing.T, size int, line string) string {
	t.Helper()
	head := "GET /x HTTP/1.1\r\nHost: h\r\n"
	rest := size - len(head) - len("\r\n") - len("Pad: \r\n")
	head += strings.Repeat(line, rest/len(line))
	head += "Pad: " + strings.Repeat("p", rest%len(line)) + "\r\n\r\n"
	if len(head) != size {
		t.Fatalf("%d bytes", len(head))
	}
	return head
}

// TestHeadLimit guards against heads that are bounded by the server only, and against a limit that a
// head whose fields have exactly that size, of whatever lines, or what follows it, meets.
func TestHeadLimit(t *testing.T) {
	t.Parallel()
	// The request line and the line that ends the head don't count.
	const atLimit = 20_000 + len("GET /x HTTP/1.1\r\n") + len("\r\n")
	limit := atomic.Int64{}
	limit.Store(20_000)
	r := startRig(t, &Gate{Memory: &memory.Budget{Limit: 16 << 20}, Limits: func() Limits { return Limits{HeadBytes: int(limit.Load())} }}, nil)
	for _, line := range []string{"a:\n", "A:b\r\n", "Some-Name: some value\r\n", "L: " + strings.Repeat("v", 5000) + "\r\n"} {
		c := r.dial()
		c.send(headOf(t, atLimit, line) + headOf(t, atLimit, line))
		c.expect(http.StatusOK, "")
		c.expect(http.StatusOK, "")
		c = r.dial()
		c.send(headOf(t, atLimit+1, line))
		c.expect(http.StatusRequestHeaderFieldsTooLarge, "")
	}
	c := r.dial()
	c.send("GET /" + strings.Repeat("x", 20_000) + " HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expect(http.StatusRequestHeaderFieldsTooLarge, "")
	limit.Store(30_000)
	c = r.dial()
	c.send(headOf(t, atLimit+1, "a:\n"))
	c.expect(http.StatusOK, "")
	if r.events.count(refusedHead) != 5 {
		t.Errorf("%d refusals counted", r.events.count(refusedHead))
	}
}

// TestHeadWithoutEnd guards against callers who send lines, empty ones or one line without end.
func TestHeadWithoutEnd(t *testing.T) {
	t.Parallel()
	budget := &memory.Budget{Limit: 16 << 20}
	r := startRig(t, &Gate{Memory: budget}, nil)
	for _, part := range []string{"a:\n", "v", "\r\n", "\n"} {
		c := r.dial()
		if part != "\r\n" && part != "\n" {
			c.send("GET / HTTP/1.1\r\nHost: h\r\nX: ")
		}
		text := strings.Repeat(part, 10_000)
		for range 1000 {
			if _, err := io.WriteString(c, text); err != nil {
				break
			}
		}
		if status, _ := c.answer(); status != 0 && status != http.StatusBadRequest && status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%q without end: status %d", part, status)
		}
		_ = c.Close()
	}
	until(t, "memory is given back", func() bool { return budget.Used() == 0 && r.gate.Conns() == 0 })
}

// TestHeadTimeout guards against heads that take longer than the operator allows, and against silent
// connections; and against a limit that callers who are slow but in time meet.
func TestHeadTimeout(t *testing.T) {
	t.Parallel()
	const timeout = 2 * time.Second
	r := startRig(t, &Gate{Limits: func() Limits { return Limits{HeadTimeout: timeout} }}, nil)
	slow, steady, silent, kept := r.dial(), r.dial(), r.dial(), r.dial()
	kept.send("GET /k HTTP/1.1\r\nHost: h\r\n\r\n")
	kept.expect(http.StatusOK, "GET /k 0 0")
	slow.send("GET /s HTTP/1.1\r\n")
	for _, b := range []byte("GET /t HTTP/1.1\r\nHost: h\r\n\r\n") {
		steady.send(string(b))
		time.Sleep(timeout / 60)
	}
	steady.expect(http.StatusOK, "GET /t 0 0")
	slow.expect(http.StatusRequestTimeout, "")
	if _, err := silent.reader.ReadByte(); err != io.EOF {
		t.Errorf("silent connection: %v", err)
	}
	time.Sleep(timeout)
	kept.send("GET /k2 HTTP/1.1\r\nHost: h\r\n\r\n")
	kept.expect(http.StatusOK, "GET /k2 0 0")
	// What comes before the server is done with the request counts as idle.
	time.Sleep(timeout / 10)
	kept.send("G")
	kept.expect(http.StatusRequestTimeout, "")
	pipelined := r.dial()
	pipelined.send("GET /p HTTP/1.1\r\nHost: h\r\n\r\nGET /q HTTP/1.1\r\n")
	pipelined.expect(http.StatusOK, "GET /p 0 0")
	pipelined.expect(http.StatusRequestTimeout, "")
}

// TestHeadsShareMemory guards against a process that runs out of memory since many heads of legal size
// are made of very many lines: those that have stopped give way, and ordinary callers are served.
func TestHeadsShareMemory(t *testing.T) {
	t.Parallel()
	budget := &memory.Budget{Limit: 8 << 20}
	r := startRig(t, &Gate{Memory: budget}, nil)
	unfinished := strings.TrimSuffix(headOf(t, 12_000, "a:\n"), "\r\n")
	var crowd []*caller
	for range 40 {
		c := r.dial()
		c.send(unfinished)
		crowd = append(crowd, c)
	}
	until(t, "the crowd holds memory", func() bool { return budget.Used() > budget.Limit*3/4 })
	time.Sleep(2 * yield.Moment)
	for range 20 {
		c := r.dial()
		c.send(headOf(t, 12_000, "a:\n"))
		c.expect(http.StatusOK, "")
		if used := budget.Used(); used > budget.Limit {
			t.Errorf("%d bytes held", used)
		}
	}
	// Each of the crowd is answered that it hasn't run, or can go on.
	served, refused := 0, 0
	for _, c := range crowd {
		c.send("\r\n")
		switch status, text := c.answer(); status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
		default:
			t.Errorf("status %d, %q", status, text)
		}
		_ = c.Close()
	}
	if refused == 0 {
		t.Error("nobody gave way")
	}
	t.Logf("%d served, %d refused", served, refused)
	until(t, "memory is given back", func() bool { return budget.Used() == 0 })
}

// TestStoppedBodiesGiveWay guards against bodies that stop short of their end and keep out everybody else
// until their deadline.
func TestStoppedBodiesGiveWay(t *testing.T) {
	t.Parallel()
	const size = 100_000
	budget := &memory.Budget{Limit: 1 << 20}
	r := startRig(t, &Gate{Memory: budget}, nil)
	var crowd []*caller
	for range 12 {
		c := r.dial()
		c.send(fmt.Sprintf("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size-1))
		crowd = append(crowd, c)
	}
	until(t, "the crowd holds memory", func() bool { return budget.Used() > budget.Limit/2 })
	time.Sleep(2 * yield.Moment)
	for range 5 {
		c := r.dial()
		c.send(fmt.Sprintf("POST /o HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size))
		c.expect(http.StatusOK, fmt.Sprintf("POST /o 1 %d", size))
		_ = c.Close()
	}
	until(t, "some gave way", func() bool { return r.events.count(closedBody) > 0 })
	for _, c := range crowd {
		c.send("x")
		if status, text := c.answer(); status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("status %d, %q", status, text)
		}
		_ = c.Close()
	}
	until(t, "memory is given back", func() bool { return budget.Used() == 0 })
}

// TestConnsGiveWay guards against connections that send nothing, or a part of a request, and take all
// places; and against ending a request that is under way.
func TestConnsGiveWay(t *testing.T) {
	t.Parallel()
	entered, leave := make(chan struct{}), make(chan struct{})
	r := startRig(t, &Gate{MaxConns: 10}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			entered <- struct{}{}
			<-leave
		}
		_, _ = io.WriteString(w, "done")
	})
	busy := r.dial()
	busy.send("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n")
	<-entered
	for i := range 30 {
		c := r.dial()
		if i%2 == 1 {
			c.send("GET /part HTTP/1.1\r\n")
		}
		until(t, "room", func() bool { return r.gate.Conns() <= 10 })
	}
	time.Sleep(2 * yield.Moment)
	for range 30 {
		c := r.dial()
		c.send("GET /o HTTP/1.1\r\nHost: h\r\n\r\n")
		c.expect(http.StatusOK, "done")
	}
	leave <- struct{}{}
	busy.expect(http.StatusOK, "done")
}

// pair returns a connection of a gate and its caller's end.
func pair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close(); _ = near.Close() })
	g := &Gate{Clock: clock.System{}}
	g.Start()
	return g.admit(near), far
}

// TestUnreadIsNotSilence guards against ending a connection whose request has arrived while its server had
// no processor to read it.
func TestUnreadIsNotSilence(t *testing.T) {
	c, far := pair(t)
	later := time.Now().Add(time.Minute)
	_, _ = io.WriteString(far, "GET / HTTP/1.1\r\n")
	until(t, "the bytes arrive", func() bool { return hasUnread(c.Conn) })
	if c.end(later) {
		t.Error("ended")
	}
	if _, err := c.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	if !c.end(later.Add(time.Minute)) {
		t.Error("not ended after it has stopped")
	}
}

// TestPipelinedHeadsCount guards against heads that aren't counted since they arrive with the request
// before, and against requests that are lost or counted twice on one connection.
func TestPipelinedHeadsCount(t *testing.T) {
	t.Parallel()
	budget := &memory.Budget{Limit: 8 << 20}
	var most atomic.Int64
	r := startRig(t, &Gate{Memory: budget}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			most.Store(max(most.Load(), budget.Used()))
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := r.dial()
	c.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" +
		headOf(t, 3000, "a:\n"))
	for _, path := range []string{"/1", "/2", "/3", "/x"} {
		c.expect(http.StatusOK, path)
	}
	if least := int64(900 * lineCost); most.Load() < least {
		t.Errorf("%d bytes counted, want %d", most.Load(), least)
	}
	c.send("GET /4 HTTP/1.1\r\nHost: h\r\n\r\n")
	c.expect(http.StatusOK, "/4")
	_ = c.Close()
	until(t, "memory is given back", func() bool { return budget.Used() == 0 })
}

// TestPipelinedBlankLines guards against a head that isn't counted since blank lines before it look like
// the end of one whose beginning came with the request before.
func TestPipelinedBlankLines(t *testing.T) {
	t.Parallel()
	budget := &memory.Budget{Limit: 8 << 20}
	r := startRig(t, &Gate{Memory: budget}, nil)
	for _, before := range []string{"\r\n", "\r\n\r\n", "\n\n\n\n"} {
		c := r.dial()
		c.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + before)
		c.expect(http.StatusOK, "POST /1 1 1")
		c.send(strings.TrimSuffix(headOf(t, 6000, "a:\n"), "\r\n"))
		until(t, "the head is counted", func() bool { return budget.Used() > 1500*lineCost })
		c.send("\r\n")
		c.expect(http.StatusOK, "")
		_ = c.Close()
		until(t, "memory is given back", func() bool { return budget.Used() == 0 })
	}
}

// TestExpectContinueAndOldVersion guards against a gate that changes how requests are read.
func TestExpectContinueAndOldVersion(t *testing.T) {
	t.Parallel()
	r := startRig(t, &Gate{Memory: &memory.Budget{Limit: 1 << 20}, MaxConns: 5}, nil)
	c := r.dial()
	c.send("POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	c.expect(http.StatusContinue, "")
	c.send("abc")
	c.expect(http.StatusOK, "POST /e 2 3")
	old := r.dial()
	old.send("GET /o HTTP/1.0\r\n\r\n")
	old.expect(http.StatusOK, "GET /o 0 0")
	if _, err := old.reader.ReadByte(); err != io.EOF {
		t.Errorf("%v after an answer by HTTP/1.0", err)
	}
}
