package source

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// startPlatform starts a platform that answers each call with a text and ends the connection.
func startPlatform(t *testing.T, text string) netip.AddrPort {
	t.Helper()
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestNoAnswerOfPlatform guards against bytes that are no answer and count as a published value, or as
// there being none or no newer one.
func TestNoAnswerOfPlatform(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: 5\r\n\r\nvalue"
	for name, c := range map[string]struct {
		text string
		good bool
	}{
		"sound":                  {sound, true},
		"not found":              {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", true},
		"unchanged":              {"HTTP/1.1 304 Not Modified\r\n\r\n", true},
		"blank in the length":    {"HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length : 5\r\n\r\nvalue and more", false},
		"blank in the coding":    {"HTTP/1.1 200 OK\r\nRevision: 7\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n", false},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nRevision: 7\r\nOdd Name: 1\r\n\r\nvalue", false},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nRevision: 7\r\nOd\x01d: 1\r\n\r\nvalue", false},
		"status 000":             {"HTTP/1.1 000 None\r\nRevision: 7\r\n\r\nvalue", false},
		"status 000, then 200":   {"HTTP/1.1 000 None\r\n\r\n" + sound, false},
		"404 with an odd name":   {"HTTP/1.1 404 Not Found\r\nOdd Name: 1\r\n\r\n", false},
		"304 with an odd name":   {"HTTP/1.1 304 Not Modified\r\nOdd Name: 1\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := NewClient(startPlatform(t, c.text))
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			reply, err := client.Read(ctx, "k", 3, 0)
			found, isFound := reply.(Found)
			if (err == nil) != c.good || isFound && string(found.Value.Body) != "value" {
				t.Errorf("reply %#v, error %v", reply, err)
			}
		})
	}
}

// TestRedirect guards against a value of another address that counts as published.
func TestRedirect(t *testing.T) {
	other := startPlatform(t, "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: 5\r\n\r\n[\"x\"]")
	client := NewClient(startPlatform(t, fmt.Sprintf("HTTP/1.1 302 Found\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", other)))
	defer client.Close()
	if reply, err := client.Read(t.Context(), "table", 0, 0); err == nil {
		t.Errorf("reply %+v", reply)
	}
}
