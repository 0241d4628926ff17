package member

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// maxTombstones is the number of earlier runs that are remembered for each instance.
const maxTombstones = 4

// peer is the state held for one other instance of the local region.
type peer struct {
	entry Entry
	// listed and leaving come from the newest listing.
	listed  bool
	leaving bool
	// described is set once the current run has described itself.
	described bool
	addedAt   time.Time
	// start identifies the current run; zero when no heartbeat was received.
	start uint64
	// sequence is the highest one received from that run.
	sequence        uint64
	lastHeartbeatAt time.Time
	// confirmedAt is the send time of the newest own heartbeat that the run has
	// confirmed.
	confirmedAt time.Time
	// lastFailureAt is when a send to the peer last failed.
	lastFailureAt time.Time
	// left is set when the run has reported that it stops.
	left bool
	// tombstones are those of earlier runs, the newest last.
	tombstones   []tombstone
	phase        Phase
	revisions    Revisions
	sentSequence uint64
	nextSend     time.Time
	// status and usable are computed by updateStatus.
	status Status
	usable bool
}

// tombstone marks a run whose late heartbeats are ignored.
type tombstone struct {
	start uint64
	// replacedAt is when the run was replaced. Only a heartbeat that confirms
	// something sent after it shows that the run was replaced wrongly.
	replacedAt time.Time
}

// handleHeartbeat processes a heartbeat, unless it is late.
func (s *State) handleHeartbeat(h *Heartbeat) {
	p := s.findOrAddSender(h)
	if p == nil {
		s.counts.UnknownHeartbeats++
		return
	}
	if !s.accepts(p, h) {
		s.counts.LateHeartbeats++
		return
	}
	p.sequence = h.Sequence
	s.recordHeartbeat(p, h)
	for i := range h.Summaries {
		s.handleSummary(&h.Summaries[i], false)
	}
	oldStatus := p.status
	s.updateStatus(p)
	if p.status != oldStatus || h.Self != nil {
		// The sender waits for an answer, as after a start or a pause, and the next
		// heartbeat may not be due for some periods.
		p.nextSend = s.now
	}
	s.emit(HeartbeatAccepted{Heartbeat: *h})
}

// findOrAddSender finds or adds the peer that sent a heartbeat. It returns nil for one
// that cannot be answered or does not belong to this region.
func (s *State) findOrAddSender(h *Heartbeat) *peer {
	id := h.From.Instance
	if id == s.options.Self.ID || h.From.Start == 0 {
		return nil
	}
	if h.Self != nil && (h.Self.ID != id || h.Self.Region != s.options.Self.Region) {
		return nil
	}
	p := s.findPeer(id)
	if p == nil && h.Self != nil {
		p = s.addPeer(*h.Self)
	}
	return p
}

// accepts reports whether a heartbeat is a new one of the peer's current run. Starts
// are random, so a run that was not known before counts as the later one, unless it
// confirms only heartbeats that were sent before the newest one confirmed by the
// current run. A wrong choice is undone by proof: the replaced run confirms a
// heartbeat that was sent after the replacement.
func (s *State) accepts(p *peer, h *Heartbeat) bool {
	start := h.From.Start
	if start == p.start {
		return h.Sequence > p.sequence
	}
	confirmed := s.echoTime(h)
	i := slices.IndexFunc(p.tombstones, func(t tombstone) bool { return t.start == start })
	if i >= 0 {
		if !confirmed.After(p.tombstones[i].replacedAt) {
			return false
		}
		p.tombstones = slices.Delete(p.tombstones, i, i+1)
	}
	if !confirmed.IsZero() && confirmed.Before(p.confirmedAt) {
		s.addTombstone(p, start)
		return false
	}
	s.replaceRun(p, start)
	return true
}

// replaceRun makes a run the current one.
func (s *State) replaceRun(p *peer, start uint64) {
	if p.start != 0 {
		s.addTombstone(p, p.start)
	}
	p.start = start
	p.sequence = 0
	p.confirmedAt = time.Time{}
	p.lastHeartbeatAt = time.Time{}
	p.lastFailureAt = time.Time{}
	p.left = false
	p.described = false
	p.nextSend = s.now
	s.viewChanged = true
}

func (s *State) addTombstone(p *peer, start uint64) {
	p.tombstones = append(p.tombstones, tombstone{start: start, replacedAt: s.now})
	if len(p.tombstones) > maxTombstones {
		p.tombstones = slices.Delete(p.tombstones, 0, 1)
	}
}

// echoTime returns the send time of the heartbeat that h confirms, or the zero time
// when it confirms none of this run.
func (s *State) echoTime(h *Heartbeat) time.Time {
	if h.Echo.Start != s.options.Start || h.Echo.Sequence == 0 {
		return time.Time{}
	}
	sent := s.startedAt.Add(time.Duration(h.Echo.Sequence-1) * time.Millisecond)
	if sent.After(s.now) {
		return time.Time{}
	}
	return sent
}

// currentSequence returns the sequence of a message sent now. It is never zero.
func (s *State) currentSequence() uint64 {
	return uint64(s.now.Sub(s.startedAt)/time.Millisecond) + 1
}

// recordHeartbeat stores the contents of an accepted heartbeat.
func (s *State) recordHeartbeat(p *peer, h *Heartbeat) {
	confirmed := s.echoTime(h)
	if confirmed.After(p.confirmedAt) {
		p.confirmedAt = confirmed
	}
	// After a pause the first heartbeats may have waited in a buffer for as long as
	// the pause lasted; they count only if they confirm a heartbeat sent since the
	// pause.
	buffered := !s.resumedAt.IsZero() && s.now.Sub(s.resumedAt) < s.period()
	if !buffered || !confirmed.Before(s.resumedAt) {
		p.lastHeartbeatAt = s.now
	}
	if h.Self != nil {
		s.viewChanged = s.viewChanged || p.entry != *h.Self
		p.entry = *h.Self
		p.described = true
	}
	if p.phase != h.Phase || p.revisions != h.Revisions {
		p.phase = h.Phase
		p.revisions = h.Revisions
		s.viewChanged = true
	}
	if h.Phase == Stopped {
		p.left = true
	}
}

// updateStatus computes the status of a peer and whether it is usable.
func (s *State) updateStatus(p *peer) {
	status := s.statusOf(p)
	usable := status == Alive && s.confirmsDelivery(p)
	if status != p.status || usable != p.usable {
		p.status = status
		p.usable = usable
		s.viewChanged = true
	}
}

func (s *State) statusOf(p *peer) Status {
	// Time for which this process was paused does not count as the peer's sinceHeartbeat.
	sinceHeartbeat := s.now.Sub(p.lastHeartbeatAt)
	stale := p.lastHeartbeatAt.Before(s.resumedAt)
	if stale {
		sinceHeartbeat = s.now.Sub(s.resumedAt)
	}
	switch {
	case p.left:
		return Left
	case p.start == 0:
		return Unproven
	case sinceHeartbeat > unreachablePeriods*s.period():
		return Unreachable
	case stale, sinceHeartbeat > suspectPeriods*s.period(), p.lastFailureAt.After(p.lastHeartbeatAt):
		return Suspect
	default:
		return Alive
	}
}

// confirmsDelivery reports whether messages are shown to reach the peer: it has
// confirmed one that was sent recently and after the last failed send.
func (s *State) confirmsDelivery(p *peer) bool {
	recent := s.now.Sub(p.confirmedAt) <= maxEchoAgePeriods*s.period()
	return recent && p.confirmedAt.After(p.lastFailureAt) && !p.confirmedAt.Before(s.resumedAt)
}

// sendHeartbeat sends a heartbeat to a peer and schedules the next one.
func (s *State) sendHeartbeat(p *peer) {
	p.sentSequence = max(p.sentSequence+1, s.currentSequence())
	h := Heartbeat{
		From:      s.incarnation(),
		Sequence:  p.sentSequence,
		Phase:     s.local.Phase,
		Revisions: s.local.Revisions,
		Payload:   s.local.Payload,
	}
	if p.start != 0 {
		h.Echo = Echo{Start: p.start, Sequence: p.sequence}
	}
	if !p.usable {
		self := s.options.Self
		h.Self = &self
	}
	responsive := p.status == Alive || p.status == Suspect
	if responsive {
		h.Summaries = s.relayedSummaries()
	}
	s.emit(SendHeartbeat{To: p.entry.ID, Address: p.entry.Peer, Heartbeat: h})
	wait := s.jitter(s.period())
	if !responsive {
		wait *= probePeriods
	}
	p.nextSend = s.now.Add(wait)
}

// jitter returns a random duration within a twentieth (5%) of the given one, so that
// instances that started together do not send together.
func (s *State) jitter(d time.Duration) time.Duration {
	width := int64(d / 10)
	return d - d/20 + time.Duration(s.options.Random.Int64N(width))
}

// recordSendFailure records that nothing could be delivered to an instance.
func (s *State) recordSendFailure(to ident.Instance) {
	p := s.findPeer(to)
	if p != nil {
		p.lastFailureAt = s.now
		s.updateStatus(p)
		return
	}
	if _, known := s.listedEntries[to]; known || s.isContact(to) {
		s.failedSends[to] = s.now
		s.viewChanged = true
		s.expediteSummary(to)
	}
}

func (s *State) incarnation() ident.Incarnation {
	return ident.Incarnation{Instance: s.options.Self.ID, Start: s.options.Start}
}
