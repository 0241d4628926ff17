package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// untilClose returns a reply that sends a signed answer with neither a length nor chunks,
// which ends with its connection; with reset it ends with a reset.
func untilClose(reset bool, body string) reply {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\n%s", r.Header.Get("Id"), body)
		if reset {
			// The peer must have read the body, or the reset discards it.
			waitUntilRead()
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// firstThen returns a reply that uses first for a request that resumes nothing, and rest
// for one that does.
func firstThen(first, rest reply) reply {
	return func(c net.Conn, r *http.Request) {
		if r.Header.Get("Last") == "" {
			first(c, r)
			return
		}
		rest(c, r)
	}
}

// TestStreamEndedInsideEvent guards against a stream whose upstream broke off reaching its
// caller as if it were whole: the end of a connection, or a last chunk, inside an event.
func TestStreamEndedInsideEvent(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	cases := []struct {
		name string
		do   reply
	}{
		{"in a line", untilClose(false, first+"id: 2\nda")},
		{"before the blank line", untilClose(false, first+"id: 2\ndata: b\n")},
		{"with CRLF", untilClose(false, first+"id: 2\r\ndata: b\r\n")},
		{"reset between events", untilClose(true, first)},
		{"last chunk in an event", chunked(false, first, "id: 2\nda")},
	}
	rest := untilClose(false, "id: 2\ndata: b\n\n")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inst := newTestInstance(t, firstThen(c.do, rest), firstThen(c.do, rest)).ready(t)
			_, body, err := inst.send(t, "/resume/", "", nil)
			if want := first + "id: 2\ndata: b\n\n"; err != nil || body != want {
				t.Errorf("resumable: %q, error %v", body, err)
			}
			if _, body, err := inst.send(t, "/stream/", "", nil); err == nil {
				t.Errorf("not resumable: %q without an error", body)
			}
		})
	}
	t.Run("before the first event", func(t *testing.T) {
		inst := newTestInstance(t, untilClose(false, ""), untilClose(false, "")).ready(t)
		if response, body, err := inst.send(t, "/stream/", "", nil); err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("%q without an error", body)
		}
	})
}

// TestUnprovedEnd guards against an answer that may have been cut off, since it ends with
// its connection, reaching its caller with a length or a last chunk.
func TestUnprovedEnd(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			inst := newTestInstance(t, untilClose(false, events), untilClose(false, events)).ready(t)
			response, body, err := inst.send(t, path, "", nil)
			if err != nil || body != events {
				t.Fatalf("%q, error %v", body, err)
			}
			if !response.Close || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
				t.Errorf("length %d, transfer encoding %q", response.ContentLength, response.TransferEncoding)
			}
		})
		t.Run(path+" reset", func(t *testing.T) {
			inst := newTestInstance(t, untilClose(true, events), untilClose(true, events)).ready(t)
			if response, body, err := inst.send(t, path, "", nil); err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("%q without an error", body)
			}
		})
	}
}

// waitUntilRead waits until the peer has had time to read what was sent.
func waitUntilRead() {
	time.Sleep(50 * time.Millisecond)
}
