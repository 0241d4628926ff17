package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaLine is what a replica tells of a request, as a line on its standard output.
type replicaLine struct {
	Replica string `json:"replica"`
	Version string `json:"version"`
	What    string `json:"what"`
	Request string `json:"request,omitempty"`
	Path    string `json:"path,omitempty"`
	After   string `json:"after,omitempty"`
	Part    bool   `json:"part,omitempty"`
}

// replica stands in for one run of a replica.
type replica struct {
	id, version string
	// unframed makes answers end with their connection, with neither a length nor chunks.
	unframed bool
	// crashPart is a part of prompts on which this replica crashes when it begins to write an
	// answer, and crashInEvent is set if it has then written a part of the first event.
	crashPart    string
	crashInEvent bool
	// leaving makes all answers say that the replica leaves.
	leaving atomic.Bool

	out sync.Mutex
}

func runReplica(args []string) int {
	f := flag.NewFlagSet("replica", flag.ContinueOnError)
	r := &replica{}
	address := f.String("address", "", "")
	f.StringVar(&r.id, "id", "", "")
	f.StringVar(&r.version, "version", "v1", "")
	f.BoolVar(&r.unframed, "unframed", false, "")
	f.StringVar(&r.crashPart, "crash-part", "", "")
	f.BoolVar(&r.crashInEvent, "crash-in-event", false, "")
	if f.Parse(args) != nil {
		return exitFailed
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", *address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	go r.readOrders()
	r.say(replicaLine{What: "listens"})
	for {
		c, err := l.Accept()
		if err != nil {
			return exitFailed
		}
		go r.serve(c)
	}
}

// readOrders reads from the standard input what the replica shall do.
func (r *replica) readOrders() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		if lines.Text() == "leave" {
			r.leaving.Store(true)
		}
	}
}

func (r *replica) say(l replicaLine) {
	l.Replica, l.Version = r.id, r.version
	text, _ := json.Marshal(l)
	r.out.Lock()
	defer r.out.Unlock()
	_, _ = os.Stdout.Write(append(text, '\n'))
}

// crash ends the process as a fault of it would.
func (r *replica) crash() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.answer(c, request) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends with it.
func (r *replica) answer(c net.Conn, q *http.Request) bool {
	h := q.Header
	id := h.Get("Arbutustrestle-Request-Id")
	if expected := h.Get("Arbutustrestle-Expect-Instance"); expected != "" && expected != r.id {
		return r.write(c, "421 Misdirected Request", id, "Arbutustrestle-Instance-Id: "+r.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	holds := r.holdsCrashPart(h.Get("Arbutustrestle-Prompt-Prefix"))
	r.say(replicaLine{What: "runs", Request: id, Path: q.URL.Path, After: h.Get("Last-Event-Id"), Part: holds})
	events, _ := strconv.Atoi(q.URL.Query().Get("events"))
	gap, _ := strconv.Atoi(q.URL.Query().Get("gap"))
	if events == 0 {
		time.Sleep(time.Duration(gap) * time.Millisecond)
		body := fmt.Sprintf("{\"request\":%q}", id)
		ok := r.write(c, "200 OK", id, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		r.say(replicaLine{What: "done", Request: id})
		return ok
	}
	time.Sleep(40 * time.Millisecond)
	if holds && !r.crashInEvent {
		r.crash()
	}
	return r.stream(c, q, id, events, time.Duration(gap)*time.Millisecond, holds)
}

// holdsCrashPart reports whether the part that crashes the replica is among the shared ones.
func (r *replica) holdsCrashPart(prefix string) bool {
	parts := strings.Split(prefix, ",")
	return r.crashPart != "" && slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, r.crashPart+":") })
}

func (r *replica) stream(c net.Conn, q *http.Request, id string, events int, gap time.Duration, crash bool) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if r.unframed {
		framing = "Connection: close\r\n"
	}
	if !r.write(c, "200 OK", id, "Content-Type: text/event-stream\r\n"+framing+"\r\n") {
		return false
	}
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		text := fmt.Sprintf("id: %d\ndata: %s piece %d of %d by %s\n\n", n, id, n, events, r.version)
		if crash {
			r.piece(c, text[:len(text)/2])
			time.Sleep(5 * time.Millisecond)
			r.crash()
		}
		if !r.piece(c, text) {
			r.say(replicaLine{What: "dropped", Request: id})
			return false
		}
		if n < events {
			time.Sleep(gap)
		}
	}
	r.say(replicaLine{What: "done", Request: id})
	if r.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// piece writes a part of a stream in a single write.
func (r *replica) piece(c net.Conn, text string) bool {
	if !r.unframed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

func (r *replica) write(c net.Conn, status, id, rest string) bool {
	head := "HTTP/1.1 " + status + "\r\nArbutustrestle-Request-Id: " + id + "\r\nArbutustrestle-Server-Stamp: " + r.id + "." + r.version + "\r\n"
	if r.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	_, err := io.WriteString(c, head+rest)
	return err == nil
}
