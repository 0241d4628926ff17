package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/result"
	"arbutustrestle/io/syntax"
)

// testCodec uses header names specific to these tests.
type testCodec struct{}

func (testCodec) RequestHeader(a *Attempt) http.Header {
	return http.Header{"Id": {a.RequestID}, "Wants": {string(a.Upstream)}}
}

func (testCodec) ParseResponse(status int, h http.Header) AnswerMeta {
	return AnswerMeta{
		RequestID: syntax.Single(h, "Id"),
		NotRun:    h.Get("Not-Run") != "",
		Replaced:  status == http.StatusMisdirectedRequest,
		Signed:    h.Get("Signed") != "",
	}
}

// upstream handles each request of each connection with a function that the test sets.
type upstream struct {
	address netip.AddrPort

	mu sync.Mutex
	// connections counts the connections on which a request has arrived.
	connections int
	// arrivals holds "CONNECTION/ID" of each request.
	arrivals []string
}

// startUpstream accepts connections. It calls serve for each request; serve returns
// false to close the connection.
func startUpstream(t *testing.T, serve func(c *net.TCPConn, r *http.Request, id string) bool) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn), serve)
		}
	}()
	return u
}

func (u *upstream) serve(c *net.TCPConn, serve func(*net.TCPConn, *http.Request, string) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	n := -1
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Id")
		u.mu.Lock()
		if n < 0 {
			n = u.connections
			u.connections++
		}
		u.arrivals = append(u.arrivals, fmt.Sprintf("%d/%s", n, id))
		u.mu.Unlock()
		if !serve(c, r, id) {
			return
		}
	}
}

func (u *upstream) seen() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return strings.Join(u.arrivals, " ")
}

func writeText(c net.Conn, format string, args ...any) {
	_, _ = fmt.Fprintf(c, strings.ReplaceAll(format, "\n", "\r\n"), args...)
}

func reset(c *net.TCPConn) bool {
	_ = c.SetLinger(0)
	return false
}

func newClient() *Client {
	return NewClient(testCodec{}, clock.System{}, time.Second)
}

func attempt(u *upstream, id string) *Attempt {
	return &Attempt{RequestID: id, Upstream: "u-1", Address: u.address, Method: http.MethodPost, Target: "/x?y=%2F", Host: "h", Body: []byte("body")}
}

// send makes one attempt and reads the answer to its end.
func send(t *testing.T, c *Client, a *Attempt) (string, *result.Failure, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, failure := c.Send(ctx, a)
	if failure != nil {
		return "", failure, nil
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return string(body), nil, err
}

// TestAnswers checks the result of an answer for its request, for the body that is read,
// and for the reuse of the connection.
func TestAnswers(t *testing.T) {
	cases := []struct {
		name  string
		serve func(c *net.TCPConn, r *http.Request, id string) bool
		// body, cut, outcome and reason describe the first answer; next is the
		// connection that the second request arrives on.
		body    string
		cut     bool
		outcome result.Outcome
		reason  result.Reason
		next    string
	}{
		{name: "whole", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 2\n\nab", id)
			return true
		}, body: "ab", next: "0/2"},
		{name: "chunked", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\nTransfer-Encoding: chunked\n\n2\nab\n0\n\n", id)
			return true
		}, body: "ab", next: "0/2"},
		{name: "data after the answer", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 2\n\nabHTTP/1.1 200 OK\nId: 2\nContent-Length: 1\n\nz", id)
			return true
		}, body: "ab", next: "1/2"},
		{name: "late answer to another request first", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: 0\nContent-Length: 1\n\nzHTTP/1.1 200 OK\nId: %s\nContent-Length: 2\n\nab", id)
			return true
		}, body: "ab", next: "1/2"},
		{name: "answer without an id", serve: func(c *net.TCPConn, _ *http.Request, _ string) bool {
			writeText(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nab")
			return true
		}, outcome: result.Unknown, reason: result.AnswerMismatch, next: "1/2"},
		{name: "invalid HTTP", serve: func(c *net.TCPConn, _ *http.Request, _ string) bool {
			writeText(c, "\x00\x01 what\n\n")
			return false
		}, outcome: result.Unknown, reason: result.AnswerMismatch, next: "1/2"},
		{name: "closed without an answer", serve: func(*net.TCPConn, *http.Request, string) bool { return false },
			outcome: result.Unknown, reason: result.AnswerCut, next: "1/2"},
		{name: "reset without an answer", serve: func(c *net.TCPConn, _ *http.Request, _ string) bool { return reset(c) },
			outcome: result.Unknown, reason: result.AnswerCut, next: "1/2"},
		{name: "cut in the body", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 9\n\nab", id)
			return false
		}, body: "ab", cut: true, next: "1/2"},
		{name: "cut between chunks", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\nTransfer-Encoding: chunked\n\n2\nab\n", id)
			return false
		}, body: "ab", cut: true, next: "1/2"},
		{name: "no length, closed", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\n\nab", id)
			return false
		}, body: "ab", next: "1/2"},
		{name: "no length, reset", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\n\nab", id)
			time.Sleep(50 * time.Millisecond)
			return reset(c)
		}, body: "ab", cut: true, next: "1/2"},
		{name: "connection to be closed", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\nConnection: close\nContent-Length: 2\n\nab", id)
			return true
		}, body: "ab", next: "1/2"},
		{name: "keep-alive timeout of zero", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 200 OK\nId: %s\nKeep-Alive: timeout=0\nContent-Length: 2\n\nab", id)
			return true
		}, body: "ab", next: "1/2"},
		{name: "shed", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 503 Full\nId: %s\nNot-Run: 1\nContent-Length: 2\n\nab", id)
			return true
		}, outcome: result.NotRun, reason: result.UpstreamRefused, next: "0/2"},
		{name: "address taken over by another upstream", serve: func(c *net.TCPConn, _ *http.Request, id string) bool {
			writeText(c, "HTTP/1.1 421 Misdirected\nId: %s\nContent-Length: 0\n\n", id)
			return true
		}, outcome: result.NotRun, reason: result.UpstreamLeaving, next: "0/2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := startUpstream(t, func(conn *net.TCPConn, r *http.Request, id string) bool {
				if id == "2" {
					writeText(conn, "HTTP/1.1 200 OK\nId: 2\nContent-Length: 0\n\n")
					return true
				}
				return c.serve(conn, r, id)
			})
			client := newClient()
			body, failure, err := send(t, client, attempt(u, "1"))
			switch {
			case failure == nil && c.reason != result.ReasonNone:
				t.Fatalf("answered %q", body)
			case failure != nil && (failure.Outcome != c.outcome || failure.Reason != c.reason):
				t.Fatalf("failure %v", failure)
			case body != c.body || (err != nil) != c.cut:
				t.Fatalf("read %q, error %v", body, err)
			}
			if body, failure, err := send(t, client, attempt(u, "2")); body != "" || failure != nil || err != nil {
				t.Fatalf("second: %q, %v, %v", body, failure, err)
			}
			if want := "0/1 " + c.next; u.seen() != want {
				t.Fatalf("arrivals %q, want %q", u.seen(), want)
			}
		})
	}
}

// TestRequestBytes checks that the request arrives unchanged and exactly once.
func TestRequestBytes(t *testing.T) {
	got := make(chan string, 1)
	u := startUpstream(t, func(c *net.TCPConn, r *http.Request, id string) bool {
		body, _ := io.ReadAll(r.Body)
		got <- fmt.Sprintf("%s %s %s %s %s", r.Method, r.RequestURI, r.Host, r.Header.Get("Wants"), body)
		writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 0\n\n", id)
		return true
	})
	if _, failure, err := send(t, newClient(), attempt(u, "1")); failure != nil || err != nil {
		t.Fatal(failure, err)
	}
	if want := "POST /x?y=%2F h u-1 body"; <-got != want {
		t.Fatalf("want %q", want)
	}
}

// TestEarlyAnswer checks that a connection isn't reused if the upstream answered before
// it had read a long body: it may still be reading.
func TestEarlyAnswer(t *testing.T) {
	u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
		writeText(c, "HTTP/1.1 413 Long\nId: %s\nContent-Length: 2\n\nab", id)
		time.Sleep(200 * time.Millisecond)
		return id != "1"
	})
	client := newClient()
	long := attempt(u, "1")
	long.Body = make([]byte, 8<<20)
	if body, failure, err := send(t, client, long); body != "ab" || failure != nil || err != nil {
		t.Fatalf("%q, %v, %v", body, failure, err)
	}
	if _, failure, _ := send(t, client, attempt(u, "2")); failure != nil {
		t.Fatal(failure)
	}
	if u.seen() != "0/1 1/2" {
		t.Fatalf("arrivals %q", u.seen())
	}
}

// TestIdleConnection checks that a connection isn't reused if it was closed or received
// data while it was idle.
func TestIdleConnection(t *testing.T) {
	for _, name := range []string{"closed", "reset", "unexpected data"} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
				writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 0\n\n", id)
				if id != "1" {
					return true
				}
				time.Sleep(20 * time.Millisecond)
				switch name {
				case "reset":
					return reset(c)
				case "unexpected data":
					writeText(c, "HTTP/1.1 200 OK\nId: 2\nContent-Length: 1\n\nz")
					return true
				}
				return false
			})
			client := newClient()
			if _, failure, _ := send(t, client, attempt(u, "1")); failure != nil {
				t.Fatal(failure)
			}
			time.Sleep(100 * time.Millisecond)
			if body, failure, err := send(t, client, attempt(u, "2")); body != "" || failure != nil || err != nil {
				t.Fatalf("%q, %v, %v", body, failure, err)
			}
			if u.seen() != "0/1 1/2" {
				t.Fatalf("arrivals %q", u.seen())
			}
		})
	}
}

// TestConnectionRefused checks that a request counts as not run if no process listens at
// the address.
func TestConnectionRefused(t *testing.T) {
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	u := &upstream{address: l.Addr().(*net.TCPAddr).AddrPort()}
	_ = l.Close()
	_, failure, _ := send(t, newClient(), attempt(u, "1"))
	if failure == nil || failure.Outcome != result.NotRun || failure.Reason != result.ConnectFailed {
		t.Fatalf("failure %v", failure)
	}
}

// TestAdmit checks that a request which isn't admitted once its connection is open counts
// as not run, that nothing of it is sent, and that the connection is kept.
func TestAdmit(t *testing.T) {
	u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
		writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 0\n\n", id)
		return true
	})
	client := newClient()
	refused := attempt(u, "1")
	refused.Admit = func() bool { return false }
	_, failure, _ := send(t, client, refused)
	if failure == nil || failure.Outcome != result.NotRun || failure.Reason != result.UpstreamChanged {
		t.Fatalf("failure %v", failure)
	}
	admitted := attempt(u, "2")
	admitted.Admit = func() bool { return true }
	if _, failure, err := send(t, client, admitted); failure != nil || err != nil {
		t.Fatal(failure, err)
	}
	if u.seen() != "0/2" || client.DialCount.Load() != 1 {
		t.Fatalf("arrivals %q, %d dials", u.seen(), client.DialCount.Load())
	}
}

// TestCancel checks that cancelling a request closes the connection to the upstream at
// once, both before and during the answer.
func TestCancel(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprintf("begun %v", begun), func(t *testing.T) {
			gone := make(chan time.Time, 1)
			u := startUpstream(t, func(c *net.TCPConn, _ *http.Request, id string) bool {
				if begun {
					writeText(c, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 9\n\nab", id)
				}
				_, _ = c.Read(make([]byte, 1))
				gone <- time.Now()
				return false
			})
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			answer, failure := newClient().Send(ctx, attempt(u, "1"))
			if failure == nil {
				_, err := io.ReadAll(answer.Body)
				if err == nil || errors.Is(err, io.EOF) {
					t.Fatalf("error %v", err)
				}
				_ = answer.Body.Close()
			} else if failure.Outcome != result.Unknown || failure.Reason != result.CallerGone {
				t.Fatalf("failure %v", failure)
			}
			select {
			case <-gone:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}
