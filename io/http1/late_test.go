package http1

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLateCopy guards against a caller who gets another one's answer: an upstream sends each
// answer a second time, at any moment while its connection is idle, waits to be used again, or
// carries the next request already.
func TestLateCopy(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond} {
		for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("copy after %s, next request after %s", delay, pause), func(t *testing.T) {
				t.Parallel()
				u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
					write := func() {
						writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: %d\n\nto %s", id, len("to ")+len(id), id)
					}
					time.Sleep(2 * time.Millisecond)
					write()
					time.AfterFunc(delay, write)
					return true
				})
				client := newClient()
				answered := 0
				for n := range 20 {
					id := fmt.Sprintf("r%d", n)
					body, failure, err := send(t, client, attempt(u, id))
					if failure == nil && err == nil {
						answered++
						if body != "to "+id {
							t.Errorf("%s was answered %q", id, body)
						}
					}
					if failure != nil && failure.Reason.String() != "answer-cut" && failure.Reason.String() != "answer-mismatch" {
						t.Errorf("%s: %v", id, failure)
					}
					time.Sleep(pause)
				}
				if answered == 0 {
					t.Error("nothing was answered")
				}
			})
		}
	}
}
