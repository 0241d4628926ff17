package gossip

import "time"

// PartKey is the hash of the id of a prompt part. Callers choose the ids, so that they may
// be long.
type PartKey uint64

// PromptEvidence is what an instance knows of prompt parts that may end upstreams.
type PromptEvidence struct {
	Lost  []LostRequest
	Begun []BegunPart
}

// LostRequest is a request that ended with its upstream before its answer began.
type LostRequest struct {
	// ID identifies the request. All instances use the same for one request.
	ID uint64
	// Parts are the parts of its prompt that other requests may share.
	Parts []PartKey
	// Age is the time since the request was lost.
	Age time.Duration
}

// BegunPart is a part of prompts on which an answer has begun.
type BegunPart struct {
	Part PartKey
	// Age is the time since the last answer on the part began.
	Age time.Duration
}

// EvidenceAt returns what the instance knows, with ages as of now.
func (m *Member) EvidenceAt(now time.Time) PromptEvidence {
	elapsed := now.Sub(m.LastHeartbeat)
	var e PromptEvidence
	for _, l := range m.PromptEvidence.Lost {
		l.Age += elapsed
		e.Lost = append(e.Lost, l)
	}
	for _, b := range m.PromptEvidence.Begun {
		b.Age += elapsed
		e.Begun = append(e.Begun, b)
	}
	return e
}
