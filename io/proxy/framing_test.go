package proxy

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

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/relay"
	"arbutustrestle/io/wire"
)

// untilClose returns a reply that sends a signed answer with neither a length nor chunks,
// which ends with its connection; with reset it ends with a reset.
func untilClose(reset bool, body string) reply {
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\n\r\n%s", r.Header.Get("Id"), body)
		if reset {
			// The peer must have read the body, or the reset discards it.
			waitUntilRead()
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// firstThen returns a reply that uses first for a request that resumes nothing, and rest
// for one that does.
func firstThen(first, rest reply) reply {
	return func(c net.Conn, r *http.Request) {
		if r.Header.Get("Last") == "" {
			first(c, r)
			return
		}
		rest(c, r)
	}
}

// TestStreamEndedInsideEvent guards against a stream whose upstream broke off reaching its
// caller as if it were whole: the end of a connection, or a last chunk, inside an event.
func TestStreamEndedInsideEvent(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	cases := []struct {
		name string
		do   reply
	}{
		{"in a line", untilClose(false, first+"id: 2\nda")},
		{"before the blank line", untilClose(false, first+"id: 2\ndata: b\n")},
		{"with CRLF", untilClose(false, first+"id: 2\r\ndata: b\r\n")},
		{"reset between events", untilClose(true, first)},
		{"last chunk in an event", chunked(false, first, "id: 2\nda")},
	}
	rest := closing("id: 2\ndata: b\n\n")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inst := newTestInstance(t, firstThen(c.do, rest), firstThen(c.do, rest)).ready(t)
			_, body, err := inst.send(t, "/resume/", "", nil)
			if want := first + "id: 2\ndata: b\n\n"; err != nil || body != want {
				t.Errorf("resumable: %q, error %v", body, err)
			}
			if _, body, err := inst.send(t, "/stream/", "", nil); err == nil {
				t.Errorf("not resumable: %q without an error", body)
			}
		})
	}
	t.Run("before the first event", func(t *testing.T) {
		inst := newTestInstance(t, untilClose(false, ""), untilClose(false, "")).ready(t)
		if response, body, err := inst.send(t, "/stream/", "", nil); err == nil && response.StatusCode == http.StatusOK {
			t.Errorf("%q without an error", body)
		}
	})
}

// TestUnprovedEnd guards against an answer that may have been cut off, since it ends with
// its connection, reaching its caller with a length or a last chunk.
func TestUnprovedEnd(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			inst := newTestInstance(t, untilClose(false, events), untilClose(false, events)).ready(t)
			response, body, err := inst.send(t, path, "", nil)
			if err != nil || body != events {
				t.Fatalf("%q, error %v", body, err)
			}
			if !response.Close || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
				t.Errorf("length %d, transfer encoding %q", response.ContentLength, response.TransferEncoding)
			}
		})
		t.Run(path+" reset", func(t *testing.T) {
			inst := newTestInstance(t, untilClose(true, events), untilClose(true, events)).ready(t)
			if response, body, err := inst.send(t, path, "", nil); err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("%q without an error", body)
			}
		})
	}
}

// waitUntilRead waits until the peer has had time to read what was sent.
func waitUntilRead() {
	time.Sleep(50 * time.Millisecond)
}

// TestCutForOldCaller guards against a stream that was cut between two events looking
// whole to a caller whose HTTP has no chunks: the connection must not close in order.
func TestCutForOldCaller(t *testing.T) {
	cut := chunked(true, "id: 1\ndata: a\n\n")
	inst := newTestInstance(t, cut, cut).ready(t)
	c, err := net.Dial("tcp", inst.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /stream/ HTTP/1.0\r\nHost: h\r\nId: q\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		// The reset may arrive before the head was read.
		return
	}
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("%q without an error", body)
	}
}

// relayHandler passes relayed requests to a proxy.
type relayHandler struct {
	link.Handler
	proxy *Proxy
}

func (relayHandler) Notify(link.Identity, *wire.Notice) {}

func (h relayHandler) Relay(ctx context.Context, s *link.Stream, m *wire.Relay) {
	h.proxy.Relay(ctx, s, m)
}

func testIdentity(id ident.Instance) link.Identity {
	return link.Identity{Incarnation: ident.Incarnation{Instance: id, Start: 1}, Zone: "z", Region: "r"}
}

// linkTo opens a link from an instance of another region to an instance, and returns the address of the latter.
func linkTo(ctx context.Context, t *testing.T, inst *testInstance) (*link.Pool, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{Handler: relayHandler{proxy: inst.proxy}, Log: zerolog.Nop(), Self: testIdentity("near")}
	go func() { _ = server.Serve(ctx, listener) }()
	links := &link.Pool{Self: testIdentity("far")}
	t.Cleanup(links.Close)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if err := links.Notify(ctx, address, &wire.Notice{}); err != nil {
		t.Fatal(err)
	}
	return links, address
}

// sendRelayed sends a request for another region to an instance, over a link.
func sendRelayed(ctx context.Context, t *testing.T, inst *testInstance, target string, kind spec.RequestKind) (*http1.Answer, *result.Failure) {
	t.Helper()
	links, address := linkTo(ctx, t, inst)
	return relay.Send(ctx, links, address, &relay.Request{
		Attempt: http1.Attempt{RequestID: "1", Method: http.MethodPost, Target: target, Host: "h", Remaining: 5 * time.Second},
		Service: "app",
		Kind:    kind,
	})
}

// TestRelayedStreamEndedInsideEvent guards against an instance that serves a request for
// another region marking a stream that broke off as whole.
func TestRelayedStreamEndedInsideEvent(t *testing.T) {
	do := untilClose(false, "id: 1\ndata: a\n\nid: 2\nda")
	inst := newTestInstance(t, do, do).ready(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, failure := sendRelayed(ctx, t, inst, "/stream/", spec.Stream)
	if failure != nil {
		t.Fatal(failure)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	var cut *result.Failure
	if !errors.As(err, &cut) || cut.Reason != result.AnswerCut || answer.Framing != http1.FramedByClose {
		t.Errorf("%q, framed by %s, error %v", body, answer.Framing, err)
	}
}

// TestRelayedAnswerCutInHead guards against an answer that looks whole to a caller in another region
// since its upstream stopped in the middle of its head.
func TestRelayedAnswerCutInHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSigned: 1\r\nContent-Length: 1234\r\n\r\n"
	for target, kind := range map[string]spec.RequestKind{"/stream/": spec.Stream, "/once/": spec.Unsafe, "/safe/": spec.Safe} {
		for cut := 0; cut < len(head); cut += 5 {
			t.Run(fmt.Sprintf("%s after %d bytes", target, cut), func(t *testing.T) {
				t.Parallel()
				do := func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, head[:cut]) }
				inst := newTestInstance(t, do, do).ready(t)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				answer, failure := sendRelayed(ctx, t, inst, target, kind)
				if failure == nil {
					_ = answer.Body.Close()
					t.Fatalf("status %d", answer.Status)
				}
				if failure.Outcome != result.Unknown || inst.arrivals() != 1 {
					t.Errorf("%s, %s, %d arrivals", failure.Outcome, failure.Reason, inst.arrivals())
				}
			})
		}
	}
}
