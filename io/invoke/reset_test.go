package invoke_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/io/invoke"
)

// startResettingUpstream starts an upstream that answers each request as soon as it has read its head,
// with neither a length nor chunks, sends a part of the body and resets the connection.
func startResettingUpstream(t *testing.T, answer string, wait time.Duration) netip.AddrPort {
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
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, answer)
				}
				time.Sleep(wait)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestResetTakenForEnd guards against a reset that counts as the end of a plain answer with neither a
// length nor chunks, since the write of the request got its error.
func TestResetTakenForEnd(t *testing.T) {
	const (
		id     = "0123456789abcdef0123456789abcdef"
		rounds = 20
	)
	answer := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n\r\npart"
	for _, c := range []struct {
		name string
		body int
		wait time.Duration
	}{
		{"short body", 100, 0},
		{"short body, late reset", 100, 20 * time.Millisecond},
		{"long body", 16 << 20, 0},
		{"long body, late reset", 16 << 20, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := startResettingUpstream(t, answer, c.wait)
			client := invoke.NewClient(5*time.Second, 5*time.Second, 0)
			defer client.Close()
			whole := 0
			for range rounds {
				s := &sink{}
				a := &invoke.Attempt{RequestID: id, Upstream: "u-1", Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, c.body)}
				if _, failure := client.Do(t.Context(), a, s); failure == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset are whole", whole, rounds)
			}
		})
	}
}
