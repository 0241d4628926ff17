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

// takeTurn decides whether this entry watches the platform itself or rests while others
// of its region do.
func (l *Loop) takeTurn(now time.Time) {
	resting := !l.turn.ShouldWatch(now, l.View().Membership)
	if resting == l.resting.Swap(resting) {
		return
	}
	l.parts.Log.Info().
		Bool("watches", !resting).
		Uint64("operator-revision", l.stores[mirror.OperatorGroup].Revision()).
		Uint64("list-revision", l.stores[mirror.UpstreamsGroup].Revision()).
		Msg("turn to watch the platform changed")
	if resting {
		return
	}
	for g := range l.health {
		select {
		case l.health[g].wake <- struct{}{}:
		default:
		}
	}
}

// watches reports whether this entry watches and is answered, so that others can rely
// on it.
func (l *Loop) watches() bool {
	if l.resting.Load() {
		return false
	}
	for g := range l.health {
		if l.health[g].lost || !l.health[g].listed {
			return false
		}
	}
	return true
}

// rest waits while others watch for this entry.
func (l *Loop) rest(ctx context.Context, h *health) {
	for l.resting.Load() {
		select {
		case <-h.wake:
		case <-ctx.Done():
			return
		}
	}
}

// tell passes on to the entries of the region that rest what the platform has just
// said, also when it is that nothing has changed.
func (l *Loop) tell(ctx context.Context, now time.Time, g mirror.Group, after uint64, items []mirror.Item) {
	changes := &wire.Changes{
		Group:      g.String(),
		After:      after,
		Revision:   l.stores[g].Revision(),
		Items:      itemsToWire(items),
		ReturnedMs: returnedMillis(now, l.health[g].backAt),
	}
	notice := &wire.Notice{Kind: &wire.Notice_Changes{Changes: changes}}
	for _, m := range l.View().Membership.Members {
		if !m.Alive || m.WatchesPlatform || m.Region != l.parts.Self.Region || m.Phase == member.Stopped {
			continue
		}
		l.work.Go(func() { l.notify(ctx, m.Record, notice) })
	}
}

// returnedMillis returns how long ago the platform came back, when that still matters.
func returnedMillis(now, backAt time.Time) uint32 {
	ago := now.Sub(backAt)
	if backAt.IsZero() || ago >= returnTime {
		return 0
	}
	return uint32(max(ago, time.Millisecond).Milliseconds())
}

// notify sends changes to one entry. One that misses them learns so from the next beat.
func (l *Loop) notify(ctx context.Context, to gossip.Record, n *wire.Notice) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := l.parts.Links.Notify(ctx, to.PeerAddress, n); err != nil {
		l.parts.Metrics.Events.Add("changes-not-told", 1)
		l.parts.Log.Debug().Err(err).Str("step", "tell").Str("peer", string(to.ID)).Msg("changes not told")
	}
}

// hear takes in what an entry that watches tells.
func (l *Loop) hear(from ident.Instance, g mirror.Group, c *wire.Changes) {
	l.post(func(now time.Time) {
		ctx := l.running
		h := &l.health[g]
		h.vouched = now
		if c.GetReturnedMs() > 0 {
			h.backAt = latest(h.backAt, now.Add(-time.Duration(c.GetReturnedMs())*time.Millisecond))
		}
		if c.GetAfter() <= l.stores[g].Revision() {
			l.merge(ctx, now, g, itemsFromWire(c.GetItems()), c.GetRevision(), false)
			return
		}
		l.parts.Metrics.Events.Add("changes-missed", 1)
		l.askMember(ctx, from, g)
	})
}

// askMember asks a member for a whole group after a gap in what it told.
func (l *Loop) askMember(ctx context.Context, id ident.Instance, g mirror.Group) {
	for _, m := range l.View().Membership.Members {
		if m.ID == id {
			l.ask(ctx, m.Record, g)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
