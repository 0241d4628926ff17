package gossip

import "time"

// TraitKey is the hash of a trait: something that several requests may have in common, and
// for which upstreams may end. It is the id of a prompt part or the fingerprint of a whole
// request. Both are up to callers, so that they may be long.
type TraitKey uint64

// LossEvidence is what an instance knows of traits of requests that may end upstreams.
type LossEvidence struct {
	Lost  []LostRequest
	Begun []BegunTrait
}

// LostRequest is a request that ended with its upstream before its answer began.
type LostRequest struct {
	// ID identifies the request. All instances use the same for one request.
	ID uint64
	// Traits are those that other requests may have as well.
	Traits []TraitKey
	// Age is the time since the request was lost.
	Age time.Duration
}

// BegunTrait is a trait of a request whose answer has begun.
type BegunTrait struct {
	Trait TraitKey
	// Age is the time since the last answer to a request with the trait began.
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
	for _, b := range m.LossEvidence.Begun {
		b.Age += elapsed
		e.Begun = append(e.Begun, b)
	}
	return e
}
