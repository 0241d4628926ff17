package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/result"
)

// writeEndless writes a text again and again until the connection is closed. It pauses in
// between, so that a reader without a bound doesn't exhaust the memory.
func writeEndless(c net.Conn, text string) {
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	for {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestEndlessAnswer guards against an upstream whose bytes are no answer and never end:
// the attempt ends, long before its deadline, with a connection that is closed.
func TestEndlessAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	cases := []struct {
		name, start, rest string
	}{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no status line", "", "\x00\x01\x02"},
		{"name of a header", head, "x"},
		{"value of a header", head + "X: ", "y"},
		{"headers", head, "X: y\r\n"},
		{"continued header", head + "X: y\r\n", " z\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", "y"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		{"late answers to other requests", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nz"},
		{"late answer in chunks without end", "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n"},
		{"late answer without end", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 99999999999\r\n\r\n", "z"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
				defer close(closed)
				_, _ = fmt.Fprint(conn, c.start)
				writeEndless(conn, c.rest)
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			answer, failure := newClient().Send(ctx, attempt(u, "1"))
			var err error
			if failure == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			} else if failure.Outcome != result.Unknown {
				t.Errorf("outcome %s", failure.Outcome)
			}
			if failure == nil && err == nil || ctx.Err() != nil {
				t.Fatalf("failure %v, error %v, context %v", failure, err, ctx.Err())
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

// copyBytes is the size of the buffer of io.Copy.
const copyBytes = 32 << 10

// TestEndlessBody guards against an answer whose body exceeds any that is passed on, with
// the length named, in chunks, or with neither.
func TestEndlessBody(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))
	for name, c := range map[string]struct{ head, rest string }{
		"length": {fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(1)<<40), strings.Repeat("x", 1<<20)},
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n", chunk},
		"close":  {"\r\n", strings.Repeat("x", 1<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", id, c.head)
				for {
					if _, err := io.WriteString(conn, c.rest); err != nil {
						return false
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			answer, failure := newClient().Send(ctx, attempt(u, "1"))
			if failure != nil {
				t.Fatal(failure)
			}
			n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, 2*maxBodyBytes))
			_ = answer.Body.Close()
			if !errors.Is(err, ErrTooLarge) || n > maxBodyBytes+copyBytes {
				t.Errorf("%d bytes, error %v", n, err)
			}
		})
	}
}

// TestLongLateAnswer guards against cutting off the answer to a request since a long late answer to an
// earlier one comes before it.
func TestLongLateAnswer(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("z", 1<<10))
	for name, late := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxLateBytes, strings.Repeat("z", maxLateBytes)),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, maxLateBytes/len(chunk)-1) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 0\r\n%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nown", late, id)
				return true
			})
			if body, failure, err := send(t, newClient(), attempt(u, "1")); failure != nil || err != nil || body != "own" {
				t.Errorf("%.100q, failure %v, error %v", body, failure, err)
			}
		})
	}
}
