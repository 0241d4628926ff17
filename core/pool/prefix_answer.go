package pool

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/prefix"
)

// CacheVerdict says whether an answer came as fast as one for a prompt whose prefix is
// cached.
type CacheVerdict uint8

const (
	// CacheUnclear means that the prompt has no shared part, or that both are about as
	// likely by the time to the first event.
	CacheUnclear CacheVerdict = iota
	// CacheFound means that the prefix was most likely cached.
	CacheFound
	// CacheMissed means that the prefix was most likely read again.
	CacheMissed
)

var cacheVerdictNames = [...]string{"unclear", "found", "missed"}

// String returns the kebab-case name of the verdict.
func (v CacheVerdict) String() string {
	return cacheVerdictNames[v]
}

const (
	// firstEventSpread is the standard deviation of the time to the first event without a
	// wait.
	firstEventSpread = 30 * time.Millisecond
	// clearLikelihood is the likelihood from which on a verdict is given.
	clearLikelihood = 0.8
)

// judgeCache compares the time to the first event with what it takes if the prefix is
// cached and if it isn't, and corrects the estimates of what upstreams hold.
func (l *Lease) judgeCache(now time.Time) {
	v, isView := l.affinity.(*promptView)
	if !isView || l.held.Shared == 0 {
		return
	}
	l.affinity = nil
	slowdown := min(max(l.replica.slowdown, 1), maxSlowdown)
	perToken := slowdown / l.pool.promptRate
	ifHeld := l.FirstByte - millis(max(0, float64(l.held.Shared)-l.held.Tokens)*perToken)
	ifRead := ifHeld + millis(float64(l.held.Shared)*perToken)
	// The wait and the excess are projections that are often wrong by half.
	spread := firstEventSpread + (l.Wait+l.excess)/2
	found := prefix.FoundLikelihood(l.held.Likelihood, now.Sub(l.started), ifHeld, ifRead, spread)
	switch {
	case found >= clearLikelihood:
		l.Cache = CacheFound
	case found <= 1-clearLikelihood:
		l.Cache = CacheMissed
	}
	if !l.replica.prompts.Correct(l.held, found) {
		v.known.demand.Correct(l.held.Likelihood, found)
	}
}

// RecordRelayed records that a request was sent to another region.
func (p *Pool) RecordRelayed(now time.Time, region ident.Region, req Request) {
	prompt := prefix.NewPrompt(req.Parts)
	p.regions.Read(now, region, &prompt)
}

// CachedInRegion returns how many tokens of a prompt another region is expected to hold at
// the upstream that it chooses. Engines there are taken to keep parts for as long as those
// of this region, and a request to find the upstream of the one before as often as here.
func (p *Pool) CachedInRegion(now time.Time, region ident.Region, req Request) int {
	if req.Tokens == 0 || len(req.Parts) < 2 {
		return 0
	}
	prompt := prefix.NewPrompt(req.Parts)
	p.mu.Lock()
	known := p.prefixesOf(req.Service)
	upstreams, running := 0.0, 0.0
	for _, r := range p.replicas {
		if r.Service == req.Service {
			upstreams++
			running += float64(r.inFlight + r.peers.inFlight)
		}
	}
	upstreams = max(1, upstreams)
	inflow := known.inflow.at(now) * float64(p.regionSize()) / upstreams
	residence := prefix.Residence(p.memoryTokens(req.Service, known), running/upstreams*known.prompt, inflow)
	again := 1 - known.demand.Overflow(&prompt)
	p.mu.Unlock()
	return int(again * p.regions.Held(now, region, &prompt, residence).Tokens)
}
