package intake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/yield"
)

// startUnread sends a request for an answer without end on a connection that the caller doesn't read.
func startUnread(t *testing.T, r *rig) *caller {
	t.Helper()
	c := r.dial()
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	c.send("GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
	return c
}

// writeEndless answers /endless without end, and other paths at once.
func writeEndless(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/endless" {
		return
	}
	text := strings.Repeat("x", 64<<10)
	for {
		if _, err := io.WriteString(w, text); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// waitUnread waits until the kernel takes no more of the answers.
func waitUnread(t *testing.T, g *Gate, connections int) {
	t.Helper()
	until(t, "the answers are held", func() bool {
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		defer g.mu.Unlock()
		held := 0
		for c := range g.conns {
			before, unread := c.unreadSince(g.Clock.Now())
			time.Sleep(20 * time.Millisecond)
			if after, still := c.unreadSince(g.Clock.Now().Add(time.Hour)); unread && still && after.Equal(before) {
				held++
			}
		}
		return held == connections
	})
}

// TestUnreadGivesWay guards against callers who read nothing of their answers and keep out all others while there are
// no more connections.
func TestUnreadGivesWay(t *testing.T) {
	t.Parallel()
	c := clock.NewManual(time.Now())
	r := startRig(t, &Gate{MaxConns: 2, Clock: c}, writeEndless)
	startUnread(t, r)
	startUnread(t, r)
	waitUnread(t, r.gate, 2)
	early := r.dial()
	early.expect(http.StatusServiceUnavailable, "")
	until(t, "another connection is served", func() bool {
		c.Advance(yield.Patience)
		late := r.dial()
		late.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _ := late.answer()
		return status == http.StatusOK
	})
	if n := r.events.count(closedUnread); n != 1 {
		t.Errorf("%d connections gave way, 1 needed", n)
	}
}

// TestSlowReaderStays guards against readers that are slow and give way as if they had stopped.
func TestSlowReaderStays(t *testing.T) {
	t.Parallel()
	c := clock.NewManual(time.Now())
	r := startRig(t, &Gate{MaxConns: 1, Clock: c}, writeEndless)
	slow := startUnread(t, r)
	waitUnread(t, r.gate, 1)
	piece := make([]byte, 8<<10)
	for range 3 {
		c.Advance(yield.Patience * 3 / 4)
		if _, err := io.ReadFull(slow.Conn, piece); err != nil {
			t.Fatal(err)
		}
		// What the kernel holds falls once the caller's has acknowledged.
		time.Sleep(100 * time.Millisecond)
		r.dial().expect(http.StatusServiceUnavailable, "")
	}
	if n := r.events.count(closedUnread); n != 0 {
		t.Errorf("%d connections gave way", n)
	}
}
