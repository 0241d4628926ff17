// Package dedup ensures that a non-repeatable call runs at most once, without shared
// state. The idempotency key of a call names the one incarnation that may run it, and
// that incarnation records the key before it sends anything. When the incarnation has
// stopped, the outcome is Unknown and no other instance runs the call.
package dedup

import (
	"cmp"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Limits bounds the records of one instance. A zero field means its default.
type Limits struct {
	// EpochLength is the length of one key epoch. Default 5 minutes.
	EpochLength time.Duration
	// Retention is the minimum time for which a record is kept after Begin. Default
	// 1 hour.
	Retention time.Duration
	// MaxRecords is the maximum number of records. Default 50,000.
	MaxRecords int
	// MaxBytes is the maximum size of all records together. Default 32 MiB.
	MaxBytes int
	// MaxAnswerBytes is the maximum size of an answer that is kept. Default 64 KiB.
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

// recordBytes is the size with which one record counts towards MaxBytes, without its
// answer and the unique part of its key.
const recordBytes = 256

// retryAfterFull is the retry delay while running calls occupy the space.
const retryAfterFull = time.Second

// retryAfterDrain is the delay before a retry with a new key when the owner is
// stopping or has stopped. Another instance can answer the retry.
const retryAfterDrain = time.Second

// RefusalHold is how long the key of a call that ended NotRun is refused to further tries.
// It covers the time until the callers of the earlier tries have received their answers:
// a caller that has just been told NotRun must not find that its key has begun to run.
const RefusalHold = time.Second

// acceptedPastEpochs is the number of epochs before the current one in which a new key
// may still begin. It covers a caller that received a key prefix at the end of its
// epoch.
const acceptedPastEpochs = 1

// withDefaults replaces zero fields.
func (l Limits) withDefaults() Limits {
	l.EpochLength = cmp.Or(l.EpochLength, defaultEpochLength)
	l.Retention = cmp.Or(l.Retention, defaultRetention)
	l.MaxRecords = cmp.Or(l.MaxRecords, defaultMaxRecords)
	l.MaxBytes = cmp.Or(l.MaxBytes, defaultMaxBytes)
	l.MaxAnswerBytes = cmp.Or(l.MaxAnswerBytes, defaultMaxAnswer)
	return l
}

// Records holds the keyed calls of one incarnation and those that stopped
// incarnations have handed over to it. It is not safe for concurrent use.
type Records struct {
	self   ident.Incarnation
	limits Limits
	start  time.Time
	// currentEpoch and oldestEpoch never decrease. Epochs below oldestEpoch are
	// dropped.
	currentEpoch uint32
	oldestEpoch  uint32
	// sealed never returns to false: a sealed incarnation begins no new key.
	sealed bool
	// exportCount counts the calls of Export.
	exportCount uint32
	own         index
	// refused holds the keys of own that ended NotRun lately, oldest first.
	refused []refusedKey
	// imports never holds self.
	imports map[ident.Incarnation]*importedRecords
	space   spaceUsage
}

// refusedKey is a key that is refused until a time.
type refusedKey struct {
	key   Key
	until time.Time
}

// NewRecords returns the empty records of an incarnation that starts now.
func NewRecords(self ident.Incarnation, now time.Time, limits Limits) *Records {
	return &Records{
		self:    self,
		limits:  limits.withDefaults(),
		start:   now,
		own:     index{},
		imports: map[ident.Incarnation]*importedRecords{},
	}
}

// Usage is the space that records occupy.
type Usage struct {
	Records int
	Running int
	Bytes   int
	// Imports is the number of incarnations whose records were handed over to this one.
	Imports int
}

// Usage returns the space that the records occupy.
func (r *Records) Usage() Usage {
	return Usage{Records: r.space.total.records, Running: r.space.running, Bytes: r.space.total.bytes, Imports: len(r.imports)}
}

// KeyPrefix returns the prefix of the keys that callers may create now.
func (r *Records) KeyPrefix(now time.Time) string {
	r.Advance(now)
	return KeyPrefix(r.self, r.currentEpoch)
}

// Epoch returns the current key epoch.
func (r *Records) Epoch(now time.Time) uint32 {
	r.Advance(now)
	return r.currentEpoch
}

// Seal stops the incarnation from beginning new keys. It can't be undone, so an export
// after it contains every key that has ever run here.
func (r *Records) Seal() {
	r.sealed = true
}

// Sealed reports whether Seal was called.
func (r *Records) Sealed() bool {
	return r.sealed
}

// Begin decides one try of a keyed call. When it returns Run, the key has been
// recorded.
func (r *Records) Begin(now time.Time, c Call) Decision {
	r.Advance(now)
	if c.Key.Owner != r.self {
		return r.beginImported(c)
	}
	if rec := r.own.find(c.Key); rec != nil {
		if rec.refusal != nil {
			return Refuse{Failure: rec.refusal.at(now)}
		}
		return rec.decideRepeat(c)
	}
	switch {
	case c.Key.Epoch > r.currentEpoch:
		return refuse(result.NotRun, result.KeyMalformed)
	case c.Key.Epoch < r.oldestEpoch:
		return refuse(result.Unknown, result.KeyExpired)
	case c.Key.Epoch+acceptedPastEpochs < r.currentEpoch:
		// Every key that began in a closed epoch still has a record, so this key never
		// ran.
		return refuse(result.NotRun, result.KeyExpired)
	case r.sealed:
		return refuseNotRun(result.Draining, retryAfterDrain)
	}
	return r.recordNew(now, c)
}

// recordNew adds a record for a new key if there is room for it and its answer.
func (r *Records) recordNew(now time.Time, c Call) Decision {
	size := recordSpace{records: 1, bytes: recordBytes + len(c.Key.Unique) + r.limits.MaxAnswerBytes}
	if !r.space.fits(size, r.limits, 1) || !r.space.withinFairShare(c.Workspace, r.limits) {
		return refuseNotRun(result.RecordsFull, r.retryAfterRecordsFull(now))
	}
	r.own.put(c.Key, &callRecord{workspace: c.Workspace, fingerprint: c.Fingerprint, running: true})
	r.space.running++
	r.space.reservedBytes += r.limits.MaxAnswerBytes
	r.space.add(c.Workspace, size)
	return Run{}
}

// End records the outcome of a call for which Begin returned Run. A call that ended
// NotRun leaves no record after RefusalHold, so a later try may run it. End has no effect
// for a key that isn't running here.
func (r *Records) End(now time.Time, k Key, a Answer) {
	r.Advance(now)
	if k.Owner != r.self {
		return
	}
	rec := r.own.find(k)
	if rec == nil || !rec.running {
		return
	}
	rec.running = false
	r.space.running--
	r.space.reservedBytes -= r.limits.MaxAnswerBytes
	r.space.remove(rec.workspace, recordSpace{bytes: r.limits.MaxAnswerBytes})
	if k.Epoch < r.oldestEpoch {
		r.remove(k, rec)
		return
	}
	if a.Outcome == result.NotRun {
		rec.refusal = &refusal{failure: a.Failure(), until: now.Add(RefusalHold)}
		r.refused = append(r.refused, refusedKey{k, rec.refusal.until})
		return
	}
	if rec.answerForbidden || a.size() > r.limits.MaxAnswerBytes {
		return
	}
	answer := a
	rec.answer = &answer
	r.space.add(rec.workspace, recordSpace{bytes: answer.size()})
}

// remove deletes the record of a key.
func (r *Records) remove(k Key, rec *callRecord) {
	r.own.remove(k)
	r.space.remove(rec.workspace, rec.size(k.Unique))
}

// removeRefused deletes the records of refused keys whose time is over.
func (r *Records) removeRefused(now time.Time) {
	for len(r.refused) > 0 && !now.Before(r.refused[0].until) {
		k := r.refused[0].key
		r.refused = r.refused[1:]
		if rec := r.own.find(k); rec != nil && rec.refusal != nil {
			r.remove(k, rec)
		}
	}
}

// Advance updates the current epoch and drops epochs whose retention has ended. Begin
// and End call it. A control tick calls it too, so that memory is freed without
// traffic. A time earlier than that of a previous call has no effect on the epochs.
func (r *Records) Advance(now time.Time) {
	r.removeRefused(now)
	elapsed := now.Sub(r.start)
	if elapsed < 0 {
		return
	}
	length := r.limits.EpochLength
	r.currentEpoch = max(r.currentEpoch, uint32(elapsed/length))
	// A key may begin until acceptedPastEpochs after the end of its epoch, and its
	// retention starts then at the latest.
	ended := (elapsed-r.limits.Retention)/length - acceptedPastEpochs
	for oldest := uint32(max(ended, 0)); r.oldestEpoch < oldest; r.oldestEpoch++ {
		r.own.dropEpoch(r.oldestEpoch, &r.space)
	}
	for owner, i := range r.imports {
		if !now.Before(i.expires) {
			i.index.clear(&r.space)
			delete(r.imports, owner)
		}
	}
}

// SetRetention changes the minimum time for which a record is kept. A shorter time
// drops epochs earlier, and their keys are then refused as Unknown. A longer time
// doesn't restore dropped epochs.
func (r *Records) SetRetention(now time.Time, retention time.Duration) {
	r.limits.Retention = cmp.Or(retention, defaultRetention)
	r.Advance(now)
}

// DropDisallowedAnswers drops the answers of workspaces whose data may no longer be
// held here. It keeps the records of their calls.
func (r *Records) DropDisallowedAnswers(allowed func(ident.Workspace) bool) {
	dropAnswer := func(_ Key, rec *callRecord) {
		if allowed(rec.workspace) {
			return
		}
		rec.answerForbidden = true
		if rec.answer != nil {
			r.space.remove(rec.workspace, recordSpace{bytes: rec.answer.size()})
			rec.answer = nil
		}
	}
	r.own.each(r.self, dropAnswer)
	for owner, i := range r.imports {
		i.index.each(owner, dropAnswer)
	}
}

// retryAfterRecordsFull estimates the delay after which there is room for a new key.
func (r *Records) retryAfterRecordsFull(now time.Time) time.Duration {
	if r.space.total.records < r.limits.MaxRecords && r.space.reservedBytes > r.limits.MaxBytes/2 {
		return retryAfterFull
	}
	epochs := time.Duration(r.oldestEpoch + 1 + acceptedPastEpochs)
	drop := r.start.Add(epochs*r.limits.EpochLength + r.limits.Retention)
	return max(drop.Sub(now), retryAfterFull)
}

// refuseNotRun returns a refusal of a key that never ran, with a retry delay.
func refuseNotRun(reason result.Reason, after time.Duration) Refuse {
	refusal := refuse(result.NotRun, reason)
	refusal.Failure.RetryAfter = after
	return refusal
}
