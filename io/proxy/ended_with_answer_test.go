package proxy

import (
	"net"
	"net/http"
	"testing"
)

// TestUpstreamEndsWithAnswer guards against an answer that looks whole since its upstream, a process
// that was killed, closed the connection in order: alone, with all others of the region, or while
// it left. It guards as well against a whole answer that looks cut off since its upstream takes no
// new connections.
func TestUpstreamEndsWithAnswer(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, path string
		end        func(inst *testInstance, conn net.Conn)
		head       string
		whole      bool
		body       string
	}{
		{"stream", "/stream/", endUpstream, "", false, first},
		{"stream, all upstreams end", "/stream/", endAllUpstreams, "", false, first},
		{"resumable stream", "/resume/", endUpstream, "", true, first + rest},
		{"plain answer", "/once/", endUpstream, "", false, first},
		{"plain answer, all upstreams end", "/once/", endAllUpstreams, "", false, first},
		{"stream, upstream lives", "/stream/", nil, "", true, first},
		{"plain answer, upstream lives", "/once/", nil, "", true, first},
		{"stream, upstream leaves and ends", "/stream/", endUpstream, "Leaving: 1\r\n", false, first},
		{"stream, upstream leaves", "/stream/", nil, "Leaving: 1\r\n", true, first},
		{"stream, upstream leaves and takes no new connections", "/stream/", closeListener, "Leaving: 1\r\n", true, first},
		{"stream, no upstream takes new connections", "/stream/", closeAllListeners, "", true, first},
		{"plain answer, no upstream takes new connections", "/once/", closeAllListeners, "", true, first},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inst := newTestInstance(t, nil, nil)
			inst.setReply(func(conn net.Conn, r *http.Request) {
				if r.Header.Get("Last") != "" {
					closing(rest)(conn, r)
					return
				}
				untilCloseWith(c.head, first)(conn, r)
				if c.end != nil {
					c.end(inst, conn)
				}
			})
			inst.ready(t)
			response, body, err := inst.send(t, c.path, "", nil)
			whole := err == nil && response.StatusCode == http.StatusOK
			if whole != c.whole || whole && body != c.body {
				t.Errorf("%q, error %v", body, err)
			}
		})
	}
}

// untilCloseWith returns a reply that sends a signed answer, with further lines in its head, that ends
// in order with its connection.
func untilCloseWith(lines, body string) reply {
	return func(c net.Conn, r *http.Request) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSigned: 1\r\n" + lines + "\r\n" + body))
		// The instance must have read the body before it learns of the end.
		waitUntilRead()
	}
}

// upstreamOf returns the upstream that has accepted a connection.
func (inst *testInstance) upstreamOf(c net.Conn) *upstream {
	for _, u := range inst.upstreams {
		if u.listener.Addr().String() == c.LocalAddr().String() {
			return u
		}
	}
	return nil
}

// closeListener makes the upstream that has accepted a connection accept no further ones.
func closeListener(inst *testInstance, c net.Conn) {
	_ = inst.upstreamOf(c).listener.Close()
}

func closeAllListeners(inst *testInstance, _ net.Conn) {
	for _, u := range inst.upstreams {
		_ = u.listener.Close()
	}
}

// endUpstream closes all sockets of the upstream that has accepted a connection, as the kernel
// does for a process that is killed.
func endUpstream(inst *testInstance, c net.Conn) {
	inst.upstreamOf(c).end()
}

func endAllUpstreams(inst *testInstance, _ net.Conn) {
	for _, u := range inst.upstreams {
		u.end()
	}
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
	_ = u.listener.Close()
}
