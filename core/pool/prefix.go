package pool

import (
	"math"
	"strconv"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/prefix"
	"arbutustrestle/core/rank"
)

// An engine that still holds the leading parts of a prompt in its cache answers sooner and
// has less to do. What it holds is estimated from the requests that this instance sent
// there and from those that peers are likely to have sent: all instances rank the upstreams
// for a prefix alike and send to the first that isn't busy. docs/design/prefix-cache.md
// describes the model.

// PromptPart is a part of a prompt that requests may share.
type PromptPart = prefix.Part

const (
	// maxRanked is the number of upstreams that are ranked for a prefix. With half of all
	// requests passing an upstream over, one in 256 goes further.
	maxRanked = 8
	// unknownInstances is the number of instances that are assumed while the view of the
	// region isn't known: there are others, so the rank of an upstream counts.
	unknownInstances = 2
	// defaultMemoryTokens is the memory of engines that don't publish it; it is below that
	// of the smallest engines in use.
	defaultMemoryTokens = 300_000
	// inflowDecay is the time constant with which the tokens sent to engines are averaged.
	inflowDecay = 5 * time.Second
)

// affinity estimates for one request what each upstream holds of its prompt.
type affinity interface {
	// at returns what an upstream holds, and the cost, in milliseconds, of reading the rest
	// of the shared part there, beyond the time of the request itself.
	at(now time.Time, p *Pool, r *replica) (prefix.Estimate, float64)
	// sent records that the request is sent to the chosen upstream.
	sent(now time.Time, p *Pool, req Request, c candidate)
}

// servicePrefixes is what an instance knows of the prompts of one service.
type servicePrefixes struct {
	demand prefix.Demand
	// inflow is the rate at which this instance has tokens read, and prompt the mean
	// length of prompts.
	inflow tokenRate
	prompt float64
	// work is the mean number of tokens that are read for a request.
	work float64
	// missed is the mean fraction of shared tokens that had to be read, and shared the
	// fraction of the tokens read that were shared.
	missed float64
	shared float64
}

// tokenRate is a decaying rate of tokens per second.
type tokenRate struct {
	perSecond float64
	updated   time.Time
}

func (t *tokenRate) at(now time.Time) float64 {
	return t.perSecond * decay(now.Sub(t.updated), inflowDecay)
}

func (t *tokenRate) add(now time.Time, tokens float64) {
	t.perSecond = t.at(now) + tokens/inflowDecay.Seconds()
	t.updated = now
}

// promptView holds what the estimates of all upstreams for one request have in common.
type promptView struct {
	prompt prefix.Prompt
	// tokens is the length of the whole prompt.
	tokens float64
	known  *servicePrefixes
	// key is what upstreams are ranked by.
	key string
	// ranked holds the first upstreams in the ranking for the prefix.
	ranked [maxRanked]*replica
	scores [maxRanked]uint64
	count  int
	// shares holds the fraction of the requests for the prefix that goes to each rank.
	shares [maxRanked]float64
	// rate is the number of requests per second for the prefix, of all instances.
	rate float64
	// copies is the number of upstreams that the demand for the prefix needs.
	copies float64
	// uses is the number of requests that a copy at a further upstream is expected to serve.
	uses float64
	// misplaced is the cost, in milliseconds, of reading the prefix where peers don't look
	// for it.
	misplaced float64
	// situation has the rates of peers over all upstreams.
	situation prefix.Situation
	// memory is the memory of each upstream in tokens.
	memory float64
	// upstreams is the number of upstreams of the service, and inflow the tokens per second
	// that each of them reads.
	upstreams int
	inflow    float64
	// inFlight is the number of requests at all of them.
	inFlight int
}

// viewPrompt prepares the estimates for one request. It returns nil for a request without
// a prompt.
func (p *Pool) viewPrompt(now time.Time, req Request) affinity {
	if req.Tokens == 0 {
		return nil
	}
	if p.newAffinity != nil {
		return p.newAffinity(now, req)
	}
	v := &promptView{prompt: prefix.NewPrompt(req.Parts), tokens: float64(req.Tokens), known: p.prefixesOf(req.Service)}
	p.rankUpstreams(v, req.Service)
	instances := float64(p.regionSize())
	upstreams := float64(max(1, v.upstreams))
	v.memory = p.memoryTokens(req.Service, v.known)
	v.inflow = v.known.inflow.at(now) * instances / upstreams
	v.situation.PeerRates = v.known.demand.Rates(now, &v.prompt, instances)
	trust := v.known.demand.Trust()
	if v.count > 0 {
		v.rate = v.situation.PeerRates[v.prompt.SharedParts()-1] * (1 + (instances-1)*trust)
	}
	for i := range v.situation.PeerRates {
		v.situation.PeerRates[i] *= (instances - 1) * trust
	}
	v.raiseCrowdedRate()
	v.shareRanks(p, req)
	v.misplaced = v.misplacement(now, p)
	return v
}

// rankUpstreams ranks the upstreams of a service for the prefix of a prompt by rendezvous
// hashing. Those that are busy or cold for a moment keep their rank.
func (p *Pool) rankUpstreams(v *promptView, service ident.Service) {
	v.key = strconv.FormatUint(v.prompt.Key(), 36)
	for id, r := range p.replicas {
		if r.Service != service || r.Draining || r.leaving {
			continue
		}
		v.upstreams++
		v.inFlight += r.inFlight + r.peers.inFlight
		if v.prompt.Key() != 0 {
			v.insert(r, rank.Score(v.key, string(id)))
		}
	}
}

// insert places an upstream among the first ones if its score is high enough.
func (v *promptView) insert(r *replica, score uint64) {
	at := v.count
	for at > 0 && (score > v.scores[at-1] || score == v.scores[at-1] && r.ID < v.ranked[at-1].ID) {
		at--
	}
	if at == maxRanked {
		return
	}
	v.count = min(v.count+1, maxRanked)
	copy(v.ranked[at+1:v.count], v.ranked[at:])
	copy(v.scores[at+1:v.count], v.scores[at:])
	v.ranked[at], v.scores[at] = r, score
}

// shareRanks computes the shares of the ranks.
func (v *promptView) shareRanks(p *Pool, req Request) {
	v.uses = 1
	if v.count == 0 {
		return
	}
	overflow := v.known.demand.Overflow(&v.prompt)
	// busy is the fraction of an engine's time that reading takes, and work the time that
	// reading the own parts of requests for this prefix would take at a single engine.
	busy := min(v.inflow/(p.promptRate*1000), 0.8)
	work := v.rate * float64(req.Tokens-v.prompt.Shared()) / (p.promptRate * 1000)
	v.copies = min(work/(1-busy), float64(v.count))
	// A copy at a further upstream serves the requests that pass the first one over.
	passed := 1 - 1/max(v.copies, 1)
	v.uses += v.rate * v.residence(v.ranked[0]).Seconds() * passed
	for i := range v.count {
		v.shares[i] = prefix.RankShare(i+1, overflow, v.copies)
	}
}

// rankOf returns the rank of an upstream, from 1; 0 if it isn't among the first.
func (v *promptView) rankOf(r *replica) int {
	for i, ranked := range v.ranked[:v.count] {
		if ranked == r {
			return i + 1
		}
	}
	return 0
}

func (v *promptView) at(now time.Time, p *Pool, r *replica) (prefix.Estimate, float64) {
	e := v.held(now, r)
	missing := max(0, float64(e.Shared)-e.Tokens)
	cost := prefix.RereadCost(missing, v.loadAt(now, p, r, missing))
	if missing > 0 && !v.isPlaced(r) {
		cost += v.misplaced
	}
	return e, cost + v.unreported(p, r, v.tokens-e.Tokens)
}

// unreported returns the time, in milliseconds, in which an upstream reads what peers are
// expected to have sent there for the same prefix since they last reported their loads.
func (v *promptView) unreported(p *Pool, r *replica, tokens float64) float64 {
	rank := v.rankOf(r)
	if rank == 0 {
		return 0
	}
	rate := v.situation.PeerRates[v.prompt.SharedParts()-1] * v.shares[rank-1]
	return rate * p.meanLoadAge.Seconds() * tokens / p.promptRate
}

// held estimates what an upstream holds of the prompt.
func (v *promptView) held(now time.Time, r *replica) prefix.Estimate {
	s := v.situation
	s.EmptyAt = latest(r.StartTime, r.endedAt)
	s.Residence = v.residence(r)
	last := v.prompt.SharedParts() - 1
	for i := range last {
		s.PeerRates[i] /= float64(max(1, v.upstreams))
	}
	if last >= 0 {
		share := 0.0
		if rank := v.rankOf(r); rank > 0 {
			share = v.shares[rank-1]
		}
		s.PeerRates[last] *= share
	}
	return r.prompts.Held(now, &v.prompt, &s)
}

// residence returns how long parts stay in the cache of an upstream.
func (v *promptView) residence(r *replica) time.Duration {
	running := float64(r.inFlight+r.peers.inFlight) * v.known.prompt
	return prefix.Residence(v.memory, running, v.inflow)
}

// loadAt returns what reading tokens again costs at an upstream.
func (v *promptView) loadAt(now time.Time, p *Pool, r *replica, missing float64) prefix.Load {
	tokens, _ := p.ownBacklog(now, r)
	backlog := 0
	for class, n := range tokens {
		backlog += n + r.peers.tokens[class]
	}
	// A running request that ends later keeps another one from starting as far as the
	// slots are taken. An engine that has just started runs few, but soon as many as others.
	running := float64(v.inFlight) / float64(max(1, v.upstreams))
	taken := min(1, running/float64(max(1, r.Slots)))
	queued := prefix.Delayed(float64(backlog), missing, v.known.work, v.inflow/(p.promptRate*1000))
	return prefix.Load{
		Rate:    p.promptRate,
		Delayed: (queued + running*taken) / v.uses,
		Reuse:   v.known.missed * v.known.shared / v.uses,
	}
}

// misplacement returns the cost, in milliseconds, of reading a prefix where peers don't look
// for it, while the upstream where they do doesn't hold it: the next one that looks there
// while a copy would have been held reads it once more.
func (v *promptView) misplacement(now time.Time, p *Pool) float64 {
	if v.count == 0 {
		return 0
	}
	first := v.ranked[0]
	e := v.held(now, first)
	absent := max(0, float64(e.Shared)-e.Tokens)
	asked := prefix.ArrivalLikelihood(v.situation.PeerRates[v.prompt.SharedParts()-1], v.residence(first))
	return asked * (absent/p.promptRate + prefix.RereadCost(absent, v.loadAt(now, p, first, absent)))
}

// isPlaced reports whether peers look for the prefix at an upstream.
func (v *promptView) isPlaced(r *replica) bool {
	rank := v.rankOf(r)
	return v.count == 0 || rank > 0 && float64(rank) < v.copies+1
}

// memoryTokens returns the memory of an engine. What isn't published is taken to hold a
// usual prompt for each slot at least.
func (p *Pool) memoryTokens(name ident.Service, known *servicePrefixes) float64 {
	service := p.services[name]
	if service.Memory > 0 {
		return float64(service.Memory)
	}
	return max(defaultMemoryTokens, float64(service.Slots)*known.prompt)
}

// raiseCrowdedRate makes the excess of requests at the first upstream count as demand for the
// prefix: one of many instances sees a prefix that has just become popular too seldom to
// know. Other prefixes that are first read there go elsewhere as well, which relieves it.
func (v *promptView) raiseCrowdedRate() {
	if v.count == 0 {
		return
	}
	r := v.ranked[0]
	mean := float64(v.inFlight) / float64(max(1, v.upstreams))
	excess := float64(r.inFlight+r.peers.inFlight) - mean
	// Two standard deviations of a Poisson distribution are more than chance gives.
	if excess <= 2*math.Sqrt(mean) {
		return
	}
	rate := &v.situation.PeerRates[v.prompt.SharedParts()-1]
	*rate = max(*rate, excess/max(r.holdTime, minHoldTime).Seconds())
	v.rate = max(v.rate, *rate)
}

// minHoldTime bounds the rate that follows from the requests in flight.
const minHoldTime = 100 * time.Millisecond

// regionSize returns the number of instances that send to the upstreams.
func (p *Pool) regionSize() int {
	if len(p.region.instances) == 0 {
		return unknownInstances
	}
	return len(p.region.instances)
}

// prefixesOf returns what is known of the prompts of a service.
func (p *Pool) prefixesOf(service ident.Service) *servicePrefixes {
	known := p.prefixes[service]
	if known == nil {
		known = &servicePrefixes{missed: 1}
		if p.prefixes == nil {
			p.prefixes = map[ident.Service]*servicePrefixes{}
		}
		p.prefixes[service] = known
	}
	return known
}

// promptWeight is the weight of the newest prompt in means.
const promptWeight = 0.02

func (v *promptView) sent(now time.Time, _ *Pool, req Request, c candidate) {
	known := v.known
	known.demand.Add(now, &v.prompt)
	known.demand.Placed(&v.prompt, v.rankOf(c.replica))
	known.inflow.add(now, float64(c.uncached))
	if known.prompt == 0 {
		known.prompt = float64(req.Tokens)
		known.work = known.prompt
	}
	known.work += promptWeight * (float64(c.uncached) - known.work)
	known.prompt += promptWeight * (float64(req.Tokens) - known.prompt)
	if shared := float64(c.held.Shared); shared > 0 {
		missed := max(0, shared-c.held.Tokens)
		known.missed += promptWeight * (missed/shared - known.missed)
		known.shared += promptWeight * (missed/max(1, float64(c.uncached)) - known.shared)
	}
	c.replica.prompts.Read(now, &v.prompt)
}

// sampler returns the sampler of the unreported load for one request. Half of what a request
// for a prefix draws comes from the ranking for it: that half is the same at all instances,
// so that they pass over the same upstreams, and spreads other prefixes over other ones.
// While requests for the prefix come faster than loads are reported, all of it is random.
func (p *Pool) sampler(prompt affinity, mean float64) loadSampler {
	s := p.newLoadSampler(mean)
	v, isView := prompt.(*promptView)
	if !isView || v.count == 0 || s.mean == 0 {
		return s
	}
	if rate := v.situation.PeerRates[v.prompt.SharedParts()-1]; rate*p.meanLoadAge.Seconds() <= 1 {
		s.ranking = v.key
	}
	return s
}
