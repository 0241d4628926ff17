package entry_test

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// peerHandler serves forwarded requests only.
type peerHandler struct {
	link.Handler
	forwardHandler *entry.ForwardHandler
}

func (h *peerHandler) Forward(ctx context.Context, s *link.Stream, f *wire.Forward) {
	h.forwardHandler.Forward(ctx, s, f)
}

func (*peerHandler) Locate(link.Identity, *wire.Locate) *wire.Located { return &wire.Located{} }

// scriptedPeer replaces the instance of north and handles a forwarded request by its
// script.
type scriptedPeer struct {
	link.Handler
	address netip.AddrPort
	script  []string
	// received gets the number of body bytes of each request. begun counts the requests
	// that have arrived since it was last reset.
	received chan int
	begun    atomic.Int64
}

// Forward runs the script, one word at a time.
func (p *scriptedPeer) Forward(_ context.Context, s *link.Stream, f *wire.Forward) {
	p.begun.Add(1)
	received := 0
	defer func() { p.received <- received }()
	w := frames{stream: s, id: f.GetRequestId()}
	for _, word := range p.script {
		verb, argument, _ := strings.Cut(word, "=")
		switch verb {
		case "accept":
			_ = s.Send(&wire.Verdict{RequestId: w.id + argument, Accepted: true})
		case "refuse":
			_ = s.Send(&wire.Verdict{RequestId: w.id, Failure: failureOf("not-run", argument)})
		case "body":
			received, _ = readFrames(s)
		case "cut":
			return
		case "freeze":
			more, _ := readFrames(s)
			received += more
			_ = s.Receive(&wire.Frame{})
		default:
			w.send(verb, argument)
		}
	}
}

func failureOf(outcome, reason string) *wire.Failure {
	if reason == "" {
		return nil
	}
	return &wire.Failure{Outcome: outcome, Step: "admit", Reason: reason, Peer: "north-1", RetryAfterMs: 1000}
}

// readFrames reads up to the End frame. It returns the length of the data and a description
// of the response.
func readFrames(s *link.Stream) (length int, text string) {
	data := ""
	for {
		var f wire.Frame
		if err := s.Receive(&f); err != nil {
			return len(data), "no end"
		}
		data += string(f.GetData())
		if f.GetEnd() == nil {
			continue
		}
		text = fmt.Sprintf("%d tokens, whole %t", strings.Count(data, "data: {"), strings.HasSuffix(data, "data: [DONE]\n\n"))
		return len(data), text + failureText(f.GetEnd().GetFailure())
	}
}

func failureText(f *wire.Failure) string {
	if f == nil {
		return ""
	}
	return fmt.Sprintf(", %s %s %s at %s", f.GetOutcome(), f.GetStep(), f.GetReason(), f.GetPeer())
}

// frames writes the frames of one direction, valid or invalid ones.
type frames struct {
	stream   *link.Stream
	id       string
	sequence uint64
	length   uint64
}

func (w *frames) send(verb, argument string) {
	f := &wire.Frame{RequestId: w.id, Sequence: w.sequence}
	w.sequence++
	end := &wire.End{Length: w.length}
	switch verb {
	case "head":
		f.Kind = &wire.Frame_Head{Head: &wire.Head{Status: 200, Headers: []*wire.Header{{Name: "Content-Type", Value: []byte("text/event-stream")}}}}
	case "status":
		status, _ := strconv.Atoi(argument)
		f.Kind = &wire.Frame_Head{Head: &wire.Head{Status: uint32(status)}}
	case "name":
		f.Kind = &wire.Frame_Head{Head: &wire.Head{Status: 200, Headers: []*wire.Header{{Name: argument, Value: []byte("x")}}}}
	case "data", "repeat", "ahead", "foreign":
		f.Kind = &wire.Frame_Data{Data: []byte(argument)}
		w.length += uint64(len(argument))
	case "end-short":
		end.Length++
	case "fail":
		end.Failure = failureOf("not-run", argument)
	case "fail-unknown":
		end.Failure = failureOf("unknown", argument)
	}
	switch verb {
	case "repeat":
		f.Sequence--
	case "ahead":
		f.Sequence++
	case "foreign":
		f.RequestId = strings.Repeat("0", len(w.id))
	case "end", "end-short", "fail", "fail-unknown":
		f.Kind = &wire.Frame_End{End: end}
	}
	_ = w.stream.Send(f)
}

// newForwarded returns a Forward message as another instance would send it.
func newForwarded() *wire.Forward {
	return &wire.Forward{
		RequestId: "0123456789abcdef0123456789abcdef", Workspace: "anna", Class: uint32(table.Plan),
		Method: "POST", Path: "/v1/completions", RemainingMs: 20_000, TableRevision: 7,
		VisitedRegions: []string{"west"}, Visited: []string{"west-1"}, BodyLength: uint32(len(planBody)),
	}
}

// sendForwarded sends the request and, once it is accepted, runs the script. It returns a
// description of the response.
func sendForwarded(t *testing.T, to *instance, m *wire.Forward, script []string) string {
	pool := &link.Pool{Self: link.Identity{Incarnation: ident.Incarnation{Instance: "west-1", Start: 99}, Zone: "west-1", Region: "west"}}
	defer pool.Close()
	stream, err := pool.Forward(context.Background(), to.self.Peer, ident.Incarnation{}, m)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var v wire.Verdict
	if err := stream.Receive(&v); err != nil || !v.GetAccepted() {
		return "refused" + failureText(v.GetFailure())
	}
	w := &frames{stream: stream, id: m.GetRequestId()}
	for _, word := range script {
		verb, argument, _ := strings.Cut(word, "=")
		switch verb {
		case "cut":
			stream.Close()
		case "body":
			w.send("data", planBody)
		case "long":
			w.send("data", strings.Repeat("x", bodyLimit+1))
		default:
			w.send(verb, argument)
		}
	}
	_, text := readFrames(stream)
	return "accepted, " + text
}
