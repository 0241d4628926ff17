package dedup

import (
	"maps"
	"slices"
	"strings"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// record is what is kept of one key.
type record struct {
	workspace   ident.Workspace
	fingerprint Fingerprint
	// running is true from Begin to End. In an imported record it stays true when
	// the call still ran at the owner as it was handed over.
	running bool
	// stripped says that no answer may be kept here any more.
	stripped bool
	// answer is nil while running, and when the answer is not kept.
	answer *Answer
}

// size returns what the record takes, but for the room reserved while it runs.
func (kept *record) size(unique string) held {
	size := recordBytes + len(unique)
	if kept.answer != nil {
		size += kept.answer.size()
	}
	return held{records: 1, bytes: size}
}

// repeat decides a repeated try of a key that is held.
func (kept *record) repeat(c Call) Decision {
	switch {
	case kept.fingerprint != c.Fingerprint:
		// This body has not run, but the call that the key stands for may have: a
		// caller that rebuilt its body on a retry must not read that it hasn't.
		return refuse(result.Unknown, result.KeyReused)
	case kept.running:
		return Join{}
	case kept.answer == nil:
		return refuse(result.Unknown, result.AnswerNotKept)
	default:
		return Replay{Answer: kept.answer}
	}
}

// book holds records by epoch and by the unique part of their key, so that a
// whole epoch is dropped at once.
type book map[uint32]map[string]*record

// find returns the record of a key, or nil.
func (b book) find(k Key) *record {
	return b[k.Epoch][k.Unique]
}

// put adds the record of a key.
func (b book) put(k Key, kept *record) {
	epoch := b[k.Epoch]
	if epoch == nil {
		epoch = map[string]*record{}
		b[k.Epoch] = epoch
	}
	// The clone keeps the request's header buffer from being held.
	epoch[strings.Clone(k.Unique)] = kept
}

// remove takes out the record of a key.
func (b book) remove(k Key) {
	epoch := b[k.Epoch]
	delete(epoch, k.Unique)
	if len(epoch) == 0 {
		delete(b, k.Epoch)
	}
}

// drop takes out a whole epoch, but for the calls that still run in it.
func (b book) drop(epoch uint32, s *space) {
	for unique, kept := range b[epoch] {
		if kept.running {
			continue
		}
		s.remove(kept.workspace, kept.size(unique))
		b.remove(Key{Epoch: epoch, Unique: unique})
	}
}

// clear takes out every record.
func (b book) clear(s *space) {
	for _, epoch := range b {
		for unique, kept := range epoch {
			s.remove(kept.workspace, kept.size(unique))
		}
	}
	clear(b)
}

// each visits every record of an owner's book, by epoch and unique part.
func (b book) each(owner ident.Incarnation, visit func(Key, *record)) {
	for _, number := range slices.Sorted(maps.Keys(b)) {
		epoch := b[number]
		for _, unique := range slices.Sorted(maps.Keys(epoch)) {
			visit(Key{Owner: owner, Epoch: number, Unique: unique}, epoch[unique])
		}
	}
}
