package http1

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/result"
)

// TestAnswerCutInHead guards against an answer with an empty or short body that looks whole, since its
// upstream stopped in the middle of its head: at each byte, in order or by a reset, on new and on kept
// connections, alone or after an interim answer or a late one to another request.
func TestAnswerCutInHead(t *testing.T) {
	before := map[string]string{
		"alone":                   "",
		"after an interim answer": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
		"after a late answer":     "HTTP/1.1 200 OK\r\nId: earlier\r\nSigned: 1\r\nContent-Length: 4\r\n\r\nlate",
	}
	heads := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: q\r\nContent-Length: 1234\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n",
		"close":  "HTTP/1.1 200 OK\r\nSigned: 1\r\nId: q\r\nContent-Type: text/event-stream\r\n\r\n",
	}
	for when, first := range before {
		for framing, head := range heads {
			t.Run(when+"/"+framing, func(t *testing.T) {
				t.Parallel()
				text := first + head
				for cut := range len(text) {
					for _, end := range []func(*net.TCPConn) bool{closeInOrder, resetLater} {
						checkCutHead(t, text[:cut], end)
					}
				}
			})
		}
	}
}

func closeInOrder(*net.TCPConn) bool { return false }

// resetLater resets a connection once the other end has had time to read.
func resetLater(c *net.TCPConn) bool {
	time.Sleep(2 * time.Millisecond)
	return reset(c)
}

// checkCutHead sends two requests, the second of which gets the first bytes of an answer.
func checkCutHead(t *testing.T, text string, end func(*net.TCPConn) bool) {
	t.Helper()
	u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
		if id == "first" {
			writeText(c, "HTTP/1.1 200 OK\nId: first\nSigned: 1\nContent-Length: 5\n\nwhole")
			return true
		}
		_, _ = fmt.Fprint(c, text)
		return end(c)
	})
	client := newClient()
	if body, failure, err := send(t, client, attempt(u, "first")); body != "whole" || failure != nil || err != nil {
		t.Fatalf("first request: %q, %v, error %v", body, failure, err)
	}
	for _, fresh := range []bool{false, true} {
		a := attempt(u, "q")
		a.NewConnection = fresh
		body, failure, err := send(t, client, a)
		if failure == nil && err == nil {
			t.Errorf("after %q: %q looks whole", text, body)
		}
		if failure != nil && failure.Outcome != result.Unknown {
			t.Errorf("after %q: outcome %s", text, failure.Outcome)
		}
	}
	if runs := strings.Count(u.seen(), "/q"); runs != 2 {
		t.Errorf("%d requests arrived", runs)
	}
}
