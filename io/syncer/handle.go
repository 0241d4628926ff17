package syncer

import (
	"context"

	"arbutustrestle/core/mirror"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// Handler serves what other entries open. It embeds nothing of the requests: Relay is
// set by the request path.
type Handler struct {
	Loop *Loop
	// RelayFunc serves a relayed request.
	RelayFunc func(ctx context.Context, s *link.Stream, r *wire.Relay)
}

var (
	_ link.Handler      = (*Handler)(nil)
	_ link.RelayHandler = (*Handler)(nil)
)

// Notify takes in a beat, or changes of published values.
func (h *Handler) Notify(from link.Identity, n *wire.Notice) {
	switch kind := n.GetKind().(type) {
	case *wire.Notice_Beat:
		records, err := wire.BeatFromWire(kind.Beat)
		if err == nil && len(records) > 0 && records[0].ID == from.Incarnation.Instance {
			h.Loop.take(records)
			return
		}
	case *wire.Notice_Changes:
		if g, known := mirror.ParseGroup(kind.Changes.GetGroup()); known {
			h.Loop.hear(from.Incarnation.Instance, g, kind.Changes)
			return
		}
	}
	h.Loop.parts.Metrics.Events.Add("notice-not-valid", 1)
}

// Fetch returns the published values of a group, when they are newer.
func (h *Handler) Fetch(ctx context.Context, _ link.Identity, f *wire.Fetch) *wire.Value {
	return h.Loop.fetch(ctx, f)
}

// Locate finds nothing: no records are kept here.
func (h *Handler) Locate(link.Identity, *wire.Locate) *wire.Located {
	return &wire.Located{}
}

// Handover takes nothing over.
func (h *Handler) Handover(context.Context, *link.Stream, *wire.Handover) {}

// Forward serves no request of the table's interface.
func (h *Handler) Forward(context.Context, *link.Stream, *wire.Forward) {}

// Relay serves a relayed request.
func (h *Handler) Relay(ctx context.Context, s *link.Stream, r *wire.Relay) {
	h.RelayFunc(ctx, s, r)
}
