package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
)

// noAnswers are bytes that are no answer to the request ID, in which a lenient reader finds one, with a body
// of LENGTH bytes, SIZE in hexadecimal.
var noAnswers = map[string]string{
	"status 000":             "HTTP/1.1 000 None\r\nId: ID\r\nSigned: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"status 000, then 200":   "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"status 099, then 200":   "HTTP/1.1 099 Low\r\nId: ID\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"status 600":             "HTTP/1.1 600 High\r\nId: ID\r\nSigned: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"version 0.0":            "HTTP/0.0 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"blank in the length":    "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length : LENGTH\r\n\r\nBODY and more",
	"blank in the coding":    "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nTransfer-Encoding : chunked\r\n\r\nSIZE\r\nBODY\r\n0\r\n\r\n",
	"blank in a name":        "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nOdd Name: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"control byte in a name": "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nOd\x01d: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"continued line":         "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nOdd: 1\r\n Content-Length: LENGTH\r\n\r\nBODY and more",
	"another id behind":      "HTTP/1.1 200 OK\r\nId: ID\r\nId: 0\r\nSigned: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"another id before":      "HTTP/1.1 200 OK\r\nId: 0\r\nId: ID\r\nSigned: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"not run, another id":    "HTTP/1.1 503 Full\r\nId: ID\r\nId: 0\r\nNot-Run: 1\r\nContent-Length: LENGTH\r\n\r\nBODY",
	"length and chunks":      "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nSIZE\r\nBODY\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":     "HTTP/1.0 200 OK\r\nId: ID\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\nSIZE\r\nBODY\r\n0\r\n\r\n",
}

// wrongEvent is the body of noAnswers, as a stream.
const wrongEvent = "id: 1\ndata: wrong\n\n"

// noAnswer returns a reply that sends bytes that are no answer and ends the connection.
func noAnswer(text string) reply {
	return func(c net.Conn, r *http.Request) {
		values := strings.NewReplacer("BODY", wrongEvent, "LENGTH", strconv.Itoa(len(wrongEvent)), "SIZE", strconv.FormatInt(int64(len(wrongEvent)), 16), "ID", r.Header.Get("Id"))
		_, _ = values.WriteString(c, text)
	}
}

// TestNoAnswer guards against bytes that break the grammar of an answer and reach the caller as one,
// whatever the route, and against another attempt of a request that may run once.
func TestNoAnswer(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	for path, repeatable := range map[string]bool{"/once/": false, "/safe/": true, "/stream/": false, "/resume/": true} {
		for name, text := range noAnswers {
			t.Run(path+" "+name, func(t *testing.T) {
				t.Parallel()
				bad := noAnswer(text)
				inst := newTestInstance(t, bad, bad).ready(t)
				response, body, err := inst.send(t, path, "", nil)
				if err != nil || response.StatusCode != http.StatusBadGateway || strings.Contains(body, "wrong") || response.Header.Get("Signed") != "" {
					t.Errorf("response %v, body %q, error %v", response, body, err)
				}
				if want := map[bool]int{false: 1, true: 2}[repeatable]; inst.arrivals() != want {
					t.Errorf("%d arrivals, want %d", inst.arrivals(), want)
				}
				if !repeatable {
					return
				}
				var arrived atomic.Int64
				do := func(c net.Conn, r *http.Request) {
					if arrived.Add(1) == 1 {
						bad(c, r)
						return
					}
					closing(events)(c, r)
				}
				inst = newTestInstance(t, do, do).ready(t)
				response, body, err = inst.send(t, path, "", nil)
				if err != nil || response.StatusCode != http.StatusOK || body != events || arrived.Load() != 2 {
					t.Errorf("%d arrivals, response %v, body %q, error %v", arrived.Load(), response, body, err)
				}
			})
		}
	}
}

// TestRelayedNoAnswer guards against bytes that break the grammar of an answer and reach a caller in
// another region as one.
func TestRelayedNoAnswer(t *testing.T) {
	for target, kind := range map[string]spec.RequestKind{"/stream/": spec.Stream, "/once/": spec.Unsafe, "/safe/": spec.Safe} {
		for name, text := range noAnswers {
			t.Run(target+" "+name, func(t *testing.T) {
				t.Parallel()
				bad := noAnswer(text)
				inst := newTestInstance(t, bad, bad).ready(t)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				answer, failure := sendRelayed(ctx, t, inst, target, kind)
				if failure == nil {
					body, err := io.ReadAll(answer.Body)
					_ = answer.Body.Close()
					t.Fatalf("status %d, %q, error %v", answer.Status, body, err)
				}
				if failure.Outcome != result.Unknown || failure.Reason != result.AnswerMismatch || inst.arrivals() != 1 {
					t.Errorf("%s, %s, %d arrivals", failure.Outcome, failure.Reason, inst.arrivals())
				}
			})
		}
	}
}

// TestRelayedObsText guards against refusing an answer to a caller in another region for a value that isn't
// UTF-8, which the grammar allows.
func TestRelayedObsText(t *testing.T) {
	do := answer("200 OK\r\nSigned: 1\r\nX: a\tb\xe9\xff", "fine")
	inst := newTestInstance(t, do, do).ready(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, failure := sendRelayed(ctx, t, inst, "/once/", spec.Unsafe)
	if failure != nil {
		t.Fatal(failure)
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if string(body) != "fine" || answer.Header.Get("X") != "a\tb\xe9\xff" || err != nil {
		t.Errorf("X %q, %q, error %v", answer.Header.Get("X"), body, err)
	}
}
