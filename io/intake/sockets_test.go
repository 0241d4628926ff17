package intake

import (
	"net/http"
	"testing"
)

// TestSockets guards against connections to upstreams that take the process beyond its descriptors, as each
// request of a caller may need one.
func TestSockets(t *testing.T) {
	t.Parallel()
	g := &Gate{MaxSockets: 4}
	r := startRig(t, g, func(http.ResponseWriter, *http.Request) {})
	kept := r.dial()
	kept.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	kept.expect(http.StatusOK, "")
	for n := range 3 {
		if !g.StartUpstream() {
			t.Fatalf("%d connections to upstreams, no further one", n)
		}
	}
	// The idle connection gives way.
	until(t, "another one", g.StartUpstream)
	until(t, "closed", func() bool { return g.Conns() == 0 })
	if g.StartUpstream() {
		t.Error("a fifth connection")
	}
	// One caller is always admitted, and gives way to the next.
	busy := r.dial()
	busy.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	busy.expect(http.StatusOK, "")
	g.EndUpstream()
	g.EndUpstream()
	if !g.StartUpstream() {
		t.Error("no connection after two have ended")
	}
}
