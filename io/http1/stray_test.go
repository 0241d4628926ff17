package http1

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
)

func newCarried(requestIDs ...string) *carried {
	var c carried
	for _, id := range requestIDs {
		c.add(id, http.MethodGet)
	}
	return &c
}

// TestAnotherAnswerInBody guards against a body that ends with its connection and holds another answer: that to
// its request once more, or a late one to an earlier request on the connection. A body that holds other texts
// of the kind is whole.
func TestAnotherAnswerInBody(t *testing.T) {
	const body = "first HTTP/1.1 part"
	for name, c := range map[string]struct {
		behind string
		whole  bool
	}{
		"nothing":                           {"", true},
		"its own answer":                    {"HTTP/1.1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"its own answer, a failure":         {"HTTP/1.1 500 Error\r\niD: q\r\nContent-Length: 0\r\n\r\n", false},
		"its own answer, LF alone":          {"HTTP/1.0 200\nId: q\n\nsecond", false},
		"its own answer, cut":               {"HTTP/1.1 200 OK\r\nId: q", false},
		"its own answer, another status":    {"HTTP/1.1 000 Odd\r\nId: q\r\n\r\nsecond", false},
		"its own answer, two ids":           {"HTTP/1.1 200 OK\r\nId: q\r\nId: elsewhere\r\n\r\nsecond", false},
		"its own answer, the other first":   {"HTTP/1.1 200 OK\r\nId: elsewhere\r\nId: q\r\n\r\nsecond", false},
		"its own answer, id as an option":   {"HTTP/1.1 200 OK\r\nConnection: id\r\nId: q\r\n\r\nsecond", false},
		"its own answer, odd behind its id": {"HTTP/1.1 200 OK\r\nId: q\r\nOdd Name: 1\r\n\r\nsecond", false},
		"its own answer, long head":         {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: 1\r\n", 2000) + "Id: q\r\n\r\nsecond", false},
		"its own answer, long field":        {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 9000) + "\r\nId: q\r\n\r\nsecond", false},
		"its own answer, long reason":       {"HTTP/1.1 200 " + strings.Repeat("a", 9000) + "\r\nId: q\r\n\r\nsecond", false},
		"its own answer behind interim":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"its own answer behind another":     {"HTTP/1.1 200 OK\r\nId: elsewhere\r\n\r\nHTTP/1.1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"its own answer behind odd bytes":   {"HTTP/1.1 200 \x01HTTP/1.1 200 OK\r\n\x01: HTTP/1.1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"an earlier answer, cut in its id":  {"HTTP/1.1 200 OK\r\nId: earl", false},
		"an earlier answer":                 {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nId: earlier\r\n\r\nx", false},
		"its own answer behind a text":      {"HTTP/1.1 200 HTTP/1.1 HTTP/1.1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"an answer to a request elsewhere":  {"HTTP/1.1 200 OK\r\nId: elsewhere\r\n\r\n", true},
		"cut in the id of one elsewhere":    {"HTTP/1.1 200 OK\r\nId: elsewhere", true},
		"cut behind a longer id":            {"HTTP/1.1 200 OK\r\nId: earlier-still", true},
		"cut behind an empty id":            {"HTTP/1.1 200 OK\r\nId: ", true},
		"an answer without an id":           {"HTTP/1.1 200 OK\r\nX: q\r\n\r\n", true},
		"a text with its id":                {`HTTP/1.1 200 OK", "request": "q"`, true},
		"a text whose last field is none":   {"HTTP/1.1 200 OK\r\nX: 1\r\nq, Id: q", true},
		"its request":                       {"POST /x HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\nbody", true},
		"lines of a log":                    {"12:00 HTTP/1.1 200 OK\n12:01 q was answered\nanswers:\n1 of q\nId: q\n", true},
		"a quoted answer":                   {"< HTTP/1.1 200 OK\r\n< Id: q\r\n< \r\n", true},
		"its id behind a head":              {"HTTP/1.1 200 OK\r\n\r\nId: q\r\n\r\n", true},
		"its id as another field":           {"HTTP/1.1 200 OK\r\nNot-Run: q\r\n\r\n", true},
		"ends of lines by CR alone":         {"data: HTTP/1.1 200 OK\rId: q\r\r", true},
		"a status of four digits":           {"HTTP/1.1 2000\r\nId: q\r\n\r\n", true},
		"a head that is none":               {"HTTP/1.1 200 OK\r\nOdd Name: 1\r\nId: q\r\n\r\n", true},
		"another version":                   {"HTTP/2.0 200 OK\r\nId: q\r\n\r\n", true},
		"the beginning of a version":        {"HTTP/1", true},
		"a status line":                     {"HTTP/1.1 200 OK\r\n", true},
		"a long head without an end":        {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: 1\r\n", 2000), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
				if id == "earlier" {
					writeText(conn, "HTTP/1.1 200 OK\nId: earlier\nContent-Length: 0\n\n")
					return true
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s%s", id, body, c.behind)
				return false
			})
			client := newClient()
			if _, failure, err := send(t, client, attempt(u, "earlier")); failure != nil || err != nil {
				t.Fatal(failure, err)
			}
			got, failure, err := send(t, client, attempt(u, "q"))
			if failure != nil || u.seen() != "0/earlier 0/q" {
				t.Fatalf("failure %v, arrivals %q", failure, u.seen())
			}
			if wanted := body + c.behind; c.whole && (err != nil || got != wanted) || !c.whole && err == nil {
				t.Errorf("%.100q, error %v", got, err)
			}
			for _, reader := range []io.Reader{
				strings.NewReader(body + c.behind),
				iotest.OneByteReader(strings.NewReader(body + c.behind)),
				iotest.DataErrReader(strings.NewReader(body + c.behind)),
			} {
				filter := &strayFilter{reader: reader, codec: testCodec{}, requests: newCarried("earlier", "q")}
				data, err := io.ReadAll(filter)
				if c.whole && (err != nil || string(data) != body+c.behind) {
					t.Errorf("%.100q, error %v", data, err)
				}
				if !c.whole && (err == nil || !bytes.HasPrefix(data, []byte(body)) || bytes.Contains(data, []byte("second"))) {
					t.Errorf("%.100q, error %v", data, err)
				}
			}
		})
	}
}

// TestAnotherAnswerAfterMany guards against a late answer to a request that the connection has carried long
// before, and against a connection that carries more than it remembers.
func TestAnotherAnswerAfterMany(t *testing.T) {
	for _, requests := range []int{65, maxCarried - 1} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			t.Parallel()
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
				if id == "q" {
					writeText(conn, "HTTP/1.1 200 OK\nId: q\n\nfirst partHTTP/1.1 200 OK\nId: r-0\n\nsecond")
					return false
				}
				writeText(conn, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 0\n\n", id)
				return true
			})
			client := newClient()
			for n := range requests {
				if _, failure, err := send(t, client, attempt(u, fmt.Sprint("r-", n))); failure != nil || err != nil {
					t.Fatal(failure, err)
				}
			}
			if body, failure, err := send(t, client, attempt(u, "q")); failure != nil || err == nil || !strings.HasSuffix(u.seen(), " 0/q") {
				t.Errorf("%q, failure %v, error %v", body, failure, err)
			}
		})
	}
	t.Run("more", func(t *testing.T) {
		t.Parallel()
		u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, id string) bool {
			writeText(conn, "HTTP/1.1 200 OK\nId: %s\nContent-Length: 0\n\n", id)
			return true
		})
		client := newClient()
		for n := range maxCarried + 1 {
			if _, failure, err := send(t, client, attempt(u, fmt.Sprint("r-", n))); failure != nil || err != nil {
				t.Fatal(failure, err)
			}
		}
		if last := fmt.Sprintf("0/r-%d 1/r-%d", maxCarried-1, maxCarried); !strings.HasSuffix(u.seen(), last) {
			t.Errorf("arrivals end with %.100q", u.seen()[max(0, len(u.seen())-100):])
		}
	})
}

// TestSlowTextOfHead guards against a sound body that doesn't come while its upstream pauses behind the text of
// a head, and against another answer that isn't noticed since its upstream pauses inside its head.
func TestSlowTextOfHead(t *testing.T) {
	for name, c := range map[string]struct {
		before, behind string
		whole          bool
	}{
		"status line":         {"asked: HTTP/1.1 200 OK", "\ndone", true},
		"log":                 {"12:00 HTTP/1.1 200 OK\n12:01 HTTP/1.1 200 OK\n", "12:02 done", true},
		"beginning":           {"asked over HTTP/1", ".1", true},
		"event":               {"data: HTTP/1.1 200 OK\r\r", "data: 2\r\r", true},
		"another, in its id":  {"firstHTTP/1.1 200 OK\r\nI", "d: q\r\n\r\nsecond", false},
		"another, by a line":  {"firstHTTP/1.1 200 OK\r\n", "A: 1\r\nId: q\r\n\r\nsecond", false},
		"another, in a field": {"firstHTTP/1.1 200 OK\r\nA: 1", "1\r\nId: q\r\n\r\nsecond", false},
		"another, its start":  {"firstHTTP/1", ".1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"another, its reason": {"firstHTTP/1.1 200 O", "K\r\nId: q\r\n\r\nsecond", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := make(chan bool)
			u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: q\r\n\r\n" + c.before))
				<-got
				_, _ = conn.Write([]byte(c.behind))
				return false
			})
			answer, failure := newClient().Send(t.Context(), attempt(u, "q"))
			if failure != nil {
				t.Fatal(failure)
			}
			defer func() { _ = answer.Body.Close() }()
			before := make([]byte, len(c.before))
			timeout := time.AfterFunc(20*time.Second, func() {
				t.Error("the body is held back")
				close(got)
			})
			if _, err := io.ReadFull(answer.Body, before); err != nil || string(before) != c.before {
				t.Errorf("%q, error %v", before, err)
			}
			if timeout.Stop() {
				close(got)
			}
			behind, err := io.ReadAll(answer.Body)
			if c.whole && (err != nil || string(behind) != c.behind) || !c.whole && (err == nil || strings.Contains(string(behind), "second")) {
				t.Errorf("%q, error %v", behind, err)
			}
		})
	}
}

// TestBodyOfMessages guards against cutting off a body whose type says that it holds messages of HTTP.
func TestBodyOfMessages(t *testing.T) {
	for kind, whole := range map[string]bool{"message/http": true, "Application/HTTP; msgtype=response": true, "text/plain": false, "message/http-like": false} {
		u := startUpstream(t, func(conn *net.TCPConn, _ *http.Request, _ string) bool {
			writeText(conn, "HTTP/1.1 200 OK\nId: q\nContent-Type: %s\n\nHTTP/1.1 200 OK\nId: q\n\n", kind)
			return false
		})
		if _, failure, err := send(t, newClient(), attempt(u, "q")); failure != nil || whole != (err == nil) {
			t.Errorf("%s: failure %v, error %v", kind, failure, err)
		}
	}
}

// piecesReader returns a text in pieces. Before some of them nothing arrives until the deadline.
type piecesReader struct {
	left   string
	random *rand.Rand
	most   int
}

func (r *piecesReader) Read(p []byte) (int, error) {
	if r.left == "" {
		return 0, io.EOF
	}
	if r.random.IntN(8) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, r.left[:min(1+r.random.IntN(r.most), len(r.left))])
	r.left = r.left[n:]
	return n, nil
}

// TestStrayFilterPieces guards against a verdict on a body, or bytes of it, that depend on the pieces in which it
// arrives.
func TestStrayFilterPieces(t *testing.T) {
	t.Parallel()
	parts := []string{"HTTP/1.", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 404\n", "Id: q\r\n", "A: 1\r\n", "HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1", "\r\n", "\r\n", "\n", "\r", "Id: q", "Id: other", "Id: ", "Id: a-long", "Id: a-long-", "-id\r\n", "q", "A: 1", "text", "Odd Name: 1", "\x01", " ", strings.Repeat("x", maxStrayHeadBytes), strings.Repeat("A: 1\r\n", 400)}
	random := rand.New(rand.NewPCG(1, 2))
	found := 0
	for range 3000 {
		var b strings.Builder
		for range 2 + random.IntN(12) {
			b.WriteString(parts[random.IntN(len(parts))])
		}
		text := b.String()
		read := func(r io.Reader) (string, error) {
			deadline := func(time.Time) error { return nil }
			data, err := io.ReadAll(&strayFilter{reader: r, setDeadline: deadline, codec: testCodec{}, requests: newCarried("q", "a-long-id")})
			return string(data), err
		}
		want, wantErr := read(strings.NewReader(text))
		if wantErr != nil {
			found++
		}
		for _, most := range []int{1, 7, 300, 5000} {
			// A deadline that passes while nothing is held back is that of another.
			got, err := read(&piecesReader{left: text, random: random, most: most})
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			if (err == nil) != (wantErr == nil) || err == nil && got != text || !strings.HasPrefix(text, got) {
				t.Fatalf("%.300q in pieces of up to %d: %.30q, error %v; as a whole %.30q, error %v", text, most, got, err, want, wantErr)
			}
		}
	}
	if found < 100 {
		t.Errorf("%d texts with another answer", found)
	}
}
