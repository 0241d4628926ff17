package http1

import (
	"fmt"
	"io"
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

// TestLateAnswerOfOtherMethod guards against a late answer whose end is looked for with the method of the
// request that waits: its body, or the answer behind it, then counts as something else.
func TestLateAnswerOfOtherMethod(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: second\r\nSigned: own\r\nContent-Length: 3\r\n\r\n"
	forged := "HTTP/1.1 200 OK\r\nId: second\r\nSigned: forged\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, first, second string
		// late is the head of the first answer, which comes again with lateBody behind it.
		late, lateBody string
	}{
		{"HEAD, then POST", http.MethodHead, http.MethodPost, "Content-Length: 40\r\n", ""},
		{"HEAD with chunks, then POST", http.MethodHead, http.MethodPost, "Transfer-Encoding: chunked\r\n", ""},
		{"HEAD, then HEAD", http.MethodHead, http.MethodHead, "Content-Length: 40\r\n", ""},
		{"POST, then HEAD", http.MethodPost, http.MethodHead, "Content-Length: 4\r\n", "late"},
		{"POST, then HEAD, a body like an answer", http.MethodPost, http.MethodHead, fmt.Sprintf("Content-Length: %d\r\n", len(forged)), forged},
		{"POST, then POST", http.MethodPost, http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", len(forged)), forged},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(conn *net.TCPConn, r *http.Request, id string) bool {
				late := "HTTP/1.1 200 OK\r\nId: first\r\nSigned: 1\r\n" + c.late + "\r\n" + c.lateBody
				if id == "first" {
					_, _ = io.WriteString(conn, late)
					return true
				}
				body := "own"
				if r.Method == http.MethodHead {
					body = ""
				}
				_, _ = io.WriteString(conn, late+own+body)
				return true
			})
			client := newClient()
			request := func(id, method string) *Attempt {
				a := attempt(u, id)
				a.Method = method
				if method == http.MethodHead {
					a.Body = nil
				}
				return a
			}
			if body, failure, err := send(t, client, request("first", c.first)); failure != nil || err != nil || body != c.lateBody {
				t.Fatalf("%q, failure %v, error %v", body, failure, err)
			}
			answer, failure := client.Send(t.Context(), request("second", c.second))
			if failure != nil {
				t.Fatalf("%v, arrivals %q", failure, u.seen())
			}
			defer func() { _ = answer.Body.Close() }()
			body, err := io.ReadAll(answer.Body)
			if want := map[string]string{http.MethodPost: "own"}[c.second]; string(body) != want || err != nil || answer.Header.Get("Signed") != "own" {
				t.Errorf("%q, signed %q, error %v", body, answer.Header.Get("Signed"), err)
			}
			if u.seen() != "0/first 0/second" {
				t.Errorf("arrivals %q", u.seen())
			}
		})
	}
}

// TestHeadsOnConnection guards against a connection that remembers requests without end.
func TestHeadsOnConnection(t *testing.T) {
	u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\n", id)
		return true
	})
	client := newClient()
	for n := range 2*maxHeads + 1 {
		a := attempt(u, fmt.Sprint(n))
		a.Method, a.Body = http.MethodHead, nil
		if _, failure, err := send(t, client, a); failure != nil || err != nil {
			t.Fatalf("%d: failure %v, error %v", n, failure, err)
		}
	}
	if dialed := client.DialCount.Load(); dialed != 3 {
		t.Errorf("%d connections for %d requests", dialed, 2*maxHeads+1)
	}
}
