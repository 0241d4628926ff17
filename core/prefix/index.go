package prefix

import (
	"slices"
	"time"
)

// maxIndexed bounds the sections that an Index holds: 512 take some 40 KB. An engine that
// this instance sends 30 requests a second keeps them for some 8 s.
const maxIndexed = 512

// Index holds which sections this instance has sent to one run of an upstream, and when
// each was last used there. Its zero value is empty.
type Index struct {
	usedAt map[uint64]time.Time
	// scale is the residence time as it shows in answers, relative to the computed one; 0
	// means 1. It stays within 1/maxScale and maxScale.
	scale float64
}

// Read records that a prompt was sent and that all of it is held afterwards.
func (x *Index) Read(now time.Time, p *Prompt) {
	if x.usedAt == nil {
		x.usedAt = map[uint64]time.Time{}
	}
	for _, l := range p.links[:p.count] {
		x.usedAt[l.key] = now
	}
	if len(x.usedAt) > maxIndexed {
		x.removeOldest()
	}
}

// removeOldest removes the least recently used quarter.
func (x *Index) removeOldest() {
	times := make([]time.Time, 0, len(x.usedAt))
	for _, at := range x.usedAt {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := times[len(times)/4]
	excess := len(x.usedAt) - maxIndexed*3/4
	for key, at := range x.usedAt {
		if excess > 0 && !at.After(limit) {
			delete(x.usedAt, key)
			excess--
		}
	}
}

// Len returns the number of sections held.
func (x *Index) Len() int {
	return len(x.usedAt)
}

// Situation is what the estimate for one upstream depends on beyond what was sent there.
type Situation struct {
	// Residence is how long a section stays in the cache after its last use.
	Residence time.Duration
	// EmptyAt is when the cache was last empty; zero if that isn't known.
	EmptyAt time.Time
	// PeerRates are the rates per second at which peers send prompts with each section
	// there.
	PeerRates [maxLinks]float64
}

// Estimate is what an upstream is estimated to hold of a prompt.
type Estimate struct {
	// Tokens is the expected number of leading tokens that are held.
	Tokens float64
	// Shared is the number of tokens in the parts that other requests may share, and
	// Likelihood the likelihood that all of them are held.
	Shared     int
	Likelihood float64
	// own is the part of Likelihood that follows from sends of this instance.
	own float64
}

// Held estimates which leading tokens of a prompt the upstream holds.
func (x *Index) Held(now time.Time, p *Prompt, s *Situation) Estimate {
	e := Estimate{Shared: p.Shared()}
	residence := time.Duration(float64(s.Residence) * x.residenceScale())
	// A deeper section is held only with those before it, and using it uses them.
	deeper := 0.0
	for i := p.count - 1; i >= 0; i-- {
		l := p.links[i]
		own := x.ownLikelihood(now, l.key, s, residence)
		peers := 0.0
		if i < p.shared {
			peers = ArrivalLikelihood(s.PeerRates[i], window(now, s, residence))
		}
		deeper = max(deeper, 1-(1-own)*(1-peers))
		e.Tokens += deeper * float64(l.tokens)
		if i == p.shared-1 {
			e.Likelihood, e.own = deeper, own
		}
	}
	return e
}

// ownLikelihood returns the likelihood that a section is held since this instance sent it.
func (x *Index) ownLikelihood(now time.Time, key uint64, s *Situation, residence time.Duration) float64 {
	at, found := x.usedAt[key]
	if !found || at.Before(s.EmptyAt) {
		return 0
	}
	return survival(now.Sub(at), residence)
}

// window returns how far back a use by a peer lets a section be held.
func window(now time.Time, s *Situation, residence time.Duration) time.Duration {
	if s.EmptyAt.IsZero() {
		return residence
	}
	return min(residence, max(0, now.Sub(s.EmptyAt)))
}

const (
	// maxScale bounds the correction of the residence time by answers.
	maxScale = 4
	// scaleWeight is the weight of one answer: a surprising one changes the residence time
	// by a twentieth.
	scaleWeight = 0.05
)

func (x *Index) residenceScale() float64 {
	if x.scale == 0 {
		return 1
	}
	return x.scale
}

// Correct adapts the residence time to an answer. before was expected of the request, and
// found is the likelihood that the prefix was held, given the time to the first event. It
// reports false if the expectation followed from sends of peers, which say nothing of the
// residence time here.
func (x *Index) Correct(before Estimate, found float64) bool {
	if before.own < before.Likelihood/2 || before.own == 0 {
		return false
	}
	scale := x.residenceScale() * (1 + scaleWeight*(found-before.Likelihood))
	x.scale = min(max(scale, 1.0/maxScale), maxScale)
	return true
}
