package loop

import (
	"context"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/reside"
	"arbutustrestle/io/link"
	"arbutustrestle/io/wire"
)

const (
	// chunkTimeout bounds the time for one chunk of a handover.
	chunkTimeout = 5 * time.Second
	// successorTries is the number of members that are asked to be the successor.
	successorTries = 3
)

// Handover takes the records of a stopping instance. It answers that it accepted
// them only when it holds all of them.
func (h *Handler) Handover(_ context.Context, s *link.Stream, m *wire.Handover) {
	log := h.Loop.parts.Log
	from, err := ident.ParseIncarnation(m.GetIncarnation())
	if err != nil || from != s.Peer.Incarnation {
		return
	}
	owners, err := h.receiveChunks(s)
	if err != nil {
		log.Warn().Err(err).Str("step", "handover").Str("peer", from.String()).Msg("records not taken over")
		return
	}
	// A workspace may have lost its place here since the sender looked.
	h.Records.DropDisallowedAnswers(h.Loop.View().Allows)
	for owner := range owners {
		h.noteSelf(owner)
	}
	accepted := h.Records.ImportComplete(from)
	log.Info().Str("step", "handover").Str("peer", from.String()).Bool("complete", accepted).Msg("records taken over")
	s.SetDeadline(time.Now().Add(chunkTimeout))
	_ = s.Send(&wire.Handed{Accepted: accepted})
}

// receiveChunks takes in all chunks and returns whose records they held.
func (h *Handler) receiveChunks(s *link.Stream) (map[ident.Incarnation]struct{}, error) {
	owners := map[ident.Incarnation]struct{}{}
	for {
		s.SetReadDeadline(time.Now().Add(chunkTimeout))
		var m wire.Chunk
		if err := s.Receive(&m); err != nil {
			return nil, errors.Trace(err)
		}
		chunk, err := wire.ChunkFromWire(&m)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if err := h.Records.Import(chunk); err != nil {
			return nil, errors.Trace(err)
		}
		owners[chunk.Owner] = struct{}{}
		if m.GetLast() {
			return owners, nil
		}
	}
}

// noteSelf makes this instance answer for the keys of an incarnation whose records
// it holds whole, also when that incarnation dies before it could say so itself.
func (h *Handler) noteSelf(old ident.Incarnation) {
	v := h.Loop.View()
	if v.Table == nil || !h.Records.ImportComplete(old) {
		return
	}
	expires := h.Loop.parts.Clock.Now().Add(v.Table.Policy().RecordRetention)
	h.Records.AddSuccessorNote(dedup.SuccessorNote{Stopped: old, Successor: v.Self, Expires: expires})
}

// HandOverRecords seals the records and gives them to another entry of the region, the next
// best with each attempt from 1 on; the heartbeats that follow name it. It returns
// an error when that entry did not take them all; the records' keys are then
// answered with an unknown outcome once this process is gone.
func (l *Loop) HandOverRecords(ctx context.Context, attempt int) error {
	v := l.View()
	if v.Table == nil {
		return nil
	}
	successors := successorsOf(v)
	if len(successors) == 0 {
		return errors.NotFoundf("another entry in %s to take the records over", v.Region)
	}
	m := successors[(attempt-1)%len(successors)]
	if err := l.handOverTo(ctx, v, m); err != nil {
		return errors.Annotatef(err, "hand over to %s", m.Entry.ID)
	}
	expires := l.parts.Clock.Now().Add(v.Table.Policy().RecordRetention)
	l.parts.Records.AddSuccessorNote(dedup.SuccessorNote{Stopped: v.Self, Successor: m.Incarnation(), Expires: expires})
	l.parts.Log.Info().Str("step", "handover").Str("peer", string(m.Entry.ID)).Msg("records handed over")
	return nil
}

// successorsOf returns the members that may take the records over, best first.
func successorsOf(v *node.View) []*member.Member {
	var ids []ident.Instance
	for _, id := range v.Members.AvailableInstances() {
		if m, found := v.Members.Member(id); found && m.Usable && id != v.Self.Instance {
			ids = append(ids, id)
		}
	}
	var members []*member.Member
	for _, id := range rank.Top("successor "+v.Self.String(), ids, successorTries) {
		m, _ := v.Members.Member(id)
		members = append(members, m)
	}
	return members
}

func (l *Loop) handOverTo(ctx context.Context, v *node.View, m *member.Member) error {
	place := reside.Place{Zone: m.Entry.Zone, Region: m.Entry.Region}
	chunks := l.parts.Records.Export(func(w ident.Workspace) bool {
		return reside.Check(v.Table, w, place) == reside.Allowed
	})
	s, err := l.parts.Links.Handover(ctx, m.Entry.Peer)
	if err != nil {
		return errors.Trace(err)
	}
	defer s.Close()
	if s.Peer.Incarnation != m.Incarnation() {
		return errors.NotFoundf("incarnation %s", m.Incarnation())
	}
	for i := range chunks {
		s.SetDeadline(time.Now().Add(chunkTimeout))
		message := wire.ChunkToWire(chunks[i])
		message.Last = i == len(chunks)-1
		if err := s.Send(message); err != nil {
			return errors.Trace(err)
		}
	}
	return l.awaitHanded(s)
}

func (l *Loop) awaitHanded(s *link.Stream) error {
	s.SetDeadline(time.Now().Add(chunkTimeout))
	var reply wire.Handed
	if err := s.Receive(&reply); err != nil {
		return errors.Trace(err)
	}
	if !reply.GetAccepted() {
		return errors.Errorf("%s does not hold all records", s.Peer.Incarnation)
	}
	return nil
}
