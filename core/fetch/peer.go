package fetch

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

const (
	// questionTimeout is how long a question to a peer may take.
	questionTimeout = 3 * time.Second
	// askAgainAfter is how long after all its holders failed a value is asked for again.
	askAgainAfter = 2 * time.Second
	// ownReadSpread spreads the own reads of the list of entries; ownReadWait is the
	// time after which peers are asked for it.
	ownReadSpread = 2 * time.Second
	ownReadWait   = 4 * time.Second
	// refusedRetry is how long after a refusal the same revision is not asked for.
	refusedRetry = 30 * time.Second
)

// question is what is under way with peers for one value.
type question struct {
	// asked is the peer that was asked; empty when none is.
	asked   ident.Instance
	lateAt  time.Time
	tried   []ident.Instance
	retryAt time.Time
	// since is when a newer value was first known of; otherZoneAt is when peers of
	// other zones may be asked for it.
	since       time.Time
	otherZoneAt time.Time
}

// fail ends the question to the peer that was asked.
func (q *question) fail() {
	q.tried = append(q.tried, q.asked)
	q.asked = ""
}

// mine returns the revision held of a watched value, or being fetched.
func (s *State) mine(i int) ident.Revision {
	if i != watchManifest {
		return s.watches[i].value.Revision
	}
	if s.table.candidate != nil {
		return s.table.candidate.version.Revision
	}
	return s.table.inForce.Revision
}

// heldBy returns the revision that a peer holds of a watched value.
func (p *Peer) heldBy(i int) ident.Revision {
	switch i {
	case watchManifest:
		return p.Revisions.Table
	case watchEntries:
		return p.Revisions.Entries
	default:
		return p.Revisions.Upstreams
	}
}

// newest returns the highest revision that a usable peer holds.
func (s *State) newest(i int) ident.Revision {
	var newest ident.Revision
	for j := range s.peers {
		p := &s.peers[j]
		if p.Usable {
			newest = max(newest, p.heldBy(i))
		}
	}
	return newest
}

// newestHeard returns the highest revision that a peer holds, also one that may not
// hear this instance yet.
func (s *State) newestHeard(i int) ident.Revision {
	var newest ident.Revision
	for j := range s.peers {
		newest = max(newest, s.peers[j].heldBy(i))
	}
	return newest
}

// planQuestions asks peers for the watched values of which they have newer ones.
func (s *State) planQuestions() {
	for i := range s.watches {
		w := &s.watches[i]
		q := &w.question
		if q.asked != "" && s.now.After(q.lateAt) {
			q.fail()
		}
		newest := s.newest(i)
		if newest <= s.mine(i) || s.refusedLately(i, newest) {
			*q = question{asked: q.asked, lateAt: q.lateAt}
			continue
		}
		if q.since.IsZero() {
			s.learn(i, w)
		}
		if q.asked == "" && !s.now.Before(q.retryAt) && !s.readsItself(i, q) {
			s.ask(i, w)
		}
	}
}

// learn notes that peers have a newer value.
func (s *State) learn(i int, w *watch) {
	q := &w.question
	q.since = s.now
	q.otherZoneAt = s.now.Add(otherZoneDelay + s.upTo(otherZoneSpread))
	if own := s.now.Add(s.upTo(ownReadSpread)); i == watchEntries && own.Before(w.nextRead) {
		w.nextRead = own
	}
}

// readsItself reports whether a value is left to the own read for now. The list of
// entries of all regions is large: a reader that gave it to its zone would spend
// more bytes on it than on all else, while a read of each entry is cheap.
func (s *State) readsItself(i int, q *question) bool {
	waits := s.now.Sub(q.since) < ownReadWait
	return i == watchEntries && waits && s.ready && s.platform.failures == 0
}

func (s *State) refusedLately(i int, newest ident.Revision) bool {
	same := newest == s.table.refused.Revision
	return i == watchManifest && same && s.now.Sub(s.table.refusedAt) < refusedRetry
}

// ask asks a peer that has a newer value and has not failed on it: one of the own
// zone, else, after a delay, any. When all have failed this instance reads the
// platform for itself.
func (s *State) ask(i int, w *watch) {
	q := &w.question
	holder, found := s.holder(q, func(p *Peer) bool { return p.heldBy(i) > s.mine(i) })
	if found {
		q.asked = holder
		q.lateAt = s.now.Add(questionTimeout)
		s.counts.PeerReads++
		s.act(ReadPeer{Instance: holder, Key: w.key, After: s.mine(i)})
		return
	}
	if len(q.tried) == 0 {
		return
	}
	q.tried = nil
	q.retryAt = s.now.Add(askAgainAfter + s.upTo(askAgainAfter))
	w.nextRead = s.now
}

// holder chooses a usable peer that has a value. The choice differs between
// instances, so that they don't all ask the same peer.
func (s *State) holder(q *question, has func(p *Peer) bool) (ident.Instance, bool) {
	var near, all []ident.Instance
	for j := range s.peers {
		p := &s.peers[j]
		if !p.Usable || !has(p) || slices.Contains(q.tried, p.Instance) {
			continue
		}
		all = append(all, p.Instance)
		if p.Zone == s.options.Zone {
			near = append(near, p.Instance)
		}
	}
	if len(near) > 0 {
		return rank.First(string(s.options.Instance), near)
	}
	if s.ready && s.now.Before(q.otherZoneAt) {
		return "", false
	}
	return rank.First(string(s.options.Instance), all)
}

func (s *State) peerAnswered(e PeerAnswered) {
	s.remoteAnswered(e)
	if digest, isPage := e.Key.PageDigest(); isPage {
		s.takePage(digest, e.Value.Data, e.Found, e.Instance)
		return
	}
	i, found := s.watchOf(e.Key)
	if !found {
		return
	}
	q := &s.watches[i].question
	if q.asked == e.Instance {
		q.fail()
	}
	if e.Found {
		s.takeValue(i, e.Value, e.Instance)
	}
}

func (s *State) peerFailed(from ident.Instance, key Key) {
	if digest, isPage := key.PageDigest(); isPage {
		s.pageFailed(digest, from)
		return
	}
	i, found := s.watchOf(key)
	if found && s.watches[i].question.asked == from {
		s.watches[i].question.fail()
	}
}
