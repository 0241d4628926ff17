package syncer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/mirror"
)

const (
	// watchWait is the longest wait of one watch call. A watch that no longer responds
	// is detected after this time, which leaves the rest of the 3 s in which a change
	// must become active for a new read.
	watchWait = 1500 * time.Millisecond
	// reportTimeout is how long a peer's report from the platform is valid: one watch
	// without changes, plus the delivery of the report.
	reportTimeout = 2 * time.Second
	// readTimeout bounds one read of a whole group or of missed changes, which may be large. A
	// source that is silent returns earlier.
	readTimeout = 4 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed read, with jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// batchDelay lets changes of the list accumulate before the next watch, because
	// each call is paid for.
	batchDelay = 300 * time.Millisecond
	// shortOutage is an outage too short for any entry of the list to expire.
	shortOutage = 300 * time.Millisecond
	// catchUpDelay is how long this instance may hold an older revision than a peer
	// before it fetches from that peer.
	catchUpDelay = 500 * time.Millisecond
)

// watch reads and watches one group until the context is done.
func (l *Loop) watch(ctx context.Context, g mirror.Group) {
	h := &l.health[g]
	full := true
	backoff := minBackoff
	for ctx.Err() == nil {
		if !full {
			l.waitWhilePaused(ctx, h)
		}
		items, revision, err := l.read(ctx, g, full)
		switch {
		case err == nil:
			// Until it is merged, the next read would return the same again.
			l.postAndWait(func(now time.Time) { l.readSucceeded(ctx, now, g, items, revision, full) })
			full = false
			backoff = minBackoff
			if g == mirror.UpstreamsGroup {
				clock.Sleep(ctx, batchDelay)
			}
		case errors.Is(err, ErrCompacted):
			full = true
			l.post(func(time.Time) { l.logListing(g, err) })
			clock.Sleep(ctx, jitter(minBackoff))
		default:
			l.post(func(now time.Time) { l.readFailed(now, g, err) })
			clock.Sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (l *Loop) read(ctx context.Context, g mirror.Group, full bool) ([]mirror.Item, uint64, error) {
	l.opts.Metrics.Events.Add("platform-reads", 1)
	if full {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return l.opts.Source.List(ctx, g)
	}
	return l.opts.Source.Watch(ctx, g, l.health[g].revision.Load(), watchWait)
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2)
}

// readSucceeded applies the result of a read, and forwards the changes from a watch to
// peers.
func (l *Loop) readSucceeded(ctx context.Context, now time.Time, g mirror.Group, items []mirror.Item, revision uint64, full bool) {
	h := &l.health[g]
	if h.lost {
		h.lost = false
		if now.Sub(h.lostAt) > shortOutage {
			h.regainedAt = now
		}
		l.opts.Log.Info().Str("dependency", "platform").Str("group", g.String()).Dur("away", now.Sub(h.lostAt)).EmbedObject(storeRevision(revision)).Msg("dependency regained")
	}
	after := l.mirrors[g].Revision()
	if !full && len(items) > 0 && revision <= after {
		l.opts.Metrics.Events.Add("changes-read-again", 1)
		l.opts.Log.Info().Str("group", g.String()).EmbedObject(storeRevision(revision)).Int("bytes", sizeOf(items)).Msg("changes read that are held already")
	}
	l.merge(ctx, now, g, items, revision, full)
	h.heardAt = now
	if !full {
		l.forwardChanges(ctx, now, g, after, items)
	}
}

// logListing logs why a group is read as a whole again.
func (l *Loop) logListing(g mirror.Group, err error) {
	l.opts.Metrics.Events.Add("watches-ended", 1)
	l.opts.Log.Info().Err(err).Str("group", g.String()).EmbedObject(storeRevision(l.mirrors[g].Revision())).Msg("the watch cannot continue; the group is read again")
}

func (l *Loop) readFailed(now time.Time, g mirror.Group, err error) {
	l.opts.Metrics.Events.Add("platform-read-failures", 1)
	h := &l.health[g]
	if h.lost {
		return
	}
	h.lost = true
	h.lostAt = now
	l.opts.Log.Warn().Err(err).Str("dependency", "platform").Str("group", g.String()).EmbedObject(storeRevision(l.mirrors[g].Revision())).Msg("dependency lost")
}

// merge merges values into the mirror of a group and activates the changed ones.
func (l *Loop) merge(ctx context.Context, now time.Time, g mirror.Group, items []mirror.Item, revision uint64, full bool) {
	held := &l.mirrors[g]
	l.logNotTaken(g, held.NotTaken(items))
	returned := l.noticeReturn(now, g, revision)
	var changes []mirror.Item
	if full {
		changes = held.Replace(items, revision)
		l.health[g].listed = true
		if g == mirror.UpstreamsGroup {
			l.opts.Pool.MarkListRead(now, l.health[g].heardAt)
		}
	} else {
		changes = held.Apply(items, revision)
	}
	l.health[g].revision.Store(held.Revision())
	for _, item := range changes {
		l.activate(now, item, returned)
	}
	if len(changes) > 0 {
		l.publish(now)
		l.reportStreams(now)
	}
	l.becomeReady(ctx, now)
}

// logNotTaken counts the values that are passed over because the held ones have higher
// revisions, and logs the first of them. That is usual for a listing that was overtaken by
// changes, but not for many listings in a row.
func (l *Loop) logNotTaken(g mirror.Group, items []mirror.Item) {
	if len(items) == 0 {
		return
	}
	l.opts.Metrics.Events.Add("values-not-taken", int64(len(items)))
	l.opts.Log.Info().
		Str("group", g.String()).
		Int("values", len(items)).
		Str("key", items[0].Key).
		EmbedObject(storeRevision(items[0].Revision)).
		Object("held", storeRevision(l.mirrors[g].Revision())).
		Msg("published values not taken; the held ones have higher revisions")
}

// catchUp reads the changes of a group that peers hold, if the platform does not deliver them.
func (l *Loop) catchUp(ctx context.Context, now time.Time, g mirror.Group) {
	h := &l.health[g]
	newest, ok := l.newestPeer(g)
	if !ok {
		h.missingRevision = 0
		return
	}
	if h.missingRevision == 0 || h.missingRevision <= l.mirrors[g].Revision() {
		h.missingRevision = groupRevision(&newest, g)
		h.missingSince = now
	}
	if !h.lost && now.Sub(h.missingSince) < catchUpDelay {
		return
	}
	l.fetchFromPeer(ctx, now, newest, g)
}
