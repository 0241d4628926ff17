package syncer

import (
	"context"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/mirror"
	"arbutustrestle/io/wire"
)

// updateWatching decides whether this instance watches the platform itself or pauses
// while peers in its region do.
func (l *Loop) updateWatching(now time.Time) {
	pause := !l.election.ShouldWatch(now, l.View().Membership)
	if pause == l.paused.Swap(pause) {
		return
	}
	l.opts.Log.Info().
		Bool("watches", !pause).
		Object("operator", storeRevision(l.mirrors[mirror.OperatorGroup].Revision())).
		Object("list", storeRevision(l.mirrors[mirror.UpstreamsGroup].Revision())).
		Msg("turn to watch the platform changed")
	if pause {
		return
	}
	for g := range l.health {
		select {
		case l.health[g].resume <- struct{}{}:
		default:
		}
	}
}

// watchesPlatform reports whether this instance watches the platform and its reads
// succeed, so that peers can rely on it.
func (l *Loop) watchesPlatform() bool {
	if l.paused.Load() {
		return false
	}
	for g := range l.health {
		if l.health[g].lost || !l.health[g].listed {
			return false
		}
	}
	return true
}

// waitWhilePaused blocks while peers watch for this instance.
func (l *Loop) waitWhilePaused(ctx context.Context, h *health) {
	for l.paused.Load() {
		select {
		case <-h.resume:
		case <-ctx.Done():
			return
		}
	}
}

// maxForwardedBytes bounds a change that instances send to their peers, times the instances of the
// region. It takes 0.4 s of a link of 10 Mbit/s, on which heartbeats and requests wait behind it.
const maxForwardedBytes = 512 << 10

// forwardChanges sends the result of a watch to the instances in the region that are
// paused, even if nothing has changed. Of changes that are too large for a copy to each of
// them it sends the revision only, and they read the store themselves.
func (l *Loop) forwardChanges(ctx context.Context, now time.Time, g mirror.Group, after uint64, items []mirror.Item) {
	peers := l.pausedPeers()
	size := sizeOf(items)
	// Any number of instances may watch for a while, and send to the few that don't.
	if size*len(l.View().Membership.RegionInstances()) > maxForwardedBytes {
		after, items = l.mirrors[g].Revision(), nil
		l.opts.Metrics.Events.Add("changes-too-large-to-send", 1)
	}
	changes := &wire.Changes{
		Group:      g.String(),
		After:      after,
		Revision:   l.mirrors[g].Revision(),
		Items:      itemsToWire(items),
		ReturnedMs: returnedMillis(now, l.health[g].regainedAt),
	}
	notice := &wire.Notice{Kind: &wire.Notice_Changes{Changes: changes}}
	for _, p := range peers {
		l.work.Go(func() { l.sendChanges(ctx, p, notice) })
	}
	if size > 0 {
		l.opts.Log.Info().
			Str("group", g.String()).
			EmbedObject(storeRevision(changes.GetRevision())).
			Int("values", len(items)).
			Int("bytes", size).
			Int("peers", len(peers)).
			Msg("changes sent to peers")
	}
}

// pausedPeers returns the instances in the region that rely on others to watch the platform.
func (l *Loop) pausedPeers() []gossip.Record {
	var list []gossip.Record
	for _, m := range l.View().Membership.Members {
		if m.Alive && !m.WatchesPlatform && m.Region == l.opts.Self.Region && m.Phase != member.Stopped {
			list = append(list, m.Record)
		}
	}
	return list
}

// sizeOf returns the number of bytes of the values.
func sizeOf(items []mirror.Item) int {
	size := 0
	for _, i := range items {
		size += len(i.Data)
	}
	return size
}

// returnedMillis returns how long ago the platform became available again, or 0 if that
// no longer matters.
func returnedMillis(now, regainedAt time.Time) uint32 {
	elapsed := now.Sub(regainedAt)
	if regainedAt.IsZero() || elapsed >= relistTimeout {
		return 0
	}
	return uint32(max(elapsed, time.Millisecond).Milliseconds())
}

// sendChanges sends changes to one peer. A peer that misses them learns of the newer
// revision from the next heartbeat.
func (l *Loop) sendChanges(ctx context.Context, to gossip.Record, n *wire.Notice) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := l.opts.Links.Notify(ctx, to.PeerAddress, n); err != nil {
		l.opts.Metrics.Events.Add("changes-not-told", 1)
		l.opts.Log.Debug().Err(err).Str("step", "tell").Str("peer", string(to.ID)).Msg("changes not sent")
	}
}

// receiveChanges applies changes from a peer that watches the platform.
func (l *Loop) receiveChanges(from ident.Instance, g mirror.Group, c *wire.Changes) {
	l.post(func(now time.Time) {
		ctx := l.runCtx
		h := &l.health[g]
		h.lastReport = now
		if c.GetReturnedMs() > 0 {
			h.regainedAt = latest(h.regainedAt, now.Add(-time.Duration(c.GetReturnedMs())*time.Millisecond))
		}
		if c.GetAfter() <= l.mirrors[g].Revision() {
			h.heardAt = now
			l.merge(ctx, now, g, itemsFromWire(c.GetItems()), c.GetRevision(), false)
			return
		}
		l.opts.Metrics.Events.Add("changes-missed", 1)
		l.readMissed(ctx, now, from, g)
	})
}

// readMissed reads the changes of a group that a member holds and this instance doesn't: at the
// platform, whose link bears it best if many do, or else from the member.
func (l *Loop) readMissed(ctx context.Context, now time.Time, from ident.Instance, g mirror.Group) {
	h := &l.health[g]
	// Of an instance that rests, a failed read says nothing of the platform now.
	if h.lost && !l.paused.Load() || !h.listed {
		l.fetchFromMember(ctx, now, from, g)
		return
	}
	if !h.mayFetch(now) {
		return
	}
	h.beginFetch(now, readTimeout)
	after := l.mirrors[g].Revision()
	l.work.Go(func() {
		items, revision, full, err := l.readSince(ctx, g, after, readTimeout)
		l.post(func(now time.Time) {
			h.fetches--
			if err == nil {
				l.merge(ctx, now, g, items, revision, full)
				return
			}
			l.opts.Metrics.Events.Add("platform-read-failures", 1)
			l.opts.Log.Info().Err(err).Str("step", "read").Str("group", g.String()).Msg("missed changes not read from the platform")
			if newest, ok := l.newestPeer(g); ok {
				l.fetchFromPeer(ctx, now, newest, g)
				return
			}
			l.fetchFromMember(ctx, now, from, g)
		})
	})
}

// fetchFromMember fetches a whole group from a member whose changes had a gap.
func (l *Loop) fetchFromMember(ctx context.Context, now time.Time, id ident.Instance, g mirror.Group) {
	for _, m := range l.View().Membership.Members {
		if m.ID == id {
			l.fetchFromPeer(ctx, now, m.Record, g)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
