package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota"] = quotaCase }

const (
	quotaRate     = 400_000.0
	quotaBurst    = 400_000.0
	quotaOverage  = 0.25
	quotaSlack    = 140_000.0
	quotaWindow   = 8 * time.Second
	requestTokens = 8000
	// quotaDemand is the demand, as a multiple of the quota.
	quotaDemand = 4.0
	seedLag     = 3 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	darkTime     = 15 * time.Second
	quotaPlay    = 30 * time.Second
)

// keyed is what became of a request: when it was sent, when which replica ran it, and its answer.
type keyed struct {
	id       string
	sent, at time.Time
	replica  string
	status   int
}

type ranLog struct {
	mu   sync.Mutex
	byID map[string]*keyed
	// list holds those that ran.
	list []*keyed
}

// record writes a line for each request.
func (l *ranLog) record() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*keyed
	for _, k := range l.byID {
		all = append(all, k)
	}
	sort.Slice(all, func(a, b int) bool { return all[a].sent.Before(all[b].sent) })
	for _, k := range all {
		ran := "not run"
		if !k.at.IsZero() {
			ran = fmt.Sprintf("run by %s at %.3f", k.replica, k.at.Sub(began).Seconds())
		}
		logEvent("client", "%s: sent at %.3f, answered %d, %s", k.id, k.sent.Sub(began).Seconds(), k.status, ran)
	}
}

// most returns the most tokens of requests that were both sent and run inside one window, and when that ends.
func (l *ranLog) most(from time.Time) (tokens float64, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.Slice(l.list, func(a, b int) bool { return l.list[a].at.Before(l.list[b].at) })
	for i := range l.list {
		count := 0
		for j := i; j >= 0 && l.list[i].at.Sub(l.list[j].at) <= quotaWindow; j-- {
			if l.list[i].at.Sub(l.list[j].sent) <= quotaWindow {
				count++
			}
		}
		if sum := float64(count * requestTokens); sum > tokens {
			tokens, end = sum, l.list[i].at
		}
	}
	return tokens, end
}

// quotaCase: all processes are killed at the same moment, and the machines that the seeds name stay without
// power. The others start again; the platform names other seeds after seed_lag_s.
func quotaCase() bool {
	const tenant, key = "family-a", "k1k2k3k4k5k6k7k8k9k0"
	s := startStore()
	s.put("op/config", map[string]any{
		"version": 1,
		"routes": []route{{
			Name: "r-edit", Host: "trips.example", Prefix: "/edit/", Kind: "unsafe", TimeoutMs: 4000, SloMs: 500, Priority: 2,
			Service: "app", MaxAttempts: 1, HomeRegions: []string{},
		}},
		"services": []map[string]any{plainService("app", 1000)},
		"tenants": []map[string]any{{
			"name": tenant, "api_keys": []string{key}, "priority": 1, "unit": "token_stream", "plain_tokens": requestTokens,
			"rate_per_s": quotaRate, "burst": quotaBurst, "home_regions": []string{},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	log := &ranLog{byID: map[string]*keyed{}}
	for _, zone := range []string{"west-a", "north-b", "south-c"} {
		for i := range 2 {
			r := startReplica(s, fmt.Sprintf("i-%s-%d", zone, i), "app", zone, nil)
			r.handle = func(w http.ResponseWriter, request *http.Request, q query) {
				now := time.Now()
				if got := request.Header.Get("Arbutustrestle-Tenant"); got != tenant {
					logEvent(r.id, "tenant %q of %s", got, q.id)
				}
				log.mu.Lock()
				if k := log.byID[q.id]; k != nil {
					k.at, k.replica = now, r.id
					log.list = append(log.list, k)
				}
				log.mu.Unlock()
				time.Sleep(15 * time.Millisecond)
				r.answer(w, q.id)
			}
		}
	}
	extraBounds = fmt.Sprintf("quota-window = %s\nquota-overage = %g\nquota-slack = %g\n", quotaWindow, quotaOverage, quotaSlack)
	// The seeds are the first machine of each zone.
	gateways := startGateways(s.addr, []place{
		{"west-1", "west-a", "west"}, {"north-1", "north-b", "north"}, {"south-1", "south-c", "south"},
		{"west-2", "west-a", "west"}, {"north-2", "north-b", "north"}, {"south-2", "south-c", "south"},
		{"west-3", "west-a", "west"}, {"north-3", "north-b", "north"}, {"south-3", "south-c", "south"},
	})
	time.Sleep(8 * time.Second)
	start := time.Now()
	var mu sync.Mutex
	up := append([]*gateway{}, gateways...)
	stop := make(chan struct{})
	statuses := map[int]int{}
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) * requestTokens / (quotaRate * quotaDemand)))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			mu.Lock()
			g := up[rand.IntN(len(up))]
			mu.Unlock()
			clients.Go(func() {
				id := newID("edit")
				log.mu.Lock()
				k := &keyed{id: id + " to " + g.id, sent: time.Now()}
				log.byID[id] = k
				log.mu.Unlock()
				status := sendKeyed(g.front, id, key)
				log.mu.Lock()
				k.status = status
				statuses[status]++
				log.mu.Unlock()
			})
		}
	})
	time.Sleep(10 * time.Second)
	if trouble {
		for _, g := range gateways {
			g.signal(syscall.SIGKILL)
		}
		mu.Lock()
		up = append([]*gateway{}, gateways[3:]...)
		mu.Unlock()
		killed := time.Now()
		time.Sleep(restartDelay)
		for _, g := range gateways[3:] {
			<-g.exited
			g.start()
			logEvent("platform", "starts %s again", g.id)
		}
		time.Sleep(time.Until(killed.Add(seedLag)))
		for _, g := range gateways[3:] {
			writeSeeds(g, gateways[3:6])
		}
		logEvent("platform", "names other seeds")
		time.Sleep(time.Until(killed.Add(darkTime)))
		for _, g := range gateways[:3] {
			<-g.exited
			writeSeeds(g, gateways[3:6])
			g.start()
			logEvent("platform", "starts %s again", g.id)
		}
		for _, g := range gateways[:3] {
			g.awaitReady()
		}
		mu.Lock()
		up = append([]*gateway{}, gateways...)
		mu.Unlock()
	}
	time.Sleep(time.Until(start.Add(quotaPlay)))
	close(stop)
	clients.Wait()
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	tokens, end := log.most(start)
	log.record()
	logEvent("case", "answers by status (0: none): %v", statuses)
	logEvent("case", "most tokens of the tenant in %s: %.0f, ending %.1f s after the start; bound %.0f; ratio %.2f", quotaWindow, tokens, end.Sub(began).Seconds(), bound, tokens/bound)
	logRates(log, start)
	return tokens > bound
}

// logRates records what ran in each second, as a multiple of the quota.
func logRates(l *ranLog, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make([]int, int(quotaPlay.Seconds())+2)
	for _, r := range l.list {
		if i := int(r.at.Sub(start).Seconds()); i >= 0 && i < len(counts) {
			counts[i]++
		}
	}
	var text []string
	for _, c := range counts {
		text = append(text, fmt.Sprintf("%.2f", float64(c*requestTokens)/quotaRate))
	}
	logEvent("case", "tokens run in each second, as a multiple of rate_per_s, from second %.0f: %s", start.Sub(began).Seconds(), strings.Join(text, " "))
}

func writeSeeds(g *gateway, seeds []*gateway) {
	data, err := os.ReadFile(g.settings)
	check(err)
	lines := strings.Split(string(data), "\n")
	var names []string
	for _, other := range seeds {
		names = append(names, other.peer)
	}
	for i, line := range lines {
		if strings.HasPrefix(line, "seeds = ") {
			lines[i] = "seeds = " + strings.Join(names, ",")
		}
	}
	check(os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")), 0o600))
}

var quotaTransport = &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 5 * time.Second}

// sendKeyed sends a request with a key, and returns the status of the answer, or 0.
func sendKeyed(front, id, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/edit/1", strings.NewReader("edit"))
	check(err)
	request.Host = "trips.example"
	request.Header.Set("Arbutustrestle-Request-Id", id)
	request.Header.Set("Arbutustrestle-Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: quotaTransport, Timeout: 4 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
