package fetch

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

const (
	// maxPageReads is the number of pages that are read from peers at the same time.
	maxPageReads = 8
	// peerPageWait is how long an instance that is not a reader waits for peers to
	// have a page before it reads the platform.
	peerPageWait = 3 * time.Second
	// stallTimeout is the time without any of a candidate's pages after which an older
	// table that is active on peers is fetched instead; postponeDuration is how long
	// the candidate is set aside for that.
	stallTimeout     = 5 * time.Second
	postponeDuration = 10 * time.Second
)

// tableState holds the active table and the one that is being fetched.
type tableState struct {
	active table.Version
	// manifest is that of the active table.
	manifest Value
	// pages holds only the pages of the active table.
	pages     map[table.Digest][]byte
	candidate *candidate
	// postponed is a candidate whose pages were unavailable for a while.
	postponed postponed
	// rejected is the version rejected last, rejectionError is the reason, rejectedAt
	// is the time.
	rejected       table.Version
	rejectionError error
	rejectedAt     time.Time
	conflict       table.Version
}

// candidate is a newer table that still lacks pages.
type candidate struct {
	version  table.Version
	manifest table.Manifest
	value    Value
	// from is the peer that sent the manifest; empty for the platform.
	from  ident.Instance
	since time.Time
	// progress is when the newest page arrived.
	progress time.Time
	// pages holds the available pages, including those shared with the active table.
	pages map[table.Digest][]byte
	// missing holds the other pages; order is their digests in the order in which they
	// are fetched.
	missing map[table.Digest]*pageFetch
	order   []table.Digest
}

// postponed is a candidate that was set aside to fetch an older one that is active on
// peers. Its pages are not kept.
type postponed struct {
	version table.Version
	value   Value
	from    ident.Instance
	// until is when it is tried again, or earlier once an older one is activated.
	until time.Time
}

// pageFetch is the state of fetching one missing page.
type pageFetch struct {
	peerRead peerRead
	// platformReading is set while the page is read from the platform.
	platformReading  bool
	platformDeadline time.Time
	platformRetryAt  time.Time
	// platformFailures counts the platform's answers without the page.
	platformFailures int
}

func (t *tableState) page(digest table.Digest) ([]byte, bool) {
	if data, found := t.pages[digest]; found {
		return data, true
	}
	if t.candidate == nil {
		return nil, false
	}
	data, found := t.candidate.pages[digest]
	return data, found
}

// handleManifest handles a manifest by the rules for table revisions.
func (s *State) handleManifest(v Value, from ident.Instance) {
	manifest, err := table.ParseManifest(v.Data)
	version := table.Version{Revision: manifest.Revision, Digest: table.DigestOf(v.Data)}
	if err != nil {
		s.rejectTable(version, table.Newer, err)
		return
	}
	switch verdict := manifest.Compare(s.table.active); verdict {
	case table.Same:
		s.table.manifest.Revision = max(s.table.manifest.Revision, v.Revision)
	case table.Older:
		s.counts.StaleAnswers++
	case table.Conflict:
		s.rejectConflict(version)
	case table.BadBase:
		s.rejectTable(version, verdict, nil)
	case table.Newer:
		s.updateCandidate(manifest, version, v, from)
	}
}

// rejectTable keeps the active table and reports the rejected one, once for each
// version.
func (s *State) rejectTable(version table.Version, verdict table.Verdict, err error) {
	reported := version == s.table.rejected
	s.table.rejectedAt = s.now
	if reported {
		return
	}
	s.table.rejected = version
	s.table.rejectionError = err
	s.counts.RejectedTables++
	s.emit(ValueRejected{Key: ManifestKey, Version: version, Verdict: verdict, Err: err})
}

func (s *State) rejectConflict(version table.Version) {
	if version == s.table.conflict {
		return
	}
	s.table.conflict = version
	s.counts.Conflicts++
	s.emit(ValueRejected{Key: ManifestKey, Version: version, Verdict: table.Conflict})
}

// updateCandidate makes a manifest the candidate, unless the one being fetched is at
// least as new. Of two with the same revision the one with the newer platform revision
// is chosen, as neither is active yet.
func (s *State) updateCandidate(m table.Manifest, version table.Version, v Value, from ident.Instance) {
	if version == s.table.rejected {
		s.table.rejectedAt = s.now
		return
	}
	if c := s.table.candidate; c != nil {
		verdict := table.Compare(c.version, version)
		newer := verdict == table.Conflict && v.Revision > c.value.Revision
		if verdict != table.Newer && !newer {
			return
		}
	}
	s.table.candidate = s.newCandidate(m, version, v, from)
	s.activateIfComplete()
}

func (s *State) newCandidate(m table.Manifest, version table.Version, v Value, from ident.Instance) *candidate {
	c := &candidate{
		version:  version,
		manifest: m,
		value:    v,
		from:     from,
		since:    s.now,
		progress: s.now,
		pages:    map[table.Digest][]byte{},
		missing:  map[table.Digest]*pageFetch{},
	}
	for _, ref := range m.Pages {
		data, found := s.table.page(ref.Digest)
		if found {
			c.pages[ref.Digest] = data
			continue
		}
		if c.missing[ref.Digest] == nil {
			c.missing[ref.Digest] = &pageFetch{}
			c.order = append(c.order, ref.Digest)
		}
	}
	return c
}

// activateIfComplete activates the candidate when no page is missing.
func (s *State) activateIfComplete() {
	c := s.table.candidate
	if c == nil || len(c.missing) > 0 {
		return
	}
	s.table.candidate = nil
	built, err := table.Build(c.manifest, c.pages)
	if err != nil {
		s.rejectTable(c.version, table.Newer, err)
		return
	}
	s.table.active = c.version
	s.table.manifest = c.value
	s.table.pages = c.pages
	s.table.conflict = table.Version{}
	s.emit(TableActivated{Table: built})
	s.table.postponed.until = s.now
	s.announce(c.from)
}

// candidateStalled reports whether none of the candidate's pages arrived for a while,
// now or when it was postponed. A starting instance becomes ready without waiting for
// a stalled candidate.
func (s *State) candidateStalled() bool {
	c := s.table.candidate
	return s.now.Sub(c.progress) >= stallTimeout || c.version == s.table.postponed.version
}

// postponeStalled sets a stalled candidate aside when peers have an older active table
// that is newer than the one here.
func (s *State) postponeStalled() {
	c := s.table.candidate
	if s.now.Sub(c.progress) < stallTimeout {
		return
	}
	newest := s.newestUsable(watchManifest)
	if newest <= s.table.active.Revision || newest >= c.version.Revision {
		return
	}
	s.table.postponed = postponed{version: c.version, value: c.value, from: c.from, until: s.now.Add(postponeDuration)}
	s.table.candidate = nil
}

// resumePostponed makes the postponed candidate the candidate again.
func (s *State) resumePostponed() {
	p := &s.table.postponed
	if p.value.Data == nil || s.now.Before(p.until) {
		return
	}
	v := p.value
	p.value = Value{}
	s.handleManifest(v, p.from)
}

// readsPlatform reports whether a page is being read from the platform.
func (c *candidate) readsPlatform() bool {
	if c == nil {
		return false
	}
	for _, f := range c.missing {
		if f.platformReading {
			return true
		}
	}
	return false
}

// handlePage stores a page, or records that the source does not have it.
func (s *State) handlePage(digest table.Digest, data []byte, found bool, from ident.Instance) {
	c := s.table.candidate
	if c == nil || c.missing[digest] == nil {
		return
	}
	if !found || table.DigestOf(data) != digest {
		if found {
			s.counts.BadPages++
		}
		s.recordPageFailure(digest, from)
		return
	}
	c.pages[digest] = data
	c.progress = s.now
	delete(c.missing, digest)
	c.order = slices.DeleteFunc(c.order, func(d table.Digest) bool { return d == digest })
	s.activateIfComplete()
}

// recordPageFailure records that a peer, or with an empty name the platform, did not
// return a page.
func (s *State) recordPageFailure(digest table.Digest, from ident.Instance) {
	c := s.table.candidate
	if c == nil || c.missing[digest] == nil {
		return
	}
	f := c.missing[digest]
	if from == "" {
		f.platformReading = false
		wait := min(maxBackoff, minBackoff<<min(f.platformFailures, 5))
		f.platformFailures++
		f.platformRetryAt = s.now.Add(wait + s.randomBelow(wait))
		f.peerRead.triedPeers = nil
		return
	}
	if f.peerRead.from == from {
		f.peerRead.finish()
	}
}

// planPageReads fetches missing pages: from peers where the table is active, otherwise
// from the platform.
func (s *State) planPageReads() {
	if s.table.candidate != nil {
		s.postponeStalled()
	}
	if s.table.candidate == nil {
		s.resumePostponed()
	}
	c := s.table.candidate
	if c == nil {
		return
	}
	reading := 0
	for _, digest := range c.order {
		f := c.missing[digest]
		s.expireReads(f)
		if f.peerRead.from == "" && !f.platformReading && reading < maxPageReads {
			s.fetchPage(c, digest, f)
		}
		if f.peerRead.from != "" {
			reading++
		}
	}
}

// expireReads ends the reads of a page that have timed out.
func (s *State) expireReads(f *pageFetch) {
	if f.peerRead.from != "" && s.now.After(f.peerRead.deadline) {
		f.peerRead.finish()
	}
	if f.platformReading && s.now.After(f.platformDeadline) {
		f.platformReading = false
		s.backOff(0)
	}
}

func (s *State) fetchPage(c *candidate, digest table.Digest, f *pageFetch) {
	holder, found := s.chooseHolder(&f.peerRead, func(p *Peer) bool {
		return p.Instance == c.from || p.Revisions.Table >= c.version.Revision
	})
	if found {
		f.peerRead.from = holder
		f.peerRead.deadline = s.now.Add(peerReadTimeout)
		s.counts.PeerReads++
		s.emit(ReadPeer{Instance: holder, Key: PageKey(digest)})
		return
	}
	s.allowPeerRetry(&f.peerRead)
	mayReadPlatform := s.watchesPlatform() || s.now.Sub(c.since) >= peerPageWait
	if !mayReadPlatform || s.now.Before(f.platformRetryAt) || !s.canRead() {
		return
	}
	f.platformReading = true
	f.platformDeadline = s.now.Add(readTimeout)
	s.takeReadToken()
	s.emit(ReadPlatform{Key: PageKey(digest)})
}

// allowPeerRetry allows the peers that were tried for a page to be read again after a
// while.
func (s *State) allowPeerRetry(r *peerRead) {
	switch {
	case len(r.triedPeers) == 0:
	case r.retryAt.IsZero():
		r.retryAt = s.now.Add(peerRetryDelay + s.randomBelow(peerRetryDelay))
	case !s.now.Before(r.retryAt):
		r.triedPeers = nil
		r.retryAt = time.Time{}
	}
}
