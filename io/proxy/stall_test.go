package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestSlowReader guards against a sound stream that is cut, and sent again elsewhere, because its
// caller reads slowly: the upstream isn't stalled while the gateway doesn't read.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	const events = 600
	data := strings.Repeat("x", 60<<10)
	do := func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nConnection: close\r\n\r\n", r.Header.Get("Id"))
		for n := range events {
			_, _ = fmt.Fprintf(c, "id: %d\ndata: %s\n\n", n+1, data)
		}
	}
	inst := newTestInstance(t, do, do).ready(t)
	c, err := net.Dial("tcp", inst.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /resume-long/ HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(minStallTimeout + time.Second)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if got := strings.Count(string(body), "id: "); err != nil || got != events || inst.arrivals() != 1 {
		t.Errorf("%d events, error %v, %d sends", got, err, inst.arrivals())
	}
}
