package entry_test

import (
	"fmt"
	"net/netip"
	"sync"

	"context"
	"net"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// servePeer serves an instance to its peers, and returns its address for them.
func servePeer(b *testing.B, entryServer *entry.Server) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &link.Server{Self: link.Identity{Incarnation: entryServer.Self}, Handler: &peerHandler{forwardHandler: &entry.ForwardHandler{Server: entryServer}}}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// BenchmarkForwarded measures the time and the allocations for each token of a response
// that an instance sends back to the instance that forwarded the request, the engine
// included.
func BenchmarkForwarded(b *testing.B) {
	server := newServer(b, serveEngine(b, time.Millisecond))
	to := servePeer(b, server)
	pool := &link.Pool{Self: link.Identity{Incarnation: ident.Incarnation{Instance: "entry-2", Start: 2}}}
	b.Cleanup(pool.Close)
	const streams = 100
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		var answers sync.WaitGroup
		for range streams {
			answers.Go(func() {
				if err := forwardOnce(pool, to); err != nil {
					b.Error(err)
				}
			})
		}
		answers.Wait()
	}
	tokens := float64(b.N * streams * benchTokens)
	b.ReportMetric((processorTime()-before).Seconds()*1e6/tokens, "cpu-us/token")
}

// forwardOnce sends a request as a forwarding instance does, and reads the frames of the
// response.
func forwardOnce(pool *link.Pool, to netip.AddrPort) error {
	body := fmt.Appendf(nil, `{"model":"planner","prompt":"p","max-tokens":%d}`, benchTokens)
	const id = "0123456789abcdef0123456789abcdef"
	stream, err := pool.Forward(context.Background(), to, ident.Incarnation{}, &wire.Forward{
		RequestId: id, Workspace: "cousins", Class: uint32(table.Plan), Model: "planner", Method: "POST",
		Path: "/v1/completions", RemainingMs: 60_000, TableRevision: 1, BodyLength: uint32(len(body)),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	var verdict wire.Verdict
	if err := stream.Receive(&verdict); err != nil || !verdict.GetAccepted() {
		return fmt.Errorf("verdict %v: %w", &verdict, err)
	}
	stream.SetDeadline(time.Time{})
	frames := []*wire.Frame{
		{RequestId: id, Kind: &wire.Frame_Data{Data: body}},
		{RequestId: id, Sequence: 1, Kind: &wire.Frame_End{End: &wire.End{Length: uint64(len(body))}}},
	}
	for _, f := range frames {
		if err := stream.Send(f); err != nil {
			return err
		}
	}
	for {
		var f wire.Frame
		if err := stream.Receive(&f); err != nil {
			return err
		}
		if end := f.GetEnd(); end != nil {
			if end.GetFailure() != nil {
				return fmt.Errorf("request failed: %v", end)
			}
			return nil
		}
	}
}
