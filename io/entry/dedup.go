package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/result"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/wire"
)

// dedupFilter runs a call that may not repeat at most once, at the incarnation
// that its key names.
type dedupFilter struct {
	core      *Server
	forwarder *forwarder
}

// Apply passes on calls that may repeat. Another one needs a key; it is decided
// here or at the key's owner.
func (f *dedupFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	if c.Repeatable {
		return next(ctx, c)
	}
	if c.Key == "" {
		return refuse(result.StepDedup, result.KeyRequired)
	}
	key, err := dedup.ParseKey(c.Key)
	if err != nil {
		c.asked = true
		return refuse(result.StepDedup, result.KeyMalformed)
	}
	destination := f.core.Records.resolve(f.core.Self, c.View.Members, key, false)
	if _, unknown := destination.(dedup.Ask); unknown {
		f.locate(ctx, c.View.Members, key.Owner)
		destination = f.core.Records.resolve(f.core.Self, c.View.Members, key, true)
	}
	switch d := destination.(type) {
	case dedup.Local:
		return f.local(ctx, c, key, next)
	case dedup.Forward:
		return f.forward(ctx, c, d.Incarnation)
	case dedup.Gone:
		return d.Failure
	default:
		return &result.Failure{Step: result.StepDedup, Reason: result.OwnerGone}
	}
}

// forward passes the try on to the incarnation that holds the key's records. A try
// that was forwarded once goes no further.
func (f *dedupFilter) forward(ctx context.Context, c *Call, owner ident.Incarnation) *result.Failure {
	if c.Via.Forwarded() {
		return &result.Failure{Step: result.StepDedup, Reason: result.OwnerGone}
	}
	entry, found := c.View.Members.Entry(owner.Instance)
	if !found {
		return &result.Failure{Step: result.StepDedup, Reason: result.OwnerGone}
	}
	if !(places{c.View.Table, c.Workspace, entry.Region}).AllowsZone(entry.Zone) {
		return refuse(result.StepResidency, result.PlaceForbidden)
	}
	failure := f.forwarder.forward(ctx, c, target{
		instance: owner.Instance,
		address:  entry.Peer,
		wanted:   owner,
	})
	if failure == nil || failure.Reason != result.PeerUnreachable {
		return failure
	}
	c.asked = false
	failure.Reason = result.OwnerUnreachable
	if errors.Is(failure.Cause, errors.NotFound) {
		failure.Reason = result.OwnerGone
	}
	return failure
}

// locate asks the entries near a vanished owner for a note on its successor: those
// of this region, or the contacts in each other region.
func (f *dedupFilter) locate(ctx context.Context, v *member.View, owner ident.Incarnation) {
	question := &wire.Locate{Incarnation: owner.String()}
	for _, address := range noteHolders(v, owner.Instance) {
		reply, err := f.core.Links.Locate(ctx, address, question)
		if err != nil || !reply.GetFound() {
			continue
		}
		if note, err := wire.SuccessorNoteFromWire(f.core.Clock.Now(), reply.GetNote()); err == nil {
			f.core.Records.AddSuccessorNote(note)
			return
		}
	}
}

// local runs the call, waits for the earlier try that runs, or gives what was
// recorded.
func (f *dedupFilter) local(ctx context.Context, c *Call, key dedup.Key, next Next) *result.Failure {
	call := dedup.Call{
		Key:         key,
		Workspace:   c.Workspace,
		Fingerprint: dedup.FingerprintOf(c.Workspace, c.Method, c.Path, c.Body),
	}
	for {
		decision, running := f.core.Records.begin(call)
		c.asked = true
		switch d := decision.(type) {
		case dedup.Run:
			return f.run(ctx, c, key, next)
		case dedup.Replay:
			return f.replay(c, d.Answer)
		case dedup.Refuse:
			return d.Failure
		case dedup.Join:
			if failure := f.wait(ctx, running); failure != nil {
				return failure
			}
		}
	}
}

// joinedRetry is when a caller may repeat a try that joined one that was not run.
const joinedRetry = time.Second

// wait waits for the earlier try to end. When that was not run, neither is this one:
// the caller who is told so of one try must not find that a joined one ran after
// all. The call may have run when the wait is cut short.
func (f *dedupFilter) wait(ctx context.Context, running *runningCall) *result.Failure {
	select {
	case <-running.ended:
		if running.answer.Outcome == result.NotRun {
			failure := running.answer.Failure()
			failure.RetryAfter = joinedRetry
			return failure
		}
		return nil
	case <-ctx.Done():
		return &result.Failure{Step: result.StepDedup, Reason: invoke.EndReason(ctx)}
	}
}

// run makes the call's one run. The key is recorded already. The run goes on when
// the caller goes away, up to the call's deadline, so that a repeated try finds
// its outcome.
func (f *dedupFilter) run(ctx context.Context, c *Call, key dedup.Key, next Next) *result.Failure {
	capture := &captureSink{limit: f.core.Limits.KeyedAnswerBytes}
	// The record must get an end on each way out, a panic included: a record that
	// runs for ever would make each repeated try wait.
	answer := dedup.Answer{Outcome: result.Unknown, Step: result.StepDedup, Reason: result.UpstreamFailed}
	defer func() { f.core.Records.end(key, answer) }()
	caller := c.Sink
	c.Sink = capture
	detached, stop := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer stop()
	detached, cancel := context.WithCancelCause(detached)
	defer cancel(nil)
	f.core.flight.run(c, cancel)
	failure := next(detached, c)
	c.Sink = caller
	if failure != nil {
		answer = dedup.Answer{Outcome: failure.Outcome, Step: failure.Step, Reason: failure.Reason, Peer: failure.Peer}
		return failure
	}
	answer = capture.answer()
	return f.replay(c, &answer)
}

// replay gives a recorded answer.
func (f *dedupFilter) replay(c *Call, a *dedup.Answer) *result.Failure {
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
	if err := c.Sink.Write(a.Body); err != nil {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) *result.Failure {
	return &result.Failure{Step: result.StepStream, Reason: result.CallerGone, Cause: err}
}

// captureSink holds an answer until it is complete.
type captureSink struct {
	limit int
	head  invoke.ResponseHead
	body  []byte
}

var errTooLarge = errors.New("the answer is larger than a recorded one may be")

// Begin keeps the head.
func (s *captureSink) Begin(h invoke.ResponseHead) error {
	s.head = h
	return nil
}

// Write keeps a copy of the bytes, up to the limit.
func (s *captureSink) Write(p []byte) error {
	if len(s.body)+len(p) > s.limit {
		return errTooLarge
	}
	s.body = append(s.body, p...)
	return nil
}

// answer returns what was captured, in the form of a record.
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
