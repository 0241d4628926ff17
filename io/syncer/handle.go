package syncer

import (
	"context"

	"arbutustrestle/core/mirror"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// Handler serves the streams and notices of peers. The request path sets RelayFunc.
type Handler struct {
	Loop *Loop
	// RelayFunc serves a relayed request.
	RelayFunc func(ctx context.Context, s *link.Stream, r *wire.Relay)
}

var (
	_ link.Handler      = (*Handler)(nil)
	_ link.RelayHandler = (*Handler)(nil)
	_ link.QuotaHandler = (*Handler)(nil)
)

// Notify handles a heartbeat, changes of published values, streams that have begun or transfers of
// quotas. Anything else, and a heartbeat whose first record is not the sender's own, is counted and
// dropped.
func (h *Handler) Notify(from link.Identity, n *wire.Notice) {
	switch kind := n.GetKind().(type) {
	case *wire.Notice_Beat:
		records, err := wire.GossipRecordsFromWire(kind.Beat)
		if err == nil && len(records) > 0 && records[0].ID == from.Incarnation.Instance {
			h.Loop.receiveHeartbeat(records)
			return
		}
	case *wire.Notice_Changes:
		if g, known := mirror.ParseGroup(kind.Changes.GetGroup()); known {
			h.Loop.receiveChanges(from.Incarnation.Instance, g, kind.Changes)
			return
		}
	case *wire.Notice_StreamsBegun:
		h.Loop.receiveStreams(wire.StreamsFromWire(kind.StreamsBegun.GetGroups()))
		return
	case *wire.Notice_QuotaTransfer:
		h.Loop.receiveTransfers(from.Incarnation, kind.QuotaTransfer)
		return
	}
	h.Loop.opts.Metrics.Events.Add("notice-not-valid", 1)
}

// Fetch returns the published values of a group if they are newer than the revision
// that the peer holds.
func (h *Handler) Fetch(ctx context.Context, _ link.Identity, f *wire.Fetch) *wire.Value {
	return h.Loop.serveFetch(ctx, f)
}

// Locate returns an empty result: this instance keeps no records of calls.
func (h *Handler) Locate(link.Identity, *wire.Locate) *wire.Located {
	return &wire.Located{}
}

// Handover accepts no records.
func (h *Handler) Handover(context.Context, *link.Stream, *wire.Handover) {}

// Forward serves no requests: they belong to the interface of the table.
func (h *Handler) Forward(context.Context, *link.Stream, *wire.Forward) {}

// Relay serves a relayed request.
func (h *Handler) Relay(ctx context.Context, s *link.Stream, r *wire.Relay) {
	h.RelayFunc(ctx, s, r)
}

// DrawQuota answers a draw from the pool that this instance holds.
func (h *Handler) DrawQuota(_ link.Identity, d *wire.QuotaDraw) *wire.QuotaAnswer {
	return h.Loop.answerDraw(d)
}
