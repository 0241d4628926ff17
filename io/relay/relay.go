// Package relay sends whole requests to instances in other regions over the links
// between instances, and receives the requests that those instances send.
package relay

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/syntax"
	"arbutustrestle/io/wire"
)

const (
	// MaxBodyBytes is the longest body that is relayed in one message of a link, with the other
	// fields of the request. A longer one follows in parts, to an instance that takes them.
	MaxBodyBytes = 900 << 10
	// frameBytes bounds the data in one frame.
	frameBytes = 16 << 10
	// writeTimeout bounds a write to a peer that doesn't read.
	writeTimeout = 5 * time.Second
)

// Request is a relayed request.
type Request struct {
	// Attempt has no upstream: the receiving instance chooses it.
	Attempt          http1.Attempt
	Service          ident.Service
	Kind             spec.RequestKind
	Resumable        bool
	LatencyObjective time.Duration
	Model            string
	// PromptTokens and OutputTokens are numbers of tokens.
	PromptTokens int
	OutputTokens int
	Parts        []pool.PromptPart
	// VersionBound is set for a request that goes on with a stream.
	VersionBound pool.VersionBound
	// UnprovedSuffices is set for a request that begins a stream, if an upstream whose version
	// isn't proved is better than none.
	UnprovedSuffices bool
	// RouteHomes and WorkspaceHomes are the home regions of the route and of the
	// workspace, both of which bind; empty means all.
	RouteHomes     []ident.Region
	WorkspaceHomes []ident.Region
}

// Send relays a request over an open link and returns the head of its answer. When the
// context ends, the stream is closed, and the other instance cancels the request.
func Send(ctx context.Context, links *link.Pool, address netip.AddrPort, r *Request) (*http1.Answer, *result.Failure) {
	stream, err := open(ctx, links, address, r)
	if errors.Is(err, errors.NotFound) {
		return nil, newFailure(result.NotRun, result.PeerUnreachable, address, err)
	}
	if err != nil && ctx.Err() != nil {
		return nil, newFailure(result.Unknown, http1.CancelReason(ctx), address, err)
	}
	if err != nil {
		return nil, newFailure(result.Unknown, result.PeerUnreachable, address, err)
	}
	stream.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, stream.Abort)
	a := &answer{stream: stream, stopCancel: stop, id: r.Attempt.RequestID, address: address}
	parts := sendParts(stream, r)
	head, failure := a.readHead()
	if failure != nil {
		_ = a.Close()
		if !parts.sent() {
			// The other instance doesn't begin before it has the whole body.
			failure.Outcome = result.NotRun
		}
		if ctx.Err() != nil && failure.Outcome == result.Unknown {
			failure.Reason = http1.CancelReason(ctx)
		}
		return nil, failure
	}
	return head, nil
}

// open sends the request on a stream of its own. A link that takes no more data blocks the sender
// for seconds, whatever deadline the stream has; the request doesn't wait for it longer than its
// context lasts, and may have been sent then.
func open(ctx context.Context, links *link.Pool, address netip.AddrPort, r *Request) (*link.Stream, error) {
	type opened struct {
		stream *link.Stream
		err    error
	}
	done := make(chan opened, 1)
	message := toWire(r)
	go func() {
		stream, err := links.Relay(address, message)
		done <- opened{stream, err}
	}()
	select {
	case o := <-done:
		return o.stream, o.err
	case <-ctx.Done():
	}
	go func() {
		if o := <-done; o.err == nil {
			o.stream.Abort()
		}
	}()
	return nil, errors.Trace(ctx.Err())
}

func newFailure(o result.Outcome, r result.Reason, address netip.AddrPort, err error) *result.Failure {
	return &result.Failure{Outcome: o, Step: result.StepForward, Reason: r, Peer: address.String(), Cause: err}
}

// answer reads the frames of an answer.
type answer struct {
	stream     *link.Stream
	stopCancel func() bool
	id         string
	address    netip.AddrPort
	// sequence is the number of the next frame, and length the number of data bytes
	// received.
	sequence uint64
	length   uint64
	// unread is data that has been received but not returned by Read.
	unread []byte
	done   bool
	closed bool
}

func (a *answer) readHead() (*http1.Answer, *result.Failure) {
	f, err := a.next()
	if err != nil {
		return nil, newFailure(result.Unknown, result.PeerUnreachable, a.address, err)
	}
	if end := f.GetEnd(); end != nil {
		return nil, endFailure(end, a.address)
	}
	head := f.GetHead()
	if head == nil {
		return nil, newFailure(result.Unknown, result.AnswerMismatch, a.address, errUnexpectedFrame)
	}
	status, header := int(head.GetStatus()), wire.HeadersFromWire(head.GetHeaders())
	if err := syntax.CheckHead(status, header); err != nil {
		return nil, newFailure(result.Unknown, result.AnswerMismatch, a.address, err)
	}
	return &http1.Answer{
		Status:  status,
		Header:  header,
		Meta:    http1.AnswerMeta{RequestID: a.id, Signed: head.GetSigned(), Version: head.GetVersion(), VersionUnproved: head.GetVersionUnproved()},
		Length:  -1,
		Framing: http1.Framing(min(head.GetFraming(), uint32(http1.FramedByClose))),
		Body:    a,
	}, nil
}

func endFailure(end *wire.End, address netip.AddrPort) *result.Failure {
	f := end.GetFailure()
	if f == nil {
		return newFailure(result.Unknown, result.AnswerMismatch, address, errUnexpectedFrame)
	}
	failure := wire.FailureFromWire(f)
	if failure.Reason == result.CallerGone {
		// To the other instance this one is the caller. That it lost it says nothing of the
		// caller who waits here.
		failure.Reason = result.PeerUnreachable
	}
	return failure
}

var errUnexpectedFrame = errors.New("frame of another request or out of order")

// next returns the next frame. A stream that ends between two frames truncates the
// answer just as one that ends within a frame: only an End frame marks the answer as
// whole.
func (a *answer) next() (*wire.Frame, error) {
	var f wire.Frame
	err := a.stream.Receive(&f)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if f.GetRequestId() != a.id || f.GetSequence() != a.sequence {
		return nil, errUnexpectedFrame
	}
	a.sequence++
	a.length += uint64(len(f.GetData()))
	return &f, nil
}

// Read returns io.EOF once the other instance has marked the answer as whole.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.unread) == 0 {
		if a.done {
			return 0, io.EOF
		}
		f, err := a.next()
		if err != nil {
			return 0, errors.Annotatef(err, "answer from %s", a.address)
		}
		if end := f.GetEnd(); end != nil {
			if end.GetFailure() != nil {
				return 0, endFailure(end, a.address)
			}
			if end.GetLength() != a.length {
				return 0, errUnexpectedFrame
			}
			a.done = true
			continue
		}
		if f.GetHead() != nil {
			return 0, errUnexpectedFrame
		}
		a.unread = f.GetData()
	}
	n := copy(p, a.unread)
	a.unread = a.unread[n:]
	return n, nil
}

// Close ends the exchange.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	a.stopCancel()
	if a.done {
		a.stream.Close()
		return nil
	}
	a.stream.Discard()
	return nil
}

func toWire(r *Request) *wire.Relay {
	m := &wire.Relay{
		RequestId:    r.Attempt.RequestID,
		Service:      string(r.Service),
		Method:       r.Attempt.Method,
		Target:       r.Attempt.Target,
		Host:         r.Attempt.Host,
		Headers:      wire.HeadersToWire(r.Attempt.Header),
		Body:         inlineBody(r),
		RemainingMs:  uint64(max(0, r.Attempt.Remaining.Milliseconds())),
		Kind:         uint32(r.Kind),
		Priority:     uint32(max(0, r.Attempt.Priority)),
		Model:        r.Model,
		PromptTokens: uint32(max(0, r.PromptTokens)),
		OutputTokens: uint32(max(0, r.OutputTokens)),
		LastEvent:    r.Attempt.LastEventID,
		PartsBytes:   partsBytes(r),
		ObjectiveMs:  uint64(max(0, r.LatencyObjective.Milliseconds())),
		Resumable:    r.Resumable,
		VersionBound: r.VersionBound.Bound,
		Version:      r.VersionBound.Version,
		Workspace:    string(r.Attempt.Workspace),

		UnprovedSuffices: r.UnprovedSuffices,
	}
	for _, home := range r.RouteHomes {
		m.RouteHomes = append(m.RouteHomes, string(home))
	}
	for _, home := range r.WorkspaceHomes {
		m.WorkspaceHomes = append(m.WorkspaceHomes, string(home))
	}
	for _, p := range r.Parts {
		m.Parts = append(m.Parts, &wire.Part{Id: p.ID, Tokens: uint32(max(0, p.Tokens))})
	}
	return m
}

// FromWire converts a message to a request.
func FromWire(m *wire.Relay) *Request {
	r := &Request{
		Attempt: http1.Attempt{
			RequestID:   m.GetRequestId(),
			Method:      m.GetMethod(),
			Target:      m.GetTarget(),
			Host:        m.GetHost(),
			Header:      wire.HeadersFromWire(m.GetHeaders()),
			Body:        m.GetBody(),
			Remaining:   time.Duration(m.GetRemainingMs()) * time.Millisecond,
			Priority:    int(m.GetPriority()),
			Workspace:   ident.Workspace(m.GetWorkspace()),
			LastEventID: m.GetLastEvent(),
		},
		Service:          ident.Service(m.GetService()),
		Kind:             spec.RequestKind(min(m.GetKind(), uint32(spec.Stream))),
		Resumable:        m.GetResumable(),
		LatencyObjective: time.Duration(m.GetObjectiveMs()) * time.Millisecond,
		Model:            m.GetModel(),
		PromptTokens:     int(m.GetPromptTokens()),
		OutputTokens:     int(m.GetOutputTokens()),
		VersionBound:     pool.VersionBound{Bound: m.GetVersionBound(), Version: m.GetVersion()},
		UnprovedSuffices: m.GetUnprovedSuffices(),
	}
	for _, home := range m.GetRouteHomes() {
		r.RouteHomes = append(r.RouteHomes, ident.Region(home))
	}
	for _, home := range m.GetWorkspaceHomes() {
		r.WorkspaceHomes = append(r.WorkspaceHomes, ident.Region(home))
	}
	for _, p := range m.GetParts() {
		r.Parts = append(r.Parts, pool.PromptPart{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return r
}

// Reply writes the answer to a relayed request.
type Reply struct {
	Stream    *link.Stream
	RequestID string

	sequence uint64
	length   uint64
}

// WriteHead sends the head of the answer.
func (r *Reply) WriteHead(a *http1.Answer) error {
	head := &wire.Head{
		Status:  uint32(a.Status),
		Headers: wire.HeadersToWire(a.Header),
		Signed:  a.Meta.Signed,
		Framing: uint32(a.Framing),
		Version: a.Meta.Version,

		VersionUnproved: a.Meta.VersionUnproved,
	}
	return r.send(&wire.Frame{Kind: &wire.Frame_Head{Head: head}})
}

// Write sends a part of the body.
func (r *Reply) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		part := p[sent:min(sent+frameBytes, len(p))]
		if err := r.send(&wire.Frame{Kind: &wire.Frame_Data{Data: part}}); err != nil {
			return sent, err
		}
		sent += len(part)
		r.length += uint64(len(part))
	}
	return len(p), nil
}

// End sends the last frame; a nil failure marks the answer as whole.
func (r *Reply) End(f *result.Failure) error {
	end := &wire.End{Length: r.length, Failure: wire.FailureToWire(f)}
	return r.send(&wire.Frame{Kind: &wire.Frame_End{End: end}})
}

func (r *Reply) send(f *wire.Frame) error {
	f.RequestId = r.RequestID
	f.Sequence = r.sequence
	r.sequence++
	r.Stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	return errors.Trace(r.Stream.Send(f))
}

// CancelOnClose calls cancel when the other instance closes the stream. No message is
// expected on the stream before that.
func CancelOnClose(s *link.Stream, cancel func()) {
	var unexpected wire.Frame
	_ = s.Receive(&unexpected)
	cancel()
}
