package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["leaving"] = leaving }

const (
	drainTime    = 3 * time.Second
	pingInterval = 1200 * time.Millisecond
	// expiry is how long an entry outlasts the last write of its replica: three ping intervals.
	expiry   = 3 * pingInterval
	slowWork = 6600 * time.Millisecond

	// Times since the slow requests were sent.
	cutAt    = 300 * time.Millisecond
	healedAt = cutAt + 5*time.Second
	// leavesAt is just after the second write since the partition.
	leavesAt = healedAt + pingInterval
)

// arrival is a request that a replica got.
type arrival struct {
	replica, id string
	at          time.Time
}

// leaving: a replica is partitioned from the store for five seconds, so that its entry expires and returns.
// A request that it got before is answered after that, with Server-Leaving. The replica never reports
// draining: it writes no more, and its entry is removed after three ping intervals.
func leaving() bool {
	s := startStore()
	s.putConfig(1, []route{{
		Name: "r-edit", Host: "trips.example", Prefix: "/edit/", Kind: "unsafe", TimeoutMs: 15000, SloMs: 500, Priority: 2,
		Service: "app", MaxAttempts: 1, HomeRegions: []string{},
	}}, []map[string]any{plainService("app", 100)})
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var arrivals []arrival
	var leaves atomic.Bool
	replicas := map[string]*replica{}
	for id, zone := range map[string]string{"i-x": "west-a", "i-y": "west-a", "i-z": "north-b"} {
		r := startReplica(s, id, "app", zone, nil)
		r.handle = func(w http.ResponseWriter, request *http.Request, q query) {
			mu.Lock()
			arrivals = append(arrivals, arrival{r.id, q.id, time.Now()})
			mu.Unlock()
			r.run(q.id)
			if strings.HasPrefix(request.URL.Path, "/edit/slow") {
				time.Sleep(slowWork)
			} else {
				time.Sleep(60 * time.Millisecond)
			}
			if r.id == "i-x" && leaves.Load() {
				w.Header().Set("Server-Leaving", "1")
			}
			r.answer(w, q.id)
		}
		replicas[id] = r
	}
	gateways := startGateways(s.addr, []place{{"west-1", "west-a", "west"}, {"west-2", "west-a", "west"}, {"north-1", "north-b", "north"}})
	time.Sleep(6 * time.Second)
	request := func(path string) outcome {
		id := newID("edit")
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		return send(gateways[0].front, http.MethodPost, "trips.example", path, id, []byte("edit"), 15*time.Second)
	}
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	var slow sync.WaitGroup
	var passedOn atomic.Pointer[time.Time]
	for range 2 {
		slow.Go(func() {
			if o := request("/edit/slow"); o.header.Get("Server-Leaving") == "1" {
				now := time.Now()
				passedOn.Store(&now)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	x := replicas["i-x"]
	at(cutAt)
	if x.reached.Load() == 0 {
		fail("the case could not run: no slow request is at i-x")
	}
	if trouble {
		logEvent("platform", "i-x is partitioned from the store")
		at(cutAt + expiry)
		s.remove("servers/i-x")
		at(healedAt)
		logEvent("platform", "i-x reaches the store again")
		x.register("ready")
	}
	at(leavesAt)
	logEvent("i-x", "leaves: all its answers say so from now on, and it writes its entry no more")
	leaves.Store(true)
	slow.Wait()
	told := passedOn.Load()
	if told == nil {
		fail("the case could not run: no answer with Server-Leaving was passed on")
	}
	var ordinary sync.WaitGroup
	time.Sleep(time.Until(told.Add(drainTime + 20*time.Millisecond)))
	for time.Now().Before(start.Add(leavesAt + expiry - 20*time.Millisecond)) {
		ordinary.Go(func() { request("/edit/1") })
		time.Sleep(20 * time.Millisecond)
	}
	at(leavesAt + expiry)
	s.remove("servers/i-x")
	ordinary.Wait()
	time.Sleep(time.Second)
	broken, after := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		sent := sentAt[a.id]
		if !sent.After(told.Add(drainTime)) {
			continue
		}
		after++
		if a.replica == "i-x" {
			broken++
			logEvent("case", "%s was sent %d ms after west-1 had passed on an answer of i-x with Server-Leaving, and reached i-x", a.id, sent.Sub(*told).Milliseconds())
		}
	}
	logEvent("case", "%d requests sent later than drain_ms after that answer ran; %d of them at i-x", after, broken)
	return broken > 0
}
