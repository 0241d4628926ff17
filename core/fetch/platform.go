package fetch

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

const (
	// watchWait is how long a reader asks the platform to wait for a change.
	watchWait = 20 * time.Second
	// lostAfter is how long after its wait a read that has not ended counts as lost.
	lostAfter = 10 * time.Second
	// checkEvery is how often an instance that is not a reader reads for itself,
	// give or take a quarter.
	checkEvery = time.Minute
	// electedSpread spreads the first watches of instances elected together.
	electedSpread = 500 * time.Millisecond
	// absentEvery is how often an absent value is read again.
	absentEvery = 2 * time.Second
	// minBackoff and maxBackoff bound the time between reads of a platform that
	// fails, before it is spread by half either way.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// readerGap and otherGap, times the readers and the entries of the fleet, are
	// the time between two reads of one instance at its fastest. What is not used is
	// saved for one tick, or for one read. When two readers in each of 48 zones and
	// 274 other instances all read without a break, it is less than 2,000 reads in
	// any second.
	readerGap = 1100 * time.Microsecond
	otherGap  = 1400 * time.Microsecond
	// minGap is the shortest time between reads in a small fleet.
	minGap = 10 * time.Millisecond
	// unknownFleet is the number of entries assumed before the list is known.
	unknownFleet = 370
)

// The watched values, as indexes of State.watches.
const (
	// The entries come first, as they tell how fast this instance may read.
	watchEntries = iota
	watchManifest
	watchUpstreams
	watchCount
)

// watch is what is held of one watched value.
type watch struct {
	key Key
	// value is a list in force; unused for the manifest, which tableState holds.
	value Value
	// seen is the platform's highest revision of the value, taken or refused.
	seen ident.Revision
	// answered is set once the platform has answered in this run.
	answered bool
	// absent is set when the platform's newest answer was that there is none.
	absent bool
	// readAt is when the read under way began; lostAt is when it counts as lost.
	// lostAt is zero when no read is under way.
	readAt time.Time
	lostAt time.Time
	// after and waited are what it asked for.
	after  ident.Revision
	waited time.Duration
	// nextRead is when the next read is due.
	nextRead time.Time
	question question
}

// platform holds what all reads of the platform share.
type platform struct {
	failures int
	// retryAt is when a read may be made after a failure.
	retryAt time.Time
	// credit is the number of reads that may be made now.
	credit   float64
	refilled time.Time
}

// planReads makes the reads of watched values that are due.
func (s *State) planReads() {
	for i := range s.watches {
		w := &s.watches[i]
		if !w.lostAt.IsZero() && s.now.After(w.lostAt) {
			s.backOff(0)
			w.lostAt = time.Time{}
		}
		if w.lostAt.IsZero() && !w.nextRead.After(s.now) && s.mayRead() {
			s.read(w)
		}
	}
}

// read reads a watched value, and waits at the platform when this is a reader
// that knows the value already.
func (s *State) read(w *watch) {
	wait := time.Duration(0)
	if w.answered && s.watching() && s.platform.failures == 0 {
		wait = watchWait
	}
	w.readAt = s.now
	w.after = w.seen
	w.waited = wait
	w.lostAt = s.now.Add(wait + lostAfter)
	s.spend()
	s.act(ReadPlatform{Key: w.key, After: w.seen, Wait: wait})
}

// mayRead reports whether the rate and the platform's state allow a read now.
// After a failure one read at a time tries whether the platform is back.
func (s *State) mayRead() bool {
	if s.now.Before(s.platform.retryAt) {
		return false
	}
	if s.platform.failures > 0 && s.readingAny() {
		return false
	}
	s.refill()
	return s.platform.credit >= 1
}

func (s *State) readingAny() bool {
	for i := range s.watches {
		w := &s.watches[i]
		if !w.lostAt.IsZero() && w.waited == 0 {
			return true
		}
	}
	return s.table.candidate.reading()
}

func (s *State) refill() {
	gap := s.gap()
	burst := max(1, member.TickInterval.Seconds()/gap.Seconds())
	earned := s.now.Sub(s.platform.refilled).Seconds() / gap.Seconds()
	s.platform.credit = min(burst, s.platform.credit+earned)
	s.platform.refilled = s.now
}

// gap returns the time between two reads at the fastest.
func (s *State) gap() time.Duration {
	switch {
	case s.fleet == 0:
		return unknownFleet * otherGap
	case s.reader:
		return max(minGap, time.Duration(s.readers)*readerGap)
	default:
		return max(minGap, time.Duration(s.fleet)*otherGap)
	}
}

func (s *State) spend() {
	s.platform.credit--
	s.counts.PlatformReads++
}

func (s *State) platformAnswered(e PlatformAnswered) {
	s.platform.failures = 0
	if digest, isPage := e.Key.PageDigest(); isPage {
		s.takePage(digest, e.Value.Data, e.Answer == Found, "")
		return
	}
	i, found := s.watchOf(e.Key)
	if !found {
		return
	}
	w := &s.watches[i]
	w.answered = true
	w.absent = e.Answer == Absent
	if w.ends(s.now, e) {
		w.lostAt = time.Time{}
		w.nextRead = s.afterAnswer(w, e.Answer)
	}
	if e.Answer != Found {
		return
	}
	if e.Value.Revision < w.seen {
		s.counts.StaleAnswers++
		return
	}
	s.takeValue(i, e.Value, "")
}

// ends reports whether an answer can be that of the read under way. Others are late
// or doubled, or of a read made elsewhere in the instance: were the next read to
// begin at each of them, the reads under way would grow in number.
func (w *watch) ends(now time.Time, e PlatformAnswered) bool {
	switch e.Answer {
	case Found:
		return e.Value.Revision > w.after || w.after == 0
	case Unchanged:
		return now.Sub(w.readAt) >= w.waited/2
	default:
		return true
	}
}

// afterAnswer returns when the value may be read again.
func (s *State) afterAnswer(w *watch, answer Answer) time.Time {
	if !s.watching() {
		return w.readAt.Add(checkEvery*3/4 + s.upTo(checkEvery/2))
	}
	if answer == Absent {
		return s.now.Add(absentEvery + s.upTo(absentEvery))
	}
	return s.now
}

func (s *State) platformFailed(e PlatformFailed) {
	s.counts.PlatformFailures++
	if digest, isPage := e.Key.PageDigest(); isPage {
		s.pageFailed(digest, "")
	} else if i, found := s.watchOf(e.Key); found {
		s.watches[i].lostAt = time.Time{}
		s.watches[i].nextRead = s.now
	}
	s.backOff(e.RetryAfter)
}

// backOff holds back all reads after a failed one. Failures of reads that were
// under way at once count once.
func (s *State) backOff(retryAfter time.Duration) {
	if s.platform.failures > 0 && s.now.Before(s.platform.retryAt) && retryAfter == 0 {
		return
	}
	wait := min(maxBackoff, minBackoff<<min(s.platform.failures, 5))
	s.platform.failures++
	until := s.now.Add(wait/2 + s.upTo(wait))
	if retryAfter > 0 {
		// Those that were refused together must not come back together.
		spread := s.now.Add(retryAfter + s.upTo(retryAfter+minBackoff))
		if spread.After(until) {
			until = spread
		}
	}
	if until.After(s.platform.retryAt) {
		s.platform.retryAt = until
	}
}

func (s *State) watchOf(key Key) (int, bool) {
	for i := range s.watches {
		if s.watches[i].key == key {
			return i, true
		}
	}
	return 0, false
}

// takeValue takes in a watched value from the platform, or from a peer.
func (s *State) takeValue(i int, v Value, from ident.Instance) {
	w := &s.watches[i]
	w.seen = max(w.seen, v.Revision)
	if i == watchManifest {
		s.offerManifest(v, from)
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
			s.act(ValueRejected{Key: w.key, Err: err})
			return
		}
	}
	w.value = v
	if i == watchEntries {
		s.counted = false
	}
	s.act(ListActivated{Key: w.key, Value: v})
	s.announce(from)
}
