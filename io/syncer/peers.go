package syncer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/mirror"
	"arbutustrestle/io/wire"
)

// fetchFromPeer starts fetching the values of a group from a peer, unless a fetch of
// that group is already running.
func (l *Loop) fetchFromPeer(ctx context.Context, from gossip.Record, g mirror.Group) {
	if l.health[g].fetching {
		return
	}
	l.health[g].fetching = true
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
		l.health[g].fetching = false
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
