package main

import (
	"net/http"
	"time"
)

func init() { cases["star"] = star }

const starRequests = 5

// star: a client sends requests whose target is an asterisk, which no route matches.
func star() bool {
	s := startStore()
	s.putConfig(1, []route{{
		Name: "r-page", Host: "trips.example", Prefix: "/page/", Kind: "safe", TimeoutMs: 4000, SloMs: 500, Priority: 2,
		Service: "app", MaxAttempts: 2, HomeRegions: []string{},
	}}, []map[string]any{plainService("app", 100)})
	for id, zone := range map[string]string{"i-x": "west-a", "i-y": "west-a", "i-z": "north-b"} {
		r := startReplica(s, id, "app", zone, nil)
		r.handle = func(w http.ResponseWriter, _ *http.Request, q query) {
			r.run(q.id)
			r.answer(w, q.id)
		}
	}
	gateways := startGateways(s.addr, []place{{"west-1", "west-a", "west"}, {"west-2", "west-a", "west"}, {"north-1", "north-b", "north"}})
	time.Sleep(5 * time.Second)
	broken := 0
	for range starRequests {
		send(gateways[0].front, http.MethodOptions, "trips.example", "/page/1", newID("page"), nil, 8*time.Second)
		send(gateways[0].front, http.MethodOptions, "trips.example", "/gone/1", newID("gone"), nil, 8*time.Second)
		if trouble {
			o := send(gateways[0].front, http.MethodOptions, "trips.example", "*", newID("star"), nil, 8*time.Second)
			if o.status >= 200 && o.status < 300 && o.header.Get("Arbutustrestle-Server-Stamp") == "" {
				broken++
			}
		}
	}
	logEvent("case", "successes without the stamp of a replica: %d", broken)
	return broken > 0
}
