package fetch

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

const (
	// maxPageQuestions is the number of pages that are asked for at once.
	maxPageQuestions = 8
	// pageWait is how long an instance that is not a reader waits for peers to have
	// a page before it reads the platform.
	pageWait = 3 * time.Second
	// stallAfter is how long none of a candidate's pages comes before a lower table
	// that peers have in force is fetched; postponedFor is the time it gets for that.
	stallAfter   = 5 * time.Second
	postponedFor = 10 * time.Second
)

// tableState holds the table in force and the one that is being fetched.
type tableState struct {
	inForce table.Version
	// manifest is that of the table in force.
	manifest Value
	// pages holds the pages of the table in force and no others.
	pages     map[table.Digest][]byte
	candidate *candidate
	// postponed is a candidate whose pages could not be had for a while.
	postponed postponed
	// refused is the version refused last, problem is why, refusedAt is when.
	refused   table.Version
	problem   error
	refusedAt time.Time
	conflict  table.Version
}

// candidate is a newer table that still lacks pages.
type candidate struct {
	version  table.Version
	manifest table.Manifest
	value    Value
	// from is the peer that gave the manifest; empty for the platform.
	from  ident.Instance
	since time.Time
	// progress is when the newest page came.
	progress time.Time
	// pages holds the pages at hand, those of the table in force included.
	pages map[table.Digest][]byte
	// missing holds the other ones; order is their digests in the order in which
	// they are fetched.
	missing map[table.Digest]*fetch
	order   []table.Digest
}

// postponed is a candidate that was set aside so that a lower one, which peers have
// in force, can be fetched. Its pages are not kept.
type postponed struct {
	version table.Version
	value   Value
	from    ident.Instance
	// until is when it is tried again, if nothing lower came in force before.
	until time.Time
}

// fetch is what is under way for one missing page.
type fetch struct {
	question question
	// reading is set while the platform is asked for the page.
	reading bool
	lostAt  time.Time
	retryAt time.Time
	// failures counts the platform's answers without the page.
	failures int
}

func (h *tableState) page(digest table.Digest) ([]byte, bool) {
	if data, found := h.pages[digest]; found {
		return data, true
	}
	if h.candidate == nil {
		return nil, false
	}
	data, found := h.candidate.pages[digest]
	return data, found
}

// offerManifest decides on a manifest by the rules of the table's revisions.
func (s *State) offerManifest(v Value, from ident.Instance) {
	manifest, err := table.ParseManifest(v.Data)
	version := table.Version{Revision: manifest.Revision, Digest: table.DigestOf(v.Data)}
	if err != nil {
		s.refuse(version, table.Newer, err)
		return
	}
	switch verdict := manifest.Compare(s.table.inForce); verdict {
	case table.Same:
		s.table.manifest.Revision = max(s.table.manifest.Revision, v.Revision)
	case table.Older:
		s.counts.StaleAnswers++
	case table.Conflict:
		s.refuseConflict(version)
	case table.BadBase:
		s.refuse(version, verdict, nil)
	case table.Newer:
		s.consider(manifest, version, v, from)
	}
}

// refuse keeps what is in force and reports the offer, once for each version.
func (s *State) refuse(version table.Version, verdict table.Verdict, err error) {
	known := version == s.table.refused
	s.table.refusedAt = s.now
	if known {
		return
	}
	s.table.refused = version
	s.table.problem = err
	s.counts.RejectedTables++
	s.act(ValueRejected{Key: ManifestKey, Version: version, Verdict: verdict, Err: err})
}

func (s *State) refuseConflict(version table.Version) {
	if version == s.table.conflict {
		return
	}
	s.table.conflict = version
	s.counts.Conflicts++
	s.act(ValueRejected{Key: ManifestKey, Version: version, Verdict: table.Conflict})
}

// consider makes a manifest the candidate, unless the one being fetched is as
// good. Of two with one revision the platform's newer one goes first, as neither
// is in force yet.
func (s *State) consider(m table.Manifest, version table.Version, v Value, from ident.Instance) {
	if version == s.table.refused {
		s.table.refusedAt = s.now
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
	s.finishCandidate()
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
		missing:  map[table.Digest]*fetch{},
	}
	for _, ref := range m.Pages {
		data, found := s.table.page(ref.Digest)
		if found {
			c.pages[ref.Digest] = data
			continue
		}
		if c.missing[ref.Digest] == nil {
			c.missing[ref.Digest] = &fetch{}
			c.order = append(c.order, ref.Digest)
		}
	}
	return c
}

// finishCandidate brings the candidate in force when no page is missing.
func (s *State) finishCandidate() {
	c := s.table.candidate
	if c == nil || len(c.missing) > 0 {
		return
	}
	s.table.candidate = nil
	built, err := table.Build(c.manifest, c.pages)
	if err != nil {
		s.refuse(c.version, table.Newer, err)
		return
	}
	s.table.inForce = c.version
	s.table.manifest = c.value
	s.table.pages = c.pages
	s.table.conflict = table.Version{}
	s.act(TableActivated{Table: built})
	s.table.postponed.until = s.now
	s.announce(c.from)
}

// stalled reports whether none of the candidate's pages came for a while, now or
// when it was postponed. An instance does not wait for it to become ready.
func (s *State) stalled() bool {
	c := s.table.candidate
	return s.now.Sub(c.progress) >= stallAfter || c.version == s.table.postponed.version
}

// postpone sets a stalled candidate aside when peers have a lower table in force that
// is newer than the one here.
func (s *State) postpone() {
	c := s.table.candidate
	if s.now.Sub(c.progress) < stallAfter {
		return
	}
	newest := s.newest(watchManifest)
	if newest <= s.table.inForce.Revision || newest >= c.version.Revision {
		return
	}
	s.table.postponed = postponed{version: c.version, value: c.value, from: c.from, until: s.now.Add(postponedFor)}
	s.table.candidate = nil
}

// resume makes the postponed candidate the candidate again.
func (s *State) resume() {
	p := &s.table.postponed
	if p.value.Data == nil || s.now.Before(p.until) {
		return
	}
	v := p.value
	p.value = Value{}
	s.offerManifest(v, p.from)
}

// reading reports whether a page is being read from the platform.
func (c *candidate) reading() bool {
	if c == nil {
		return false
	}
	for _, f := range c.missing {
		if f.reading {
			return true
		}
	}
	return false
}

// takePage takes in a page, or notes that the source does not have it.
func (s *State) takePage(digest table.Digest, data []byte, found bool, from ident.Instance) {
	c := s.table.candidate
	if c == nil || c.missing[digest] == nil {
		return
	}
	if !found || table.DigestOf(data) != digest {
		if found {
			s.counts.BadPages++
		}
		s.pageFailed(digest, from)
		return
	}
	c.pages[digest] = data
	c.progress = s.now
	delete(c.missing, digest)
	c.order = slices.DeleteFunc(c.order, func(d table.Digest) bool { return d == digest })
	s.finishCandidate()
}

// pageFailed notes that a peer, or with an empty name the platform, did not give
// a page.
func (s *State) pageFailed(digest table.Digest, from ident.Instance) {
	c := s.table.candidate
	if c == nil || c.missing[digest] == nil {
		return
	}
	f := c.missing[digest]
	if from == "" {
		f.reading = false
		wait := min(maxBackoff, minBackoff<<min(f.failures, 5))
		f.failures++
		f.retryAt = s.now.Add(wait + s.upTo(wait))
		f.question.tried = nil
		return
	}
	if f.question.asked == from {
		f.question.fail()
	}
}

// planPages fetches missing pages: from peers that have the table in force, else
// from the platform.
func (s *State) planPages() {
	if s.table.candidate != nil {
		s.postpone()
	}
	if s.table.candidate == nil {
		s.resume()
	}
	c := s.table.candidate
	if c == nil {
		return
	}
	asked := 0
	for _, digest := range c.order {
		f := c.missing[digest]
		s.expire(f)
		if f.question.asked == "" && !f.reading && asked < maxPageQuestions {
			s.fetchPage(c, digest, f)
		}
		if f.question.asked != "" {
			asked++
		}
	}
}

// expire ends what has taken too long.
func (s *State) expire(f *fetch) {
	if f.question.asked != "" && s.now.After(f.question.lateAt) {
		f.question.fail()
	}
	if f.reading && s.now.After(f.lostAt) {
		f.reading = false
		s.backOff(0)
	}
}

func (s *State) fetchPage(c *candidate, digest table.Digest, f *fetch) {
	holder, found := s.holder(&f.question, func(p *Peer) bool {
		return p.Instance == c.from || p.Revisions.Table >= c.version.Revision
	})
	if found {
		f.question.asked = holder
		f.question.lateAt = s.now.Add(questionTimeout)
		s.counts.PeerReads++
		s.act(ReadPeer{Instance: holder, Key: PageKey(digest)})
		return
	}
	s.askAgain(&f.question)
	own := s.watching() || s.now.Sub(c.since) >= pageWait
	if !own || s.now.Before(f.retryAt) || !s.mayRead() {
		return
	}
	f.reading = true
	f.lostAt = s.now.Add(lostAfter)
	s.spend()
	s.act(ReadPlatform{Key: PageKey(digest)})
}

// askAgain lets the peers that failed on a page be asked again after a while.
func (s *State) askAgain(q *question) {
	switch {
	case len(q.tried) == 0:
	case q.retryAt.IsZero():
		q.retryAt = s.now.Add(askAgainAfter + s.upTo(askAgainAfter))
	case !s.now.Before(q.retryAt):
		q.tried = nil
		q.retryAt = time.Time{}
	}
}
