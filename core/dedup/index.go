package dedup

import (
	"maps"
	"slices"
	"strings"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// callRecord is the record of one key.
type callRecord struct {
	workspace   ident.Workspace
	fingerprint Fingerprint
	// running is true from Begin to End. In an imported record it stays true if the
	// call was still running at the owner when it was handed over.
	running bool
	// answerForbidden means that the answer may no longer be kept here.
	answerForbidden bool
	// refusal is set if the call ended NotRun lately.
	refusal *refusal
	// answer is nil while the call is running and when the answer is not kept.
	answer *Answer
}

// refusal is the answer to further tries of a call that ended NotRun.
type refusal struct {
	failure *result.Failure
	until   time.Time
}

// at returns the failure of a try.
func (f *refusal) at(now time.Time) *result.Failure {
	failure := *f.failure
	failure.RetryAfter = f.until.Sub(now)
	return &failure
}

// size returns the space that the record occupies, without the bytes reserved for the
// answer of a running call.
func (rec *callRecord) size(unique string) recordSpace {
	size := recordBytes + len(unique)
	if rec.answer != nil {
		size += rec.answer.size()
	}
	return recordSpace{records: 1, bytes: size}
}

// decideRepeat decides a repeated try of a key that has a record.
func (rec *callRecord) decideRepeat(c Call) Decision {
	switch {
	case rec.fingerprint != c.Fingerprint:
		// This body has not run, but the call of the key may have. The outcome must not
		// be NotRun for a caller that rebuilt the body for a retry.
		return refuse(result.Unknown, result.KeyReused)
	case rec.running:
		return Join{}
	case rec.answer == nil:
		return refuse(result.Unknown, result.AnswerNotKept)
	default:
		return Replay{Answer: rec.answer}
	}
}

// index holds records by epoch and by the unique part of their key, so that a whole
// epoch can be dropped at once.
type index map[uint32]map[string]*callRecord

// find returns the record of a key, or nil.
func (x index) find(k Key) *callRecord {
	return x[k.Epoch][k.Unique]
}

// put adds the record of a key.
func (x index) put(k Key, rec *callRecord) {
	epoch := x[k.Epoch]
	if epoch == nil {
		epoch = map[string]*callRecord{}
		x[k.Epoch] = epoch
	}
	// The clone doesn't retain the request's header buffer.
	epoch[strings.Clone(k.Unique)] = rec
}

// remove deletes the record of a key.
func (x index) remove(k Key) {
	epoch := x[k.Epoch]
	delete(epoch, k.Unique)
	if len(epoch) == 0 {
		delete(x, k.Epoch)
	}
}

// dropEpoch deletes all records of an epoch except those of running calls.
func (x index) dropEpoch(epoch uint32, s *spaceUsage) {
	for unique, rec := range x[epoch] {
		if rec.running {
			continue
		}
		s.remove(rec.workspace, rec.size(unique))
		x.remove(Key{Epoch: epoch, Unique: unique})
	}
}

// clear deletes all records.
func (x index) clear(s *spaceUsage) {
	for _, epoch := range x {
		for unique, rec := range epoch {
			s.remove(rec.workspace, rec.size(unique))
		}
	}
	clear(x)
}

// each calls visit for every record, in the order of epochs and unique parts. owner is
// the owner of all keys in the index.
func (x index) each(owner ident.Incarnation, visit func(Key, *callRecord)) {
	for _, number := range slices.Sorted(maps.Keys(x)) {
		epoch := x[number]
		for _, unique := range slices.Sorted(maps.Keys(epoch)) {
			visit(Key{Owner: owner, Epoch: number, Unique: unique}, epoch[unique])
		}
	}
}
