package link_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// refusingHandler answers forwarded requests with a verdict and reads nothing.
type refusingHandler struct{ link.Handler }

func (refusingHandler) Forward(_ context.Context, s *link.Stream, f *wire.Forward) {
	_ = s.Send(&wire.Verdict{RequestId: f.GetRequestId()})
}

// TestSendAfterAnswer guards against peers that send on after an answer, and whose bytes stay in memory: they are
// dropped. The answer arrives all the same, and an exchange that ends in order is gone at once.
func TestSendAfterAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l := listenLocal(t)
	server := &link.Server{Self: link.Identity{Incarnation: remote}, Handler: refusingHandler{}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	pool := &link.Pool{Self: link.Identity{Incarnation: self}}
	defer pool.Close()
	stream, err := pool.Forward(ctx, netip.MustParseAddrPort(l.Addr().String()), remote, &wire.Forward{RequestId: "r"})
	if err != nil {
		t.Fatal(err)
	}
	stream.SetDeadline(time.Now().Add(5 * time.Second))
	// More than the window of a stream, which holds what isn't read.
	part := &wire.Frame{Kind: &wire.Frame_Data{Data: []byte(strings.Repeat("x", 16<<10))}}
	for n := range 64 {
		if err := stream.Send(part); err != nil {
			t.Fatalf("after %d parts: %v", n, err)
		}
	}
	var verdict wire.Verdict
	if err := stream.Receive(&verdict); err != nil || verdict.GetRequestId() != "r" {
		t.Errorf("verdict %v, error %v", &verdict, err)
	}
	if err := stream.Receive(&verdict); !errors.Is(err, io.EOF) {
		t.Errorf("after the verdict: %v", err)
	}
	// The server doesn't wait for peers that keep their end open.
	cancel()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the server still runs")
	}
}
