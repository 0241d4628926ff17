package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = flood }

// slots is what a replica of a plain service processes at once, and queueLength what waits there; others
// get 503 with Arbutustrestle-Not-Executed.
const (
	slots       = 6
	queueLength = 24
)

// limited makes a handler process as many requests as a replica does.
func limited(work time.Duration) func(r *replica) func(http.ResponseWriter, *http.Request, query) {
	return func(r *replica) func(http.ResponseWriter, *http.Request, query) {
		free := make(chan struct{}, slots)
		var there atomic.Int64
		return func(w http.ResponseWriter, request *http.Request, q query) {
			if there.Add(1) > slots+queueLength {
				there.Add(-1)
				w.Header().Set("Arbutustrestle-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer there.Add(-1)
			select {
			case free <- struct{}{}:
			case <-request.Context().Done():
				return
			}
			defer func() { <-free }()
			r.run(q.id)
			time.Sleep(work)
			r.answer(w, q.id)
		}
	}
}

const (
	floodBody      = 900_000
	floodPerEntry  = 80
	floodOrdinary  = 60
	floodPause     = 100 * time.Millisecond
	floodWorkTime  = 60 * time.Millisecond
	floodDeadline  = 8 * time.Second
	ordinaryServed = 0.5
)

// flood: the replicas of a service are in one region, and callers of the other two regions send many
// bodies of legal size at once. The entries of the two relay them to those of the one.
func flood() bool {
	s := startStore()
	s.putConfig(1, []route{{
		Name: "r-edit", Host: "trips.example", Prefix: "/edit/", Kind: "unsafe", TimeoutMs: 4000, SloMs: 500, Priority: 2,
		Service: "app", MaxAttempts: 1, HomeRegions: []string{},
	}}, []map[string]any{plainService("app", 100)})
	for _, id := range []string{"i-app-1", "i-app-2", "i-app-3"} {
		r := startReplica(s, id, "app", "south-c", nil)
		r.handle = limited(floodWorkTime)(r)
	}
	gateways := startGateways(s.addr, []place{
		{"west-1", "west-a", "west"}, {"west-2", "west-a", "west"}, {"west-3", "west-a", "west"},
		{"north-1", "north-b", "north"}, {"north-2", "north-b", "north"},
		{"south-1", "south-c", "south"},
	})
	time.Sleep(6 * time.Second)
	var served, sent atomic.Int64
	var ordinary, crowd sync.WaitGroup
	ordinary.Go(func() {
		for i := range floodOrdinary {
			g := gateways[i%len(gateways)]
			ordinary.Go(func() {
				sent.Add(1)
				if o := send(g.front, http.MethodPost, "trips.example", "/edit/1", newID("ordinary"), []byte("edit"), floodDeadline); o.status == http.StatusOK {
					served.Add(1)
				}
			})
			time.Sleep(floodPause)
		}
	})
	time.Sleep(time.Second)
	if trouble {
		body := []byte(strings.Repeat("x", floodBody))
		for _, g := range gateways[:5] {
			for range floodPerEntry {
				crowd.Go(func() {
					send(g.front, http.MethodPost, "trips.example", "/edit/2", newID("large-"+g.id), body, floodDeadline)
				})
			}
		}
	}
	crowd.Wait()
	ordinary.Wait()
	broken := false
	for _, g := range gateways {
		anon, rss := g.peaks()
		logEvent("case", "%s: peak of its own memory (RssAnon) %d MB, of all (VmHWM) %d MB, machine %d MB, ended %v", g.id, anon>>20, rss>>20, memoryMB, g.hasExited())
		if anon > memoryMB<<20 || g.hasExited() {
			broken = true
		}
	}
	logEvent("case", "ordinary requests: %d sent, %d served", sent.Load(), served.Load())
	return broken
}
