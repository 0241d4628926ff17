package pool

import (
	"cmp"
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// An upstream that says that it is brittle falls over when it has to reject more than a
// number of requests in a second for lack of capacity. No counter is shared, and load reports
// are older than most requests take. The slots of such an upstream are therefore divided among
// the instances of its region, by rendezvous: each has at most as many requests there as it
// holds slots, so that all together never have more than there are slots while they hold the
// same list of instances. Where the lists differ, rejections make an instance back off there.
// An instance without a slot hands its requests to one that holds some.

const (
	// firstBrittleBackoff doubles with each further rejection in a row, up to
	// maxBrittleBackoff. That maximum is raised, to longestBrittleBackoff at most, where the
	// rejections of all instances that hold slots would otherwise exceed half of what the
	// upstream tolerates.
	firstBrittleBackoff   = 250 * time.Millisecond
	maxBrittleBackoff     = 2 * time.Second
	longestBrittleBackoff = 8 * time.Second
	// knownTime is how long an instance must have known its peers before it sends to a
	// brittle upstream: one that has just started would take all slots for its own.
	knownTime = 3 * time.Second
	// An upstream that hasn't said that it is brittle counts as brittle if its last answer is
	// more than brittleSpread older than the newest statement of a brittle upstream of the same
	// service. brittleMemory is how long such a statement counts for other upstreams.
	brittleSpread = 2 * time.Second
	brittleMemory = 30 * time.Second
)

// brittleState is what a replica needs to bound the requests to a brittle upstream.
type brittleState struct {
	// admitted counts the requests that were sent and have not ended.
	admitted int
	// abandoned holds when the slots of requests that ended here without an answer are assumed
	// to be free.
	abandoned []time.Time
	// backoff is the last one; zero after an answer. rejectedUntil is when it ends.
	backoff       time.Duration
	rejectedUntil time.Time
	// share is the number of slots that this instance holds, and holders are the instances
	// that hold any, as of version of the list of instances and the number of slots.
	share   int
	holders []ident.Instance
	version uint64
	slots   int
}

// knownInstances are the instances among which the slots of brittle upstreams are divided.
type knownInstances struct {
	// list includes this instance, and silent ones: they may be in touch with upstreams.
	list []ident.Instance
	// version grows with each change of the list; zero while there was none.
	version uint64
	since   time.Time
}

// SetKnownInstances replaces the list of the instances of the own region that have been heard
// of and have not said that they stopped.
func (p *Pool) SetKnownInstances(now time.Time, list []ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known.version > 0 && slices.Equal(p.known.list, list) {
		return
	}
	if p.known.version == 0 {
		p.known.since = now
	}
	p.known.list = list
	p.known.version++
}

// ReportBrittle records whether an answer of the upstream says that it is brittle, and how many
// rejections in a second it tolerates. It reports whether that is a change.
func (l *Lease) ReportBrittle(now time.Time, rejections gossip.RateLimit) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	changed := l.replica.brittle.RateLimit != rejections
	l.pool.followBrittle(l.replica, rejections, now)
	return changed
}

// followBrittle records a statement of an upstream.
func (p *Pool) followBrittle(r *replica, rejections gossip.RateLimit, at time.Time) {
	r.brittle.follow(rejections, at)
	if !rejections.Named {
		return
	}
	if p.brittleServices == nil {
		p.brittleServices = map[ident.Service]limitReport{}
	}
	if newest := p.brittleServices[r.Service]; at.After(newest.at) {
		newest.follow(rejections, at)
		p.brittleServices[r.Service] = newest
	}
}

// rejectionLimit returns the number of rejections in a second that a brittle upstream tolerates,
// and false if the upstream isn't brittle. One that hasn't answered since others of its service
// said that they are counts as brittle too: they become so together.
func (p *Pool) rejectionLimit(now time.Time, r *replica) (float64, bool) {
	if r.brittle.Named {
		return r.brittle.PerSecond, true
	}
	newest, found := p.brittleServices[r.Service]
	if !found || now.Sub(newest.at) > brittleMemory || newest.at.Sub(r.brittle.at) <= brittleSpread {
		return 0, false
	}
	return newest.PerSecond, true
}

// SetPeerBrittle merges what peers know of brittle upstreams. Of a run of an upstream, the
// latest answer counts. It returns those that change what this instance knew.
func (p *Pool) SetPeerBrittle(now time.Time, reports []gossip.UpstreamLimit) []gossip.UpstreamLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []gossip.UpstreamLimit
	for _, l := range reports {
		r := p.replicas[l.Upstream]
		if r == nil || !r.StartTime.Equal(l.StartTime) {
			continue
		}
		at := now.Add(-l.Age)
		newer := at.Sub(r.brittle.at)
		changed := r.brittle.RateLimit != l.RateLimit
		if newer > minNewsAge || newer > 0 && changed {
			p.followBrittle(r, l.RateLimit, at)
			if changed {
				changes = append(changes, l)
			}
		}
	}
	return changes
}

// BrittleUpstreams returns what this instance knows of brittle upstreams, from answers and from
// peers. That an upstream is no longer brittle is reported for paceMemory.
func (p *Pool) BrittleUpstreams(now time.Time) []gossip.UpstreamLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []gossip.UpstreamLimit
	for id, r := range p.replicas {
		if r.brittle.Named || r.brittle.lifted && now.Sub(r.brittle.at) <= paceMemory {
			list = append(list, gossip.UpstreamLimit{Upstream: id, StartTime: r.StartTime, RateLimit: r.brittle.RateLimit, Age: now.Sub(r.brittle.at)})
		}
	}
	return list
}

// IsBrittle reports whether an upstream of the service is brittle.
func (p *Pool) IsBrittle(service ident.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.replicas {
		if r.Service == service && r.brittle.Named {
			return true
		}
	}
	return false
}

// maxHolders bounds the instances that SlotHolders returns.
const maxHolders = 8

// SlotHolders returns some random other instances of the region that hold slots of brittle
// upstreams of a service, at most one for each upstream. It is empty if none is brittle.
func (p *Pool) SlotHolders(service ident.Service) []ident.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var brittle []*replica
	for _, r := range p.replicas {
		if r.Service == service && r.brittle.Named && !p.isClosed(r) {
			brittle = append(brittle, r)
		}
	}
	var list []ident.Instance
	for _, r := range sample(p, brittle, len(brittle), func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) }) {
		p.updateShare(r)
		if len(r.holders) == 0 {
			continue
		}
		if id := r.holders[p.settings.Random.IntN(len(r.holders))]; id != p.settings.Self {
			list = append(list, id)
		}
		if len(list) == maxHolders {
			break
		}
	}
	return list
}

// brittleAllows reports whether a request may be chosen for an upstream as far as it is
// brittle: it isn't, or a slot of this instance is free there by what is known.
func (p *Pool) brittleAllows(now time.Time, r *replica) bool {
	if _, brittle := p.rejectionLimit(now, r); !brittle {
		return true
	}
	own := r.inFlight + r.countAbandoned(now)
	if now.Before(r.rejectedUntil) || own >= p.brittleShare(now, r) {
		return false
	}
	// Peers may still have more requests there than slots, from before the upstream was
	// brittle. Reports that are older than a request takes say little.
	peers := float64(r.peers.inFlight) * decay(p.meanLoadAge, max(r.holdTime, time.Millisecond))
	return float64(own+1)+peers <= float64(max(1, r.Slots))
}

// admitBrittle is asked where a request leaves. A request that it admits counts as running
// until its lease ends.
func (l *Lease) admitBrittle(now time.Time) bool {
	p, r := l.pool, l.replica
	if l.admitted {
		return true
	}
	if _, brittle := p.rejectionLimit(now, r); brittle && (now.Before(r.rejectedUntil) || r.admitted+r.countAbandoned(now) >= p.brittleShare(now, r)) {
		return false
	}
	r.admitted++
	l.admitted = true
	return true
}

// endBrittle frees the slot of a request that has ended. The upstream may go on with one that
// was given up, for as long as requests take on average.
func (l *Lease) endBrittle(now time.Time, outcome Outcome) {
	r := l.replica
	if !l.admitted {
		return
	}
	l.admitted = false
	r.admitted--
	switch outcome {
	case Answered, Errored:
		r.backoff = 0
	case Refused:
		l.pool.backOffBrittle(now, r)
	case Broken, Silent, Cancelled:
		if _, brittle := l.pool.rejectionLimit(now, r); brittle {
			r.abandoned = append(r.abandoned, now.Add(r.holdTime))
		}
	case Unreachable, Replaced:
	}
}

func (p *Pool) backOffBrittle(now time.Time, r *replica) {
	limit, brittle := p.rejectionLimit(now, r)
	if !brittle {
		return
	}
	longest := longestBrittleBackoff
	if limit > 0 {
		senders := float64(min(max(1, r.Slots), max(1, len(p.known.list))))
		longest = min(longest, time.Duration(2*senders/limit*float64(time.Second)))
	}
	r.backoff = min(max(2*r.backoff, firstBrittleBackoff), max(longest, maxBrittleBackoff))
	r.rejectedUntil = now.Add(r.backoff)
}

// countAbandoned returns the number of slots that requests which ended without an answer may
// still occupy.
func (r *replica) countAbandoned(now time.Time) int {
	r.abandoned = slices.DeleteFunc(r.abandoned, func(until time.Time) bool { return !now.Before(until) })
	return len(r.abandoned)
}

// brittleShare returns the number of an upstream's slots that this instance holds.
func (p *Pool) brittleShare(now time.Time, r *replica) int {
	if p.known.version == 0 || now.Sub(p.known.since) < knownTime {
		return 0
	}
	p.updateShare(r)
	return r.share
}

// updateShare divides the slots of an upstream anew if the list of instances has changed. Each
// instance holds the same number, and those that rank first hold one more.
func (p *Pool) updateShare(r *replica) {
	slots, count := max(1, r.Slots), len(p.known.list)
	if r.version == p.known.version && r.slots == slots || count == 0 {
		return
	}
	r.version, r.slots = p.known.version, slots
	each, rest := slots/count, slots%count
	first := rankedFirst(string(r.ID), p.known.list, rest)
	r.share = each
	if slices.Contains(first, p.settings.Self) {
		r.share++
	}
	r.holders = first
	if each > 0 {
		r.holders = p.known.list
	}
}

// rankedFirst returns the instances that rank first for a key, in the order of the list. Equal
// scores, which are unlikely with 64 bits, may add one.
func rankedFirst(key string, list []ident.Instance, count int) []ident.Instance {
	if count == 0 {
		return nil
	}
	scores := make([]uint64, len(list))
	for i, id := range list {
		scores[i] = rank.Score(key, string(id))
	}
	sorted := slices.Sorted(slices.Values(scores))
	least := sorted[len(sorted)-count]
	first := make([]ident.Instance, 0, count)
	for i, id := range list {
		if scores[i] >= least {
			first = append(first, id)
		}
	}
	return first
}
