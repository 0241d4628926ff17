package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// testPeer is an instance in another region that replies with a function that the test
// sets.
type testPeer struct {
	link.Handler
	reply func(s *link.Stream, m *wire.Relay, r *Reply)
}

func (p *testPeer) Notify(link.Identity, *wire.Notice) {}

func (p *testPeer) Relay(_ context.Context, s *link.Stream, m *wire.Relay) {
	p.reply(s, m, &Reply{Stream: s, RequestID: m.GetRequestId()})
}

// startPeer starts a peer and returns a pool with an open link to it.
func startPeer(t *testing.T, reply func(s *link.Stream, r *Reply)) (*link.Pool, netip.AddrPort) {
	t.Helper()
	return startRelayPeer(t, func(s *link.Stream, _ *wire.Relay, r *Reply) { reply(s, r) })
}

// startRelayPeer does the same with a function that gets the relayed request, too.
func startRelayPeer(t *testing.T, reply func(s *link.Stream, m *wire.Relay, r *Reply)) (*link.Pool, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server := &link.Server{Handler: &testPeer{reply: reply}, Log: zerolog.Nop(), Self: identity("far")}
	go func() { _ = server.Serve(ctx, listener) }()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	links := &link.Pool{Self: identity("near")}
	t.Cleanup(links.Close)
	// A notice opens the link.
	if err := links.Notify(ctx, address, &wire.Notice{}); err != nil {
		t.Fatal(err)
	}
	return links, address
}

func identity(id ident.Instance) link.Identity {
	return link.Identity{Incarnation: ident.Incarnation{Instance: id, Start: 1}, Zone: "z", Region: "r"}
}

func testAnswer() *http1.Answer {
	return &http1.Answer{Status: http.StatusOK, Header: http.Header{"X": {"y"}}, Meta: http1.AnswerMeta{Signed: true}}
}

// TestAnswerEnds checks that only an End frame marks an answer as whole, and that every
// other end of the stream is reported as an error.
func TestAnswerEnds(t *testing.T) {
	cases := []struct {
		name  string
		reply func(s *link.Stream, r *Reply)
		body  string
		whole bool
	}{
		{"whole", func(_ *link.Stream, r *Reply) {
			_ = r.WriteHead(testAnswer())
			_, _ = r.Write([]byte("abc"))
			_ = r.End(nil)
		}, "abc", true},
		{"closed between frames", func(s *link.Stream, r *Reply) {
			_ = r.WriteHead(testAnswer())
			_, _ = r.Write([]byte("abc"))
			s.Close()
		}, "abc", false},
		{"closed after the head", func(s *link.Stream, r *Reply) {
			_ = r.WriteHead(testAnswer())
			s.Close()
		}, "", false},
		{"cut upstream", func(_ *link.Stream, r *Reply) {
			_ = r.WriteHead(testAnswer())
			_, _ = r.Write([]byte("abc"))
			_ = r.End(&result.Failure{Step: result.StepStream, Reason: result.AnswerCut, Peer: "u"})
		}, "abc", false},
		{"missing frame", func(_ *link.Stream, r *Reply) {
			_ = r.WriteHead(testAnswer())
			_, _ = r.Write([]byte("abc"))
			r.sequence++
			_ = r.End(nil)
		}, "abc", false},
		{"too short", func(_ *link.Stream, r *Reply) {
			_ = r.WriteHead(testAnswer())
			_, _ = r.Write([]byte("abc"))
			r.length = 4
			_ = r.End(nil)
		}, "abc", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			links, address := startPeer(t, c.reply)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answer, failure := Send(ctx, links, address, &Request{Attempt: http1.Attempt{RequestID: "1", Remaining: time.Second}})
			if failure != nil {
				t.Fatal(failure)
			}
			defer func() { _ = answer.Body.Close() }()
			body, err := io.ReadAll(answer.Body)
			if string(body) != c.body || (err == nil) != c.whole {
				t.Fatalf("read %q, error %v", body, err)
			}
			if errors.Is(err, io.EOF) {
				t.Fatalf("truncated answer ends with io.EOF: %v", err)
			}
		})
	}
}

// TestVersionSurvives checks that a stream which is relayed stays bound to its version, and
// that the version which answered is known to the sender.
func TestVersionSurvives(t *testing.T) {
	bound := pool.VersionBound{Bound: true, Version: "v2"}
	if got := FromWire(toWire(&Request{VersionBound: bound})).VersionBound; got != bound {
		t.Errorf("sent %v, got %v", bound, got)
	}
	for _, suffices := range []bool{false, true} {
		if got := FromWire(toWire(&Request{UnprovedSuffices: suffices})).UnprovedSuffices; got != suffices {
			t.Errorf("sent that an unproved version suffices: %t, got %t", suffices, got)
		}
	}
	links, address := startPeer(t, func(_ *link.Stream, r *Reply) {
		a := testAnswer()
		a.Meta.Version, a.Meta.VersionUnproved = "v2", true
		_ = r.WriteHead(a)
		_ = r.End(nil)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, failure := Send(ctx, links, address, &Request{Attempt: http1.Attempt{RequestID: "1", Remaining: time.Second}})
	if failure != nil {
		t.Fatal(failure)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.Meta.Version != "v2" || !answer.Meta.VersionUnproved {
		t.Errorf("version %q, unproved: %t", answer.Meta.Version, answer.Meta.VersionUnproved)
	}
}

// TestFramingSurvives guards against an answer whose end is not proved being passed on by
// the other region as if it were.
func TestFramingSurvives(t *testing.T) {
	for _, framing := range []http1.Framing{http1.FramingUnknown, http1.FramedByLength, http1.FramedByChunks, http1.FramedByClose} {
		links, address := startPeer(t, func(_ *link.Stream, r *Reply) {
			a := testAnswer()
			a.Framing = framing
			_ = r.WriteHead(a)
			_ = r.End(nil)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		answer, failure := Send(ctx, links, address, &Request{Attempt: http1.Attempt{RequestID: "1", Remaining: time.Second}})
		if failure != nil {
			t.Fatal(failure)
		}
		if answer.Framing != framing {
			t.Errorf("%s arrives as %s", framing, answer.Framing)
		}
		_ = answer.Body.Close()
		cancel()
	}
}

// TestNoHead checks the failure of a request whose stream ends before the head.
func TestNoHead(t *testing.T) {
	cases := []struct {
		name    string
		reply   func(s *link.Stream, r *Reply)
		outcome result.Outcome
		reason  result.Reason
	}{
		{"refused", func(_ *link.Stream, r *Reply) {
			_ = r.End(&result.Failure{Outcome: result.NotRun, Step: result.StepRoute, Reason: result.NoUpstream})
		}, result.NotRun, result.NoUpstream},
		{"closed", func(s *link.Stream, _ *Reply) { s.Close() }, result.Unknown, result.PeerUnreachable},
		{"end without a head", func(_ *link.Stream, r *Reply) { _ = r.End(nil) }, result.Unknown, result.AnswerMismatch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			links, address := startPeer(t, c.reply)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, failure := Send(ctx, links, address, &Request{Attempt: http1.Attempt{RequestID: "1"}})
			if failure == nil || failure.Outcome != c.outcome || failure.Reason != c.reason {
				t.Fatalf("failure %v", failure)
			}
		})
	}
}

// TestNoLink checks that without a link nothing is sent and the request counts as not
// run.
func TestNoLink(t *testing.T) {
	links := &link.Pool{Self: identity("near")}
	_, failure := Send(context.Background(), links, netip.MustParseAddrPort("127.0.0.1:1"), &Request{})
	if failure == nil || failure.Outcome != result.NotRun {
		t.Fatalf("failure %v", failure)
	}
}

// TestCancel checks that a cancelled request ends at once although the other instance
// doesn't close the stream: a reader that waited for the close would block the caller.
func TestCancel(t *testing.T) {
	block := make(chan struct{})
	t.Cleanup(func() { close(block) })
	links, address := startPeer(t, func(_ *link.Stream, r *Reply) {
		_ = r.WriteHead(testAnswer())
		<-block
	})
	ctx, cancel := context.WithCancel(context.Background())
	answer, failure := Send(ctx, links, address, &Request{Attempt: http1.Attempt{RequestID: "1"}})
	if failure != nil {
		t.Fatal(failure)
	}
	time.AfterFunc(20*time.Millisecond, cancel)
	began := time.Now()
	if _, err := answer.Body.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("error %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("took %s", took)
	}
}

// TestEndlessPeer checks that an instance of another region which sends without end holds a
// request no longer than its deadline, and ends it at once if what it sends is no answer.
func TestEndlessPeer(t *testing.T) {
	const deadline = 400 * time.Millisecond
	data := make([]byte, frameBytes)
	cases := []struct {
		name string
		// frame sends one more frame after the head.
		frame  func(r *Reply) error
		atOnce bool
	}{
		{"data", func(r *Reply) error { _, err := r.Write(data); return err }, false},
		{"empty frames", func(r *Reply) error { return r.send(&wire.Frame{}) }, false},
		{"heads", func(r *Reply) error { return r.WriteHead(testAnswer()) }, true},
		{"frames out of order", func(r *Reply) error { r.sequence++; return r.send(&wire.Frame{}) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			links, address := startPeer(t, func(_ *link.Stream, r *Reply) {
				for err := r.WriteHead(testAnswer()); err == nil; err = c.frame(r) {
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			began := time.Now()
			answer, failure := Send(ctx, links, address, &Request{Attempt: http1.Attempt{RequestID: "1", Remaining: deadline}})
			if failure != nil {
				t.Fatal(failure)
			}
			defer func() { _ = answer.Body.Close() }()
			if _, err := io.Copy(io.Discard, answer.Body); err == nil {
				t.Error("the answer counts as whole")
			}
			if took := time.Since(began); took > deadline+2*time.Second || c.atOnce && ctx.Err() != nil {
				t.Errorf("ended after %s", took)
			}
		})
	}
}

// TestPeerLosesThisInstance guards against a caller whose connection is closed without an answer, as
// if it had left, since the instance that its request was relayed to has lost the one that sent it.
func TestPeerLosesThisInstance(t *testing.T) {
	gone := &result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.CallerGone}
	for name, reply := range map[string]func(s *link.Stream, r *Reply){
		"before the head": func(_ *link.Stream, r *Reply) { _ = r.End(gone) },
		"in the body": func(_ *link.Stream, r *Reply) {
			_ = r.WriteHead(testAnswer())
			_ = r.End(gone)
		},
	} {
		links, address := startPeer(t, reply)
		answer, failure := Send(t.Context(), links, address, &Request{Attempt: http1.Attempt{RequestID: "1", Remaining: time.Second}})
		if failure == nil {
			_, err := io.ReadAll(answer.Body)
			if !errors.As(err, &failure) {
				t.Fatalf("%s: error %v", name, err)
			}
			_ = answer.Body.Close()
		}
		if failure.Reason != result.PeerUnreachable || failure.Outcome != result.Unknown {
			t.Errorf("%s: %s, %s", name, failure.Outcome, failure.Reason)
		}
	}
}
