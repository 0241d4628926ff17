package syncer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/mirror"
	"arbutustrestle/io/wire"
)

const (
	// fetchPatience is how long missed changes may take to arrive before another holder is asked
	// for them too. A config of hundreds of KB takes half of it on a link of 10 Mbit/s.
	fetchPatience = 800 * time.Millisecond
	// maxFetches bounds the reads of the missed changes of a group that are under way.
	maxFetches = 3
	// askAgainAfter is how long a member that was asked is passed over, if others hold the changes
	// too: as long as it may take to answer.
	askAgainAfter = 3 * time.Second
)

// fetchFromPeer starts fetching the values of a group from a peer.
func (l *Loop) fetchFromPeer(ctx context.Context, now time.Time, from gossip.Record, g mirror.Group) {
	h := &l.health[g]
	if !h.mayFetch(now) {
		return
	}
	h.beginFetch(now, fetchPatience)
	l.askedAt[from.ID] = now
	after := l.mirrors[g].Revision()
	l.work.Go(func() { l.fetchGroup(ctx, from, g, after) })
}

func (l *Loop) fetchGroup(ctx context.Context, from gossip.Record, g mirror.Group, after uint64) {
	v, err := l.opts.Links.Fetch(ctx, from.PeerAddress, &wire.Fetch{Key: g.String(), After: after})
	var published wire.Published
	if err == nil {
		err = proto.Unmarshal(v.GetBody(), &published)
	}
	l.post(func(now time.Time) {
		l.health[g].fetches--
		if err != nil {
			l.opts.Log.Warn().Err(err).Str("step", "fetch").Str("peer", string(from.ID)).Str("group", g.String()).Msg("values not fetched from a peer")
			return
		}
		if !v.GetFound() {
			return
		}
		l.opts.Log.Info().Str("peer", string(from.ID)).Str("group", g.String()).EmbedObject(storeRevision(v.GetRevision())).Msg("values taken from a peer")
		l.merge(ctx, now, g, itemsFromWire(published.GetItems()), v.GetRevision(), true)
	})
}

// serveFetch returns the values of a group to a peer.
func (l *Loop) serveFetch(ctx context.Context, f *wire.Fetch) *wire.Value {
	g, known := mirror.ParseGroup(f.GetKey())
	if !known {
		return &wire.Value{Key: f.GetKey()}
	}
	reply := make(chan *wire.Value, 1)
	l.post(func(time.Time) { reply <- l.encodeGroup(g, f.GetAfter()) })
	select {
	case v := <-reply:
		return v
	case <-ctx.Done():
	case <-l.done:
	}
	return &wire.Value{Key: f.GetKey()}
}

func (l *Loop) encodeGroup(g mirror.Group, after uint64) *wire.Value {
	v := &wire.Value{Key: g.String()}
	held := &l.mirrors[g]
	if held.Revision() <= after || !l.health[g].listed {
		return v
	}
	body, err := proto.Marshal(&wire.Published{Items: itemsToWire(held.Items())})
	if err != nil {
		l.opts.Log.Error().Err(err).Str("group", g.String()).Msg("values not encoded for a peer")
		return v
	}
	v.Found = true
	v.Revision = held.Revision()
	v.Body = body
	return v
}

func itemsToWire(items []mirror.Item) []*wire.PublishedItem {
	list := make([]*wire.PublishedItem, 0, len(items))
	for _, i := range items {
		list = append(list, &wire.PublishedItem{Key: i.Key, Revision: i.Revision, Data: i.Data, Removed: i.Removed})
	}
	return list
}

func itemsFromWire(list []*wire.PublishedItem) []mirror.Item {
	items := make([]mirror.Item, 0, len(list))
	for _, i := range list {
		items = append(items, mirror.Item{Key: i.GetKey(), Revision: i.GetRevision(), Data: i.GetData(), Removed: i.GetRemoved()})
	}
	return items
}

// newestPeer returns an alive member that holds a newer revision of a group: the newest one known
// in the own region, or elsewhere if no member of the region has any. Instances that lack the same
// revision choose different ones.
func (l *Loop) newestPeer(g mirror.Group) (gossip.Record, bool) {
	members := l.View().Membership.Members
	own := l.mirrors[g].Revision()
	holders := newestHolders(members, g, own, func(m *gossip.Member) bool { return m.Region == l.opts.Self.Region })
	if len(holders) == 0 {
		holders = newestHolders(members, g, own, func(*gossip.Member) bool { return true })
	}
	if len(holders) == 0 {
		return gossip.Record{}, false
	}
	l.forgetAsked(l.opts.Clock.Now())
	notAsked := slices.DeleteFunc(slices.Clone(holders), func(m *gossip.Member) bool { return !l.askedAt[m.ID].IsZero() })
	if len(notAsked) > 0 {
		holders = notAsked
	}
	return holders[rand.IntN(len(holders))].Record, true
}

// forgetAsked removes the members that may be asked again.
func (l *Loop) forgetAsked(now time.Time) {
	for id, at := range l.askedAt {
		if now.Sub(at) >= askAgainAfter {
			delete(l.askedAt, id)
		}
	}
}

// newestHolders returns the alive members that hold the newest revision of a group above a given
// one, among those that are accepted.
func newestHolders(members []gossip.Member, g mirror.Group, above uint64, accept func(m *gossip.Member) bool) []*gossip.Member {
	var holders []*gossip.Member
	newest := above
	for i := range members {
		m := &members[i]
		revision := groupRevision(&m.Record, g)
		if !m.Alive || revision <= above || revision < newest || !accept(m) {
			continue
		}
		if revision > newest {
			newest = revision
			holders = holders[:0]
		}
		holders = append(holders, m)
	}
	return holders
}

func groupRevision(r *gossip.Record, g mirror.Group) uint64 {
	if g == mirror.OperatorGroup {
		return r.OperatorRevision
	}
	return r.UpstreamsRevision
}
