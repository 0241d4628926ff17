package member

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// maxTombstones is the number of earlier runs that are remembered for each instance.
const maxTombstones = 4

// peer is what is held of one other instance of the own region.
type peer struct {
	entry Entry
	// listed and leaving come from the newest listing.
	listed  bool
	leaving bool
	// described is set once the current run has described itself.
	described bool
	addedAt   time.Time
	// start is that of the run heard last; zero when none was heard.
	start uint64
	// sequence is the highest one heard of that run.
	sequence uint64
	heardAt  time.Time
	// echoedAt is when the newest own heartbeat was sent that the run has confirmed.
	echoedAt time.Time
	// failedAt is when a send to the peer failed last.
	failedAt time.Time
	// left is set when the run has said that it stops.
	left bool
	// tombstones are those of earlier runs, the newest last.
	tombstones []tombstone
	phase      Phase
	held       Revisions
	sent       uint64
	nextSend   time.Time
	// status and usable are worked out by refresh.
	status Status
	usable bool
}

// tombstone marks a run whose late heartbeats are ignored.
type tombstone struct {
	start uint64
	// at is when the run was replaced. Only a heartbeat that confirms something
	// sent after it shows that the run was replaced wrongly.
	at time.Time
}

// hear takes a heartbeat in, unless it is late.
func (s *State) hear(h *Heartbeat) {
	p := s.sender(h)
	if p == nil {
		s.counts.UnknownHeartbeats++
		return
	}
	if !s.accepts(p, h) {
		s.counts.LateHeartbeats++
		return
	}
	p.sequence = h.Sequence
	s.note(p, h)
	for i := range h.Summaries {
		s.takeSummary(&h.Summaries[i], false)
	}
	before := p.status
	s.refresh(p)
	if p.status != before || h.Self != nil {
		// The sender waits for an answer, as after a start or a pause, and the next
		// heartbeat may not be due for some periods.
		p.nextSend = s.now
	}
	s.act(HeartbeatAccepted{Heartbeat: *h})
}

// sender finds or adds the peer that sent a heartbeat. It returns nil for one
// that cannot be answered or has no place in this region.
func (s *State) sender(h *Heartbeat) *peer {
	id := h.From.Instance
	if id == s.options.Self.ID || h.From.Start == 0 {
		return nil
	}
	if h.Self != nil && (h.Self.ID != id || h.Self.Region != s.options.Self.Region) {
		return nil
	}
	p := s.find(id)
	if p == nil && h.Self != nil {
		p = s.add(*h.Self)
	}
	return p
}

// accepts reports whether a heartbeat is news of the peer's current run. Starts
// are random, so that a run that was not known before counts as the later one,
// unless it confirms only what was sent before the current run proved itself.
// A wrong choice is undone by proof: the replaced run confirms a heartbeat that
// was sent after the replacement.
func (s *State) accepts(p *peer, h *Heartbeat) bool {
	start := h.From.Start
	if start == p.start {
		return h.Sequence > p.sequence
	}
	proof := s.echoTime(h)
	i := slices.IndexFunc(p.tombstones, func(t tombstone) bool { return t.start == start })
	if i >= 0 {
		if !proof.After(p.tombstones[i].at) {
			return false
		}
		p.tombstones = slices.Delete(p.tombstones, i, i+1)
	}
	if !proof.IsZero() && proof.Before(p.echoedAt) {
		s.addTombstone(p, start)
		return false
	}
	s.replace(p, start)
	return true
}

// replace makes a run the current one.
func (s *State) replace(p *peer, start uint64) {
	if p.start != 0 {
		s.addTombstone(p, p.start)
	}
	p.start = start
	p.sequence = 0
	p.echoedAt = time.Time{}
	p.heardAt = time.Time{}
	p.failedAt = time.Time{}
	p.left = false
	p.described = false
	p.nextSend = s.now
	s.changed = true
}

func (s *State) addTombstone(p *peer, start uint64) {
	p.tombstones = append(p.tombstones, tombstone{start: start, at: s.now})
	if len(p.tombstones) > maxTombstones {
		p.tombstones = slices.Delete(p.tombstones, 0, 1)
	}
}

// echoTime returns when the heartbeat was sent that h confirms, or the zero time
// when it confirms none of this run.
func (s *State) echoTime(h *Heartbeat) time.Time {
	if h.Echo.Start != s.options.Start || h.Echo.Sequence == 0 {
		return time.Time{}
	}
	sent := s.began.Add(time.Duration(h.Echo.Sequence-1) * time.Millisecond)
	if sent.After(s.now) {
		return time.Time{}
	}
	return sent
}

// sequenceNow returns the sequence of something that is sent now. It is never zero.
func (s *State) sequenceNow() uint64 {
	return uint64(s.now.Sub(s.began)/time.Millisecond) + 1
}

// note takes over what an accepted heartbeat says.
func (s *State) note(p *peer, h *Heartbeat) {
	proof := s.echoTime(h)
	if proof.After(p.echoedAt) {
		p.echoedAt = proof
	}
	// After a pause the first heartbeats may have waited in a buffer for as long as
	// the pause lasted; those count only with proof.
	buffered := !s.wokeAt.IsZero() && s.now.Sub(s.wokeAt) < s.period()
	if !buffered || !proof.Before(s.wokeAt) {
		p.heardAt = s.now
	}
	if h.Self != nil {
		s.changed = s.changed || p.entry != *h.Self
		p.entry = *h.Self
		p.described = true
	}
	if p.phase != h.Phase || p.held != h.Revisions {
		p.phase = h.Phase
		p.held = h.Revisions
		s.changed = true
	}
	if h.Phase == Stopped {
		p.left = true
	}
}

// refresh works out the status of a peer and whether it is usable.
func (s *State) refresh(p *peer) {
	status := s.statusOf(p)
	usable := status == Alive && s.confirms(p)
	if status != p.status || usable != p.usable {
		p.status = status
		p.usable = usable
		s.changed = true
	}
}

func (s *State) statusOf(p *peer) Status {
	// The time in which this process stood still is not the peer's silence.
	silence := s.now.Sub(p.heardAt)
	stale := p.heardAt.Before(s.wokeAt)
	if stale {
		silence = s.now.Sub(s.wokeAt)
	}
	switch {
	case p.left:
		return Left
	case p.start == 0:
		return Unproven
	case silence > unreachablePeriods*s.period():
		return Unreachable
	case stale, silence > suspectPeriods*s.period(), p.failedAt.After(p.heardAt):
		return Suspect
	default:
		return Alive
	}
}

// confirms reports whether the peer has shown that messages reach it: it has
// confirmed one that was sent lately and after the last failed send.
func (s *State) confirms(p *peer) bool {
	recent := s.now.Sub(p.echoedAt) <= echoPeriods*s.period()
	return recent && p.echoedAt.After(p.failedAt) && !p.echoedAt.Before(s.wokeAt)
}

// send sends a heartbeat to a peer and plans the next one.
func (s *State) send(p *peer) {
	p.sent = max(p.sent+1, s.sequenceNow())
	h := Heartbeat{
		From:      s.incarnation(),
		Sequence:  p.sent,
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
	answers := p.status == Alive || p.status == Suspect
	if answers {
		h.Summaries = s.relayed()
	}
	s.act(SendHeartbeat{To: p.entry.ID, Address: p.entry.Peer, Heartbeat: h})
	wait := s.spread(s.period())
	if !answers {
		wait *= slowPeriods
	}
	p.nextSend = s.now.Add(wait)
}

// spread returns a time within a twentieth of the given one, so that instances
// that started together do not send together.
func (s *State) spread(d time.Duration) time.Duration {
	width := int64(d / 10)
	return d - d/20 + time.Duration(s.options.Random.Int64N(width))
}

// sendFailed notes that nothing could be delivered to an instance.
func (s *State) sendFailed(to ident.Instance) {
	p := s.find(to)
	if p != nil {
		p.failedAt = s.now
		s.refresh(p)
		return
	}
	if _, known := s.listed[to]; known || s.isContact(to) {
		s.failed[to] = s.now
		s.changed = true
		s.sendSoon(to)
	}
}

func (s *State) incarnation() ident.Incarnation {
	return ident.Incarnation{Instance: s.options.Self.ID, Start: s.options.Start}
}
