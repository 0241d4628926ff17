// Package loop runs the control state of an instance on one goroutine. The goroutine
// receives events from links, timers and the platform; other goroutines perform the
// actions that wait for the network. Requests read the view that the loop publishes.
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

// eventQueueLength is the capacity of the control goroutine's event queue.
const eventQueueLength = 4096

// claimsInterval is the time between two updates of the workspace claims and the demands
// that heartbeats carry.
const claimsInterval = time.Second

// Dependencies holds the components that the loop uses. All are set before Run and do
// not change.
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

// Loop passes events to the control state and performs the actions that it returns.
type Loop struct {
	deps   Dependencies
	events chan node.Event
	// queries are functions to run on the control goroutine.
	queries chan func(*node.Node)
	view    atomic.Pointer[node.View]
	// created is the time at which the loop was created. lastTick is the time from
	// created to the latest tick.
	created  time.Time
	lastTick atomic.Int64
	// onTableChange may be nil.
	onTableChange func(*node.View)
	// stopped is closed when the control goroutine returns.
	stopped chan struct{}
	// workers counts the goroutines that perform actions.
	workers sync.WaitGroup

	// The fields from here to sendMu are owned by the control goroutine.

	// claimsDue is the time of the next update of the workspace claims.
	claimsDue time.Time
	claims    []share.WorkspaceClaims
	demands   []node.Demand
	// alivePeers are the instances that were alive in the latest view.
	alivePeers []ident.Instance
	// tableRevision and listRevision are the revisions of the table and of the list of
	// upstreams in the latest view that has a table.
	tableRevision ident.Revision
	listRevision  ident.Revision

	sendMu sync.Mutex
	// sendingTo holds the addresses to which a notice is being written, so that a peer
	// that hangs blocks one goroutine instead of one for each heartbeat.
	sendingTo map[netip.AddrPort]struct{}
}

// New returns a loop that has not been started.
func New(d Dependencies) *Loop {
	l := &Loop{
		deps:      d,
		events:    make(chan node.Event, eventQueueLength),
		queries:   make(chan func(*node.Node)),
		stopped:   make(chan struct{}),
		sendingTo: map[netip.AddrPort]struct{}{},
		created:   d.Clock.Now(),
	}
	l.view.Store(d.Node.View())
	return l
}

// OnTableChange sets the function that is called with each view that has a new table. It
// must be called before Run.
func (l *Loop) OnTableChange(callback func(*node.View)) {
	l.onTableChange = callback
}

// View returns the latest published view.
func (l *Loop) View() *node.View {
	return l.view.Load()
}

// pauseThreshold is the age of the latest tick at which the process is considered to have
// been paused.
const pauseThreshold = 3 * time.Second

// ViewsCurrent reports whether the control goroutine ticked recently. After a pause of
// the process, requests may resume before the control goroutine does, and would be
// decided on an outdated view.
func (l *Loop) ViewsCurrent() bool {
	return l.deps.Clock.Now().Sub(l.created)-time.Duration(l.lastTick.Load()) < pauseThreshold
}

// Run runs the control state until the context ends, and waits for pending actions.
func (l *Loop) Run(ctx context.Context) {
	defer l.workers.Wait()
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
		case query := <-l.queries:
			query(l.deps.Node)
		}
	}
}

// Post queues an event for the control goroutine, and blocks while the queue is full.
func (l *Loop) Post(event node.Event) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

// TryPost queues an event for the control goroutine, and drops and counts it if the
// queue is full.
func (l *Loop) TryPost(event node.Event) {
	select {
	case l.events <- event:
	default:
		l.deps.Metrics.Events.Add("control-queue-full", 1)
	}
}

// Query runs a function on the control goroutine and waits for it. It returns an error
// if the context or the loop ends before the function starts.
func (l *Loop) Query(ctx context.Context, query func(*node.Node)) error {
	done := make(chan struct{})
	wrapped := func(n *node.Node) {
		query(n)
		close(done)
	}
	select {
	case l.queries <- wrapped:
		<-done
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "query the control state")
	case <-l.stopped:
		return errors.New("the control state has stopped")
	}
}

// tick returns the event of the ticker, with the content of the next heartbeats.
func (l *Loop) tick() node.Tick {
	now := l.deps.Clock.Now()
	l.lastTick.Store(int64(now.Sub(l.created)))
	if !now.Before(l.claimsDue) {
		l.claimsDue = now.Add(claimsInterval)
		l.claims = l.deps.WorkspaceLimiter.PrepareHeartbeat(now, l.deps.Node.View().Self.Instance, l.alivePeers)
		l.demands = l.deps.Gates.Demands()
		l.deps.Gates.Resize(l.deps.Node.View())
	}
	return node.Tick{Usage: l.claims, SuccessorNotes: l.deps.Records.SuccessorNotes(), Demands: l.demands}
}

func (l *Loop) step(ctx context.Context, event node.Event) {
	for _, action := range l.deps.Node.Step(l.deps.Clock.Now(), event) {
		l.perform(ctx, action)
	}
}

func (l *Loop) perform(ctx context.Context, action node.Action) {
	switch a := action.(type) {
	case node.SendHeartbeat:
		l.notify(ctx, a.To, a.Address, heartbeatNotice(a.Heartbeat))
	case node.SendSummary:
		l.notify(ctx, a.To, a.Address, summaryNotice(a.Summary))
	case node.SendAnnouncement:
		l.announce(ctx, a)
	case node.ReadPlatform:
		l.workers.Go(func() { l.readPlatform(ctx, a) })
	case node.ReadPeer:
		l.workers.Go(func() { l.fetchFromPeer(ctx, a) })
	case node.PollLoad:
		l.workers.Go(func() { l.pollLoad(ctx, a) })
	case node.SendOrder:
		l.workers.Go(func() { l.sendOrder(ctx, a) })
	case node.OrderHeld:
		l.reportHeldOrder(a)
	case node.PublishView:
		l.publish(a.View)
	case node.GossipReceived:
		l.applyGossip(a)
	case node.ValueRejected:
		l.reportRejected(a)
	case node.BecameReady:
		l.deps.Log.Info().Str("source", a.Source.String()).Msg("ready")
	case node.PauseDetected:
		l.deps.Metrics.Events.Add("process-paused", 1)
		l.deps.Log.Warn().Dur("gap", a.Gap).Msg("the process was paused")
	}
}

// publish makes a view available to requests. If its table or its list of upstreams is
// new, it also updates the gates; if its table is new, also the retry budget and the
// records, and it calls onTableChange.
func (l *Loop) publish(v *node.View) {
	l.view.Store(v)
	l.updatePeers(v)
	if v.Table == nil {
		return
	}
	revision := v.Table.Version().Revision
	newTable := revision != l.tableRevision
	if newTable || v.ListRevision != l.listRevision {
		l.deps.Gates.Resize(v)
	}
	l.tableRevision = revision
	l.listRevision = v.ListRevision
	if !newTable {
		return
	}
	policy := v.Table.Policy()
	l.deps.RetryBudget.Configure(float64(policy.RetryBudgetPercent), policy.MaxAttempts)
	l.deps.Records.SetRetention(policy.RecordRetention)
	l.deps.Records.DropDisallowedAnswers(v.Allows)
	if l.onTableChange != nil {
		l.onTableChange(v)
	}
	l.deps.Log.Info().Uint64("revision", uint64(revision)).Msg("table in force")
}

// updatePeers records the peers that are alive, and removes the claims of peers that are
// unreachable, have left or are no longer listed. A peer that is only partitioned may go
// on using its claims, so that a limit is exceeded. That is preferred over a limit of
// which a dead peer holds a part for as long as it is listed.
func (l *Loop) updatePeers(v *node.View) {
	for _, peer := range l.alivePeers {
		if _, known := v.Members.Member(peer); !known {
			l.removePeer(peer)
		}
	}
	l.alivePeers = l.alivePeers[:0]
	for _, m := range v.Members.Members() {
		switch m.Status {
		case member.Unreachable, member.Left:
			l.removePeer(m.Entry.ID)
		case member.Alive:
			if m.Entry.ID != v.Self.Instance {
				l.alivePeers = append(l.alivePeers, m.Entry.ID)
			}
		}
	}
}

func (l *Loop) removePeer(peer ident.Instance) {
	l.deps.WorkspaceLimiter.RemovePeer(peer)
	l.deps.Gates.RemovePeer(peer)
}

func (l *Loop) applyGossip(g node.GossipReceived) {
	l.deps.Gates.SetPeerDemands(g.From, g.Gossip.Demands)
	l.deps.WorkspaceLimiter.SetPeerClaims(g.From, g.Gossip.Usage)
	for _, n := range g.Gossip.SuccessorNotes {
		l.deps.Records.AddSuccessorNote(n)
	}
}

func (l *Loop) reportRejected(r node.ValueRejected) {
	l.deps.Metrics.Events.Add("value-refused-"+r.Verdict.String(), 1)
	l.deps.Log.Error().
		Str("key", string(r.Key)).
		Str("version", r.Version.String()).
		Str("verdict", r.Verdict.String()).
		AnErr("problem", r.Err).
		Msg("published value refused; the active value is kept")
}
