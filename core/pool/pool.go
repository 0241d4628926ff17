// Package pool balances requests over the upstreams of one region. It holds the state of
// each upstream and chooses the one with the shortest projected time to the first byte,
// given the requests in flight there, the cached part of the prompt, whether the upstream
// is cold, and its recent latency and failures.
package pool

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/prefix"
	"arbutustrestle/core/random"
	"arbutustrestle/core/spec"
)

// Settings holds the identity of the instance and defaults for the behavior of upstreams
// that don't announce their own.
type Settings struct {
	// Self is this instance.
	Self ident.Instance
	// Region is the region whose upstreams this instance may connect to.
	Region ident.Region
	// PromptRate is the initial estimate of the prompt tokens that an engine reads in a
	// millisecond. Measured responses adjust it.
	PromptRate float64
	// Random is the source of the pool's draws, which nothing else may use; nil means a generator
	// seeded with the name of the instance.
	Random *rand.Rand
}

// Pool holds the upstreams of a region. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu       sync.Mutex
	replicas map[ident.Upstream]*replica
	services map[ident.Service]spec.Service
	// evacuated holds the availability zones that are evacuated.
	evacuated map[ident.Zone]struct{}
	// region is the membership of the own region.
	region    regionView
	sendTimes sendTimes
	known     knownInstances
	// brittleServices holds the newest statement of a brittle upstream of each service.
	brittleServices map[ident.Service]limitReport
	// heldUntil is when requests may be sent again after a pause of the process; zero if
	// they may.
	heldUntil time.Time
	// unlisted holds the upstreams that have left the list, for unlistedMemory or for as
	// long as they would be cold.
	unlisted map[ident.Upstream]unlisted
	// endNews is set until peers are told that an upstream has ended or returned.
	endNews  bool
	versions versions
	// listHeardAt is the time up to which all changes of the list are held, and listHeardSince that
	// since which there was no gap; zero before the list was heard of.
	listHeardAt, listHeardSince time.Time
	// meanLoadAge is the mean age of the load reports of peers. sendRates holds the rate
	// at which this instance sends requests for each service.
	meanLoadAge time.Duration
	sendRates   map[ident.Service]*sendRate
	// samplers counts the choices that used a loadSampler.
	samplers uint64
	// excessDelays is the time by which the first byte arrives later than projected.
	excessDelays map[ident.Service]*gossip.ByPriority[decayingDelay]
	queueWaits   queueWaits
	// promptRate is the prompt tokens that an engine reads in a millisecond, as estimated
	// from responses.
	promptRate float64
	// prefixes holds what is known of the prompts of each service.
	prefixes map[ident.Service]*servicePrefixes
	// regions holds what this instance has sent to other regions; it has a lock of its own.
	regions prefix.Regions
	// newAffinity replaces the estimates of cached prompt parts; nil by default.
	newAffinity func(now time.Time, req Request) affinity
}

// New returns an empty pool.
func New(s Settings) *Pool {
	if s.Random == nil {
		s.Random = random.ForInstance(s.Self)
	}
	return &Pool{
		settings:   s,
		replicas:   map[ident.Upstream]*replica{},
		evacuated:  map[ident.Zone]struct{}{},
		sendTimes:  sendTimes{},
		unlisted:   map[ident.Upstream]unlisted{},
		promptRate: s.PromptRate,
	}
}

// sample returns up to count random elements of a list, whose order doesn't matter, in random
// order. It is called with the lock held.
func sample[T any](p *Pool, list []T, count int, compare func(a, b T) int) []T {
	slices.SortFunc(list, compare)
	count = min(count, len(list))
	for i := range count {
		j := i + p.settings.Random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count]
}

// SetServices replaces the settings of the services.
func (p *Pool) SetServices(services map[ident.Service]spec.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = services
}

// SetPeerLoads replaces the loads that the other instances of the region report.
func (p *Pool) SetPeerLoads(loads []gossip.UpstreamLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		r.peers = peerLoad{}
	}
	for _, l := range loads {
		if r := p.replicas[l.Upstream]; r != nil {
			r.peers.inFlight += l.InFlight
			for class, tokens := range l.PromptTokens {
				r.peers.tokens[class] += tokens
			}
			r.peers.prefills = append(r.peers.prefills, l.Prefill)
		}
	}
}

// SetUpstream adds or updates an upstream of the list. Upstreams of other regions are
// ignored. It reports whether the upstream is new, restarted, or began or stopped
// draining.
func (p *Pool) SetUpstream(now time.Time, u Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[u.ID]
	if r != nil && r.outdates(now, u) {
		return false
	}
	p.versions.set(now, u)
	if u.Region != p.settings.Region {
		return false
	}
	if r == nil || r.isNewRun(u) {
		r = newReplica(u)
		r.listedAt = now
		r.markCold(now, u.WarmupLeft)
		p.takeUnlisted(r)
		p.replicas[u.ID] = r
		return true
	}
	changed := r.Draining != u.Draining
	r.Upstream = u
	r.markCold(now, u.WarmupLeft)
	return changed
}

// HoldsNewer reports whether the pool holds a description of the upstream that is newer
// than the given one, by what the upstream itself says of its run.
func (p *Pool) HoldsNewer(u Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[u.ID]
	return r != nil && u.isOlderThan(&r.Upstream)
}

// HasLeft reports whether the upstream has left the list with this description or a newer
// one.
func (p *Pool) HasLeft(u Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, found := p.unlisted[u.ID]
	return found && !before.replica.isOlderThan(&u)
}

// lateWriteTime is how long after the first description of a run one of an earlier run may still
// come: the store may do what that run wrote seconds later. One that comes after that is taken, since
// the description of the later run may have been another writer's.
const lateWriteTime = 10 * time.Second

// outdates reports whether a list entry describes an earlier run than the one held, and was
// written late.
func (r *replica) outdates(now time.Time, u Upstream) bool {
	if u.StartTime.IsZero() || r.StartTime.IsZero() {
		return false
	}
	return u.StartTime.Before(r.StartTime) && now.Sub(r.listedAt) < lateWriteTime
}

// IsLateWrite reports whether a list entry describes an earlier run than the one held, and is not
// taken for that.
func (p *Pool) IsLateWrite(now time.Time, u Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.replicas[u.ID]
	return r != nil && r.outdates(now, u)
}

// isNewRun reports whether a list entry describes another run than the one held.
func (r *replica) isNewRun(u Upstream) bool {
	return !u.StartTime.IsZero() && !u.StartTime.Equal(r.StartTime) || u.Address != r.Address || u.Service != r.Service || u.Version != r.Version
}

// unlisted is an upstream that has left the list.
type unlisted struct {
	replica *replica
	leftAt  time.Time
}

// unlistedMemory is how long an upstream that has left the list is remembered. It exceeds
// the age of a copy from which the store comes back.
const unlistedMemory = time.Minute

// RemoveUpstream removes an upstream that has left the list. It reports whether the
// upstream was held.
func (p *Pool) RemoveUpstream(now time.Time, id ident.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions.remove(now, id)
	r, held := p.replicas[id]
	if held {
		delete(p.replicas, id)
		p.unlisted[id] = unlisted{replica: r, leftAt: now}
	}
	return held
}

// takeUnlisted makes what an upstream said of itself, and what its connections showed, hold on
// when it returns to the list in the same run.
func (p *Pool) takeUnlisted(r *replica) {
	before, found := p.unlisted[r.ID]
	delete(p.unlisted, r.ID)
	if found && !before.replica.isNewRun(r.Upstream) {
		r.takeOver(before.replica.selfReport)
		r.dialColdUntil = before.replica.dialColdUntil
		r.end = before.replica.end
	}
}

// forgetUnlisted removes the upstreams that have left long ago and would be warm by now.
func (p *Pool) forgetUnlisted(now time.Time) {
	for id, u := range p.unlisted {
		if now.Sub(u.leftAt) > unlistedMemory && !p.isCold(now, u.replica) {
			delete(p.unlisted, id)
		}
	}
}

// EvacuateZone stops new requests to an availability zone.
func (p *Pool) EvacuateZone(zone ident.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated[zone] = struct{}{}
}

// RestoreZone allows requests to an availability zone again. Its upstreams count as cold,
// since they had no requests meanwhile.
func (p *Pool) RestoreZone(now time.Time, zone ident.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.evacuated, zone)
	for _, r := range p.replicas {
		if r.Zone == zone {
			r.markCold(now, p.services[r.Service].Warmup)
		}
	}
}

// UpstreamLoads returns the requests that this instance has in flight at each upstream.
func (p *Pool) UpstreamLoads(now time.Time) []gossip.UpstreamLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []gossip.UpstreamLoad
	for id, r := range p.replicas {
		if r.inFlight == 0 {
			continue
		}
		tokens, prefill := p.ownBacklog(now, r)
		list = append(list, gossip.UpstreamLoad{Upstream: id, InFlight: r.inFlight, PromptTokens: tokens, Prefill: prefill})
	}
	return list
}

// ServiceLoads returns the projected wait and the capacity for a further request of each
// service in the region.
func (p *Pool) ServiceLoads(now time.Time) []gossip.ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	byName := map[ident.Service]*gossip.ServiceLoad{}
	for _, r := range p.replicas {
		if _, paced := p.pace(now, r); paced || p.isCold(now, r) || !p.usable(now, r) {
			continue
		}
		s := byName[r.Service]
		if s == nil {
			s = &gossip.ServiceLoad{Service: r.Service}
			byName[r.Service] = s
		}
		for class := range s.Waits {
			c := p.estimate(now, Request{Tokens: probeTokens(p.services[r.Service].Engine), Priority: class}, r, nil)
			wait := c.Wait + p.excessDelay(now, r.Service, class) + p.queueWaits.at(now, r.Service, class)
			if s.Upstreams == 0 || wait < s.Waits[class] {
				s.Waits[class] = wait
			}
		}
		s.Upstreams++
		if !slices.Contains(s.Versions, r.Version) {
			s.Versions = append(s.Versions, r.Version)
		}
		if p.services[r.Service].Engine {
			s.TokensPerMilli += p.promptRate / min(max(r.slowdown, 1), maxSlowdown)
		}
	}
	list := make([]gossip.ServiceLoad, 0, len(byName))
	for _, s := range byName {
		list = append(list, *s)
	}
	return list
}

// probeTokens returns a prompt length that makes the projection include the backlog of
// engines.
func probeTokens(engine bool) int {
	if engine {
		return 1
	}
	return 0
}
