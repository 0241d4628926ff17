package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica stands in for one replica of a plain service.
type replica struct {
	id, service, zone, addr string
	born                    int64
	sequence                int
	store                   *store
	// handle makes the answer to a request that names this replica.
	handle func(w http.ResponseWriter, r *http.Request, q query)

	mu   sync.Mutex
	runs map[string]int
	// reached counts the requests that named this replica.
	reached atomic.Int64
}

// query is what a replica reads of a request.
type query struct {
	id   string
	body []byte
}

func startReplica(s *store, id, service, zone string, handle func(w http.ResponseWriter, r *http.Request, q query)) *replica {
	r := &replica{id: id, service: service, zone: zone, born: time.Now().UnixMilli(), store: s, handle: handle, runs: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r.addr = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = server.Serve(l) }()
	r.register("ready")
	return r
}

// register writes the replica's entry.
func (r *replica) register(state string) {
	r.mu.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 64, "state": state,
		"warmup_left_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	r.store.put("servers/"+r.id, entry)
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Arbutustrestle-Request-Id")
	w.Header()["Date"] = nil
	if id == "" {
		w.Header().Set("Arbutustrestle-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Arbutustrestle-Request-Id", id)
	if expected := request.Header.Get("Arbutustrestle-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Arbutustrestle-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.reached.Add(1)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.handle(w, request, query{id: id, body: body})
}

// run records that a request runs.
func (r *replica) run(id string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	logEvent(r.id, "runs %s", id)
}

// answer writes a whole successful answer.
func (r *replica) answer(w http.ResponseWriter, id string) {
	w.Header().Set("Arbutustrestle-Server-Stamp", "stamp-"+r.id+"-"+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", r.id, id)
}
