package syncer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/mirror"
)

const (
	// minPause is the time between two ticks, which are due every gossip.TickInterval, from
	// which on the process counts as paused.
	minPause = time.Second
	// refreshTimeout bounds the reads after a pause. When it has passed, the instance goes
	// on by what it holds, as during an outage of the platform.
	refreshTimeout = 600 * time.Millisecond
)

// refreshAfterPause reads all groups again if the process was paused or the machine was
// suspended since the last tick. Until then, no requests are sent to upstreams.
func (l *Loop) refreshAfterPause(ctx context.Context, now time.Time) {
	before := l.lastTick
	l.lastTick = now
	pause := now.Sub(before) + max(0, clock.Suspension(before, now))
	if before.IsZero() || pause < minPause {
		return
	}
	l.opts.Metrics.Events.Add("pauses", 1)
	l.opts.Log.Warn().Dur("pause", pause).Msg("the process was paused; published values are read again")
	l.opts.Pool.Hold(now.Add(refreshTimeout))
	for g := range mirror.GroupCount {
		if !l.health[g].listed {
			continue
		}
		l.refreshing++
		after := l.mirrors[g].Revision()
		l.work.Go(func() { l.refresh(ctx, g, after) })
	}
}

// refresh reads the changes of a group since a revision, without waiting for any.
func (l *Loop) refresh(ctx context.Context, g mirror.Group, after uint64) {
	items, revision, full, err := l.readSince(ctx, g, after, refreshTimeout)
	l.post(func(now time.Time) {
		if err == nil {
			l.merge(ctx, now, g, items, revision, full)
		} else {
			l.opts.Metrics.Events.Add("platform-read-failures", 1)
			l.opts.Log.Warn().Err(err).Str("step", "refresh").Str("group", g.String()).Msg("values not read after a pause; the held ones stay in force")
		}
		l.refreshing--
		if l.refreshing == 0 {
			l.opts.Pool.Release()
		}
	})
}

// readSince reads the changes of a group since a revision, without waiting for any, or all of the
// group if they are no longer held. It may run on any goroutine.
func (l *Loop) readSince(ctx context.Context, g mirror.Group, after uint64, timeout time.Duration) (items []mirror.Item, revision uint64, full bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.opts.Metrics.Events.Add("platform-reads", 1)
	items, revision, err = l.opts.Source.Watch(ctx, g, after, 0)
	if errors.Is(err, ErrCompacted) {
		items, revision, err = l.opts.Source.List(ctx, g)
		return items, revision, true, err
	}
	return items, revision, false, err
}
