package http1

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
)

// idlePair is an idle connection of a client and its other end.
type idlePair struct {
	conn  *conn
	other net.Conn
}

// TestWatchIdleConns guards against an upstream that ends, and is back before the next request,
// without this instance having noticed; and against taking a connection that the client itself
// closes, or one of several, for the end of the upstream.
func TestWatchIdleConns(t *testing.T) {
	for _, c := range []struct {
		name  string
		conns int
		act   func(client *Client, pairs []idlePair)
		want  bool
	}{
		{"the upstream closes all", 2, func(_ *Client, pairs []idlePair) {
			for _, p := range pairs {
				_ = p.other.Close()
			}
		}, true},
		{"the upstream resets one", 1, func(_ *Client, pairs []idlePair) {
			_ = pairs[0].other.(*net.TCPConn).SetLinger(0)
			_ = pairs[0].other.Close()
		}, true},
		{"one of two is closed", 2, func(_ *Client, pairs []idlePair) { _ = pairs[0].other.Close() }, false},
		{"the client closes", 1, func(client *Client, pairs []idlePair) {
			pairs[0].conn.idleUntil = time.Time{}
			client.CloseExpiredConns()
		}, false},
		{"data arrives", 1, func(_ *Client, pairs []idlePair) { _, _ = pairs[0].other.Write([]byte("x")) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			address := listener.Addr().(*net.TCPAddr).AddrPort()
			client := NewClient(nil, clock.System{}, time.Second)
			ended := make(chan ident.Upstream, 8)
			client.WatchIdleConns(func(id ident.Upstream, _ netip.AddrPort) { ended <- id })
			var pairs []idlePair
			for range c.conns {
				opened, err := client.open(t.Context(), connKey{"i-1", address})
				if err != nil {
					t.Fatal(err)
				}
				other, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				pairs = append(pairs, idlePair{opened, other})
				client.conns.put(opened, time.Minute)
			}
			c.act(client, pairs)
			waited := make(chan struct{})
			go func() {
				time.Sleep(50 * time.Millisecond)
				client.CloseExpiredConns()
				close(waited)
			}()
			select {
			case <-waited:
			case <-time.After(5 * time.Second):
				t.Fatal("a watch locks the idle connections")
			}
			select {
			case <-ended:
				if !c.want {
					t.Error("the upstream is taken to have ended")
				}
			case <-time.After(300 * time.Millisecond):
				if c.want {
					t.Error("the end of the connections isn't noticed")
				}
			}
		})
	}
}

// TestWatchedConnIsReused guards against an idle connection that can't carry a request since it
// is watched.
func TestWatchedConnIsReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client := NewClient(nil, clock.System{}, time.Second)
	client.WatchIdleConns(func(ident.Upstream, netip.AddrPort) {})
	key := connKey{"i-1", listener.Addr().(*net.TCPAddr).AddrPort()}
	opened, err := client.open(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	for range 20 {
		client.conns.put(opened, time.Minute)
		if client.conns.take(key, "r-1") != opened {
			t.Fatal("not reused")
		}
		_, _ = other.Write([]byte("x"))
		b := make([]byte, 1)
		if _, err := opened.Read(b); err != nil || b[0] != 'x' {
			t.Fatalf("read %q, error %v", b, err)
		}
	}
	_ = opened.Close()
}
