// Package dedup runs a call that must not repeat at most once, without shared
// state. The key of a call names the one incarnation that may run it; that
// incarnation records the key before it sends anything. When it is gone, the
// outcome is Unknown, and nobody else runs the call.
package dedup

import (
	"cmp"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Limits bounds what the records of one instance hold. A zero field stands for
// its default.
type Limits struct {
	// EpochLength is how long one key epoch is given out. Default 5 minutes.
	EpochLength time.Duration
	// Retention is the least time for which a record is kept, from Begin on.
	// Default 1 hour.
	Retention time.Duration
	// MaxRecords bounds the number of records. Default 50,000.
	MaxRecords int
	// MaxBytes bounds the bytes held by all records. Default 32 MiB.
	MaxBytes int
	// MaxAnswerBytes is the largest answer that is kept, in bytes. Default 64 KiB.
	MaxAnswerBytes int
}

// Defaults of Limits.
const (
	defaultEpochLength = 5 * time.Minute
	defaultRetention   = time.Hour
	defaultMaxRecords  = 50_000
	defaultMaxBytes    = 32 << 20
	defaultMaxAnswer   = 64 << 10
)

// recordBytes is what one record counts towards MaxBytes besides its answer.
const recordBytes = 256

// retryAfterFull is when to come back when running calls hold the space.
const retryAfterFull = time.Second

// retryAfterDrain is when to come back, with a new key, to a fleet of which one
// instance is stopping.
const retryAfterDrain = time.Second

// openEpochs is the number of epochs before the current one in which a new key
// may still begin. It covers a caller that asked for an epoch as it ended.
const openEpochs = 1

// withDefaults replaces zero fields.
func (l Limits) withDefaults() Limits {
	l.EpochLength = cmp.Or(l.EpochLength, defaultEpochLength)
	l.Retention = cmp.Or(l.Retention, defaultRetention)
	l.MaxRecords = cmp.Or(l.MaxRecords, defaultMaxRecords)
	l.MaxBytes = cmp.Or(l.MaxBytes, defaultMaxBytes)
	l.MaxAnswerBytes = cmp.Or(l.MaxAnswerBytes, defaultMaxAnswer)
	return l
}

// Records holds the keyed calls of one incarnation, and those that stopped
// incarnations handed over to it. It is not safe for concurrent use.
type Records struct {
	self   ident.Incarnation
	limits Limits
	start  time.Time
	// current and oldest never decrease. Epochs below oldest are dropped.
	current uint32
	oldest  uint32
	// sealed never returns to false: a sealed incarnation begins no new key.
	sealed bool
	// exports counts the calls of Export.
	exports uint32
	own     book
	// imports never holds self.
	imports map[ident.Incarnation]*imported
	space   space
}

// NewRecords returns the empty records of an incarnation that starts now.
func NewRecords(self ident.Incarnation, now time.Time, limits Limits) *Records {
	return &Records{
		self:    self,
		limits:  limits.withDefaults(),
		start:   now,
		own:     book{},
		imports: map[ident.Incarnation]*imported{},
	}
}

// Usage says how full the records are.
type Usage struct {
	Records int
	Running int
	Bytes   int
	// Imports is the number of incarnations whose records were handed over here.
	Imports int
}

// Usage returns how full the records are.
func (r *Records) Usage() Usage {
	return Usage{Records: r.space.total.records, Running: r.space.running, Bytes: r.space.total.bytes, Imports: len(r.imports)}
}

// KeyPrefix returns the prefix of the keys that callers may mint now.
func (r *Records) KeyPrefix(now time.Time) string {
	r.Advance(now)
	return KeyPrefix(r.self, r.current)
}

// Epoch returns the current key epoch.
func (r *Records) Epoch(now time.Time) uint32 {
	r.Advance(now)
	return r.current
}

// Seal makes the incarnation begin no new key from now on. It can't be undone, so
// that what is handed over afterwards names every key that ever ran here.
func (r *Records) Seal() {
	r.sealed = true
}

// Sealed reports whether Seal was called.
func (r *Records) Sealed() bool {
	return r.sealed
}

// Begin decides one try of a keyed call. When it returns Run, the key is already
// recorded.
func (r *Records) Begin(now time.Time, c Call) Decision {
	r.Advance(now)
	if c.Key.Owner != r.self {
		return r.beginImported(c)
	}
	if kept := r.own.find(c.Key); kept != nil {
		return kept.repeat(c)
	}
	switch {
	case c.Key.Epoch > r.current:
		return refuse(result.NotRun, result.KeyMalformed)
	case c.Key.Epoch < r.oldest:
		return refuse(result.Unknown, result.KeyExpired)
	case c.Key.Epoch+openEpochs < r.current:
		// Every key that began in a closed epoch is still held, so this one never ran.
		return refuse(result.NotRun, result.KeyExpired)
	case r.sealed:
		return refuseLater(result.Draining, retryAfterDrain)
	}
	return r.beginNew(now, c)
}

// beginNew records a key that is not held, if there is room.
func (r *Records) beginNew(now time.Time, c Call) Decision {
	size := held{records: 1, bytes: recordBytes + len(c.Key.Unique) + r.limits.MaxAnswerBytes}
	if !r.space.fits(size, r.limits, 1) || !r.space.mayGrow(c.Workspace, r.limits) {
		return refuseLater(result.RecordsFull, r.roomAfter(now))
	}
	r.own.put(c.Key, &record{workspace: c.Workspace, fingerprint: c.Fingerprint, running: true})
	r.space.running++
	r.space.reserved += r.limits.MaxAnswerBytes
	r.space.add(c.Workspace, size)
	return Run{}
}

// End records how a call ended that Begin told to run. A call that ended NotRun
// leaves no record, so a repeated try may run it. End is without effect for a key
// that isn't running here.
func (r *Records) End(now time.Time, k Key, a Answer) {
	r.Advance(now)
	if k.Owner != r.self {
		return
	}
	kept := r.own.find(k)
	if kept == nil || !kept.running {
		return
	}
	kept.running = false
	r.space.running--
	r.space.reserved -= r.limits.MaxAnswerBytes
	r.space.remove(kept.workspace, held{bytes: r.limits.MaxAnswerBytes})
	if a.Outcome == result.NotRun || k.Epoch < r.oldest {
		r.own.remove(k)
		r.space.remove(kept.workspace, kept.size(k.Unique))
		return
	}
	if kept.stripped || a.size() > r.limits.MaxAnswerBytes {
		return
	}
	answer := a
	kept.answer = &answer
	r.space.add(kept.workspace, held{bytes: answer.size()})
}

// Advance moves the epochs on and drops those past their retention. Begin and End
// call it; a control tick calls it too, so that memory is freed without traffic.
// A time before the latest one seen is without effect.
func (r *Records) Advance(now time.Time) {
	elapsed := now.Sub(r.start)
	if elapsed < 0 {
		return
	}
	length := r.limits.EpochLength
	r.current = max(r.current, uint32(elapsed/length))
	// A key may begin in an epoch until openEpochs later, and is kept from there.
	ended := (elapsed-r.limits.Retention)/length - openEpochs
	for oldest := uint32(max(ended, 0)); r.oldest < oldest; r.oldest++ {
		r.own.drop(r.oldest, &r.space)
	}
	for owner, i := range r.imports {
		if !now.Before(i.expires) {
			i.book.clear(&r.space)
			delete(r.imports, owner)
		}
	}
}

// SetRetention changes the least time for which a record is kept. A shorter one
// drops epochs sooner, whose keys are refused as Unknown from then on; a longer one
// brings none back.
func (r *Records) SetRetention(now time.Time, retention time.Duration) {
	r.limits.Retention = cmp.Or(retention, defaultRetention)
	r.Advance(now)
}

// DropDisallowedAnswers drops the answers of the workspaces that may no longer be kept here; how
// the call ended is kept.
func (r *Records) DropDisallowedAnswers(allowed func(ident.Workspace) bool) {
	strip := func(_ Key, kept *record) {
		if allowed(kept.workspace) {
			return
		}
		kept.stripped = true
		if kept.answer != nil {
			r.space.remove(kept.workspace, held{bytes: kept.answer.size()})
			kept.answer = nil
		}
	}
	r.own.each(r.self, strip)
	for owner, i := range r.imports {
		i.book.each(owner, strip)
	}
}

// roomAfter estimates when a new key will find room.
func (r *Records) roomAfter(now time.Time) time.Duration {
	if r.space.total.records < r.limits.MaxRecords && r.space.reserved > r.limits.MaxBytes/2 {
		return retryAfterFull
	}
	epochs := time.Duration(r.oldest + 1 + openEpochs)
	drop := r.start.Add(epochs*r.limits.EpochLength + r.limits.Retention)
	return max(drop.Sub(now), retryAfterFull)
}

// refuseLater returns a refusal of a key that never ran, with a time to come back.
func refuseLater(reason result.Reason, after time.Duration) Refuse {
	refusal := refuse(result.NotRun, reason)
	refusal.Failure.RetryAfter = after
	return refusal
}
