package link_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"arbutustrestle/core/ident"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

var (
	here  = ident.Incarnation{Instance: "west-1", Start: 1}
	there = ident.Incarnation{Instance: "west-2", Start: 2}
)

// serve accepts connections and does with each what handle does.
func serve(t *testing.T, handle func(net.Conn)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// misbehave does one thing wrong on a connection or stream, and reports false when
// the fault is one of a later stage.
func misbehave(conn net.Conn, fault string) bool {
	switch fault {
	case "hang":
		_, _ = io.Copy(io.Discard, conn)
	case "close":
		_ = conn.Close()
	case "reset":
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	case "garbage":
		_, _ = io.WriteString(conn, strings.Repeat("\x07garbage", 64))
		_, _ = io.Copy(io.Discard, conn)
	case "oversized":
		// The length of a message of 4 GiB.
		_, _ = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
		_, _ = io.Copy(io.Discard, conn)
	default:
		return false
	}
	return true
}

// faultyPeer answers a link until the stage at which it goes wrong.
func faultyPeer(conn net.Conn, stage, fault string) {
	if stage == "connect" && misbehave(conn, fault) {
		return
	}
	mux, err := yamux.Server(conn, quiet())
	if err != nil {
		return
	}
	first, err := mux.Accept()
	if err != nil || stage == "hello" && misbehave(first, fault) {
		return
	}
	hello := &wire.Hello{Protocol: 1, Incarnation: there.String()}
	switch fault {
	case "protocol":
		hello.Protocol = 2
	case "nameless":
		hello.Incarnation = "nobody"
	}
	_, _ = protodelim.MarshalTo(first, hello)
	for {
		stream, err := mux.Accept()
		if err != nil {
			return
		}
		go misbehave(stream, fault)
	}
}

func quiet() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	return c
}

// kind names an error as far as callers tell errors apart.
func kind(err error) string {
	var timeout net.Error
	switch {
	case err == nil:
		return "no error"
	case errors.Is(err, errors.NotFound):
		return "not found"
	case errors.Is(err, errors.NotSupported):
		return "not supported"
	case errors.Is(err, errors.NotValid):
		return "not valid"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case strings.Contains(err.Error(), "refused"):
		return "refused"
	case strings.Contains(err.Error(), "exceeds maximum"), strings.Contains(err.Error(), "larger than"):
		return "too large"
	case strings.Contains(err.Error(), "proto"):
		return "unreadable"
	default:
		return "broken"
	}
}

// TestPool makes each exchange with peers that go wrong. That it returns is the
// proof that it ends; the result is the kind of its error.
func TestPool(t *testing.T) {
	datadriven.RunTest(t, "testdata/pool", func(t *testing.T, d *datadriven.TestData) string {
		lines := strings.Split(d.Input, "\n")
		var running sync.WaitGroup
		for i, line := range lines {
			running.Go(func() {
				stage, fault, _ := strings.Cut(line, " ")
				address := serve(t, func(conn net.Conn) { faultyPeer(conn, stage, fault) })
				if stage == "nobody" {
					address = netip.MustParseAddrPort("127.0.0.1:1")
				}
				pool := &link.Pool{Self: link.Identity{Incarnation: here}}
				defer pool.Close()
				lines[i] = line + ": " + exchange(pool, address, d.Cmd)
			})
		}
		running.Wait()
		return strings.Join(lines, "\n") + "\n"
	})
}

func exchange(p *link.Pool, address netip.AddrPort, operation string) string {
	ctx := context.Background()
	switch operation {
	case "fetch":
		_, err := p.Fetch(ctx, address, &wire.Fetch{Key: "k"})
		return kind(err)
	case "locate":
		_, err := p.Locate(ctx, address, &wire.Locate{Incarnation: there.String()})
		return kind(err)
	case "notify":
		return kind(p.Notify(ctx, address, &wire.Notice{}))
	case "another":
		_, err := p.Forward(ctx, address, ident.Incarnation{Instance: "west-2", Start: 99}, &wire.Forward{})
		return kind(err)
	default:
		s, err := p.Forward(ctx, address, there, &wire.Forward{RequestId: "r"})
		if err != nil {
			return kind(err)
		}
		defer s.Close()
		return "opened, verdict: " + kind(s.Receive(&wire.Verdict{}))
	}
}

// TestServer connects as peers that go wrong: the server ends each link by itself,
// and serves the next peer.
func TestServer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	server := &link.Server{Self: link.Identity{Incarnation: there}, Handler: handler{}}
	go func() { ended <- server.Serve(ctx, listener) }()
	for _, fault := range []string{"hang", "garbage", "protocol", "nameless", "oversized", "close", "reset"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if fault == "protocol" || fault == "nameless" {
			mux, _ := yamux.Client(conn, quiet())
			stream, _ := mux.Open()
			hello := &wire.Hello{Protocol: 2, Incarnation: here.String()}
			if fault == "nameless" {
				hello = &wire.Hello{Protocol: 1}
			}
			_, _ = protodelim.MarshalTo(stream, hello)
			<-mux.CloseChan()
			continue
		}
		misbehave(conn, fault)
	}
	pool := &link.Pool{Self: link.Identity{Incarnation: here}}
	defer pool.Close()
	value, err := pool.Fetch(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), &wire.Fetch{Key: "k"})
	if err != nil || value.GetKey() != "k" {
		t.Errorf("after the faults: %v, %v", value, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// handler answers fetches only.
type handler struct{ link.Handler }

func (handler) Fetch(_ context.Context, _ link.Identity, f *wire.Fetch) *wire.Value {
	return &wire.Value{Key: f.GetKey(), Found: true}
}
