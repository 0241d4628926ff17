// Package loop runs the control state of an entry instance on one goroutine:
// events of links, timers and the platform go in, and its actions are carried out
// by others. Traffic reads the view that it publishes.
package loop

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/share"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
	"arbutustrestle/io/source"
)

// queueLength is the number of events that may wait for the control goroutine.
const queueLength = 4096

// beatInterval is the time between two exchanges of workspace claims.
const beatInterval = time.Second

// Dependencies are what the loop works with. All are set before Run and do not change.
type Dependencies struct {
	Node             *node.Node
	Clock            clock.Clock
	Log              zerolog.Logger
	Metrics          *metric.Set
	Links            *link.Pool
	PlatformClients  []*source.Client
	LoadReader       *invoke.LoadReader
	OrderSender      *invoke.OrderSender
	Records          *entry.Records
	Gates            *entry.Gates
	WorkspaceLimiter *share.Limiter
	RetryBudget      *retry.Budget
}

// Loop carries events to the control state and its actions out of it.
type Loop struct {
	parts  Dependencies
	events chan node.Event
	// questions run on the control goroutine.
	questions chan func(*node.Node)
	view      atomic.Pointer[node.View]
	// began is when the loop was made; ticked is the time from then to the last tick.
	began  time.Time
	ticked atomic.Int64
	// revoke may be nil.
	revoke func(*node.View)
	// stopped is closed when the control goroutine has ended.
	stopped chan struct{}
	// work counts the goroutines that carry out actions.
	work sync.WaitGroup

	// The fields below belong to the control goroutine.

	// beatDue is when the workspace claims are next exchanged.
	beatDue time.Time
	usage   []share.WorkspaceClaims
	demands []node.Demand
	// peers are those that were alive in the last view.
	peers []ident.Instance
	// revision is that of the table in the last view.
	revision ident.Revision

	sendMu sync.Mutex
	// sending holds the addresses to which a notice is being written, so that a peer
	// that hangs holds one goroutine and not one for each heartbeat.
	sending map[netip.AddrPort]struct{}
}

// New returns a loop that is not running yet.
func New(p Dependencies) *Loop {
	l := &Loop{
		parts:     p,
		events:    make(chan node.Event, queueLength),
		questions: make(chan func(*node.Node)),
		stopped:   make(chan struct{}),
		sending:   map[netip.AddrPort]struct{}{},
		began:     p.Clock.Now(),
	}
	l.view.Store(p.Node.View())
	return l
}

// OnTableChange sets what is called with each view that has a new table. It is set before
// Run.
func (l *Loop) OnTableChange(revoke func(*node.View)) {
	l.revoke = revoke
}

// View returns the view published last.
func (l *Loop) View() *node.View {
	return l.view.Load()
}

// pauseAfter is the age of the last tick from which on the process counts as having
// stood still.
const pauseAfter = 3 * time.Second

// ViewsCurrent reports whether the control goroutine has ticked lately. After a pause of
// the process, requests wake up no later than it does.
func (l *Loop) ViewsCurrent() bool {
	return l.parts.Clock.Now().Sub(l.began)-time.Duration(l.ticked.Load()) < pauseAfter
}

// Run drives the control state until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.work.Wait()
	defer close(l.stopped)
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.step(ctx, l.tick())
		case event := <-l.events:
			l.step(ctx, event)
		case ask := <-l.questions:
			ask(l.parts.Node)
		}
	}
}

// Post gives an event to the control goroutine, and waits for room in its queue.
func (l *Loop) Post(event node.Event) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// TryPost gives an event to the control goroutine unless its queue is full.
func (l *Loop) TryPost(event node.Event) {
	select {
	case l.events <- event:
	default:
		l.parts.Metrics.Events.Add("control-queue-full", 1)
	}
}

// Query runs a function on the control goroutine. It returns an error when the
// context or the loop ends first.
func (l *Loop) Query(ctx context.Context, question func(*node.Node)) error {
	answered := make(chan struct{})
	wrapped := func(n *node.Node) {
		question(n)
		close(answered)
	}
	select {
	case l.questions <- wrapped:
		<-answered
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "ask the control state")
	case <-l.stopped:
		return errors.New("the control state has stopped")
	}
}

// tick makes the event of the ticker, with what the next heartbeats are to tell.
func (l *Loop) tick() node.Tick {
	now := l.parts.Clock.Now()
	l.ticked.Store(int64(now.Sub(l.began)))
	if !now.Before(l.beatDue) {
		l.beatDue = now.Add(beatInterval)
		l.usage = l.parts.WorkspaceLimiter.PrepareHeartbeat(now, l.parts.Node.View().Self.Instance, l.peers)
		l.demands = l.parts.Gates.Demands()
		l.parts.Gates.Resize(l.parts.Node.View())
	}
	return node.Tick{Usage: l.usage, SuccessorNotes: l.parts.Records.SuccessorNotes(), Demands: l.demands}
}

func (l *Loop) step(ctx context.Context, event node.Event) {
	for _, action := range l.parts.Node.Step(l.parts.Clock.Now(), event) {
		l.carryOut(ctx, action)
	}
}

func (l *Loop) carryOut(ctx context.Context, action node.Action) {
	switch a := action.(type) {
	case node.SendHeartbeat:
		l.notify(ctx, a.To, a.Address, heartbeatNotice(a.Heartbeat))
	case node.SendSummary:
		l.notify(ctx, a.To, a.Address, summaryNotice(a.Summary))
	case node.SendAnnouncement:
		l.announce(ctx, a)
	case node.ReadPlatform:
		l.work.Go(func() { l.readPlatform(ctx, a) })
	case node.ReadPeer:
		l.work.Go(func() { l.askPeer(ctx, a) })
	case node.PollLoad:
		l.work.Go(func() { l.pollLoad(ctx, a) })
	case node.SendOrder:
		l.work.Go(func() { l.sendOrder(ctx, a) })
	case node.OrderHeld:
		l.orderHeld(a)
	case node.PublishView:
		l.publish(a.View)
	case node.GossipReceived:
		l.hear(a)
	case node.ValueRejected:
		l.refused(a)
	case node.BecameReady:
		l.parts.Log.Info().Str("source", a.Source.String()).Msg("ready")
	case node.PauseDetected:
		l.parts.Metrics.Events.Add("process-paused", 1)
		l.parts.Log.Warn().Dur("gap", a.Gap).Msg("the process stood still")
	}
}

// publish brings a view in force for traffic, and what depends on it.
func (l *Loop) publish(v *node.View) {
	l.view.Store(v)
	l.followPeers(v)
	if v.Table == nil {
		return
	}
	revision := v.Table.Version().Revision
	if revision == l.revision {
		return
	}
	l.revision = revision
	l.parts.Gates.Resize(v)
	policy := v.Table.Policy()
	l.parts.RetryBudget.Configure(float64(policy.RetryBudgetPercent), policy.MaxAttempts)
	l.parts.Records.SetRetention(policy.RecordRetention)
	l.parts.Records.DropDisallowedAnswers(v.Allows)
	if l.revoke != nil {
		l.revoke(v)
	}
	l.parts.Log.Info().Uint64("revision", uint64(revision)).Msg("table in force")
}

// followPeers notes who is alive, and forgets the claims of those who are gone. One
// that is only cut off may go on using what it claimed; that is the lesser evil
// beside a limit of which a dead peer holds a part for as long as it is listed.
func (l *Loop) followPeers(v *node.View) {
	for _, old := range l.peers {
		if _, known := v.Members.Member(old); !known {
			l.forget(old)
		}
	}
	l.peers = l.peers[:0]
	for _, m := range v.Members.Members() {
		switch m.Status {
		case member.Unreachable, member.Left:
			l.forget(m.Entry.ID)
		case member.Alive:
			if m.Entry.ID != v.Self.Instance {
				l.peers = append(l.peers, m.Entry.ID)
			}
		}
	}
}

func (l *Loop) forget(peer ident.Instance) {
	l.parts.WorkspaceLimiter.RemovePeer(peer)
	l.parts.Gates.RemovePeer(peer)
}

func (l *Loop) hear(h node.GossipReceived) {
	l.parts.Gates.SetPeerDemands(h.From, h.Gossip.Demands)
	l.parts.WorkspaceLimiter.SetPeerClaims(h.From, h.Gossip.Usage)
	for _, n := range h.Gossip.SuccessorNotes {
		l.parts.Records.AddSuccessorNote(n)
	}
}

func (l *Loop) refused(r node.ValueRejected) {
	l.parts.Metrics.Events.Add("value-refused-"+r.Verdict.String(), 1)
	l.parts.Log.Error().
		Str("key", string(r.Key)).
		Str("version", r.Version.String()).
		Str("verdict", r.Verdict.String()).
		AnErr("problem", r.Err).
		Msg("published value refused; what was in force stays")
}
