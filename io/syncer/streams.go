package syncer

import (
	"context"
	"math/rand/v2"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/io/wire"
)

const (
	// announceDelay is the time for which streams that have begun are collected before peers
	// are told of them.
	announceDelay = 20 * time.Millisecond
	// maxAnnouncePeers is the number of peers up to which all are told at once. Where there
	// are more, announceNear of the region and announceFar of others are, and pass it on with
	// their heartbeats.
	maxAnnouncePeers = 8
	announceNear     = 3
	announceFar      = 1
)

// Ambiguous reports whether it can't be told from the config and the list of upstreams where
// a stream of a service began: its routes lead to others too or did so lately, versions differ,
// or the list hasn't been followed for long enough.
func (l *Loop) Ambiguous(service ident.Service) bool {
	config := l.View().Config
	now := l.opts.Clock.Now()
	if config == nil || config.SharesRoutes(service) || config.Moved(now, service) {
		return true
	}
	_, sole := l.opts.Pool.SoleVersion(now, service, config.StreamLife(service))
	return !sole
}

// AnnounceStream tells peers soon that a stream has begun.
func (l *Loop) AnnounceStream(key gossip.StreamKey, origin gossip.StreamOrigin) {
	l.announceMu.Lock()
	defer l.announceMu.Unlock()
	l.announced = append(l.announced, gossip.BegunStreams{Origin: origin, Keys: []gossip.StreamKey{key}})
	if len(l.announced) == 1 {
		time.AfterFunc(announceDelay, func() { l.post(l.announceStreams) })
	}
}

// reportStreams updates the streams in the instance's own record, and announces those of which peers
// have just become unable to tell where they began.
func (l *Loop) reportStreams(now time.Time) {
	report := l.opts.Streams.Report(now, l.Ambiguous)
	l.membership.UpdateSelf(func(r *gossip.Record) {
		r.BegunStreams = report.Everywhere
		r.RegionStreams = report.InRegion
	})
	l.sendStreams(now, report.AtOnce)
}

// announceStreams sends the collected streams to peers.
func (l *Loop) announceStreams(now time.Time) {
	l.announceMu.Lock()
	streams := l.announced
	l.announced = nil
	l.announceMu.Unlock()
	l.sendStreams(now, streams)
}

func (l *Loop) sendStreams(now time.Time, streams []gossip.BegunStreams) {
	if len(streams) == 0 {
		return
	}
	notice := &wire.Notice{Kind: &wire.Notice_StreamsBegun{StreamsBegun: &wire.StreamsBegun{Groups: wire.StreamsToWire(streams)}}}
	for _, m := range announcePeers(l.membership.View(now)) {
		l.work.Go(func() { l.announceTo(l.runCtx, m, notice) })
	}
}

// announcePeers returns the peers that are told of streams at once: most of them in the
// region, where callers take up most streams.
func announcePeers(v *gossip.View) []gossip.Member {
	var near, far []gossip.Member
	for _, m := range v.Members {
		switch {
		case !m.Alive || !m.Contact:
		case m.Region == v.Self.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near)+len(far) <= maxAnnouncePeers {
		return append(near, far...)
	}
	return append(sample(near, announceNear), sample(far, announceFar)...)
}

// sample returns up to count random members of a list.
func sample(list []gossip.Member, count int) []gossip.Member {
	var chosen []gossip.Member
	for _, i := range rand.Perm(len(list))[:min(count, len(list))] {
		chosen = append(chosen, list[i])
	}
	return chosen
}

func (l *Loop) announceTo(ctx context.Context, m gossip.Member, notice *wire.Notice) {
	ctx, cancel := context.WithTimeout(ctx, shortSendTimeout)
	defer cancel()
	if err := l.opts.Links.Notify(ctx, m.PeerAddress, notice); err != nil {
		l.opts.Metrics.Events.Add("streams-not-announced", 1)
		l.opts.Log.Debug().Err(err).Str("peer", string(m.ID)).Msg("begun streams not announced; the next heartbeat has them")
	}
}

// receiveStreams records streams that a peer announces, and passes them on if it doesn't tell
// all others.
func (l *Loop) receiveStreams(groups []gossip.BegunStreams) {
	now := l.opts.Clock.Now()
	if len(l.View().Membership.Members) > maxAnnouncePeers {
		l.opts.Streams.PassOn(now, groups)
		return
	}
	l.opts.Streams.Learn(now, groups)
}

// learnStreams records the streams that a member has named in its last heartbeat.
func (l *Loop) learnStreams(now time.Time, v *gossip.View, m *gossip.Member) {
	switch {
	case len(m.BegunStreams) == 0:
	case l.passesOn(v, m):
		l.opts.Streams.PassOn(now, m.BegunStreams)
	default:
		l.opts.Streams.Learn(now, m.BegunStreams)
	}
}
