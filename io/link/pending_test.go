package link_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// startServer serves links on a listener until the test ends.
func startServer(t *testing.T, l net.Listener, maxPending int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	server := &link.Server{Self: link.Identity{Incarnation: remote}, Handler: fetchHandler{}, MaxPending: maxPending}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(ctx, l); err != nil {
			t.Errorf("the server has ended: %v", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func dialLocal(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// checkFetch checks that a peer is served.
func checkFetch(t *testing.T, l net.Listener) {
	t.Helper()
	pool := &link.Pool{Self: link.Identity{Incarnation: self}}
	defer pool.Close()
	if _, err := pool.Fetch(t.Context(), netip.MustParseAddrPort(l.Addr().String()), &wire.Fetch{Key: "k"}); err != nil {
		t.Errorf("a peer isn't served: %v", err)
	}
}

// waitClosed checks that the other end closes a connection long before a hello is due.
func waitClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("the connection stays open")
	}
}

// TestPendingConns guards against connections to the listener of peers that send nothing and take all
// descriptors, and against peers that are kept out by them.
func TestPendingConns(t *testing.T) {
	l := listenLocal(t)
	startServer(t, l, 2)
	first := dialLocal(t, l)
	dialLocal(t, l)
	dialLocal(t, l)
	waitClosed(t, first)
	checkFetch(t, l)
}

// TestLongHello guards against a first message, or streams before it, that take memory without a bound.
func TestLongHello(t *testing.T) {
	t.Run("message", func(t *testing.T) {
		l := listenLocal(t)
		startServer(t, l, 0)
		conn := dialLocal(t, l)
		stream := openStream(t, conn)
		go func() {
			_, _ = protodelim.MarshalTo(stream, &wire.Hello{Protocol: 1, Incarnation: self.String(), Zone: strings.Repeat("z", 5000)})
		}()
		_ = stream.SetReadDeadline(time.Now().Add(time.Second))
		if n, err := stream.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Error("the hello was answered")
		}
		checkFetch(t, l)
	})
	t.Run("streams", func(t *testing.T) {
		l := listenLocal(t)
		startServer(t, l, 0)
		mux, err := yamux.Client(dialLocal(t, l), quietConfig())
		if err != nil {
			t.Fatal(err)
		}
		// The first stream is that of the hello, which doesn't end.
		first, err := mux.Open()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = first.Write([]byte{100})
		sent := 0
		for ; sent < 1<<20; sent += 100 << 10 {
			stream, err := mux.Open()
			if err != nil {
				break
			}
			_ = stream.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := io.WriteString(stream, strings.Repeat("x", 100<<10)); err != nil {
				break
			}
		}
		select {
		case <-mux.CloseChan():
		case <-time.After(time.Second):
			t.Errorf("the session is open after %d bytes", sent)
		}
		checkFetch(t, l)
	})
}

func openStream(t *testing.T, conn net.Conn) net.Conn {
	t.Helper()
	mux, err := yamux.Client(conn, quietConfig())
	if err != nil {
		t.Fatal(err)
	}
	stream, err := mux.Open()
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// exhaustedListener fails its first accepts for want of descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors guards against a process that accepts no peer any more once it had no
// descriptor for one.
func TestAcceptWithoutDescriptors(t *testing.T) {
	l := &exhaustedListener{Listener: listenLocal(t)}
	l.failures.Store(2)
	startServer(t, l, 0)
	checkFetch(t, l)
}
