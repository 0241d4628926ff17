package loop

import (
	"context"
	"net/netip"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/io/source"
	"arbutustrestle/io/wire"
)

func heartbeatNotice(h member.Heartbeat) *wire.Notice {
	return &wire.Notice{Kind: &wire.Notice_Heartbeat{Heartbeat: wire.HeartbeatToWire(h)}}
}

func summaryNotice(s member.RegionSummary) *wire.Notice {
	return &wire.Notice{Kind: &wire.Notice_Summary{Summary: wire.SummaryToWire(s)}}
}

func announcementNotice(self ident.Incarnation, h member.Revisions) *wire.Notice {
	return &wire.Notice{Kind: &wire.Notice_Announcement{Announcement: &wire.Announcement{
		Incarnation:       self.String(),
		TableRevision:     uint64(h.Table),
		EntriesRevision:   uint64(h.Entries),
		UpstreamsRevision: uint64(h.Upstreams),
	}}}
}

// notify sends a notice in the background. It drops the notice if the previous one to
// the same address is still being sent, as the next heartbeat carries newer content.
func (l *Loop) notify(ctx context.Context, to ident.Instance, address netip.AddrPort, n *wire.Notice) {
	if !l.beginSend(address) {
		l.deps.Metrics.Events.Add("notice-dropped", 1)
		return
	}
	l.workers.Go(func() {
		defer l.endSend(address)
		if err := l.deps.Links.Notify(ctx, address, n); err != nil {
			l.deps.Metrics.Events.Add("notice-failed", 1)
			l.deps.Log.Debug().Err(err).Str("step", "notify").Str("peer", string(to)).Msg("notice not sent")
			if to != "" {
				l.TryPost(node.SendFailed{To: to})
			}
		}
	})
}

func (l *Loop) beginSend(address netip.AddrPort) bool {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	_, busy := l.sendingTo[address]
	l.sendingTo[address] = struct{}{}
	return !busy
}

func (l *Loop) endSend(address netip.AddrPort) {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	delete(l.sendingTo, address)
}

func (l *Loop) announce(ctx context.Context, a node.SendAnnouncement) {
	n := announcementNotice(l.deps.Node.View().Self, a.Revisions)
	for _, address := range a.To {
		l.notify(ctx, "", address, n)
	}
}

// readPlatform reads a value from the first platform address that responds.
func (l *Loop) readPlatform(ctx context.Context, a node.ReadPlatform) {
	l.deps.Metrics.Events.Add("platform-reads", 1)
	requestedAt := l.deps.Clock.Now()
	var lastErr error
	for _, client := range l.deps.PlatformClients {
		reply, err := client.Read(ctx, string(a.Key), a.After, a.Wait)
		if err == nil {
			l.Post(node.FetchAnswered{Event: fetchEvent(a.Key, reply), AskedAt: requestedAt})
			return
		}
		lastErr = err
		requestedAt = l.deps.Clock.Now()
	}
	l.deps.Metrics.Events.Add("platform-read-failures", 1)
	if ctx.Err() == nil {
		l.deps.Log.Warn().Err(lastErr).Str("step", "read").Str("peer", "platform").Str("key", string(a.Key)).Msg("platform not read")
	}
	l.Post(node.FetchAnswered{Event: fetch.PlatformFailed{Key: a.Key}})
}

func fetchEvent(key fetch.Key, reply source.Reply) fetch.Event {
	switch r := reply.(type) {
	case source.Found:
		value := fetch.Value{Revision: r.Value.Revision, Data: r.Value.Body}
		return fetch.PlatformAnswered{Key: key, Answer: fetch.Found, Value: value}
	case source.Unchanged:
		return fetch.PlatformAnswered{Key: key, Answer: fetch.Unchanged}
	case source.Absent:
		return fetch.PlatformAnswered{Key: key, Answer: fetch.Absent}
	case source.RateLimited:
		return fetch.PlatformFailed{Key: key, RetryAfter: r.RetryAfter}
	default:
		return fetch.PlatformFailed{Key: key}
	}
}

func (l *Loop) fetchFromPeer(ctx context.Context, a node.ReadPeer) {
	request := &wire.Fetch{Key: string(a.Key), After: uint64(a.After)}
	v, err := l.deps.Links.Fetch(ctx, a.Address, request)
	if err != nil || v.GetKey() != string(a.Key) {
		l.deps.Metrics.Events.Add("peer-fetch-failures", 1)
		l.Post(node.FetchAnswered{Event: fetch.PeerFailed{Instance: a.Instance, Key: a.Key}})
		return
	}
	value := fetch.Value{Revision: ident.Revision(v.GetRevision()), Data: v.GetBody()}
	l.Post(node.FetchAnswered{Event: fetch.PeerAnswered{Instance: a.Instance, Key: a.Key, Found: v.GetFound(), Value: value}})
}

func (l *Loop) pollLoad(ctx context.Context, a node.PollLoad) {
	report, models, err := l.deps.LoadReader.Read(ctx, a.Address)
	if err != nil {
		l.deps.Metrics.Events.Add("load-poll-failures", 1)
		l.Post(node.LoadPollFailed{Upstream: a.Upstream})
		return
	}
	l.Post(node.LoadPolled{Upstream: a.Upstream, Report: report, Models: models})
}

// sendOrder sends an order. If no answer arrives, the order is sent again later. An order
// is idempotent, since it states the wanted state.
func (l *Loop) sendOrder(ctx context.Context, a node.SendOrder) {
	l.deps.Metrics.Events.Add("orders-sent", 1)
	result, err := l.deps.OrderSender.Send(ctx, a.Address, a.Send)
	if err != nil {
		l.deps.Metrics.Events.Add("order-failures", 1)
		l.deps.Log.Warn().Err(err).Str("step", "order").Str("peer", string(a.Upstream)).Msg("order not confirmed")
	}
	l.Post(node.OrderAnswered{Result: result})
}

func (l *Loop) reportHeldOrder(a node.OrderHeld) {
	l.deps.Metrics.Events.Add("order-held-"+a.Reason.String(), 1)
	l.deps.Log.Info().Str("step", "order").Str("peer", string(a.Upstream)).Str("reason", a.Reason.String()).Msg("order held back")
}
