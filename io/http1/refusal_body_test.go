package http1

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"arbutustrestle/core/result"
)

// TestRefusalWithoutBody guards against a request that its upstream refuses, and that waits for the body of
// the refusal until its deadline in place of going elsewhere: the head alone states that nothing ran.
func TestRefusalWithoutBody(t *testing.T) {
	for name, rest := range map[string]string{
		"length":   "Content-Length: 100\n\n",
		"one byte": "Content-Length: 100\n\nx",
		"chunks":   "Transfer-Encoding: chunked\n\n",
		"to close": "\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
				if id == "next" {
					writeText(c, "HTTP/1.1 200 OK\nId: next\nContent-Length: 0\n\n")
					return true
				}
				writeText(c, fmt.Sprintf("HTTP/1.1 503 Full\nId: %s\nNot-Run: 1\n", id)+rest)
				return true
			})
			client := newClient()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			done := make(chan *result.Failure, 1)
			go func() {
				_, failure := client.Send(ctx, attempt(u, "q"))
				done <- failure
			}()
			select {
			case failure := <-done:
				if failure == nil || failure.Outcome != result.NotRun || failure.Reason != result.UpstreamRefused {
					t.Errorf("failure %v", failure)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the refusal waits for its body")
			}
			if _, failure, err := send(t, client, attempt(u, "next")); failure != nil || err != nil || u.seen() != "0/q 1/next" {
				t.Errorf("arrivals %q, failure %v, error %v", u.seen(), failure, err)
			}
		})
	}
}
