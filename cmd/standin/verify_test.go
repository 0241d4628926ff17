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

// TestVerify sends calls to a service, tells other outcomes than true ones for some
// and expects just those to be found.
func TestVerify(t *testing.T) {
	server, err := emul.Listen(netip.MustParseAddrPort("127.0.0.1:0"), plain.New(plain.Settings{}).Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	var client bench.Client
	ends := newKeyEnds()
	for _, c := range []struct {
		key   string
		times int
		told  *result.Failure
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
		ends.add(q, bench.Answer{}, c.told)
	}
	ran, err := runsByKey(context.Background(), &client, []netip.AddrPort{server.Addr()})
	if err != nil {
		t.Fatal(err)
	}
	want := []keyFault{{"b-done-0", "done", 0}, {"c-done-2", "done", 2}, {"e-not-run-1", "not-run", 1}, {"h-unknown-2", "unknown", 2}}
	if got := ends.compare(ran); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
