package http1

import (
	"net"
	"testing"
	"time"
)

// TestKeepsConnection guards against an upstream that has ended passing for one that lives: its
// kernel closes the connections of the process first, and takes new ones until the listener is closed.
func TestKeepsConnection(t *testing.T) {
	for _, c := range []struct {
		name       string
		closeAfter time.Duration
		keeps      bool
	}{
		{"lives", time.Hour, true},
		{"listener closed", 0, false},
		{"listener closed a little later", 5 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			if c.closeAfter == 0 {
				_ = listener.Close()
			}
			closing := time.AfterFunc(c.closeAfter, func() { _ = listener.Close() })
			defer closing.Stop()
			keeps := newClient().KeepsConnection(t.Context(), "u-1", listener.Addr().(*net.TCPAddr).AddrPort())
			if keeps != c.keeps {
				t.Errorf("keeps a connection: %v", keeps)
			}
		})
	}
}
