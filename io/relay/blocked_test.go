package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/result"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// blockingListener accepts connections that read nothing more once it is blocked.
type blockingListener struct {
	net.Listener
	blocked *atomic.Bool
}

func (l blockingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return blockingConn{c, l.blocked}, err
}

type blockingConn struct {
	net.Conn
	blocked *atomic.Bool
}

func (c blockingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.blocked.Load() && err == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return n, err
}

// TestBlockedLinkKeepsTimeout guards against a request that is held on past its timeout, because
// the link on which it is relayed takes no more data: a machine that is cut off, or whose link is
// full.
func TestBlockedLinkKeepsTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var blocked atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(func() { blocked.Store(false) })
	server := &link.Server{Handler: &testPeer{reply: func(*link.Stream, *wire.Relay, *Reply) {}}, Log: zerolog.Nop(), Self: identity("far")}
	go func() { _ = server.Serve(ctx, blockingListener{listener, &blocked}) }()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	links := &link.Pool{Self: identity("near")}
	t.Cleanup(links.Close)
	if err := links.Notify(ctx, address, &wire.Notice{}); err != nil {
		t.Fatal(err)
	}
	blocked.Store(true)
	const timeout = 300 * time.Millisecond
	for range 3 {
		requestCtx, cancelRequest := context.WithTimeout(ctx, timeout)
		began := time.Now()
		_, failure := Send(requestCtx, links, address, &Request{Attempt: http1.Attempt{RequestID: "q", Method: http.MethodPost, Target: "/", Body: make([]byte, MaxBodyBytes), Remaining: timeout}})
		cancelRequest()
		if took := time.Since(began); took > timeout+200*time.Millisecond {
			t.Errorf("held for %s, of a timeout of %s", took, timeout)
		}
		if failure == nil || failure.Outcome != result.Unknown || failure.Reason != result.DeadlinePassed {
			t.Errorf("%v", failure)
		}
	}
}
