package loop

import (
	"context"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/io/entry"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

// Handler serves the streams and messages of peers: it passes control messages to the
// loop, and requests to the filters.
type Handler struct {
	Loop     *Loop
	Records  *entry.Records
	Forwards *entry.ForwardHandler
}

var _ link.Handler = (*Handler)(nil)

// Notify receives a heartbeat, a summary or an announcement. It drops invalid messages,
// and heartbeats whose sender is not the peer of the link.
func (h *Handler) Notify(from link.Identity, n *wire.Notice) {
	event := noticeEvent(from, n)
	if event == nil {
		h.Loop.deps.Metrics.Events.Add("notice-not-valid", 1)
		return
	}
	h.Loop.TryPost(event)
}

func noticeEvent(from link.Identity, n *wire.Notice) node.Event {
	switch kind := n.GetKind().(type) {
	case *wire.Notice_Heartbeat:
		heartbeat, err := wire.HeartbeatFromWire(kind.Heartbeat)
		if err != nil || heartbeat.From != from.Incarnation {
			return nil
		}
		return node.HeartbeatArrived{Heartbeat: heartbeat}
	case *wire.Notice_Summary:
		summary, err := wire.SummaryFromWire(kind.Summary)
		if err != nil {
			return nil
		}
		return node.SummaryArrived{Summary: summary}
	case *wire.Notice_Announcement:
		return node.AnnouncementArrived{Instance: from.Incarnation.Instance, Revisions: member.Revisions{
			Table:     ident.Revision(kind.Announcement.GetTableRevision()),
			Entries:   ident.Revision(kind.Announcement.GetEntriesRevision()),
			Upstreams: ident.Revision(kind.Announcement.GetUpstreamsRevision()),
		}}
	default:
		return nil
	}
}

// Fetch returns a published value that this instance holds.
func (h *Handler) Fetch(ctx context.Context, _ link.Identity, f *wire.Fetch) *wire.Value {
	reply := &wire.Value{Key: f.GetKey()}
	err := h.Loop.Query(ctx, func(n *node.Node) {
		value, found := n.Value(fetch.Key(f.GetKey()), ident.Revision(f.GetAfter()))
		if !found {
			return
		}
		reply.Found = true
		reply.Revision = uint64(value.Revision)
		reply.Body = value.Data
	})
	if err != nil {
		return &wire.Value{Key: f.GetKey()}
	}
	return reply
}

// Locate returns the note that names the successor of a stopped incarnation.
func (h *Handler) Locate(_ link.Identity, l *wire.Locate) *wire.Located {
	stopped, err := ident.ParseIncarnation(l.GetIncarnation())
	if err != nil {
		return &wire.Located{}
	}
	note, found := h.Records.FindSuccessorNote(stopped)
	if !found {
		return &wire.Located{}
	}
	return &wire.Located{Found: true, Note: wire.SuccessorNoteToWire(h.Loop.deps.Clock.Now(), note)}
}

// Forward serves a forwarded request.
func (h *Handler) Forward(ctx context.Context, s *link.Stream, f *wire.Forward) {
	h.Forwards.Forward(ctx, s, f)
}
