// Package pool holds the upstreams of one region with what is believed of them, and
// chooses where a request goes: to the upstream where its first answer is due
// soonest, given what is in flight there, what it keeps of the prompt, whether it is
// cold, and how it has answered lately.
package pool

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/mesh"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/rules"
)

// Settings say how upstreams behave where they don't say so themselves.
type Settings struct {
	// Self is this entry.
	Self ident.Instance
	// Region is the one whose upstreams this entry may connect to.
	Region ident.Region
	// PromptRate is the prompt tokens that an engine reads in a millisecond, until
	// answers show otherwise.
	PromptRate float64
}

// Pool is the upstreams of a region. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu       sync.Mutex
	replicas map[ident.Upstream]*replica
	services map[ident.Service]rules.Service
	// closed holds the zones that are evacuated.
	closed map[ident.Zone]struct{}
	// near holds the entries of the own region, this one included.
	near []ident.Instance
	// rate is the prompt tokens that an engine reads in a millisecond, as answers show
	// it.
	rate float64
}

// New returns an empty pool.
func New(s Settings) *Pool {
	return &Pool{
		settings: s,
		replicas: map[ident.Upstream]*replica{},
		closed:   map[ident.Zone]struct{}{},
		near:     []ident.Instance{s.Self},
		rate:     s.PromptRate,
	}
}

// SetServices takes in what operators say of the services.
func (p *Pool) SetServices(services map[ident.Service]rules.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = services
}

// SetNear takes in the entries of the own region.
func (p *Pool) SetNear(near []ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.near = near
}

// SetOthers takes in what the other entries of the region have in flight.
func (p *Pool) SetOthers(loads []mesh.ReplicaLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		r.others = foreign{}
	}
	for _, l := range loads {
		if r := p.replicas[l.Upstream]; r != nil {
			r.others.inFlight += l.InFlight
			for rank, tokens := range l.PromptTokens {
				r.others.tokens[rank] += tokens
			}
			r.others.reading = append(r.others.reading, l.Reading)
		}
	}
}

// Put takes in an entry of the list. Upstreams of other regions are left out. It
// reports whether what is believed of the upstream has changed.
func (p *Pool) Put(now time.Time, l Listed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Region != p.settings.Region {
		return false
	}
	r := p.replicas[l.ID]
	if r == nil || r.another(l) {
		r = newReplica(l)
		r.chill(now, l.Cold)
		p.replicas[l.ID] = r
		return true
	}
	changed := r.Draining != l.Draining || r.gone
	r.gone = false
	r.Listed = l
	r.chill(now, l.Cold)
	return changed
}

// another reports whether a list entry is of another run than the one held.
func (r *replica) another(l Listed) bool {
	return !l.Born.IsZero() && !l.Born.Equal(r.Born) || l.Address != r.Address || l.Service != r.Service
}

// Remove takes an upstream out that has left the list.
func (p *Pool) Remove(id ident.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[id]
	if r == nil {
		return false
	}
	r.gone = true
	delete(p.replicas, id)
	return true
}

// Evacuate stops new work to a zone.
func (p *Pool) Evacuate(zone ident.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed[zone] = struct{}{}
}

// Restore opens a zone again. Its upstreams count as cold: they have had no work.
func (p *Pool) Restore(now time.Time, zone ident.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.closed, zone)
	for _, r := range p.replicas {
		if r.Zone == zone {
			r.chill(now, p.services[r.Service].Warmup)
		}
	}
}

// Ask is what the choice has to know of a request.
type Ask struct {
	Service ident.Service
	// Tokens is the length of the prompt; zero for a plain service.
	Tokens int
	// Parts are those of the prompt, in order.
	Parts []Part
	// Rank is that of the route; zero is the most urgent.
	Rank int
	// Excluded upstreams have had the request already.
	Excluded []ident.Upstream
}

// Projection is what a request would meet.
type Projection struct {
	// Wait is the time until the upstream turns to the request.
	Wait time.Duration
	// First is the projected time until its first event, or its answer.
	First time.Duration
}

// candidate is an upstream with what a request would meet there.
type candidate struct {
	replica *replica
	// cost orders candidates, in milliseconds.
	cost float64
	Projection
	// uncached is the part of the prompt that has to be read.
	uncached int
}

// Project returns what a request would meet at the best upstream, and false when
// none takes it.
func (p *Pool) Project(now time.Time, a Ask) (Projection, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.best(now, a)
	return best.Projection, found
}

// Pick chooses an upstream and counts the request there until the lease ends.
func (p *Pool) Pick(now time.Time, a Ask) (*Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.best(now, a)
	if !found {
		return nil, false
	}
	r := best.replica
	if r.isCold(now) {
		r.coldSent = now
	}
	ahead, _ := p.ahead(now, r)
	request := &waiting{rank: mesh.Rank(a.Rank), tokens: best.uncached, sent: now}
	r.inFlight++
	if len(r.waiting) == 0 {
		r.heard = now
	}
	r.waiting = append(r.waiting, request)
	r.prompts.touch(now, a.Parts)
	return &Lease{
		Projection: best.Projection,
		Ahead:      ahead,
		Listed:     r.Listed,
		Cold:       r.isCold(now),
		InFlight:   r.inFlight,
		Uncached:   best.uncached,
		request:    request,
		pool:       p,
		replica:    r,
		started:    now,
	}, true
}

func (p *Pool) best(now time.Time, a Ask) (candidate, bool) {
	var best candidate
	found := false
	home := p.affine(a)
	for _, r := range p.replicas {
		if r.Service != a.Service || !p.usable(now, r) || excluded(a.Excluded, r.ID) {
			continue
		}
		c := p.weigh(now, a, r, r.ID == home)
		if !found || c.cost < best.cost || c.cost == best.cost && c.replica.ID < best.replica.ID {
			best = c
			found = true
		}
	}
	return best, found
}

func excluded(list []ident.Upstream, id ident.Upstream) bool {
	for _, e := range list {
		if e == id {
			return true
		}
	}
	return false
}

// usable reports whether new work may go to an upstream at all.
func (p *Pool) usable(now time.Time, r *replica) bool {
	if r.Draining || now.Before(r.avoidUntil) || r.silent(now) {
		return false
	}
	if _, closed := p.closed[r.Zone]; closed {
		return false
	}
	return !r.isCold(now) || p.mayWarm(now, r)
}

// mayWarm reports whether this entry may send a request to a cold upstream now. One
// entry of the region feeds each cold upstream, no faster than the rate that it
// bears. The rules allow half as much again and a few more, so that two entries that
// disagree on who feeds still stay within them.
func (p *Pool) mayWarm(now time.Time, r *replica) bool {
	rate := p.services[r.Service].WarmupRate
	if rate <= 0 {
		return true
	}
	feeder, _ := rank.First(string(r.ID), p.near)
	if feeder != p.settings.Self {
		return false
	}
	return now.Sub(r.coldSent) >= time.Duration(float64(time.Second)/rate)
}

// affine returns the upstream that all entries of the region prefer for a prompt: by
// rendezvous over the upstreams, on the longest part that other requests share.
func (p *Pool) affine(a Ask) ident.Upstream {
	if len(a.Parts) < 2 {
		return ""
	}
	key := a.Parts[len(a.Parts)-2].ID
	var home ident.Upstream
	for id, r := range p.replicas {
		if r.Service != a.Service || r.Draining {
			continue
		}
		if home == "" || rank.Before(key, id, home) {
			home = id
		}
	}
	return home
}

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

// weigh projects what a request would meet at an upstream.
func (p *Pool) weigh(now time.Time, a Ask, r *replica, home bool) candidate {
	running := float64(r.inFlight + r.others.inFlight)
	uncached := a.Tokens
	backlog := 0.0
	reread := 0.0
	if a.Tokens > 0 {
		kept := p.kept(now, a, r, home)
		uncached = max(0, a.Tokens-kept)
		backlog = p.backlog(now, r, mesh.Rank(a.Rank)) / p.rate
		reread = float64(max(0, sharedTokens(a.Parts)-kept)) / p.rate * rereadCost
	}
	wait := backlog + p.queue(r, running)
	first := wait + float64(uncached)/p.settings.PromptRate + running*runningCost
	slow := min(max(r.slow, 1), maxSlow)
	return candidate{
		replica:  r,
		cost:     first*slow + reread + r.trouble*troubleCost,
		uncached: uncached,
		Projection: Projection{
			Wait:  millis(wait * slow),
			First: millis(first * slow),
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
func (p *Pool) ahead(now time.Time, r *replica) (mesh.ByRank[int], []mesh.Reading) {
	tokens, reading := p.own(now, r)
	for rank, n := range r.others.tokens {
		tokens[rank] += n
	}
	return tokens, append(r.others.reading[:len(r.others.reading):len(r.others.reading)], reading)
}

// own returns the same for the requests of this entry alone. Of the oldest, what was
// read since it was sent, or since the upstream last turned to another, is taken off.
func (p *Pool) own(now time.Time, r *replica) (mesh.ByRank[int], mesh.Reading) {
	var tokens mesh.ByRank[int]
	var reading mesh.Reading
	for i, w := range r.waiting {
		left := w.tokens
		if i == 0 {
			since := w.sent
			if r.turned.After(since) {
				since = r.turned
			}
			read := p.rate * float64(now.Sub(since)) / float64(time.Millisecond)
			left = max(0, left-int(read))
			reading = mesh.Reading{Rank: w.rank, Tokens: left}
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
		if x.Rank > rank {
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
func sharedTokens(parts []Part) int {
	tokens := 0
	for i := range len(parts) - 1 {
		tokens += parts[i].Tokens
	}
	return tokens
}

// kept guesses the tokens of a prompt that an upstream needn't read again.
func (p *Pool) kept(now time.Time, a Ask, r *replica, home bool) int {
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

// Loads returns what this entry has in flight at each upstream.
func (p *Pool) Loads(now time.Time) []mesh.ReplicaLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []mesh.ReplicaLoad
	for id, r := range p.replicas {
		if r.inFlight == 0 {
			continue
		}
		tokens, reading := p.own(now, r)
		list = append(list, mesh.ReplicaLoad{Upstream: id, InFlight: r.inFlight, PromptTokens: tokens, Reading: reading})
	}
	return list
}

// Services returns what a further request for each service would meet in the region.
func (p *Pool) Services(now time.Time) []mesh.ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	byName := map[ident.Service]*mesh.ServiceLoad{}
	for _, r := range p.replicas {
		if !p.usable(now, r) || r.isCold(now) {
			continue
		}
		s := byName[r.Service]
		if s == nil {
			s = &mesh.ServiceLoad{Service: r.Service}
			byName[r.Service] = s
		}
		for rank := range s.Waits {
			c := p.weigh(now, Ask{Tokens: boolTokens(p.services[r.Service].Engine), Rank: rank}, r, false)
			if s.Replicas == 0 || c.Wait < s.Waits[rank] {
				s.Waits[rank] = c.Wait
			}
		}
		s.Replicas++
		if p.services[r.Service].Engine {
			s.TokensPerMilli += p.rate / min(max(r.slow, 1), maxSlow)
		}
	}
	list := make([]mesh.ServiceLoad, 0, len(byName))
	for _, s := range byName {
		list = append(list, *s)
	}
	return list
}

// boolTokens makes the projection count the backlog of engines.
func boolTokens(engine bool) int {
	if engine {
		return 1
	}
	return 0
}

// Size returns the number of upstreams of a service that are listed in the region and
// not leaving.
func (p *Pool) Size(s ident.Service) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, r := range p.replicas {
		if r.Service == s && !r.Draining {
			n++
		}
	}
	return n
}
