package entry

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// forwardFunc serves forwarded requests only.
type forwardFunc struct {
	link.Handler
	serve func(ctx context.Context, s *link.Stream, f *wire.Forward)
}

func (h forwardFunc) Forward(ctx context.Context, s *link.Stream, f *wire.Forward) {
	h.serve(ctx, s, f)
}

// TestForwardMemory guards against bodies of forwarded requests that are read into memory which others hold, and
// against ones inside the limits that are refused.
func TestForwardMemory(t *testing.T) {
	const limit = 100_000
	for _, c := range []struct {
		name            string
		announced, size int
		// free is the part of the budget that nobody holds.
		free int64
		want result.Reason
	}{
		{"empty", 0, 0, 0, result.ReasonNone},
		{"at_limit", limit, limit, limit, result.ReasonNone},
		{"no_memory", limit, limit, limit - 1, result.Overloaded},
		{"longer_than_announced", 10, limit, limit, result.BodyTooLarge},
		{"over_limit", limit + 1, limit + 1, 2 * limit, result.BodyTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := &memory.Budget{Limit: 1 << 20}
			budget.NewShare().Grow(budget.Limit - c.free)
			self := ident.Incarnation{Instance: "west-1", Start: 1}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			type outcome struct {
				body    []byte
				failure *result.Failure
			}
			read := make(chan outcome, 1)
			peers := &link.Server{Self: link.Identity{Incarnation: self}, Handler: forwardFunc{serve: func(ctx context.Context, s *link.Stream, f *wire.Forward) {
				share := budget.NewShare()
				defer share.Release()
				source := &peerBodyReader{stream: s, request: f, limit: limit, memory: share, cancel: func(error) {}}
				body, failure := source.Read(ctx)
				read <- outcome{body, failure}
				if !source.verdictSent {
					_ = s.Send(&wire.Verdict{RequestId: f.GetRequestId(), Failure: wire.FailureToWire(failure)})
				}
			}}}
			go func() { _ = peers.Serve(t.Context(), l) }()
			pool := &link.Pool{Self: link.Identity{Incarnation: ident.Incarnation{Instance: "west-2", Start: 1}}}
			t.Cleanup(pool.Close)
			text := strings.Repeat("b", c.size)
			stream, err := pool.Forward(t.Context(), netip.MustParseAddrPort(l.Addr().String()), self, &wire.Forward{RequestId: "r", BodyLength: uint32(c.announced)})
			if err != nil {
				t.Fatal(err)
			}
			var verdict wire.Verdict
			if err := stream.Receive(&verdict); err != nil {
				t.Fatal(err)
			}
			if verdict.GetAccepted() {
				writer := frameWriter{stream: stream, requestID: "r"}
				_ = writer.data([]byte(text))
				_ = writer.end(nil, "")
			}
			got := <-read
			reason := result.ReasonNone
			if got.failure != nil {
				reason = got.failure.Reason
			}
			if reason != c.want || got.failure == nil && string(got.body) != text {
				t.Fatalf("%d bytes, %v; want %v", len(got.body), reason, c.want)
			}
			if reason == result.Overloaded && (verdict.GetAccepted() || got.failure.Outcome != result.NotRun || got.failure.RetryAfter <= 0) {
				t.Errorf("refused with %s", fmt.Sprint(&verdict))
			}
		})
	}
}
