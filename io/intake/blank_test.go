package intake

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/memory"
	"arbutustrestle/core/yield"
)

// waitIdle waits until the server waits for the next requests. What comes before, behind a request without a
// body, may be read by the part of the server that looks whether the caller has left.
func waitIdle(t *testing.T, g *Gate) {
	t.Helper()
	until(t, "idle", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for c := range g.conns {
			if claim, open := c.claim(); !open || claim.Phase != yield.Idle {
				return false
			}
		}
		return true
	})
}

// TestBlankLines guards against requests that are refused for an empty line before them, which RFC 9112, 2.2,
// asks servers to ignore, and against empty lines without end.
func TestBlankLines(t *testing.T) {
	t.Parallel()
	r := startRig(t, &Gate{Memory: &memory.Budget{Limit: 16 << 20}, Limits: func() Limits { return Limits{HeadBytes: 20_000} }}, nil)
	const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	var callers []*caller
	for _, blank := range []string{"", "\r\n", "\n", "\r\n\r\n", "\n\r\n\n\r\n"} {
		c := r.dial()
		callers = append(callers, c)
		c.send(blank + request)
		c.expect(http.StatusOK, "GET /x 0 0")
		// The same on a kept connection.
		waitIdle(t, r.gate)
		c.send(blank + request)
		c.expect(http.StatusOK, "GET /x 0 0")
		// The same byte by byte.
		waitIdle(t, r.gate)
		for _, b := range blank + request {
			c.send(string(b))
			time.Sleep(time.Millisecond)
		}
		c.expect(http.StatusOK, "GET /x 0 0")
	}
	for _, c := range callers {
		_ = c.Close()
	}
	for _, odd := range []string{strings.Repeat("\r\n", maxBlankLines+1), "\r\r\n", "\r", " \r\n", "\x00\n"} {
		c := r.dial()
		c.send(odd + request)
		c.expect(http.StatusBadRequest, "")
	}
	c := r.dial()
	c.send(strings.Repeat("\r\n", 50_000))
	// The answer may be lost, as the connection is closed with unread bytes.
	if status, _ := c.answer(); status != http.StatusBadRequest && status != 0 {
		t.Errorf("status %d", status)
	}
	until(t, "closed", func() bool { return r.gate.Conns() == 0 })
	if used := r.gate.Memory.Used(); used != 0 {
		t.Errorf("%d bytes held", used)
	}
}

// TestBlankLineInHead guards against the line that ends a head and is taken for one before it, as the
// beginning of the head came with the request before.
func TestBlankLineInHead(t *testing.T) {
	t.Parallel()
	r := startRig(t, &Gate{Memory: &memory.Budget{Limit: 16 << 20}}, nil)
	const request = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for _, begin := range []string{"G", "GET /y", "GET /y HTTP/1.1\r", "GET /y HTTP/1.1\r\n", "GET /y HTTP/1.1\r\nHost: h\r", "GET /y HTTP/1.1\r\nHost: h\r\n", "GET /y HTTP/1.1\r\nHost: h\r\n\r"} {
		const second = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n"
		c := r.dial()
		c.send(request + begin)
		c.expect(http.StatusOK, "POST /x 0 1")
		time.Sleep(20 * time.Millisecond)
		c.send(second[len(begin):])
		c.expect(http.StatusOK, "GET /y 0 0")
	}
}
