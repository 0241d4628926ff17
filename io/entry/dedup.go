package entry

import (
	"context"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/wire"
)

// dedupFilter runs each call that is not repeatable at most once, on the incarnation that
// its key names.
type dedupFilter struct {
	server    *Server
	forwarder *forwarder
}

// Apply passes on repeatable calls. Any other call needs a key, and the records of the
// key's owner decide about it, here or on another instance.
func (f *dedupFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	if c.Repeatable {
		return next(ctx, c)
	}
	if c.Key == "" {
		return notRun(result.StepDedup, result.KeyRequired)
	}
	key, err := dedup.ParseKey(c.Key)
	if err != nil {
		c.recordsAsked = true
		return notRun(result.StepDedup, result.KeyMalformed)
	}
	destination := f.server.Records.resolve(f.server.Self, c.View.Members, key, false)
	if _, unknown := destination.(dedup.Ask); unknown {
		f.findSuccessor(ctx, c.View.Members, key.Owner)
		destination = f.server.Records.resolve(f.server.Self, c.View.Members, key, true)
	}
	switch d := destination.(type) {
	case dedup.Local:
		return f.decideLocally(ctx, c, key, next)
	case dedup.Forward:
		return f.forward(ctx, c, d.Incarnation)
	case dedup.Gone:
		return d.Failure
	default:
		return &result.Failure{Step: result.StepDedup, Reason: result.OwnerGone}
	}
}

// forward sends the try to the incarnation that holds the records of the key. A try that
// has been forwarded once is not forwarded again.
func (f *dedupFilter) forward(ctx context.Context, c *Call, owner ident.Incarnation) *result.Failure {
	if c.Via.Forwarded() {
		return &result.Failure{Step: result.StepDedup, Reason: result.OwnerGone}
	}
	ownerEntry, found := c.View.Members.Entry(owner.Instance)
	if !found {
		return &result.Failure{Step: result.StepDedup, Reason: result.OwnerGone}
	}
	if !(residency{c.View.Table, c.Workspace, ownerEntry.Region}).AllowsZone(ownerEntry.Zone) {
		return notRun(result.StepResidency, result.PlaceForbidden)
	}
	failure := f.forwarder.forward(ctx, c, target{
		instance:    owner.Instance,
		address:     ownerEntry.Peer,
		incarnation: owner,
	})
	if failure == nil || failure.Reason != result.PeerUnreachable {
		return failure
	}
	c.recordsAsked = false
	failure.Reason = result.OwnerUnreachable
	if errors.Is(failure.Cause, errors.NotFound) {
		failure.Reason = result.OwnerGone
	}
	return failure
}

// findSuccessor asks the possible holders of a note on the successor of an owner that has
// stopped: members of this region and contacts of the other regions.
func (f *dedupFilter) findSuccessor(ctx context.Context, v *member.View, owner ident.Incarnation) {
	request := &wire.Locate{Incarnation: owner.String()}
	for _, address := range noteHolders(v, owner.Instance) {
		reply, err := f.server.Links.Locate(ctx, address, request)
		if err != nil || !reply.GetFound() {
			continue
		}
		if note, err := wire.SuccessorNoteFromWire(f.server.Clock.Now(), reply.GetNote()); err == nil {
			f.server.Records.AddSuccessorNote(note)
			return
		}
	}
}

// decideLocally runs the call, waits for an earlier try that runs, or returns the recorded
// result.
func (f *dedupFilter) decideLocally(ctx context.Context, c *Call, key dedup.Key, next Next) *result.Failure {
	call := dedup.Call{
		Key:         key,
		Workspace:   c.Workspace,
		Fingerprint: dedup.FingerprintOf(c.Workspace, c.Method, c.Path, c.Body),
	}
	for {
		decision, running := f.server.Records.begin(call)
		c.recordsAsked = true
		switch d := decision.(type) {
		case dedup.Run:
			return f.runOnce(ctx, c, key, next)
		case dedup.Replay:
			return f.replay(c, d.Answer, nil)
		case dedup.Refuse:
			return d.Failure
		case dedup.Join:
			if failure := f.join(ctx, running); failure != nil {
				return failure
			}
		}
	}
}

// join waits for the earlier try to end. If that try was not run, this one is not run
// either: otherwise a caller that received "not run" for one try could find that a joined
// one has run. If the wait is cut short, the call may have run.
func (f *dedupFilter) join(ctx context.Context, running *runningCall) *result.Failure {
	select {
	case <-running.ended:
		if running.answer.Outcome == result.NotRun {
			failure := running.answer.Failure()
			failure.RetryAfter = dedup.RefusalHold
			return failure
		}
		return nil
	case <-ctx.Done():
		return &result.Failure{Step: result.StepDedup, Reason: invoke.EndReason(ctx)}
	}
}

// runOnce makes the only run of a call whose key is already recorded. The run continues if
// the caller disconnects, up to the call's deadline, so that a repeated try finds its
// result.
func (f *dedupFilter) runOnce(ctx context.Context, c *Call, key dedup.Key, next Next) *result.Failure {
	share := f.server.AnswerMemory.NewShare()
	defer share.Release()
	capture := &captureSink{limit: f.server.Limits.KeyedAnswerBytes, memory: share}
	// The record must be ended on each way out, a panic included. Otherwise each repeated
	// try would wait for it until its own deadline.
	answer := dedup.Answer{Outcome: result.Unknown, Step: result.StepDedup, Reason: result.UpstreamFailed}
	defer func() { f.server.Records.end(key, answer) }()
	callerSink := c.Sink
	c.Sink = capture
	detached, stop := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer stop()
	detached, cancel := context.WithCancelCause(detached)
	defer cancel(nil)
	f.server.inFlight.track(c, cancel)
	failure := next(detached, c)
	c.Sink = callerSink
	if failure != nil {
		answer = dedup.Answer{Outcome: failure.Outcome, Step: failure.Step, Reason: failure.Reason, Peer: failure.Peer}
		return retryAfterHold(failure)
	}
	answer = capture.answer()
	return f.replay(c, &answer, share)
}

// retryAfterHold returns a failure with a retry time after which a call that has not run may
// be tried again under its key.
func retryAfterHold(f *result.Failure) *result.Failure {
	if f.Outcome != result.NotRun || f.RetryAfter >= dedup.RefusalHold {
		return f
	}
	held := *f
	held.RetryAfter = dedup.RefusalHold
	return &held
}

// replayBytes is the size of the parts in which a recorded response is written. A caller has Limits.WriteTimeout for
// each of them.
const replayBytes = 16 << 10

// replay sends a recorded response, which the share holds; nil for one that the records hold.
func (f *dedupFilter) replay(c *Call, a *dedup.Answer, share *memory.Share) *result.Failure {
	if failure := a.Failure(); failure != nil {
		return failure
	}
	h := invoke.ResponseHead{Status: a.Status, Header: make(http.Header, len(a.Header)), Peer: a.Peer}
	for _, field := range a.Header {
		h.Header.Add(field.Name, field.Value)
	}
	c.Upstream = a.Peer
	c.HeadSent = true
	if err := c.Sink.Begin(h); err != nil {
		return callerGone(err)
	}
	for part := range slices.Chunk(a.Body, replayBytes) {
		if err := f.server.write(c.Sink, share, 0, part); err != nil {
			return callerGone(err)
		}
	}
	return nil
}

func callerGone(err error) *result.Failure {
	return &result.Failure{Step: result.StepStream, Reason: writeReason(err), Cause: err}
}

// captureSink buffers a response until it is complete.
type captureSink struct {
	limit int
	// memory is what the body takes.
	memory *memory.Share
	head   invoke.ResponseHead
	body   []byte
}

var errTooLarge = errors.New("response exceeds the limit for a recorded response")

// Begin keeps the response head.
func (s *captureSink) Begin(h invoke.ResponseHead) error {
	s.head = h
	return nil
}

// initialAnswerBytes is the first size of the buffer of an answer.
const initialAnswerBytes = 4 << 10

// Write keeps a copy of the bytes, up to the limit. The buffers that were copied to a larger one count too: all of
// them together are about twice as large as the last of them.
func (s *captureSink) Write(p []byte) error {
	needed := len(s.body) + len(p)
	if needed > s.limit {
		return errTooLarge
	}
	if needed > cap(s.body) {
		size := min(max(needed, 2*cap(s.body), initialAnswerBytes), s.limit)
		if !s.memory.Grow(int64(2*cap(s.body) + size)) {
			return invoke.ErrAnswerMemory
		}
		s.body = append(make([]byte, 0, size), s.body...)
	}
	s.body = append(s.body, p...)
	return nil
}

// answer returns the buffered response in the form of a record.
func (s *captureSink) answer() dedup.Answer {
	a := dedup.Answer{Outcome: result.Done, Status: s.head.Status, Body: s.body, Peer: s.head.Peer}
	for name, values := range s.head.Header {
		if !dedup.KeepsHeader(name) {
			continue
		}
		for _, v := range values {
			a.Header = append(a.Header, dedup.HeaderField{Name: name, Value: v})
		}
	}
	return a
}
