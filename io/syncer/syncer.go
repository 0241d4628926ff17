// Package syncer keeps an entry's beliefs up to date: it reads and watches published
// values, exchanges beats with the other entries, and publishes what requests are
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

	"arbutustrestle/core/budget"
	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/mirror"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/spec"
	"arbutustrestle/core/spill"
	"arbutustrestle/io/link"
	"arbutustrestle/io/metric"
)

// ErrCompacted means that a watch can't go on from a revision: the history is gone.
var ErrCompacted = errors.New("the history after the revision is gone")

// Source reads published values.
type Source interface {
	// List returns all values of a group and the revision as of which they stand.
	List(ctx context.Context, g mirror.Group) ([]mirror.Item, uint64, error)
	// Watch returns the changes after a revision as soon as there are some, or none
	// after the wait. The error is ErrGap when the history is gone.
	Watch(ctx context.Context, g mirror.Group, after uint64, wait time.Duration) ([]mirror.Item, uint64, error)
}

// View is what requests are decided on. It never changes.
type View struct {
	// Config is nil until one is known.
	Config     *spec.Config
	Membership *gossip.View
	Phase      member.Phase
	// UpstreamsListed is set once the list of upstreams was read.
	UpstreamsListed bool
}

// Options are what the loop works with. They are set before Run and do not change.
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
	// CloseIdle is called every few seconds.
	CloseIdle func()
}

// Loop owns the beliefs of an entry.
type Loop struct {
	parts  Options
	events chan func(now time.Time)
	view   atomic.Pointer[View]
	done   chan struct{}
	work   sync.WaitGroup

	// The fields below belong to the goroutine of Run.

	mesh   *gossip.State
	stores [mirror.GroupCount]mirror.Mirror
	health [mirror.GroupCount]health
	config *spec.Config
	phase  member.Phase
	// leaving holds upstreams that left the list while the platform was away, with the
	// time at which they are taken to be gone.
	leaving map[ident.Upstream]time.Time
	sweepAt time.Time
	turn    gossip.WatcherElection
	// running is the context of Run, for what other entries' messages start.
	running context.Context

	// resting is set while others of the region watch the platform for this entry. The
	// goroutines that watch read it.
	resting atomic.Bool

	sendMu  sync.Mutex
	sending map[netip.AddrPort]*sending
	// quick holds the addresses to which the last beat that had to open a link had
	// little time for it.
	quick map[netip.AddrPort]bool
}

// health is what is known of the way to the platform for one group.
type health struct {
	// lost is set from a failed read until one succeeds.
	lost   bool
	lostAt time.Time
	// backAt is when it was last regained.
	backAt time.Time
	// listed is set once the whole group was read, from the platform or a peer.
	listed bool
	// behind is a revision that a peer holds and this entry lacks, since a time.
	behind      uint64
	behindSince time.Time
	asking      bool
	// revision is read by the goroutine that watches.
	revision atomic.Uint64
	// vouched is when an entry that watches the platform last told of it.
	vouched time.Time
	// wake ends the rest of that goroutine; see Loop.resting.
	wake chan struct{}
}

// away reports whether the platform seems to be away: it doesn't answer here, and no
// other entry tells of it.
func (h *health) away(now time.Time) bool {
	return h.lost && now.Sub(h.vouched) > vouchTime
}

// queueLength is the number of events that may wait for the loop.
const queueLength = 1024

// New returns a loop that is not running yet.
func New(p Options) *Loop {
	l := &Loop{
		parts:   p,
		events:  make(chan func(time.Time), queueLength),
		done:    make(chan struct{}),
		mesh:    gossip.New(p.Self, p.Seeds, rand.New(rand.NewPCG(p.Self.Incarnation, 3))),
		leaving: map[ident.Upstream]time.Time{},
		sending: map[netip.AddrPort]*sending{},
		quick:   map[netip.AddrPort]bool{},
	}
	for g := range l.health {
		l.health[g].wake = make(chan struct{}, 1)
	}
	l.view.Store(&View{Membership: &gossip.View{Self: p.Self}})
	return l
}

// View returns the view published last.
func (l *Loop) View() *View {
	return l.view.Load()
}

// Run follows until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.work.Wait()
	defer close(l.done)
	l.running = ctx
	for g := range mirror.GroupCount {
		l.work.Go(func() { l.watch(ctx, g) })
	}
	ticker := time.NewTicker(gossip.TickInterval)
	defer ticker.Stop()
	l.tick(ctx, l.parts.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(ctx, l.parts.Clock.Now())
		case event := <-l.events:
			event(l.parts.Clock.Now())
		}
	}
}

// post runs a function on the loop's goroutine.
func (l *Loop) post(event func(now time.Time)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// sweepInterval is the time between two closings of idle connections.
const sweepInterval = 2 * time.Second

func (l *Loop) tick(ctx context.Context, now time.Time) {
	l.settleLeaving(now)
	l.takeTurn(now)
	l.beat(ctx, now)
	for g := range mirror.GroupCount {
		l.catchUp(ctx, now, g)
	}
	if !now.Before(l.sweepAt) && l.parts.CloseIdle != nil {
		l.sweepAt = now.Add(sweepInterval)
		l.parts.CloseIdle()
	}
}

// SetPhase changes the phase and tells the others at once.
func (l *Loop) SetPhase(ctx context.Context, p member.Phase) {
	l.post(func(now time.Time) { l.setPhase(ctx, now, p) })
}

func (l *Loop) setPhase(ctx context.Context, now time.Time, p member.Phase) {
	if p <= l.phase {
		return
	}
	l.phase = p
	l.parts.Log.Info().Str("phase", p.String()).Msg("phase changed")
	l.mesh.UpdateSelf(func(r *gossip.Record) { r.Phase = p })
	l.mesh.Announce()
	l.beat(ctx, now)
}

// SetSeeds takes in seeds from settings that were read again.
func (l *Loop) SetSeeds(seeds []netip.AddrPort) {
	l.post(func(time.Time) { l.mesh.SetSeeds(seeds) })
}

// beat tells the others what this entry holds, and publishes what it knows of them.
func (l *Loop) beat(ctx context.Context, now time.Time) {
	l.mesh.UpdateSelf(func(r *gossip.Record) {
		r.OperatorRevision = l.stores[mirror.OperatorGroup].LastChange()
		r.UpstreamsRevision = l.stores[mirror.UpstreamsGroup].LastChange()
		r.WatchesPlatform = l.watches()
		r.UpstreamLoads = l.parts.Pool.UpstreamLoads(now)
		r.ServiceLoads = l.parts.Pool.ServiceLoads(now)
	})
	for _, s := range l.mesh.DueHeartbeats(now) {
		l.send(ctx, s)
	}
	l.publish(now)
}

// publish makes the view anew and tells the parts that follow the membership.
func (l *Loop) publish(now time.Time) {
	v := l.mesh.View(now)
	l.logMembers(v)
	near := v.RegionInstances()
	l.parts.Pool.SetRegionInstances(near)
	l.parts.Pool.SetMeanLoadAge(gossip.MeanLoadAge(len(near)))
	var loads []gossip.UpstreamLoad
	alive := 1
	for _, m := range v.Members {
		if !m.Alive {
			continue
		}
		alive++
		if m.Region == l.parts.Self.Region {
			loads = append(loads, m.UpstreamLoads...)
		}
	}
	l.parts.Pool.SetPeerLoads(loads)
	l.parts.Spill.Update(now, v)
	l.parts.Budget.SetInstanceCount(alive)
	l.view.Store(&View{Config: l.config, Membership: v, Phase: l.phase, UpstreamsListed: l.health[mirror.UpstreamsGroup].listed})
}

// logMembers writes a line for each entry of which something else is believed.
func (l *Loop) logMembers(v *gossip.View) {
	before := map[ident.Instance]gossip.Member{}
	for _, m := range l.view.Load().Membership.Members {
		before[m.ID] = m
	}
	for _, m := range v.Members {
		old, known := before[m.ID]
		if known && old.Alive == m.Alive && old.Phase == m.Phase && old.Incarnation == m.Incarnation {
			continue
		}
		l.parts.Log.Info().
			Str("member", string(m.ID)).
			Bool("alive", m.Alive).
			Str("phase", m.Phase.String()).
			Uint64("start", m.Incarnation).
			Uint64("sequence", m.Sequence).
			Msg("member changed")
	}
}

// becomeReady takes traffic once a config and the list are known.
func (l *Loop) becomeReady(ctx context.Context, now time.Time) {
	if l.phase != member.Starting || l.config == nil || !l.health[mirror.UpstreamsGroup].listed {
		return
	}
	l.setPhase(ctx, now, member.Ready)
}
