package fetch

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

const (
	// peerReadTimeout is the maximum duration of a read from a peer.
	peerReadTimeout = 3 * time.Second
	// peerRetryDelay is the time before a value is read again after all its holders
	// were tried.
	peerRetryDelay = 2 * time.Second
	// ownReadJitter spreads the own reads of the list of instances; ownReadWait is the
	// time after which that list is read from peers.
	ownReadJitter = 2 * time.Second
	ownReadWait   = 4 * time.Second
	// rejectedRetry is how long the same revision is not read again after a rejection.
	rejectedRetry = 30 * time.Second
)

// peerRead is the state of reading one value from peers.
type peerRead struct {
	// from is the peer being read; empty when there is none.
	from       ident.Instance
	deadline   time.Time
	triedPeers []ident.Instance
	retryAt    time.Time
	// newerSince is when a newer value was first reported; otherZonesAt is when it may
	// be read from peers of other zones.
	newerSince   time.Time
	otherZonesAt time.Time
}

// finish ends the current read and excludes its peer from the next ones.
func (r *peerRead) finish() {
	r.triedPeers = append(r.triedPeers, r.from)
	r.from = ""
}

// ownRevision returns this instance's revision of a watched value: of the manifest,
// the candidate's if there is one.
func (s *State) ownRevision(i int) ident.Revision {
	if i != watchManifest {
		return s.watches[i].value.Revision
	}
	if s.table.candidate != nil {
		return s.table.candidate.version.Revision
	}
	return s.table.active.Revision
}

// revisionOf returns the revision that a peer holds of a watched value.
func (p *Peer) revisionOf(i int) ident.Revision {
	switch i {
	case watchManifest:
		return p.Revisions.Table
	case watchEntries:
		return p.Revisions.Entries
	default:
		return p.Revisions.Upstreams
	}
}

// newestUsable returns the highest revision that a usable peer holds.
func (s *State) newestUsable(i int) ident.Revision {
	var newest ident.Revision
	for j := range s.peers {
		p := &s.peers[j]
		if p.Usable {
			newest = max(newest, p.revisionOf(i))
		}
	}
	return newest
}

// newestOfAll returns the highest revision that a peer holds, including peers that may
// not receive this instance's messages yet.
func (s *State) newestOfAll(i int) ident.Revision {
	var newest ident.Revision
	for j := range s.peers {
		newest = max(newest, s.peers[j].revisionOf(i))
	}
	return newest
}

// planPeerReads reads the watched values of which peers have newer ones.
func (s *State) planPeerReads() {
	for i := range s.watches {
		w := &s.watches[i]
		r := &w.peerRead
		if r.from != "" && s.now.After(r.deadline) {
			r.finish()
		}
		newest := s.newestUsable(i)
		if newest <= s.ownRevision(i) || s.rejectedRecently(i, newest) {
			*r = peerRead{from: r.from, deadline: r.deadline}
			continue
		}
		if r.newerSince.IsZero() {
			s.recordNewer(i, w)
		}
		if r.from == "" && !s.now.Before(r.retryAt) && !s.defersToOwnRead(i, r) {
			s.readFromPeer(i, w)
		}
	}
}

// recordNewer records that peers have a newer value.
func (s *State) recordNewer(i int, w *watch) {
	r := &w.peerRead
	r.newerSince = s.now
	r.otherZonesAt = s.now.Add(otherZoneDelay + s.randomBelow(otherZoneJitter))
	if ownReadAt := s.now.Add(s.randomBelow(ownReadJitter)); i == watchEntries && ownReadAt.Before(w.nextReadAt) {
		w.nextReadAt = ownReadAt
	}
}

// defersToOwnRead reports whether a value is left to the own read of the platform for
// now. The list of instances of all regions is large: a reader that sent it to its
// zone would spend more bytes on it than on all else, while a read by each instance is
// cheap.
func (s *State) defersToOwnRead(i int, r *peerRead) bool {
	waiting := s.now.Sub(r.newerSince) < ownReadWait
	return i == watchEntries && waiting && s.ready && s.platform.failures == 0
}

func (s *State) rejectedRecently(i int, newest ident.Revision) bool {
	same := newest == s.table.rejected.Revision
	return i == watchManifest && same && s.now.Sub(s.table.rejectedAt) < rejectedRetry
}

// readFromPeer reads a newer value from a peer that was not tried for it: one of the
// local zone, otherwise, after a delay, any. When all were tried this instance reads
// the platform itself.
func (s *State) readFromPeer(i int, w *watch) {
	r := &w.peerRead
	holder, found := s.chooseHolder(r, func(p *Peer) bool { return p.revisionOf(i) > s.ownRevision(i) })
	if found {
		r.from = holder
		r.deadline = s.now.Add(peerReadTimeout)
		s.counts.PeerReads++
		s.emit(ReadPeer{Instance: holder, Key: w.key, After: s.ownRevision(i)})
		return
	}
	if len(r.triedPeers) == 0 {
		return
	}
	r.triedPeers = nil
	r.retryAt = s.now.Add(peerRetryDelay + s.randomBelow(peerRetryDelay))
	w.nextReadAt = s.now
}

// chooseHolder chooses a usable peer that has a value. The choice differs between
// instances, so that they do not all read from the same peer.
func (s *State) chooseHolder(r *peerRead, has func(p *Peer) bool) (ident.Instance, bool) {
	var sameZone, all []ident.Instance
	for j := range s.peers {
		p := &s.peers[j]
		if !p.Usable || !has(p) || slices.Contains(r.triedPeers, p.Instance) {
			continue
		}
		all = append(all, p.Instance)
		if p.Zone == s.options.Zone {
			sameZone = append(sameZone, p.Instance)
		}
	}
	if len(sameZone) > 0 {
		return rank.First(string(s.options.Instance), sameZone)
	}
	if s.ready && s.now.Before(r.otherZonesAt) {
		return "", false
	}
	return rank.First(string(s.options.Instance), all)
}

func (s *State) handlePeerAnswer(e PeerAnswered) {
	s.recordRemoteAnswer(e)
	if digest, isPage := e.Key.PageDigest(); isPage {
		s.handlePage(digest, e.Value.Data, e.Found, e.Instance)
		return
	}
	i, found := s.watchIndex(e.Key)
	if !found {
		return
	}
	r := &s.watches[i].peerRead
	if r.from == e.Instance {
		r.finish()
	}
	if e.Found {
		s.handleValue(i, e.Value, e.Instance)
	}
}

func (s *State) handlePeerFailure(from ident.Instance, key Key) {
	if digest, isPage := key.PageDigest(); isPage {
		s.recordPageFailure(digest, from)
		return
	}
	i, found := s.watchIndex(key)
	if found && s.watches[i].peerRead.from == from {
		s.watches[i].peerRead.finish()
	}
}
