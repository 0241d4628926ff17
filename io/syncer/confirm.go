package syncer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/member"
	"arbutustrestle/core/mirror"
)

// confirmTimeout bounds the read of ConfirmList. It has room for a new connection to another
// region and one call.
const confirmTimeout = 500 * time.Millisecond

// ConfirmList reports whether this instance holds the list of upstreams as it was at a time, or
// as any instance did: an instance that was cut off or stood still may hold an older one. It
// reads the changes at the platform, unless a read or a report of a peer has come since that
// time.
func (l *Loop) ConfirmList(ctx context.Context, since time.Time) bool {
	if l.holdsList(since) {
		return true
	}
	l.opts.Metrics.Events.Add("list-confirmations", 1)
	// All streams that are taken up at once need the same read. One that has begun already is of
	// the time at which an earlier one of them came.
	read := l.confirmations.DoChan("", func() (any, error) {
		return nil, l.readList(context.WithoutCancel(ctx))
	})
	select {
	case r := <-read:
		if r.Err == nil || l.holdsList(since) {
			return true
		}
	case <-ctx.Done():
	}
	l.opts.Metrics.Events.Add("list-not-confirmed", 1)
	return false
}

// readList reads the changes of the list at the platform and merges them.
func (l *Loop) readList(ctx context.Context) error {
	after := l.health[mirror.UpstreamsGroup].revision.Load()
	began := l.opts.Clock.Now()
	items, revision, full, err := l.readSince(ctx, mirror.UpstreamsGroup, after, confirmTimeout)
	if err != nil {
		return errors.Annotate(err, "read the list")
	}
	l.postAndWait(func(now time.Time) {
		l.merge(l.runCtx, now, mirror.UpstreamsGroup, items, revision, full)
		h := &l.health[mirror.UpstreamsGroup]
		h.heardAt = latest(h.heardAt, began)
	})
	return nil
}

// holdsList reports whether the list has been heard of since a time, or nobody can hold a newer
// one.
func (l *Loop) holdsList(since time.Time) bool {
	holds := false
	l.postAndWait(func(now time.Time) {
		h := &l.health[mirror.UpstreamsGroup]
		holds = h.listed && (!h.heardAt.Before(since) || h.unavailable(now) && l.allHoldList())
	})
	return holds
}

// allHoldList reports whether all instances that have not stopped are heard of, and none has a
// newer list.
func (l *Loop) allHoldList() bool {
	members := l.View().Membership.Members
	for i := range members {
		m := &members[i]
		if m.Phase == member.Stopped {
			continue
		}
		if !m.Alive || m.UpstreamsRevision > l.mirrors[mirror.UpstreamsGroup].LastChange() {
			return false
		}
	}
	return len(members) > 0
}
