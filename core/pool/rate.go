package pool

import (
	"math"
	"strconv"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Instances that choose by the same outdated load reports all choose the same upstream,
// which then builds up a queue while others are idle (herding). The requests that peers
// have sent since their last report are unknown. Each instance samples their cost for
// each upstream at random, anew for each choice, around a mean that it derives from its
// own send rate.

const (
	// sendRateDecay is the time constant with which the rate of requests is averaged.
	sendRateDecay = 2 * time.Second
	// costWeight is the weight of the newest request in the average cost.
	costWeight = 0.05
	// maxUnsampledPeers is the number of peers up to which unreported requests are not
	// sampled: of the few requests that each of so few instances sends between two
	// reports, only the first ones go to the same upstream. With five peers, sampling
	// raised the mean wait by a tenth (TestHerding).
	maxUnsampledPeers = 11
)

// sendRate is the rate at which this instance sends requests for a service, and the
// average cost of each.
type sendRate struct {
	// requestsPerMilli is the number of requests in a millisecond; it decays over time.
	requestsPerMilli float64
	updated          time.Time
	// cost is the amount that one request adds to the cost of an upstream, in
	// milliseconds.
	cost float64
}

// at returns the requests in a millisecond as of now.
func (r *sendRate) at(now time.Time) float64 {
	return r.requestsPerMilli * decay(now.Sub(r.updated), sendRateDecay)
}

// decay returns the remaining fraction of a moving average after some time without
// samples.
func decay(since, over time.Duration) float64 {
	return math.Exp(-float64(since) / float64(over))
}

// add records one request of the given cost.
func (r *sendRate) add(now time.Time, cost float64) {
	r.requestsPerMilli = r.at(now) + float64(time.Millisecond)/float64(sendRateDecay)
	r.updated = now
	r.cost += costWeight * (cost - r.cost)
}

// recordSent adds a request to the send rate of its service.
func (p *Pool) recordSent(now time.Time, service ident.Service, uncached int) {
	if p.sendRates == nil {
		p.sendRates = map[ident.Service]*sendRate{}
	}
	rate := p.sendRates[service]
	if rate == nil {
		rate = &sendRate{updated: now}
		p.sendRates[service] = rate
	}
	rate.add(now, float64(uncached)/p.promptRate+runningCost)
}

// unreportedCost returns the cost, in milliseconds, that requests of peers add to each
// upstream of a service on average and that isn't in their load reports yet: 100 requests
// a second from each of 10 peers, with reports that are half a second old on average, are
// 10 requests at each of 50 upstreams. Requests that have ended in the meantime don't
// count.
func (p *Pool) unreportedCost(now time.Time, service ident.Service, upstreams []*replica) float64 {
	rate := p.sendRates[service]
	peers := float64(len(p.region.instances) - 1)
	if rate == nil || peers <= maxUnsampledPeers || p.meanLoadAge <= 0 || len(upstreams) == 0 {
		return 0
	}
	holdTime := time.Duration(0)
	for _, r := range upstreams {
		holdTime += r.holdTime
	}
	age := min(p.meanLoadAge, holdTime/time.Duration(len(upstreams)))
	arrived := rate.at(now) * float64(age.Milliseconds()) * peers / float64(len(upstreams))
	return arrived * rate.cost
}

// loadSampler draws the unreported load of the upstreams for one choice. The values come
// from hashes, so that they don't depend on the order in which upstreams are visited.
type loadSampler struct {
	key  string
	mean float64
	// ranking, if set, is the key of a ranking: the first upstreams in it then draw less.
	ranking string
}

// newLoadSampler returns a sampler for one choice with the given mean.
func (p *Pool) newLoadSampler(mean float64) loadSampler {
	if mean <= 0 {
		return loadSampler{}
	}
	p.samplers++
	return loadSampler{key: string(p.settings.Self) + strconv.FormatUint(p.samplers, 36), mean: mean}
}

// sample returns a random cost for an upstream, uniform between zero and twice the mean.
func (s loadSampler) sample(id ident.Upstream) float64 {
	if s.mean <= 0 {
		return 0
	}
	random := fraction(s.key, id)
	if s.ranking == "" {
		return 2 * s.mean * random
	}
	return s.mean * (random + 1 - fraction(s.ranking, id))
}

// fraction returns the score of an upstream for a key, from 0 to 1.
func fraction(key string, id ident.Upstream) float64 {
	return float64(rank.Score(key, string(id))>>11) / (1 << 53)
}

// SetMeanLoadAge sets the mean age of the load reports of peers.
func (p *Pool) SetMeanLoadAge(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanLoadAge = age
}
