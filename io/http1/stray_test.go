package http1

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestAnotherAnswerInBody guards against a body that ends with its connection and holds another answer: that to
// its request once more, or a late one to an earlier request on the connection. A body that holds other texts
// of the kind is whole.
func TestAnotherAnswerInBody(t *testing.T) {
	const body = "first HTTP/1.1 part"
	for name, c := range map[string]struct {
		behind string
		whole  bool
	}{
		"nothing":                          {"", true},
		"its own answer":                   {"HTTP/1.1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"its own answer, a failure":        {"HTTP/1.1 500 Error\r\niD: q\r\nContent-Length: 0\r\n\r\n", false},
		"its own answer, LF alone":         {"HTTP/1.0 200\nId: q\n\nsecond", false},
		"its own answer, cut":              {"HTTP/1.1 200 OK\r\nId: q", false},
		"an earlier answer":                {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nId: earlier\r\n\r\nx", false},
		"its own answer behind a text":     {"HTTP/1.1 200 HTTP/1.1 HTTP/1.1 200 OK\r\nId: q\r\n\r\nsecond", false},
		"an answer to a request elsewhere": {"HTTP/1.1 200 OK\r\nId: elsewhere\r\n\r\n", true},
		"an answer without an id":          {"HTTP/1.1 200 OK\r\nX: q\r\n\r\n", true},
		"a head that is none":              {"HTTP/1.1 200 OK\r\nOdd Name: 1\r\nId: q\r\n\r\n", true},
		"another version":                  {"HTTP/2.0 200 OK\r\nId: q\r\n\r\n", true},
		"the beginning of a version":       {"HTTP/1", true},
		"a status line":                    {"HTTP/1.1 200 OK\r\n", true},
		"a long head without an end":       {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: 1\r\n", 2000), true},
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
				filter := &strayFilter{reader: reader, codec: testCodec{}, ids: []string{"earlier", "q"}}
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
