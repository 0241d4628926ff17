package fetch

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

const (
	// longPollWait is how long a reader lets the platform wait for a change.
	longPollWait = 20 * time.Second
	// readTimeout is how long after its wait a read that has not ended counts as lost.
	readTimeout = 10 * time.Second
	// pollInterval is the time between platform reads of an instance that is not a
	// reader, plus or minus a quarter.
	pollInterval = time.Minute
	// electedJitter spreads the first watches of instances elected together.
	electedJitter = 500 * time.Millisecond
	// absentRetry is the time before an absent value is read again.
	absentRetry = 2 * time.Second
	// minBackoff and maxBackoff bound the time between reads of a failing platform,
	// before jitter of half of it either way.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// readGapPerReader and readGapPerEntry, multiplied by the readers and the
	// instances of the fleet, are the shortest time between two reads of one instance.
	// Unused reads accumulate for one tick, or up to one read. When two readers in
	// each of 48 zones and 274 other instances all read without a break, the total
	// stays below 2,000 reads in any second.
	readGapPerReader = 1100 * time.Microsecond
	readGapPerEntry  = 1400 * time.Microsecond
	// minReadGap is the shortest time between reads in a small fleet.
	minReadGap = 10 * time.Millisecond
	// assumedFleetSize is the number of instances assumed before the list is known.
	assumedFleetSize = 370
)

// The watched values, as indexes of State.watches.
const (
	// The list of instances comes first, as it limits the read rate of this instance.
	watchEntries = iota
	watchManifest
	watchUpstreams
	watchCount
)

// watch is the state of one watched value.
type watch struct {
	key Key
	// value is an active list; unused for the manifest, which tableState holds.
	value Value
	// seenRevision is the platform's highest revision of the value, accepted or
	// rejected.
	seenRevision ident.Revision
	// answered is set once the platform has answered in this run.
	answered bool
	// absent is set when the platform's newest answer was that there is no value.
	absent bool
	// readStartedAt is when the current read began; deadline is when it counts as
	// lost. deadline is zero when there is no current read.
	readStartedAt time.Time
	deadline      time.Time
	// readAfter and readWait are the parameters of the current read.
	readAfter ident.Revision
	readWait  time.Duration
	// nextReadAt is when the next read is due.
	nextReadAt time.Time
	peerRead   peerRead
}

// platformState is the state shared by all reads of the platform.
type platformState struct {
	failures int
	// retryAt is when a read may be made after a failure.
	retryAt time.Time
	// readTokens is the number of reads that may be made now.
	readTokens float64
	refilledAt time.Time
}

// planPlatformReads starts the reads of watched values that are due.
func (s *State) planPlatformReads() {
	for i := range s.watches {
		w := &s.watches[i]
		if !w.deadline.IsZero() && s.now.After(w.deadline) {
			s.backOff(0)
			w.deadline = time.Time{}
		}
		if w.deadline.IsZero() && !w.nextReadAt.After(s.now) && s.canRead() {
			s.startRead(w)
		}
	}
}

// startRead reads a watched value, as a long poll when this is a reader that already
// has an answer for the value.
func (s *State) startRead(w *watch) {
	wait := time.Duration(0)
	if w.answered && s.watchesPlatform() && s.platform.failures == 0 {
		wait = longPollWait
	}
	w.readStartedAt = s.now
	w.readAfter = w.seenRevision
	w.readWait = wait
	w.deadline = s.now.Add(wait + readTimeout)
	s.takeReadToken()
	s.emit(ReadPlatform{Key: w.key, After: w.seenRevision, Wait: wait})
}

// canRead reports whether the rate limit and the platform's state allow a read now.
// After a failure one read at a time probes whether the platform has recovered.
func (s *State) canRead() bool {
	if s.now.Before(s.platform.retryAt) {
		return false
	}
	if s.platform.failures > 0 && s.readingWithoutWait() {
		return false
	}
	s.refillTokens()
	return s.platform.readTokens >= 1
}

func (s *State) readingWithoutWait() bool {
	for i := range s.watches {
		w := &s.watches[i]
		if !w.deadline.IsZero() && w.readWait == 0 {
			return true
		}
	}
	return s.table.candidate.readsPlatform()
}

func (s *State) refillTokens() {
	gap := s.readGap()
	burst := max(1, member.TickInterval.Seconds()/gap.Seconds())
	refill := s.now.Sub(s.platform.refilledAt).Seconds() / gap.Seconds()
	s.platform.readTokens = min(burst, s.platform.readTokens+refill)
	s.platform.refilledAt = s.now
}

// readGap returns the shortest time between two reads.
func (s *State) readGap() time.Duration {
	switch {
	case s.fleetSize == 0:
		return assumedFleetSize * readGapPerEntry
	case s.reader:
		return max(minReadGap, time.Duration(s.fleetReaders)*readGapPerReader)
	default:
		return max(minReadGap, time.Duration(s.fleetSize)*readGapPerEntry)
	}
}

func (s *State) takeReadToken() {
	s.platform.readTokens--
	s.counts.PlatformReads++
}

func (s *State) handlePlatformAnswer(e PlatformAnswered) {
	s.platform.failures = 0
	if digest, isPage := e.Key.PageDigest(); isPage {
		s.handlePage(digest, e.Value.Data, e.Answer == Found, "")
		return
	}
	i, found := s.watchIndex(e.Key)
	if !found {
		return
	}
	w := &s.watches[i]
	w.answered = true
	w.absent = e.Answer == Absent
	if w.endedBy(s.now, e) {
		w.deadline = time.Time{}
		w.nextReadAt = s.nextReadTime(w, e.Answer)
	}
	if e.Answer != Found {
		return
	}
	if e.Value.Revision < w.seenRevision {
		s.counts.StaleAnswers++
		return
	}
	s.handleValue(i, e.Value, "")
}

// endedBy reports whether an answer can belong to the current read. Others are late or
// duplicated, or belong to a read made elsewhere in the instance: if each of them
// started the next read, the number of concurrent reads would grow.
func (w *watch) endedBy(now time.Time, e PlatformAnswered) bool {
	switch e.Answer {
	case Found:
		return e.Value.Revision > w.readAfter || w.readAfter == 0
	case Unchanged:
		return now.Sub(w.readStartedAt) >= w.readWait/2
	default:
		return true
	}
}

// nextReadTime returns when the value may be read again.
func (s *State) nextReadTime(w *watch, answer Answer) time.Time {
	if !s.watchesPlatform() {
		return w.readStartedAt.Add(pollInterval*3/4 + s.randomBelow(pollInterval/2))
	}
	if answer == Absent {
		return s.now.Add(absentRetry + s.randomBelow(absentRetry))
	}
	return s.now
}

func (s *State) handlePlatformFailure(e PlatformFailed) {
	s.counts.PlatformFailures++
	if digest, isPage := e.Key.PageDigest(); isPage {
		s.recordPageFailure(digest, "")
	} else if i, found := s.watchIndex(e.Key); found {
		s.watches[i].deadline = time.Time{}
		s.watches[i].nextReadAt = s.now
	}
	s.backOff(e.RetryAfter)
}

// backOff delays all reads after a failed one. Failures of concurrent reads count
// once.
func (s *State) backOff(retryAfter time.Duration) {
	if s.platform.failures > 0 && s.now.Before(s.platform.retryAt) && retryAfter == 0 {
		return
	}
	wait := min(maxBackoff, minBackoff<<min(s.platform.failures, 5))
	s.platform.failures++
	until := s.now.Add(wait/2 + s.randomBelow(wait))
	if retryAfter > 0 {
		// Instances that were refused together must not retry together.
		spread := s.now.Add(retryAfter + s.randomBelow(retryAfter+minBackoff))
		if spread.After(until) {
			until = spread
		}
	}
	if until.After(s.platform.retryAt) {
		s.platform.retryAt = until
	}
}

func (s *State) watchIndex(key Key) (int, bool) {
	for i := range s.watches {
		if s.watches[i].key == key {
			return i, true
		}
	}
	return 0, false
}

// handleValue stores a watched value from the platform, or from a peer.
func (s *State) handleValue(i int, v Value, from ident.Instance) {
	w := &s.watches[i]
	w.seenRevision = max(w.seenRevision, v.Revision)
	if i == watchManifest {
		s.handleManifest(v, from)
		return
	}
	if v.Revision <= w.value.Revision {
		if v.Revision < w.value.Revision {
			s.counts.StaleAnswers++
		}
		return
	}
	if s.options.ValidateList != nil {
		if err := s.options.ValidateList(w.key, v.Data); err != nil {
			s.counts.RejectedLists++
			s.emit(ValueRejected{Key: w.key, Err: err})
			return
		}
	}
	w.value = v
	if i == watchEntries {
		s.membershipCurrent = false
	}
	s.emit(ListActivated{Key: w.key, Value: v})
	s.announce(from)
}
