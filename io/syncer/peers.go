package syncer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/mirror"
	"arbutustrestle/io/wire"
)

// ask has the values of a group fetched from a peer, unless some are being fetched.
func (l *Loop) ask(ctx context.Context, from gossip.Record, g mirror.Group) {
	if l.health[g].asking {
		return
	}
	l.health[g].asking = true
	after := l.stores[g].Revision()
	l.work.Go(func() { l.askNow(ctx, from, g, after) })
}

func (l *Loop) askNow(ctx context.Context, from gossip.Record, g mirror.Group, after uint64) {
	v, err := l.parts.Links.Fetch(ctx, from.PeerAddress, &wire.Fetch{Key: g.String(), After: after})
	var published wire.Published
	if err == nil {
		err = proto.Unmarshal(v.GetBody(), &published)
	}
	l.post(func(now time.Time) {
		l.health[g].asking = false
		if err != nil {
			l.parts.Log.Warn().Err(err).Str("step", "fetch").Str("peer", string(from.ID)).Str("group", g.String()).Msg("values not fetched from a peer")
			return
		}
		if !v.GetFound() {
			return
		}
		l.parts.Log.Info().Str("peer", string(from.ID)).Str("group", g.String()).Uint64("revision", v.GetRevision()).Msg("values taken from a peer")
		l.merge(ctx, now, g, itemsFromWire(published.GetItems()), v.GetRevision(), true)
	})
}

// fetch answers a peer.
func (l *Loop) fetch(ctx context.Context, f *wire.Fetch) *wire.Value {
	g, known := mirror.ParseGroup(f.GetKey())
	if !known {
		return &wire.Value{Key: f.GetKey()}
	}
	reply := make(chan *wire.Value, 1)
	l.post(func(time.Time) { reply <- l.value(g, f.GetAfter()) })
	select {
	case v := <-reply:
		return v
	case <-ctx.Done():
	case <-l.done:
	}
	return &wire.Value{Key: f.GetKey()}
}

func (l *Loop) value(g mirror.Group, after uint64) *wire.Value {
	v := &wire.Value{Key: g.String()}
	store := &l.stores[g]
	if store.Revision() <= after || !l.health[g].listed {
		return v
	}
	body, err := proto.Marshal(&wire.Published{Items: itemsToWire(store.Items())})
	if err != nil {
		l.parts.Log.Error().Err(err).Str("group", g.String()).Msg("values not written for a peer")
		return v
	}
	v.Found = true
	v.Revision = store.Revision()
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
