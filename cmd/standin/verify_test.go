package main

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/emul/plain"
)

// TestKeyMismatches sends keyed calls to a service and records outcomes, some of which
// contradict the service's log. It expects exactly these to be reported.
func TestKeyMismatches(t *testing.T) {
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), plain.New(plain.Settings{}).Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var client bench.Client
	outcomes := newKeyedOutcomes()
	for _, c := range []struct {
		key     string
		times   int
		failure *result.Failure
	}{
		{"a-done-1", 1, nil},
		{"b-done-0", 0, nil},
		{"c-done-2", 2, nil},
		{"d-not-run-0", 0, &result.Failure{Outcome: result.NotRun}},
		{"e-not-run-1", 1, &result.Failure{Outcome: result.NotRun}},
		{"f-unknown-0", 0, &result.Failure{}},
		{"g-unknown-1", 1, &result.Failure{}},
		{"h-unknown-2", 2, &result.Failure{}},
	} {
		q := &bench.Request{RequestID: c.key, Class: table.ServiceCall, Method: http.MethodPost, Path: "/", IdempotencyKey: c.key, Timeout: time.Minute}
		for range c.times {
			if _, failed := client.Call(context.Background(), server.Addr(), q); failed != nil {
				t.Fatal(failed)
			}
		}
		outcomes.add(q, bench.Answer{}, c.failure)
	}
	runs, err := runsByKey(context.Background(), &client, []netip.AddrPort{server.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	want := []keyMismatch{{"b-done-0", "done", 0}, {"c-done-2", "done", 2}, {"e-not-run-1", "not-run", 1}, {"h-unknown-2", "unknown", 2}}
	if got := outcomes.mismatches(runs); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
