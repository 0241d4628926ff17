package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// slowPeer acts as the server of a link that accepts a number of streams and is then too busy for
// more. It sends a frame on each of them every 100 ms.
func slowPeer(conn net.Conn, streams int) {
	mux, err := yamux.Server(conn, quietConfig())
	if err != nil {
		return
	}
	first, err := mux.Accept()
	if err != nil {
		return
	}
	_, _ = protodelim.MarshalTo(first, &wire.Hello{Protocol: 1, Incarnation: remote.String()})
	for range streams {
		stream, err := mux.Accept()
		if err != nil {
			return
		}
		go func() {
			for {
				if _, err := protodelim.MarshalTo(stream, &wire.Frame{RequestId: "q"}); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// TestUnansweredStream guards against an exchange that ends all others on its link, since a busy peer
// hasn't taken it up after some seconds: streams under way at that peer were cut.
func TestUnansweredStream(t *testing.T) {
	t.Parallel()
	address := serve(t, func(conn net.Conn) { slowPeer(conn, 2) })
	pool := &link.Pool{Self: link.Identity{Incarnation: self}}
	defer pool.Close()
	if err := pool.Notify(context.Background(), address, &wire.Notice{}); err != nil {
		t.Fatal(err)
	}
	running, err := pool.Relay(address, &wire.Relay{RequestId: "q"})
	if err != nil {
		t.Fatal(err)
	}
	running.SetDeadline(time.Now().Add(10 * time.Second))
	unanswered, err := pool.Relay(address, &wire.Relay{RequestId: "r"})
	if err != nil {
		t.Fatal(err)
	}
	defer unanswered.Close()
	for began := time.Now(); time.Since(began) < 5*time.Second; {
		var f wire.Frame
		if err := running.Receive(&f); err != nil {
			t.Fatalf("the exchange under way ended after %s: %v", time.Since(began), err)
		}
	}
}

// stallingConn is a connection from which nothing is read any more once it is told so.
type stallingConn struct {
	net.Conn
	stalled chan struct{}
}

func (c stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.stalled:
		select {}
	default:
		return n, err
	}
}

// TestSilentPeer guards against an exchange that waits until its deadline for a peer that is gone:
// nothing at all arrives on the link.
func TestSilentPeer(t *testing.T) {
	t.Parallel()
	stalled := make(chan struct{})
	address := serve(t, func(conn net.Conn) { slowPeer(stallingConn{conn, stalled}, 0) })
	pool := &link.Pool{Self: link.Identity{Incarnation: self}}
	defer pool.Close()
	if err := pool.Notify(context.Background(), address, &wire.Notice{}); err != nil {
		t.Fatal(err)
	}
	close(stalled)
	exchange, err := pool.Relay(address, &wire.Relay{RequestId: "q"})
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	exchange.SetDeadline(time.Time{})
	began := time.Now()
	var f wire.Frame
	if err := exchange.Receive(&f); err == nil || time.Since(began) > 4*time.Second {
		t.Errorf("ended after %s: %v", time.Since(began), err)
	}
}
