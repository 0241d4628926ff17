package pool

import (
	"time"

	"arbutustrestle/core/gossip"
)

const (
	// homeShare is the part of the shared prompt that the preferred upstream is
	// believed to keep though this entry didn't send it there.
	homeShare = 0.8
	// runningCost is what each running request adds to the cost of an upstream, in
	// milliseconds: steps of a fuller batch take longer, for this request and for all
	// that run there.
	runningCost = 8
	// troubleCost is the cost of an upstream at which all requests fail, in
	// milliseconds.
	troubleCost = 3000
	// overtaken is how much longer the backlog takes for all but the most urgent rank:
	// more urgent requests come while they wait.
	overtaken = 1.5
	// rereadCost is how many times the time to read a shared part counts that another
	// upstream keeps: beside the time here it takes capacity, and memory from others.
	rereadCost = 4
	// maxSlow bounds how much slower than expected an upstream is taken to be.
	maxSlow = 8
)

// weigh projects what a request would meet at an upstream, without the excess of all.
func (p *Pool) weigh(now time.Time, a Request, r *replica, home bool) candidate {
	running := float64(r.inFlight + r.others.inFlight)
	uncached := a.Tokens
	backlog := 0.0
	reread := 0.0
	if a.Tokens > 0 {
		kept := p.kept(now, a, r, home)
		uncached = max(0, a.Tokens-kept)
		backlog = p.backlog(now, r, gossip.PriorityClass(a.Priority)) / p.rate
		reread = float64(max(0, sharedTokens(a.Parts)-kept)) / p.rate * rereadCost
	}
	wait := backlog + p.queue(r, running)
	first := wait + float64(uncached)/p.rate + running*runningCost
	slow := min(max(r.slow, 1), maxSlow)
	return candidate{
		replica:  r,
		cost:     first*slow + reread + r.trouble*troubleCost,
		uncached: uncached,
		Projection: Projection{
			Wait:      millis(wait * slow),
			FirstByte: millis(first * slow),
		},
	}
}

const (
	// firstStep is the time to the first event of a prompt that is kept, in
	// milliseconds.
	firstStep = 45
	// sampleTokens is the shortest prompt that tells how fast prompts are read.
	sampleTokens = 2000
	// sampleStep is the weight of one sample.
	sampleStep = 0.03
	// maxRateError bounds by how much the rate may differ from the one that is set.
	maxRateError = 3
)

// learn takes the time to a first answer that had nothing to wait for as a sample of
// the rate at which prompts are read.
func (p *Pool) learn(tokens int, took time.Duration) {
	reading := float64(took)/float64(time.Millisecond) - firstStep
	if tokens < sampleTokens || reading <= 0 {
		return
	}
	sample := float64(tokens) / reading
	set := p.settings.PromptRate
	p.rate += sampleStep * (min(max(sample, set/maxRateError), set*maxRateError) - p.rate)
}

// ahead returns the prompt tokens that wait to be read at an upstream, by rank, and the
// prompts one of which is being read.
func (p *Pool) ahead(now time.Time, r *replica) (gossip.ByPriority[int], []gossip.Prefill) {
	tokens, reading := p.own(now, r)
	for rank, n := range r.others.tokens {
		tokens[rank] += n
	}
	return tokens, append(r.others.reading[:len(r.others.reading):len(r.others.reading)], reading)
}

// own returns the same for the requests of this entry alone. Of the oldest, what was
// read since it was sent, or since the upstream last turned to another, is taken off.
func (p *Pool) own(now time.Time, r *replica) (gossip.ByPriority[int], gossip.Prefill) {
	var tokens gossip.ByPriority[int]
	var reading gossip.Prefill
	for i, w := range r.waiting {
		left := w.tokens
		if i == 0 {
			since := w.sent
			if r.turned.After(since) {
				since = r.turned
			}
			read := p.rate * float64(now.Sub(since)) / float64(time.Millisecond)
			left = max(0, left-int(read))
			reading = gossip.Prefill{Priority: w.rank, Tokens: left}
		}
		tokens[w.rank] += left
	}
	return tokens, reading
}

// backlog returns the prompt tokens that an upstream reads before those of a request
// of a rank: all that are as urgent, and what is left of a less urgent prompt that is
// being read.
func (p *Pool) backlog(now time.Time, r *replica, rank int) float64 {
	tokens, reading := p.ahead(now, r)
	total := 0
	for _, n := range tokens[:rank+1] {
		total += n
	}
	blocking := 0
	for _, x := range reading {
		if x.Priority > rank {
			blocking = max(blocking, x.Tokens)
		}
	}
	if rank > 0 {
		return overtaken*float64(total) + float64(blocking)
	}
	return float64(total + blocking)
}

// sharedTokens returns the length of the parts that other requests may share: all but
// the last.
func sharedTokens(parts []PromptPart) int {
	tokens := 0
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
	}
	return tokens
}

// kept guesses the tokens of a prompt that an upstream needn't read again.
func (p *Pool) kept(now time.Time, a Request, r *replica, home bool) int {
	kept := r.prompts.cached(now, a.Parts)
	if !home {
		return kept
	}
	return max(kept, int(float64(sharedTokens(a.Parts))*homeShare))
}

// queue projects the wait for a slot in milliseconds: for 8 requests on 6 slots that
// each hold for 60 ms, a slot falls free every 10 ms, and the next request waits for
// 3 of them.
func (p *Pool) queue(r *replica, running float64) float64 {
	slots := float64(max(1, r.Slots))
	ahead := running + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return ahead / slots * float64(r.hold.Milliseconds())
}

func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
