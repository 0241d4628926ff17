package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLastAttemptWaits guards against a request that is given up after half a second of silence
// although no further attempt may follow, and its upstreams would have answered within its timeout.
func TestLastAttemptWaits(t *testing.T) {
	t.Parallel()
	late := func(c net.Conn, r *http.Request) {
		time.Sleep(900 * time.Millisecond)
		okAnswer(c, r)
	}
	inst := newTestInstance(t, late, late).ready(t)
	response, body, err := inst.send(t, "/safe/", "", nil)
	if err != nil || response.StatusCode != http.StatusOK || inst.arrivals() != 2 {
		t.Errorf("%v, %q, error %v, %d arrivals", response, body, err, inst.arrivals())
	}
}
