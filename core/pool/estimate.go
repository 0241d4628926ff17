package pool

import (
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/prefix"
)

const (
	// runningCost is the amount that each running request adds to the cost of an
	// upstream, in milliseconds: a larger batch makes each step longer, for this request
	// and for all that run there.
	runningCost = 8
	// failureCost is the cost of an upstream at which all requests fail, in milliseconds.
	failureCost = 3000
	// overtakeFactor is how much longer the backlog takes for all but the most urgent
	// priority class, since more urgent requests arrive during the wait.
	overtakeFactor = 1.5
	// maxSlowdown bounds the slowdown that the projection assumes for an upstream.
	maxSlowdown = 8
)

// estimate projects the latency of a request at an upstream, without the excess delay of
// the service.
func (p *Pool) estimate(now time.Time, req Request, r *replica, prompt affinity) candidate {
	running := float64(r.inFlight + r.peers.inFlight)
	uncached := req.Tokens
	backlog := 0.0
	var held prefix.Estimate
	reread := 0.0
	if req.Tokens > 0 {
		if prompt != nil {
			held, reread = prompt.at(now, p, r)
		}
		uncached = max(0, req.Tokens-int(held.Tokens))
		backlog = p.backlog(now, r, gossip.PriorityClass(req.Priority)) / p.promptRate
	}
	wait := backlog + p.slotWait(r, running)
	firstByte := wait + float64(uncached)/p.promptRate + running*runningCost
	slowdown := min(max(r.slowdown, 1), maxSlowdown)
	return candidate{
		replica:  r,
		cost:     firstByte*slowdown + reread + r.failureRate*failureCost,
		uncached: uncached,
		held:     held,
		affinity: prompt,
		Projection: Projection{
			Wait:      millis(wait * slowdown),
			FirstByte: millis(firstByte * slowdown),
		},
	}
}

const (
	// cachedFirstByteMillis is the time to the first byte of a fully cached prompt, in
	// milliseconds.
	cachedFirstByteMillis = 45
	// minSampleTokens is the length of the shortest prompt from which the prompt rate is
	// estimated.
	minSampleTokens = 2000
	// sampleWeight is the weight of one sample.
	sampleWeight = 0.03
	// maxRateError is the factor by which the estimated rate may differ from the
	// configured one.
	maxRateError = 3
)

// samplePromptRate updates the estimated prompt rate from the time to the first byte of a
// request that had no backlog to wait for.
func (p *Pool) samplePromptRate(tokens int, took time.Duration) {
	readTime := float64(took)/float64(time.Millisecond) - cachedFirstByteMillis
	if tokens < minSampleTokens || readTime <= 0 {
		return
	}
	sample := float64(tokens) / readTime
	configured := p.settings.PromptRate
	p.promptRate += sampleWeight * (min(max(sample, configured/maxRateError), configured*maxRateError) - p.promptRate)
}

// tokensAhead returns the prompt tokens that wait to be read at an upstream, by priority
// class, and for each instance the prompt that may be in prefill.
func (p *Pool) tokensAhead(now time.Time, r *replica) (gossip.ByPriority[int], []gossip.Prefill) {
	tokens, prefill := p.ownBacklog(now, r)
	for class, n := range r.peers.tokens {
		tokens[class] += n
	}
	return tokens, append(r.peers.prefills[:len(r.peers.prefills):len(r.peers.prefills)], prefill)
}

// ownBacklog is like tokensAhead, for the requests of this instance alone. The oldest
// prompt is reduced by the tokens that were read since it was sent, or since the upstream
// last sent a first byte.
func (p *Pool) ownBacklog(now time.Time, r *replica) (gossip.ByPriority[int], gossip.Prefill) {
	var tokens gossip.ByPriority[int]
	var prefill gossip.Prefill
	for i, w := range r.waiting {
		left := w.tokens
		if i == 0 {
			since := w.sentAt
			if r.lastFirstByte.After(since) {
				since = r.lastFirstByte
			}
			read := p.promptRate * float64(now.Sub(since)) / float64(time.Millisecond)
			left = max(0, left-int(read))
			prefill = gossip.Prefill{Priority: w.priority, Tokens: left}
		}
		tokens[w.priority] += left
	}
	return tokens, prefill
}

// backlog returns the prompt tokens that an upstream reads before the prompt of a request
// of the given priority class: all waiting ones that are at least as urgent, and the rest
// of a less urgent prompt whose prefill has begun.
func (p *Pool) backlog(now time.Time, r *replica, class int) float64 {
	tokens, prefills := p.tokensAhead(now, r)
	total := 0
	for _, n := range tokens[:class+1] {
		total += n
	}
	blocking := 0
	for _, prefill := range prefills {
		if prefill.Priority > class {
			blocking = max(blocking, prefill.Tokens)
		}
	}
	if class > 0 {
		return overtakeFactor*float64(total) + float64(blocking)
	}
	return float64(total + blocking)
}

// slotWait projects the wait for a slot in milliseconds: with 8 requests on 6 slots that
// each hold for 60 ms, a slot becomes free every 10 ms, and the next request waits for 3
// of them.
func (p *Pool) slotWait(r *replica, running float64) float64 {
	slots := float64(max(1, r.Slots))
	ahead := running + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return ahead / slots * float64(r.holdTime.Milliseconds())
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
