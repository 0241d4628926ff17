// Package syncer keeps an instance's state up to date: it reads and watches published
// values, exchanges heartbeats with its peers, and publishes the view that requests are
// decided on. One goroutine owns the state; others read the platform and the links.
package syncer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/poison"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/quota"
	"arbutustrestle/core/reach"
	"arbutustrestle/core/resume"
	"arbutustrestle/core/spec"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/guard"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
)

// ErrCompacted means that a watch cannot continue from a revision, because the store no
// longer holds the history after it, or has come back from an older copy.
var ErrCompacted = errors.New("the history after the revision is no longer held")

// Source reads published values. It returns an error as soon as the platform is silent, which is
// earlier than a large answer takes.
type Source interface {
	// List returns all values of a group and the revision at which they were read. All
	// revisions are those of mirror.NewRevision.
	List(ctx context.Context, g mirror.Group) ([]mirror.Item, uint64, error)
	// Watch returns the changes after a revision as soon as there are any, or none once
	// the wait has passed. The error is ErrCompacted if the history is no longer held.
	Watch(ctx context.Context, g mirror.Group, after uint64, wait time.Duration) ([]mirror.Item, uint64, error)
}

// View is an immutable snapshot that requests are decided on.
type View struct {
	// Config is nil until the first config has been received.
	Config     *spec.Config
	Membership *gossip.View
	Phase      member.Phase
	// UpstreamsListed is set once the list of upstreams has been read.
	UpstreamsListed bool
}

// Options holds the settings and dependencies of a Loop. They are set before Run and do
// not change.
type Options struct {
	Self    gossip.Record
	Seeds   []netip.AddrPort
	Source  Source
	Decoder mirror.Decoder
	Clock   clock.Clock
	Log     zerolog.Logger
	Metrics *metric.Set
	Links   *link.Pool
	Pool    *pool.Pool
	Spill   *spill.Table
	Budget  *budget.Budget
	Poison  *poison.Detector
	Streams *resume.Table
	// Quota is the ledger of the workspaces' quotas; nil if nothing takes from it. QuotaBounds
	// says by how much they may be exceeded.
	Quota       *quota.Ledger
	QuotaBounds quota.Bounds
	// Zones maps all zones of the installation to their regions.
	Zones map[ident.Zone]ident.Region
	// Reach is what this instance knows of its connections to upstreams; nil if nothing
	// records any.
	Reach *reach.Detector
	// CloseIdle closes idle connections. It is called every few seconds.
	CloseIdle func()
}

// Loop is the control loop that owns the state of an instance.
type Loop struct {
	opts   Options
	events chan func(now time.Time)
	view   atomic.Pointer[View]
	done   chan struct{}
	work   sync.WaitGroup

	// The fields below belong to the goroutine of Run.

	membership *gossip.State
	mirrors    [mirror.GroupCount]mirror.Mirror
	health     [mirror.GroupCount]health
	config     *spec.Config
	phase      member.Phase
	// pendingRemovals holds the upstreams that left the list while the platform was
	// unavailable, with the time at which they are removed.
	pendingRemovals map[ident.Upstream]time.Time
	// pendingRestores holds the evacuated zones that are missing since the store came
	// back from an older copy, with the time at which they are restored.
	pendingRestores map[ident.Zone]time.Time
	// pendingRelistings holds the upstreams that had left, and that the older copy lists.
	pendingRelistings map[ident.Upstream]relisting
	closeIdleAt       time.Time
	election          gossip.WatcherElection
	// reportsAt holds when the last heartbeat of each member arrived whose reports were merged.
	reportsAt map[ident.Instance]time.Time
	// askedAt holds when each member was last asked for missed changes.
	askedAt map[ident.Instance]time.Time
	// quotaPeers holds when quota transfers were last sent to each address in other regions.
	quotaPeers map[netip.AddrPort]time.Time
	// issuing is set while this instance issues tokens of quotas.
	issuing bool
	// lastTick is the time of the last tick, and refreshing the number of groups that are
	// being read again after a pause.
	lastTick   time.Time
	refreshing int
	// runCtx is the context of Run, for work that messages of peers start.
	runCtx context.Context

	// paused is set while peers in the region watch the platform for this instance. The
	// watching goroutines read it.
	paused atomic.Bool

	// confirmations are the reads of ConfirmList under way.
	confirmations singleflight.Group

	announceMu sync.Mutex
	// announced holds the streams that peers are told of next.
	announced []gossip.BegunStreams

	sendMu  sync.Mutex
	sending map[netip.AddrPort]*sendSlot
	// shortDialed holds the addresses for which the last heartbeat that had to open a
	// connection had shortSendTimeout.
	shortDialed map[netip.AddrPort]bool
}

// health is the state of the reads of one group.
type health struct {
	// lost is set from a failed read until the next successful one.
	lost   bool
	lostAt time.Time
	// regainedAt is the time at which reads last succeeded again.
	regainedAt time.Time
	// heardAt is the time of the last read, or of the last report of a peer that watches the
	// platform, up to which this instance holds all changes.
	heardAt time.Time
	// listed is set once the whole group has been read, from the platform or a peer.
	listed bool
	// missingRevision is a revision that a peer holds and this instance lacks, first
	// seen at missingSince; zero if there is none.
	missingRevision uint64
	missingSince    time.Time
	// fetches is the number of reads of missed changes under way, and nextFetchAt when another one
	// may begin meanwhile.
	fetches     int
	nextFetchAt time.Time
	// revision is the held revision, for the watching goroutine.
	revision atomic.Uint64
	// lastReport is the time of the last report from a peer that watches the platform.
	lastReport time.Time
	// resume ends the pause of the watching goroutine; see Loop.paused.
	resume chan struct{}
}

// mayFetch reports whether missed changes may be read now: a read that takes long doesn't keep
// another one from trying elsewhere.
func (h *health) mayFetch(now time.Time) bool {
	return h.fetches == 0 || h.fetches < maxFetches && !now.Before(h.nextFetchAt)
}

// beginFetch records a read that may take a time before another one is tried.
func (h *health) beginFetch(now time.Time, patience time.Duration) {
	h.fetches++
	h.nextFetchAt = now.Add(patience)
}

// unavailable reports whether the platform seems to be unavailable: reads fail here,
// and no peer reports from it.
func (h *health) unavailable(now time.Time) bool {
	return h.lost && now.Sub(h.lastReport) > reportTimeout
}

// queueLength is the capacity of the queue of events for the loop.
const queueLength = 1024

// New returns a loop that is not running yet.
func New(opts Options) *Loop {
	if opts.Reach == nil {
		opts.Reach = &reach.Detector{}
	}
	l := &Loop{
		opts:              opts,
		events:            make(chan func(time.Time), queueLength),
		done:              make(chan struct{}),
		membership:        gossip.New(opts.Self, opts.Seeds, rand.New(rand.NewPCG(opts.Self.Incarnation, 3))),
		pendingRemovals:   map[ident.Upstream]time.Time{},
		pendingRestores:   map[ident.Zone]time.Time{},
		pendingRelistings: map[ident.Upstream]relisting{},
		sending:           map[netip.AddrPort]*sendSlot{},
		shortDialed:       map[netip.AddrPort]bool{},
		reportsAt:         map[ident.Instance]time.Time{},
		askedAt:           map[ident.Instance]time.Time{},
		quotaPeers:        map[netip.AddrPort]time.Time{},
	}
	for g := range l.health {
		l.health[g].resume = make(chan struct{}, 1)
	}
	if l.opts.Quota == nil {
		l.opts.Quota = &quota.Ledger{}
	}
	l.view.Store(&View{Membership: &gossip.View{Self: opts.Self}})
	return l
}

// View returns the last published view.
func (l *Loop) View() *View {
	return l.view.Load()
}

// Run runs the loop until the context is done.
func (l *Loop) Run(ctx context.Context) {
	defer l.work.Wait()
	defer close(l.done)
	l.runCtx = ctx
	for g := range mirror.GroupCount {
		l.work.Go(func() { l.watch(ctx, g) })
	}
	ticker := time.NewTicker(gossip.TickInterval)
	defer ticker.Stop()
	l.tick(ctx, l.opts.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(ctx, l.opts.Clock.Now())
		case event := <-l.events:
			l.runEvent(event)
		}
	}
}

// runEvent runs a posted function. Most handle a message from outside, and none may end the
// process.
func (l *Loop) runEvent(event func(now time.Time)) {
	defer guard.Recover(l.opts.Log, l.opts.Metrics.Events, "event of the control loop")
	event(l.opts.Clock.Now())
}

// post runs a function on the loop's goroutine.
func (l *Loop) post(event func(now time.Time)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// postAndWait is like post, and returns when the function has returned, or the loop has ended.
func (l *Loop) postAndWait(event func(now time.Time)) {
	ended := make(chan struct{})
	l.post(func(now time.Time) {
		defer close(ended)
		event(now)
	})
	select {
	case <-ended:
	case <-l.done:
	}
}

// closeIdleInterval is the time between two closings of idle connections.
const closeIdleInterval = 2 * time.Second

func (l *Loop) tick(ctx context.Context, now time.Time) {
	l.refreshAfterPause(ctx, now)
	l.activatePending(now)
	l.opts.Pool.MarkListHeard(l.health[mirror.UpstreamsGroup].heardAt)
	l.updateWatching(now)
	l.heartbeat(ctx, now)
	l.sendTransfers(now, l.opts.Quota.DueTransfers(now))
	for g := range mirror.GroupCount {
		l.catchUp(ctx, now, g)
	}
	if !now.Before(l.closeIdleAt) {
		l.closeIdleAt = now.Add(closeIdleInterval)
		l.closeIdle()
	}
}

// closeIdle closes the connections that aren't used any more.
func (l *Loop) closeIdle() {
	if l.opts.CloseIdle != nil {
		l.opts.CloseIdle()
	}
	contacts := map[netip.AddrPort]struct{}{}
	for _, m := range l.View().Membership.Members {
		if m.Contact {
			contacts[m.PeerAddress] = struct{}{}
		}
	}
	l.keepQuotaPeers(l.opts.Clock.Now(), contacts)
	l.opts.Links.CloseUnused(contacts)
}

// SetPhase changes the phase and announces it to the peers at once.
func (l *Loop) SetPhase(ctx context.Context, p member.Phase) {
	l.post(func(now time.Time) { l.setPhase(ctx, now, p) })
}

func (l *Loop) setPhase(ctx context.Context, now time.Time, p member.Phase) {
	if p <= l.phase {
		return
	}
	l.phase = p
	l.opts.Log.Info().Str("phase", p.String()).Msg("phase changed")
	l.membership.UpdateSelf(func(r *gossip.Record) { r.Phase = p })
	l.membership.Announce()
	l.heartbeat(ctx, now)
}

// SetSeeds replaces the seeds, after the settings have been read again.
func (l *Loop) SetSeeds(seeds []netip.AddrPort) {
	l.post(func(time.Time) { l.membership.SetSeeds(seeds) })
}

// heartbeat updates the instance's own record, sends the heartbeats that are due, and
// publishes the view.
func (l *Loop) heartbeat(ctx context.Context, now time.Time) {
	l.reportStreams(now)
	l.membership.UpdateSelf(func(r *gossip.Record) {
		r.OperatorRevision = l.mirrors[mirror.OperatorGroup].LastChange()
		r.UpstreamsRevision = l.mirrors[mirror.UpstreamsGroup].LastChange()
		r.WatchesPlatform = l.watchesPlatform()
		r.UpstreamLoads = l.opts.Pool.UpstreamLoads(now)
		r.UpstreamLimits = l.opts.Pool.UpstreamLimits(now)
		r.LeavingUpstreams = l.opts.Pool.LeavingUpstreams()
		r.EndedUpstreams = l.opts.Pool.EndedUpstreams(now)
		r.BrittleUpstreams = l.opts.Pool.BrittleUpstreams(now)
		r.Reach = l.opts.Reach.Report(now)
		r.ServiceLoads = l.opts.Pool.ServiceLoads(now)
		r.LossEvidence = l.opts.Poison.Evidence(now)
		r.VersionHistory = l.opts.Pool.VersionHistory(now)
	})
	if l.opts.Pool.TakeEndNews() {
		l.membership.Hurry()
	}
	for _, hb := range l.membership.DueHeartbeats(now) {
		l.send(ctx, hb)
	}
	l.publish(now)
}

// publish builds a new view and updates the components that depend on the membership.
func (l *Loop) publish(now time.Time) {
	v := l.membership.View(now)
	l.logMemberChanges(v)
	regionInstances := v.RegionInstances()
	l.opts.Pool.SetRegion(now, regionInstances, v.RegionAgrees)
	l.opts.Pool.SetMeanLoadAge(gossip.MeanLoadAge(len(regionInstances)))
	l.opts.Pool.SetKnownInstances(now, v.KnownRegionInstances())
	l.opts.Pool.SetPeerLimits(now, v.RegionLimits(now))
	l.learnReach(now, v)
	for _, run := range l.opts.Pool.SetPeerLeaving(v.LeavingUpstreams()) {
		l.opts.Metrics.Events.Add("upstreams-leaving-by-peers", 1)
		l.opts.Log.Info().Str("upstream", string(run.Upstream)).Msg("upstream leaves, as a peer was told")
	}
	for _, e := range l.opts.Pool.SetPeerEnds(now, v.EndedUpstreams(now)) {
		l.opts.Metrics.Events.Add("upstreams-ended-by-peers", 1)
		l.opts.Log.Info().Str("upstream", string(e.Upstream)).Dur("age", e.Age).Bool("returned", e.Returned).Msg("upstream has ended, as a peer found")
	}
	var loads []gossip.UpstreamLoad
	alive := []ident.Instance{l.opts.Self.ID}
	for _, m := range v.Members {
		if !m.Alive {
			continue
		}
		alive = append(alive, m.ID)
		if m.Region == l.opts.Self.Region {
			loads = append(loads, m.UpstreamLoads...)
		}
	}
	l.opts.Pool.SetPeerLoads(loads)
	l.opts.Spill.Update(now, v)
	l.opts.Budget.SetInstanceCount(now, len(alive))
	l.setQuotaMembers(now, v)
	l.opts.Poison.SetInstances(alive)
	l.mergeReports(now, v)
	l.view.Store(&View{Config: l.config, Membership: v, Phase: l.phase, UpstreamsListed: l.health[mirror.UpstreamsGroup].listed})
}

// logMemberChanges logs each member whose liveness, phase or incarnation has changed.
func (l *Loop) logMemberChanges(v *gossip.View) {
	before := map[ident.Instance]gossip.Member{}
	for _, m := range l.view.Load().Membership.Members {
		before[m.ID] = m
	}
	for _, m := range v.Members {
		old, known := before[m.ID]
		if known && old.Alive == m.Alive && old.Phase == m.Phase && old.Incarnation == m.Incarnation {
			continue
		}
		l.opts.Log.Info().
			Str("member", string(m.ID)).
			Bool("alive", m.Alive).
			Str("phase", m.Phase.String()).
			Uint64("start", m.Incarnation).
			Uint64("sequence", m.Sequence).
			Msg("member changed")
	}
}

// becomeReady starts accepting traffic once a config and the list have been read.
func (l *Loop) becomeReady(ctx context.Context, now time.Time) {
	if l.phase != member.Starting || l.config == nil || !l.health[mirror.UpstreamsGroup].listed {
		return
	}
	l.setPhase(ctx, now, member.Ready)
}
