package gossip

import (
	"iter"
	"slices"
	"time"
)

// TraitKey is the hash of a trait: something that several requests may have in common, and
// for which upstreams may end. It is the id of a prompt part or the fingerprint of a whole
// request. Both are up to callers, so that they may be long.
type TraitKey uint64

// Traits are the traits of one request.
type Traits struct {
	// Fingerprint is the same for all tries of one request; zero if it isn't known.
	Fingerprint TraitKey
	// Parts are the parts of its prompt that other requests may hold as well.
	Parts []TraitKey
}

// All returns all traits.
func (t Traits) All() iter.Seq[TraitKey] {
	return func(yield func(TraitKey) bool) {
		if t.Fingerprint != 0 && !yield(t.Fingerprint) {
			return
		}
		for _, part := range t.Parts {
			if !yield(part) {
				return
			}
		}
	}
}

// Has reports whether a trait is among them.
func (t Traits) Has(trait TraitKey) bool {
	return trait == t.Fingerprint || slices.Contains(t.Parts, trait)
}

// LossEvidence is what an instance knows of traits of requests that may end upstreams.
type LossEvidence struct {
	Lost  []LostRequest
	Sound []SoundTrait
}

// LostRequest is a request that ended with its upstream before its answer had outlasted its
// beginning.
type LostRequest struct {
	// ID identifies the request and, by its upper half, the upstream. All instances use the same.
	ID uint64
	// Traits holds its fingerprint and some of its parts: others may follow in a later report.
	Traits Traits
	// Begun is set if a whole event of the answer had arrived.
	Begun bool
	// Age is the time since the request was lost.
	Age time.Duration
}

// SoundTrait is a trait of a request whose answer has outlasted its beginning.
type SoundTrait struct {
	Trait TraitKey
	// Age is the time since the last such answer to a request with the trait.
	Age time.Duration
}

// EvidenceAt returns what the instance knows, with ages as of now.
func (m *Member) EvidenceAt(now time.Time) LossEvidence {
	elapsed := now.Sub(m.LastHeartbeat)
	var e LossEvidence
	for _, l := range m.LossEvidence.Lost {
		l.Age += elapsed
		e.Lost = append(e.Lost, l)
	}
	for _, b := range m.LossEvidence.Sound {
		b.Age += elapsed
		e.Sound = append(e.Sound, b)
	}
	return e
}
