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
	// maxSuccessors is the maximum number of members that are tried as the successor.
	maxSuccessors = 3
)

// Handover receives the records of a stopping instance. It reports them as accepted only
// if it holds all of them.
func (h *Handler) Handover(_ context.Context, s *link.Stream, m *wire.Handover) {
	log := h.Loop.deps.Log
	from, err := ident.ParseIncarnation(m.GetIncarnation())
	if err != nil || from != s.Peer.Incarnation {
		return
	}
	owners, err := h.receiveChunks(s)
	if err != nil {
		log.Warn().Err(err).Str("step", "handover").Str("peer", from.String()).Msg("records not taken over")
		return
	}
	// A newer table may have disallowed a workspace here since the sender checked.
	h.Records.DropDisallowedAnswers(h.Loop.View().Allows)
	for owner := range owners {
		h.addOwnNote(owner)
	}
	accepted := h.Records.ImportComplete(from)
	log.Info().Str("step", "handover").Str("peer", from.String()).Bool("complete", accepted).Msg("records taken over")
	s.SetDeadline(time.Now().Add(chunkTimeout))
	_ = s.Send(&wire.Handed{Accepted: accepted})
}

// receiveChunks imports all chunks and returns the incarnations whose records they
// contain.
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

// addOwnNote adds a note that names this instance as the successor of an incarnation
// whose records it holds completely, in case that incarnation dies before it can
// publish such a note itself.
func (h *Handler) addOwnNote(stopped ident.Incarnation) {
	v := h.Loop.View()
	if v.Table == nil || !h.Records.ImportComplete(stopped) {
		return
	}
	expires := h.Loop.deps.Clock.Now().Add(v.Table.Policy().RecordRetention)
	h.Records.AddSuccessorNote(dedup.SuccessorNote{Stopped: stopped, Successor: v.Self, Expires: expires})
}

// HandOverRecords seals the records and sends them to another instance of the region.
// Attempts count from 1; each uses the next best instance, and the first again after the
// last. The heartbeats that follow name the successor. HandOverRecords returns an error if
// that instance did not accept all records; requests with the keys of these records then
// get an unknown outcome once this process has exited.
func (l *Loop) HandOverRecords(ctx context.Context, attempt int) error {
	v := l.View()
	if v.Table == nil {
		return nil
	}
	successors := rankSuccessors(v)
	if len(successors) == 0 {
		return errors.NotFoundf("another instance in %s for the handover of the records", v.Region)
	}
	m := successors[(attempt-1)%len(successors)]
	if err := l.sendRecords(ctx, v, m); err != nil {
		return errors.Annotatef(err, "hand over to %s", m.Entry.ID)
	}
	expires := l.deps.Clock.Now().Add(v.Table.Policy().RecordRetention)
	l.deps.Records.AddSuccessorNote(dedup.SuccessorNote{Stopped: v.Self, Successor: m.Incarnation(), Expires: expires})
	l.deps.Log.Info().Str("step", "handover").Str("peer", string(m.Entry.ID)).Msg("records handed over")
	return nil
}

// rankSuccessors returns the members that may receive the records, best first. The
// ranking is by rendezvous hashing.
func rankSuccessors(v *node.View) []*member.Member {
	var ids []ident.Instance
	for _, id := range v.Members.AvailableInstances() {
		if m, found := v.Members.Member(id); found && m.Usable && id != v.Self.Instance {
			ids = append(ids, id)
		}
	}
	var members []*member.Member
	for _, id := range rank.Top("successor "+v.Self.String(), ids, maxSuccessors) {
		m, _ := v.Members.Member(id)
		members = append(members, m)
	}
	return members
}

func (l *Loop) sendRecords(ctx context.Context, v *node.View, m *member.Member) error {
	place := reside.Place{Zone: m.Entry.Zone, Region: m.Entry.Region}
	chunks := l.deps.Records.Export(func(w ident.Workspace) bool {
		return reside.Check(v.Table, w, place) == reside.Allowed
	})
	s, err := l.deps.Links.Handover(ctx, m.Entry.Peer)
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
	return l.awaitAccepted(s)
}

func (l *Loop) awaitAccepted(s *link.Stream) error {
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
