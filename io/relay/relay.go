// Package relay carries whole requests to entries of other regions over the links
// between entries, and serves those that come from there.
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
	"arbutustrestle/io/wire"
)

const (
	// MaxBodyBytes is the length of the longest body that is relayed; with its
	// envelope it fits one message of a link.
	MaxBodyBytes = 900 << 10
	// frameBytes bounds the data in one frame.
	frameBytes = 16 << 10
	// writeTimeout bounds one write to a peer that doesn't read.
	writeTimeout = 5 * time.Second
)

// Request is a relayed request.
type Request struct {
	// Attempt has no upstream yet: the other entry chooses it.
	Attempt          http1.Attempt
	Service          ident.Service
	Kind             spec.RequestKind
	Resumable        bool
	LatencyObjective time.Duration
	Model            string
	// PromptTokens and Output are numbers of tokens.
	PromptTokens int
	OutputTokens int
	Parts        []pool.PromptPart
}

// Send relays a request over an open link and returns the head of its answer. When
// the context ends, the stream is closed, and the other entry gives the request up.
func Send(ctx context.Context, links *link.Pool, address netip.AddrPort, r *Request) (*http1.Answer, *result.Failure) {
	stream, err := links.Relay(address, toWire(r))
	if errors.Is(err, errors.NotFound) {
		return nil, failed(result.NotRun, result.PeerUnreachable, address, err)
	}
	if err != nil {
		return nil, failed(result.Unknown, result.PeerUnreachable, address, err)
	}
	stream.SetDeadline(time.Time{})
	stop := context.AfterFunc(ctx, stream.Abort)
	a := &answer{stream: stream, stop: stop, id: r.Attempt.RequestID, address: address}
	head, failure := a.head()
	if failure != nil {
		_ = a.Close()
		if ctx.Err() != nil && failure.Outcome == result.Unknown {
			failure.Reason = http1.CancelReason(ctx)
		}
		return nil, failure
	}
	return head, nil
}

func failed(o result.Outcome, r result.Reason, address netip.AddrPort, err error) *result.Failure {
	return &result.Failure{Outcome: o, Step: result.StepForward, Reason: r, Peer: address.String(), Cause: err}
}

// answer reads the frames of an answer.
type answer struct {
	stream  *link.Stream
	stop    func() bool
	id      string
	address netip.AddrPort
	// sequence is that of the next frame, length the bytes received.
	sequence uint64
	length   uint64
	// left is what has arrived and was not read yet.
	left []byte
	done bool
}

func (a *answer) head() (*http1.Answer, *result.Failure) {
	f, err := a.next()
	if err != nil {
		return nil, failed(result.Unknown, result.PeerUnreachable, a.address, err)
	}
	if end := f.GetEnd(); end != nil {
		return nil, failureOf(end, a.address)
	}
	head := f.GetHead()
	if head == nil {
		return nil, failed(result.Unknown, result.AnswerMismatch, a.address, errOrder)
	}
	return &http1.Answer{
		Status: int(head.GetStatus()),
		Header: wire.HeadersFromWire(head.GetHeaders()),
		Meta:   http1.AnswerMeta{RequestID: a.id, Signed: head.GetSigned()},
		Length: -1,
		Body:   a,
	}, nil
}

func failureOf(end *wire.End, address netip.AddrPort) *result.Failure {
	f := end.GetFailure()
	if f == nil {
		return failed(result.Unknown, result.AnswerMismatch, address, errOrder)
	}
	return wire.FailureFromWire(f)
}

var errOrder = errors.New("a frame of another request, or out of order")

// next returns the next frame. A link that ends between two frames cuts the answer as
// well as one that ends within one: only an End says that it is whole.
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
		return nil, errOrder
	}
	a.sequence++
	a.length += uint64(len(f.GetData()))
	return &f, nil
}

// Read returns io.EOF when the other entry says that the answer is whole.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.left) == 0 {
		if a.done {
			return 0, io.EOF
		}
		f, err := a.next()
		if err != nil {
			return 0, errors.Annotatef(err, "answer from %s", a.address)
		}
		if end := f.GetEnd(); end != nil {
			if end.GetFailure() != nil {
				return 0, failureOf(end, a.address)
			}
			if end.GetLength() != a.length {
				return 0, errOrder
			}
			a.done = true
			continue
		}
		a.left = f.GetData()
	}
	n := copy(p, a.left)
	a.left = a.left[n:]
	return n, nil
}

// Close ends the exchange.
func (a *answer) Close() error {
	a.stop()
	a.stream.Close()
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
		Body:         r.Attempt.Body,
		RemainingMs:  uint64(max(0, r.Attempt.Remaining.Milliseconds())),
		Kind:         uint32(r.Kind),
		Priority:     uint32(max(0, r.Attempt.Priority)),
		Model:        r.Model,
		PromptTokens: uint32(max(0, r.PromptTokens)),
		OutputTokens: uint32(max(0, r.OutputTokens)),
		LastEvent:    r.Attempt.LastEventID,
		ObjectiveMs:  uint64(max(0, r.LatencyObjective.Milliseconds())),
		Resumable:    r.Resumable,
	}
	for _, p := range r.Parts {
		m.Parts = append(m.Parts, &wire.Part{Id: p.ID, Tokens: uint32(max(0, p.Tokens))})
	}
	return m
}

// FromWire returns the request that a message describes.
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
			LastEventID: m.GetLastEvent(),
		},
		Service:          ident.Service(m.GetService()),
		Kind:             spec.RequestKind(min(m.GetKind(), uint32(spec.Stream))),
		Resumable:        m.GetResumable(),
		LatencyObjective: time.Duration(m.GetObjectiveMs()) * time.Millisecond,
		Model:            m.GetModel(),
		PromptTokens:     int(m.GetPromptTokens()),
		OutputTokens:     int(m.GetOutputTokens()),
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
	head := &wire.Head{Status: uint32(a.Status), Headers: wire.HeadersToWire(a.Header), Signed: a.Meta.Signed}
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

// End sends the last word; a nil failure says that the answer is whole.
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

// CancelOnClose calls gone when the other entry closes the stream: nothing more is due on it.
func CancelOnClose(s *link.Stream, gone func()) {
	var unexpected wire.Frame
	_ = s.Receive(&unexpected)
	gone()
}
