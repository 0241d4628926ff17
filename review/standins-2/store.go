package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store. The operator and the replicas write to it
// by calls of put and remove.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	silent   bool
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("GET /kv-key", s.serveKey)
	go func() { _ = http.Serve(l, s.gate(mux)) }()
	return s, nil
}

// gate answers nothing while the store is silent, and never what was asked meanwhile.
func (s *store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(4 * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// setSilent makes the store take calls and answer none, or ends that.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value; it reports false while the store is silent.
func (s *store) put(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.revision++
	i := item{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
	if before, found := s.items[key]; found {
		i.Created = before.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
	return true
}

func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found || s.silent {
		return false
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
	return true
}

const maxPage = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > maxPage
	list = list[:min(len(list), maxPage)]
	reply(w, map[string]any{"items": list, "more_pages": more, "store_revision": revision})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !found {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed, silent := s.revision, s.changed, s.silent
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || ended {
			reply(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
