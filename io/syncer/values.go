package syncer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/mirror"
)

const (
	// watchWait is how long a watch is left waiting. A watch that has gone silent is
	// noticed that late, which leaves the rest of the 3 s in which a change must be in
	// force for a new read.
	watchWait = 1500 * time.Millisecond
	// vouchTime is how long another entry's word of the platform counts: a watch that
	// waits in vain, and the way of its word.
	vouchTime = 2 * time.Second
	// listTimeout bounds one read of a group.
	listTimeout = 1200 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed read, with jitter.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// gatherTime lets changes of the list gather before the next watch, since each
	// call is paid for.
	gatherTime = 300 * time.Millisecond
	// returnTime is how long upstreams have to come back to the list after the
	// platform has returned.
	returnTime = 2200 * time.Millisecond
	// shortLoss is an outage in which no entry of the list lapses.
	shortLoss = 300 * time.Millisecond
	// behindTime is how long this entry may hold an older revision than a peer before
	// it asks the peer.
	behindTime = 500 * time.Millisecond
)

// watch follows one group until the context ends.
func (l *Loop) watch(ctx context.Context, g mirror.Group) {
	h := &l.health[g]
	whole := true
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !whole {
			l.rest(ctx, h)
		}
		items, revision, err := l.read(ctx, g, whole)
		switch {
		case err == nil:
			listing := whole
			l.post(func(now time.Time) { l.answered(ctx, now, g, items, revision, listing) })
			whole = false
			backoff = firstBackoff
			if g == mirror.UpstreamsGroup {
				clock.Sleep(ctx, gatherTime)
			}
		case errors.Is(err, ErrCompacted):
			whole = true
			clock.Sleep(ctx, jitter(firstBackoff))
		default:
			l.post(func(now time.Time) { l.failed(now, g, err) })
			clock.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (l *Loop) read(ctx context.Context, g mirror.Group, whole bool) ([]mirror.Item, uint64, error) {
	l.parts.Metrics.Events.Add("platform-reads", 1)
	after := l.health[g].revision.Load()
	if whole || after == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return l.parts.Source.List(ctx, g)
	}
	return l.parts.Source.Watch(ctx, g, after, watchWait)
}

// jitter returns between a half and the whole of a time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// answered takes in what the platform has said.
func (l *Loop) answered(ctx context.Context, now time.Time, g mirror.Group, items []mirror.Item, revision uint64, whole bool) {
	h := &l.health[g]
	if h.lost {
		h.lost = false
		if now.Sub(h.lostAt) > shortLoss {
			h.backAt = now
		}
		l.parts.Log.Info().Str("dependency", "platform").Str("group", g.String()).Dur("away", now.Sub(h.lostAt)).Uint64("revision", revision).Msg("dependency regained")
	}
	after := l.stores[g].Revision()
	l.merge(ctx, now, g, items, revision, whole)
	if !whole {
		l.tell(ctx, now, g, after, items)
	}
}

func (l *Loop) failed(now time.Time, g mirror.Group, err error) {
	l.parts.Metrics.Events.Add("platform-read-failures", 1)
	h := &l.health[g]
	if h.lost {
		return
	}
	h.lost = true
	h.lostAt = now
	l.parts.Log.Warn().Err(err).Str("dependency", "platform").Str("group", g.String()).Uint64("revision", l.stores[g].Revision()).Msg("dependency lost")
}

// merge takes in values of a group and brings what is new in force.
func (l *Loop) merge(ctx context.Context, now time.Time, g mirror.Group, items []mirror.Item, revision uint64, whole bool) {
	store := &l.stores[g]
	var changes []mirror.Item
	if whole {
		changes = store.Replace(items, revision)
		l.health[g].listed = true
	} else {
		changes = store.Apply(items, revision)
	}
	l.health[g].revision.Store(store.Revision())
	for _, item := range changes {
		l.bring(now, item)
	}
	if len(changes) > 0 {
		l.publish(now)
	}
	l.becomeReady(ctx, now)
}

// bring brings one value in force.
func (l *Loop) bring(now time.Time, item mirror.Item) {
	change, err := l.parts.Decoder.Decode(item)
	if err != nil {
		l.parts.Metrics.Events.Add("value-refused", 1)
		l.parts.Log.Error().Err(err).Str("key", item.Key).Uint64("revision", item.Revision).Msg("published value refused; the others hold")
	}
	switch c := change.(type) {
	case mirror.ConfigUpdated:
		if l.config != nil && c.Config.Version < l.config.Version {
			return
		}
		l.config = c.Config
		l.parts.Pool.SetServices(c.Config.Services)
		l.parts.Log.Info().Uint64("version", c.Config.Version).Uint64("revision", item.Revision).Int("routes", len(c.Config.Routes())).Msg("config in force")
	case mirror.UpstreamUpdated:
		delete(l.leaving, c.Upstream.ID)
		if l.parts.Pool.SetUpstream(now, c.Upstream) {
			l.parts.Log.Info().Str("upstream", string(c.Upstream.ID)).Str("service", string(c.Upstream.Service)).Bool("draining", c.Upstream.Draining).Dur("cold", c.Upstream.WarmupLeft).Uint64("revision", item.Revision).Msg("upstream changed")
		}
	case mirror.UpstreamRemoved:
		if l.mayReturn(now) {
			l.leaving[c.ID] = now.Add(returnTime)
			return
		}
		if l.parts.Pool.RemoveUpstream(c.ID) {
			l.parts.Log.Info().Str("upstream", string(c.ID)).Uint64("revision", item.Revision).Msg("upstream gone")
		}
	case mirror.ZoneEvacuated:
		l.parts.Pool.EvacuateZone(c.Zone)
		l.parts.Log.Info().Str("zone", string(c.Zone)).Uint64("revision", item.Revision).Msg("zone evacuated")
	case mirror.ZoneRestored:
		l.parts.Pool.RestoreZone(now, c.Zone)
		l.parts.Log.Info().Str("zone", string(c.Zone)).Uint64("revision", item.Revision).Msg("zone returned")
	}
}

// mayReturn reports whether an upstream that has left the list may only have lapsed,
// since the platform is away or has just returned.
func (l *Loop) mayReturn(now time.Time) bool {
	h := &l.health[mirror.UpstreamsGroup]
	return h.away(now) || !h.backAt.IsZero() && now.Sub(h.backAt) < returnTime
}

// settleLeaving takes out the upstreams that didn't come back.
func (l *Loop) settleLeaving(now time.Time) {
	for id, at := range l.leaving {
		if now.Before(at) || l.health[mirror.UpstreamsGroup].away(now) {
			continue
		}
		delete(l.leaving, id)
		if l.parts.Pool.RemoveUpstream(id) {
			l.parts.Log.Info().Str("upstream", string(id)).Msg("upstream gone; it did not return to the list")
		}
	}
}

// catchUp asks a peer for a group of which it holds a newer state, when the platform
// doesn't give it.
func (l *Loop) catchUp(ctx context.Context, now time.Time, g mirror.Group) {
	h := &l.health[g]
	newest, ok := l.newest(g)
	if !ok || newestRevision(newest, g) <= l.stores[g].Revision() {
		h.behind = 0
		return
	}
	if h.behind == 0 || h.behind <= l.stores[g].Revision() {
		h.behind = newestRevision(newest, g)
		h.behindSince = now
	}
	if !h.lost && now.Sub(h.behindSince) < behindTime {
		return
	}
	l.ask(ctx, newest, g)
}

// newest returns the alive member that holds the newest state of a group.
func (l *Loop) newest(g mirror.Group) (gossip.Record, bool) {
	var best gossip.Record
	found := false
	for _, m := range l.View().Membership.Members {
		if m.Alive && (!found || newestRevision(m.Record, g) > newestRevision(best, g)) {
			best = m.Record
			found = true
		}
	}
	return best, found
}

func newestRevision(r gossip.Record, g mirror.Group) uint64 {
	if g == mirror.OperatorGroup {
		return r.OperatorRevision
	}
	return r.UpstreamsRevision
}
