package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// arrivalsAt returns the number of requests that arrived at one upstream.
func (inst *testInstance) arrivalsAt(upstream int) int {
	return len(strings.Fields(inst.upstreams[upstream].seen()))
}

// sendMany sends requests one after the other.
func (inst *testInstance) sendMany(t *testing.T, path string, count int) {
	t.Helper()
	for i := range count {
		if response, _, err := inst.send(t, path, "", http.Header{"Id": {fmt.Sprint("r", i)}}); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("request %d: %v, error %v", i, response, err)
		}
	}
}

// TestUpstreamThatLeaves guards against requests to an upstream that has said in an answer,
// of whatever kind, that it leaves.
func TestUpstreamThatLeaves(t *testing.T) {
	events := "id: 1\ndata: a\n\n"
	for name, do := range map[string]reply{
		"in an answer":  answer("200 OK\r\nSigned: 1\r\nLeaving: 1", "fine"),
		"in a refusal":  answer("503 Full\r\nNot-Run: 1\r\nLeaving: 1", ""),
		"in a failure":  answer("500 Broken\r\nSigned: 1\r\nLeaving: 1", "broken"),
		"in a stream's": answer("200 OK\r\nSigned: 1\r\nLeaving: 1", events),
		"in a cut stream's": func(c net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), len(events), events)
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := "/safe/"
			if strings.Contains(name, "stream") {
				path = "/resume/"
			}
			inst := newTestInstance(t, do, answer("200 OK\r\nSigned: 1", events)).ready(t)
			// The first request may go to either upstream.
			for inst.arrivalsAt(0) == 0 && inst.arrivalsAt(1) < 50 {
				_, _, _ = inst.send(t, path, "", nil)
			}
			before := inst.arrivalsAt(0)
			inst.sendMany(t, path, 30)
			if got := inst.arrivalsAt(0) - before; before == 0 || got > 0 {
				t.Errorf("%d requests after %d answers that it leaves", got, before)
			}
		})
	}
}

// TestUpstreamPause guards against requests to an upstream that has refused one and said
// how long it wants none, also while the other one refuses too.
func TestUpstreamPause(t *testing.T) {
	inst := newTestInstance(t, answer("503 Full\r\nNot-Run: 1\r\nRetry-After: 3", ""), shedAnswer).ready(t)
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); {
		_, _, _ = inst.send(t, "/once/", "", nil)
		time.Sleep(20 * time.Millisecond)
	}
	if got := inst.arrivalsAt(0); got != 1 {
		t.Errorf("%d requests", got)
	}
}

// TestAllUpstreamsPause checks that a request which no upstream wants for a while is
// refused at once, with a time to come back that knows of the pauses.
func TestAllUpstreamsPause(t *testing.T) {
	pause := answer("503 Full\r\nNot-Run: 1\r\nRetry-After: 1.4", "")
	inst := newTestInstance(t, pause, pause).ready(t)
	for range 3 {
		_, _, _ = inst.send(t, "/once/", "", nil)
	}
	before := inst.arrivals()
	began := time.Now()
	response, _, err := inst.send(t, "/long/", "", nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v, error %v", response, err)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("refused after %s", took)
	}
	if after := response.Header.Get("Retry-After"); after < "1" {
		t.Errorf("Retry-After %q", after)
	}
	if inst.arrivals() != before {
		t.Errorf("%d requests arrived in the pause", inst.arrivals()-before)
	}
}
