package link_test

import (
	"context"
	"expvar"
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
	self   = ident.Incarnation{Instance: "west-1", Start: 1}
	remote = ident.Incarnation{Instance: "west-2", Start: 2}
)

// serve listens on a loopback port and calls handle with each accepted connection.
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

// injectFault performs one fault on a connection or stream. It returns false when the
// fault belongs to a later stage.
func injectFault(conn net.Conn, fault string) bool {
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
		// The length prefix of a message of 4 GiB.
		_, _ = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
		_, _ = io.Copy(io.Discard, conn)
	default:
		return false
	}
	return true
}

// faultyPeer acts as the server of a link until it reaches the stage of the fault.
func faultyPeer(conn net.Conn, stage, fault string) {
	if stage == "connect" && injectFault(conn, fault) {
		return
	}
	mux, err := yamux.Server(conn, quietConfig())
	if err != nil {
		return
	}
	first, err := mux.Accept()
	if err != nil || stage == "hello" && injectFault(first, fault) {
		return
	}
	hello := &wire.Hello{Protocol: 1, Incarnation: remote.String()}
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
		go injectFault(stream, fault)
	}
}

func quietConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	return c
}

// errorKind returns the category of an error, as far as callers distinguish errors.
func errorKind(err error) string {
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

// TestPool performs each kind of exchange with a faulty peer. It guards against an
// exchange that hangs, since each must return, and against an error of the wrong kind.
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
				pool := &link.Pool{Self: link.Identity{Incarnation: self}}
				defer pool.Close()
				lines[i] = line + ": " + runExchange(pool, address, d.Cmd)
			})
		}
		running.Wait()
		return strings.Join(lines, "\n") + "\n"
	})
}

func runExchange(p *link.Pool, address netip.AddrPort, operation string) string {
	ctx := context.Background()
	switch operation {
	case "fetch":
		_, err := p.Fetch(ctx, address, &wire.Fetch{Key: "k"})
		return errorKind(err)
	case "locate":
		_, err := p.Locate(ctx, address, &wire.Locate{Incarnation: remote.String()})
		return errorKind(err)
	case "notify":
		return errorKind(p.Notify(ctx, address, &wire.Notice{}))
	case "another":
		_, err := p.Forward(ctx, address, ident.Incarnation{Instance: "west-2", Start: 99}, &wire.Forward{})
		return errorKind(err)
	default:
		s, err := p.Forward(ctx, address, remote, &wire.Forward{RequestId: "r"})
		if err != nil {
			return errorKind(err)
		}
		defer s.Close()
		return "opened, verdict: " + errorKind(s.Receive(&wire.Verdict{}))
	}
}

// TestServer connects to a server as several faulty peers. It guards against a faulty
// link that the server keeps open, or that prevents it from serving the next peer.
func TestServer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	server := &link.Server{Self: link.Identity{Incarnation: remote}, Handler: fetchHandler{}}
	go func() { ended <- server.Serve(ctx, listener) }()
	for _, fault := range []string{"hang", "garbage", "protocol", "nameless", "oversized", "close", "reset"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if fault == "protocol" || fault == "nameless" {
			mux, _ := yamux.Client(conn, quietConfig())
			stream, _ := mux.Open()
			hello := &wire.Hello{Protocol: 2, Incarnation: self.String()}
			if fault == "nameless" {
				hello = &wire.Hello{Protocol: 1}
			}
			_, _ = protodelim.MarshalTo(stream, hello)
			<-mux.CloseChan()
			continue
		}
		injectFault(conn, fault)
	}
	pool := &link.Pool{Self: link.Identity{Incarnation: self}}
	defer pool.Close()
	value, err := pool.Fetch(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), &wire.Fetch{Key: "k"})
	if err != nil || value.GetKey() != "k" {
		t.Errorf("fetch after the faulty peers: value %v, error %v", value, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// fetchHandler implements only Fetch.
type fetchHandler struct{ link.Handler }

func (fetchHandler) Fetch(_ context.Context, _ link.Identity, f *wire.Fetch) *wire.Value {
	return &wire.Value{Key: f.GetKey(), Found: true}
}

// TestCloseUnused checks that a link to an instance which is no contact any more is closed, but
// not at once, and not while an exchange runs on it.
func TestCloseUnused(t *testing.T) {
	address := serve(t, func(conn net.Conn) { faultyPeer(conn, "stream", "hang") })
	pool := &link.Pool{Self: link.Identity{Incarnation: self}}
	defer pool.Close()
	if err := pool.Notify(context.Background(), address, &wire.Notice{}); err != nil {
		t.Fatal(err)
	}
	exchange, err := pool.Relay(address, &wire.Relay{})
	if err != nil {
		t.Fatal(err)
	}
	keep := map[netip.AddrPort]struct{}{address: {}}
	for _, step := range []struct {
		name string
		keep map[netip.AddrPort]struct{}
		end  bool
		open bool
	}{
		{"unwanted, with an exchange", nil, false, true},
		{"again", nil, false, true},
		{"wanted again, and the exchange ends", keep, true, true},
		{"unwanted", nil, false, true},
		{"wanted in between", keep, false, true},
		{"unwanted", nil, false, true},
		{"still unwanted", nil, false, false},
	} {
		if step.end {
			exchange.Close()
		}
		pool.CloseUnused(step.keep)
		if open := pool.Connected(address); open != step.open {
			t.Errorf("%s: open is %v", step.name, open)
		}
	}
}

// panicHandler panics on the first exchange.
type panicHandler struct {
	link.Handler
	once sync.Once
}

func (h *panicHandler) Fetch(context.Context, link.Identity, *wire.Fetch) *wire.Value {
	h.once.Do(func() { panic("nil pointer") })
	return &wire.Value{Key: "k", Found: true}
}

// TestPanicEndsOneStream guards against a message of a peer that ends the process: its stream
// ends, and the next one on the same link is served.
func TestPanicEndsOneStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	events := new(expvar.Map)
	server := &link.Server{Self: link.Identity{Incarnation: remote}, Handler: &panicHandler{}, Events: events}
	done := make(chan struct{})
	go func() {
		_ = server.Serve(ctx, listener)
		close(done)
	}()
	pool := &link.Pool{Self: link.Identity{Incarnation: self}}
	address := netip.MustParseAddrPort(listener.Addr().String())
	if _, err := pool.Fetch(ctx, address, &wire.Fetch{Key: "k"}); err == nil {
		t.Error("answered in spite of a panic")
	}
	if v, err := pool.Fetch(ctx, address, &wire.Fetch{Key: "k"}); err != nil || !v.GetFound() {
		t.Errorf("the next exchange: %v, error %v", v, err)
	}
	if count := events.Get("panics"); count == nil || count.String() != "1" {
		t.Errorf("%v panics counted", count)
	}
	pool.Close()
	cancel()
	<-done
}
