package proxy

import (
	"net"
	"net/http"
	"testing"
)

// TestUpstreamEndsWithAnswer guards against an answer that looks whole since its upstream, a process
// that was killed, closed the connection in order: no connection to it opens any more, and it didn't
// say that it leaves.
func TestUpstreamEndsWithAnswer(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, path string
		ends       bool
		head       string
		whole      bool
		body       string
	}{
		{"stream", "/stream/", true, "", false, first},
		{"resumable stream", "/resume/", true, "", true, first + rest},
		{"plain answer", "/once/", true, "", false, first},
		{"stream, upstream lives", "/stream/", false, "", true, first},
		{"plain answer, upstream lives", "/once/", false, "", true, first},
		{"stream, upstream leaves", "/stream/", true, "Leaving: 1\r\n", true, first},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inst := newTestInstance(t, nil, nil)
			inst.setReply(func(conn net.Conn, r *http.Request) {
				if r.Header.Get("Last") != "" {
					closing(rest)(conn, r)
					return
				}
				if c.ends {
					inst.closeListener(conn)
				}
				untilCloseWith(c.head, first)(conn, r)
			})
			inst.ready(t)
			_, body, err := inst.send(t, c.path, "", nil)
			if (err == nil) != c.whole || err == nil && body != c.body {
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

// closeListener makes the upstream that has accepted a connection accept no further ones.
func (inst *testInstance) closeListener(c net.Conn) {
	for _, u := range inst.upstreams {
		if u.listener.Addr().String() == c.LocalAddr().String() {
			_ = u.listener.Close()
		}
	}
}
