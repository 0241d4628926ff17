package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one item of the platform's store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store (PROTOCOL.md): /kv-key, /kv-range and /kv-watch.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	down     bool
}

func startStore() *store {
	s := &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/kv-key", s.key)
	mux.HandleFunc("/kv-range", s.list)
	mux.HandleFunc("/kv-watch", s.watch)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return s
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes the store answer 503, which means that nothing was done, or ends that. Watches that
// wait are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(data), Revision: s.revision, Created: s.revision}
	if before, found := s.items[key]; found {
		i.Created = before.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wakeLocked()
	logEvent("store", "put %s revision %d", key, s.revision)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wakeLocked()
	logEvent("store", "remove %s revision %d", key, s.revision)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	check(err)
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": s.revision})
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": false, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// route is a route of the desired state.
type route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	Prefix      string   `json:"prefix"`
	Kind        string   `json:"kind"`
	TimeoutMs   int      `json:"timeout_ms"`
	SloMs       int      `json:"slo_ms"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service"`
	MaxAttempts int      `json:"max_attempts"`
	Sticky      bool     `json:"sticky"`
	Resumable   bool     `json:"resumable"`
	GapSloMs    int      `json:"gap_slo_ms,omitempty"`
	HomeRegions []string `json:"home_regions"`
}

func plainService(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}
}

// putConfig writes a desired state with the limits of the small site files.
func (s *store) putConfig(version int, routes []route, services []map[string]any) {
	s.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

var recordMu sync.Mutex

func check(err error) {
	if err != nil {
		fail(fmt.Sprintf("the case could not run: %v", err))
	}
}
