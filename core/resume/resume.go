// Package resume remembers which version of an upstream's software streams began at, so that
// a caller who takes one up again, at any instance, gets events that fit those it has.
package resume

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

const (
	// memory is the least time for which the beginning of a stream is remembered, unless
	// there are very many.
	memory = 30 * time.Second
	// maxStreams bounds each half of the streams that are remembered.
	maxStreams = 16384
	// lifeTime bounds the time for which an instance reports a stream that is under way there, as
	// long as a version counts as in use.
	lifeTime = time.Minute
	// endedTime is how long it reports one that was whole: the last part may not have reached the
	// caller.
	endedTime = 3 * time.Second
	// passOnTime is how long an instance reports a stream that a peer has told it of, so that
	// others hear of it sooner than from that peer, which may end.
	passOnTime = 800 * time.Millisecond
	// maxReported bounds the streams in one report, and so the size of heartbeats. Of more, those
	// have their turn for windowTime that had none for the longest time.
	maxReported = 512
	// windowTime is longer than the time between two heartbeats to the same peer, each of which
	// gets only some of the reports.
	windowTime = 2 * time.Second
)

// KeyOf returns the key of the stream whose first event came in answer to a request.
func KeyOf(requestID string) gossip.StreamKey {
	return gossip.StreamKey(xxhash.Sum64String(requestID))
}

// KeyIn returns the key of a stream that began for a workspace. Without one it is that of
// KeyOf.
func KeyIn(workspace ident.Workspace, requestID string) gossip.StreamKey {
	if workspace == "" {
		return KeyOf(requestID)
	}
	// A zero byte separates the two, since neither contains one.
	return KeyOf(string(workspace) + "\x00" + requestID)
}

// ownedKey returns the key under which it is remembered that a stream began for a workspace.
// No workspace has an empty name, so that no stream has that key.
func ownedKey(requestID string) gossip.StreamKey {
	return KeyOf("\x00" + requestID)
}

// Ownership is what is known of the workspace of a stream.
type Ownership uint8

const (
	// UnknownStream means that it isn't known here that the stream began.
	UnknownStream Ownership = iota
	// OwnStream means that the stream began for the workspace, or without one.
	OwnStream
	// ForeignStream means that the stream began for another workspace.
	ForeignStream
)

// beginning is what is known of the beginning of a stream.
type beginning struct {
	origin gossip.StreamOrigin
	// knownAt is since when that is known here: no sooner than the stream began.
	knownAt time.Time
}

// Table holds where streams began, at this instance and at its peers. It is safe for
// concurrent use; its zero value holds none.
type Table struct {
	mu     sync.Mutex
	recent map[gossip.StreamKey]beginning
	older  map[gossip.StreamKey]beginning
	// changed is when recent became empty.
	changed time.Time
	// reported holds the streams that are reported: those under way here, those that broke off
	// here, and those that a peer told of a moment ago.
	reported map[gossip.StreamKey]*reportedStream
	// windowAt is when the streams of the current reports had their turn.
	windowAt time.Time
}

type reportedStream struct {
	key    gossip.StreamKey
	origin gossip.StreamOrigin
	until  time.Time
	// whole is set once the whole stream was passed on.
	whole bool
	// announced is set once peers were told at once, apart from the reports.
	announced bool
	// windowAt is when it last had its turn; zero before.
	windowAt time.Time
}

// Begun records a stream that began, or was taken up, at this instance.
func (t *Table) Begun(now time.Time, key gossip.StreamKey, origin gossip.StreamOrigin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(now, key, origin)
	t.report(key, origin, now.Add(lifeTime))
}

// Report is what an instance reports of streams. Its zero value reports nothing.
type Report struct {
	// Everywhere and InRegion go with heartbeats, to all instances and to those of the region.
	Everywhere, InRegion []gossip.BegunStreams
	// AtOnce is to be announced now: peers have become unable to tell where these began.
	AtOnce []gossip.BegunStreams
}

// BegunIn records a stream that began, or was resumed, at this instance for a workspace, and
// returns its key. announced is set if peers are told at once. That it is of a workspace is
// forgotten no later than where it began: a stream of the same workspace would count as foreign
// otherwise.
func (t *Table) BegunIn(now time.Time, workspace ident.Workspace, requestID string, origin gossip.StreamOrigin, announced bool) gossip.StreamKey {
	key := KeyIn(workspace, requestID)
	t.mu.Lock()
	defer t.mu.Unlock()
	if workspace != "" {
		t.add(now, ownedKey(requestID), origin)
	}
	t.add(now, key, origin)
	t.report(key, origin, now.Add(lifeTime))
	t.markAnnounced(key, announced)
	return key
}

// End records that a stream is no longer under way here. Hardly anybody takes up one that was whole;
// one that broke off is reported for as long as its caller may return.
func (t *Table) End(now time.Time, key gossip.StreamKey, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.reported[key]
	switch {
	case s == nil:
	case whole:
		s.whole, s.until = true, now.Add(endedTime)
	default:
		s.until = now.Add(memory)
	}
}

// LookupIn returns where a stream began that is to be resumed for a workspace. The origin is zero
// unless the stream is its own.
func (t *Table) LookupIn(workspace ident.Workspace, requestID string) (gossip.StreamOrigin, Ownership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, found := t.lookupIn(workspace, requestID); found {
		return b.origin, OwnStream
	}
	if _, found := t.lookup(ownedKey(requestID)); found {
		return gossip.StreamOrigin{}, ForeignStream
	}
	return gossip.StreamOrigin{}, UnknownStream
}

// KnownAt returns since when it is known here where a stream began, which is no sooner than it did.
// It returns false if that isn't known.
func (t *Table) KnownAt(workspace ident.Workspace, requestID string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, found := t.lookupIn(workspace, requestID)
	return b.knownAt, found
}

func (t *Table) lookupIn(workspace ident.Workspace, requestID string) (beginning, bool) {
	if b, found := t.lookup(KeyIn(workspace, requestID)); found {
		return b, true
	}
	return t.lookup(KeyOf(requestID))
}

// PassOn records streams that a peer has told this instance of just now, and reports those
// that it didn't know. To report the others would keep two instances telling each other.
func (t *Table) PassOn(now time.Time, groups []gossip.BegunStreams) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range groups {
		for _, key := range g.Keys {
			if _, known := t.lookup(key); !known {
				t.report(key, g.Origin, now.Add(passOnTime))
				t.markAnnounced(key, true)
			}
			t.add(now, key, g.Origin)
		}
	}
}

// Learn records streams that began at a peer.
func (t *Table) Learn(now time.Time, groups []gossip.BegunStreams) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range groups {
		for _, key := range g.Keys {
			t.add(now, key, g.Origin)
		}
	}
}

// Lookup returns where a stream began.
func (t *Table) Lookup(key gossip.StreamKey) (gossip.StreamOrigin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, found := t.lookup(key)
	return b.origin, found
}

func (t *Table) lookup(key gossip.StreamKey) (beginning, bool) {
	if b, found := t.recent[key]; found {
		return b, true
	}
	b, found := t.older[key]
	return b, found
}

// Report returns the streams that are under way or broke off here, or were passed on lately. They
// are reported in the region whether or not peers could tell by themselves where they began: when
// that changes, it is too late to tell if this instance ends. Those of services for which peers
// can't tell are reported everywhere, and for a while also if they were whole. So are those that began
// at an unproved version: peers don't know that it isn't.
func (t *Table) Report(now time.Time, ambiguous func(ident.Service) bool) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.reported, func(_ gossip.StreamKey, s *reportedStream) bool { return now.After(s.until) })
	unclear := map[ident.Service]bool{}
	var list []*reportedStream
	for _, s := range t.reported {
		service := s.origin.Service
		if _, found := unclear[service]; !found {
			unclear[service] = ambiguous(service)
		}
		if !s.whole || unclear[service] || !s.origin.IsProved() {
			list = append(list, s)
		}
	}
	var r Report
	for _, s := range t.choose(now, list) {
		switch {
		case !unclear[s.origin.Service] && s.origin.IsProved():
			r.InRegion = appendStream(r.InRegion, s)
		case s.announced || s.whole:
			r.Everywhere = appendStream(r.Everywhere, s)
		default:
			s.announced = true
			r.Everywhere = appendStream(r.Everywhere, s)
			r.AtOnce = appendStream(r.AtOnce, s)
		}
	}
	return r
}

// choose returns those of the streams that have room in a report.
func (t *Table) choose(now time.Time, list []*reportedStream) []*reportedStream {
	if now.Sub(t.windowAt) >= windowTime {
		t.windowAt = now
	}
	if len(list) > maxReported {
		slices.SortFunc(list, func(a, b *reportedStream) int {
			return cmp.Or(t.turn(a).Compare(t.turn(b)), cmp.Compare(a.key, b.key))
		})
		list = list[:maxReported]
	}
	for _, s := range list {
		s.windowAt = t.windowAt
	}
	return list
}

// turn returns a time by which streams are chosen: first those that have their turn, then those that
// had none for the longest time.
func (t *Table) turn(s *reportedStream) time.Time {
	if s.windowAt.Equal(t.windowAt) {
		return time.Time{}
	}
	return s.windowAt.Add(1)
}

func appendStream(groups []gossip.BegunStreams, s *reportedStream) []gossip.BegunStreams {
	i := slices.IndexFunc(groups, func(g gossip.BegunStreams) bool { return g.Origin == s.origin })
	if i < 0 {
		i = len(groups)
		groups = append(groups, gossip.BegunStreams{Origin: s.origin})
	}
	groups[i].Keys = append(groups[i].Keys, s.key)
	return groups
}

// report adds a stream to the reports.
func (t *Table) report(key gossip.StreamKey, origin gossip.StreamOrigin, until time.Time) {
	if t.reported == nil {
		t.reported = map[gossip.StreamKey]*reportedStream{}
	}
	if len(t.reported) >= maxStreams {
		return
	}
	t.reported[key] = &reportedStream{key: key, origin: origin, until: until}
}

func (t *Table) markAnnounced(key gossip.StreamKey, announced bool) {
	if s := t.reported[key]; s != nil {
		s.announced = announced
	}
}

// add remembers a stream, and forgets the older half once that is old enough. An instance that doesn't
// know that the version of a beginning was proved later may still report it as unproved.
func (t *Table) add(now time.Time, key gossip.StreamKey, origin gossip.StreamOrigin) {
	began := beginning{origin: origin, knownAt: now}
	if before, found := t.lookup(key); found && (before.origin == origin || !origin.IsProved()) {
		began = before
	}
	if t.recent == nil || len(t.recent) >= maxStreams || now.Sub(t.changed) > memory {
		t.older = t.recent
		t.recent = map[gossip.StreamKey]beginning{}
		t.changed = now
	}
	t.recent[key] = began
}
