package source

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestLateReply guards against a reply that comes late and once more on its connection, and counts as that to
// the next read: replies carry no key.
func TestLateReply(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveTwice(c)
		}
	}()
	client := NewClient(listener.Addr().(*net.TCPAddr).AddrPort())
	defer client.Close()
	for n := range 10 {
		key := fmt.Sprintf("key-%d", n)
		reply, err := client.Read(t.Context(), key, 0, 0)
		if found, ok := reply.(Found); err != nil || !ok || string(found.Value.Body) != "/v1/values/"+key {
			t.Errorf("%s: reply %+v, error %v", key, reply, err)
		}
	}
}

// serveTwice answers each call with its path, and sends each answer once more before the next.
func serveTwice(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for before := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		_, _ = io.WriteString(c, before+text)
		if r.Close {
			return
		}
		before = text
	}
}
