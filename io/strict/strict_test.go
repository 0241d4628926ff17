package strict_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutustrestle/io/strict"
)

// strictServer answers as the servers of callers do, and records the paths that ran.
type strictServer struct {
	address string
	mu      sync.Mutex
	ran     []string
}

func startServer(t *testing.T) *strictServer {
	t.Helper()
	s := &strictServer{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch strict.Check(r) {
		case strict.Clear:
		case strict.Unknown:
			w.Header().Set("Connection", "close")
		case strict.Ambiguous:
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.ran = append(s.ran, r.URL.Path)
		s.mu.Unlock()
	}))
	server.Listener = strict.Listener{Listener: server.Listener}
	server.Config.ConnState = strict.ConnState
	server.Config.ConnContext = strict.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// send writes parts, with a pause between two of them, and returns the statuses of all answers.
func (s *strictServer) send(t *testing.T, parts ...string) (statuses, ran string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for i, part := range parts {
		if i > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(conn, part)
	}
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses += fmt.Sprintf("%d ", response.StatusCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.TrimSpace(statuses), strings.Join(s.ran, " ")
}

// TestRequestWithinRequest guards against a part of a body running as a request of its own: whatever a
// head says of where its body ends, no request runs that its sender didn't mean as one.
func TestRequestWithinRequest(t *testing.T) {
	const inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	const body = "0\r\n\r\n" + inner
	head := func(lines string) string { return "POST /outer HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n" }
	both := fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body))
	chunkedOuter := head("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n"
	cases := []struct {
		name     string
		parts    []string
		statuses string
		ran      string
	}{
		{"length and chunks", []string{head(both) + body}, "400", ""},
		{"chunks and length", []string{head(fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(body))) + body}, "400", ""},
		{"other case", []string{head(fmt.Sprintf("content-LENGTH: %d\r\ntransfer-encoding: Chunked\r\n", len(body))) + body}, "400", ""},
		{"folded chunks", []string{head(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding:\r\n chunked\r\n", len(body))) + body}, "400", ""},
		{"folded length", []string{head(fmt.Sprintf("Content-Length:\r\n %d\r\nTransfer-Encoding: chunked\r\n", len(body))) + body}, "400", ""},
		{"bare line ends", []string{strings.ReplaceAll(head(both), "\r\n", "\n") + body}, "400", ""},
		{"blank lines before", []string{"\r\n" + head(both) + body}, "400", ""},
		{"in many parts", strings.SplitAfter(head(both)+body, "e"), "400", ""},
		{"two lengths", []string{head(fmt.Sprintf("Content-Length: 5\r\nContent-Length: %d\r\n", len(body))) + body}, "400", ""},
		{"space before the colon", []string{head(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding : chunked\r\n", len(body))) + body}, "400", ""},
		{"another coding", []string{head(fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: x, chunked\r\n", len(body))) + body}, "501", ""},
		{"length only", []string{head(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body}, "200", "/outer"},
		{"chunks only", []string{chunkedOuter}, "200", "/outer"},
		{"chunks twice", []string{chunkedOuter, chunkedOuter}, "200 200", "/outer /outer"},
		{"after a request with a length", []string{head("Content-Length: 1\r\n") + "x", head(both) + body}, "200 400", "/outer"},
		{"after one with chunks", []string{chunkedOuter, head(both) + body}, "200 400", "/outer"},
		{"sent with the one before", []string{chunkedOuter + head(both) + body}, "200 200", "/outer /outer"},
		{"half of the head sent with the one before", []string{chunkedOuter + head(both)[:50], head(both)[50:] + body}, "200 200", "/outer /outer"},
		{"half of the head after a length", []string{head("Content-Length: 1\r\n") + "x" + head(both)[:60], head(both)[60:] + body}, "200 200", "/outer /outer"},
		{"after one sent early", []string{chunkedOuter + chunkedOuter, head(both) + body}, "200 200", "/outer /outer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			statuses, ran := startServer(t).send(t, c.parts...)
			if strings.Contains(ran, "inner") || statuses != c.statuses || ran != c.ran {
				t.Errorf("statuses %q, ran %q", statuses, ran)
			}
		})
	}
}
