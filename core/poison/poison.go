// Package poison detects prompt parts that end upstreams: requests that hold such a part
// crash each upstream that begins to answer them (a query of death). It holds the evidence
// of one instance and of its peers, and decides which requests may not be sent.
//
// An upstream that ends takes all requests down with it. Only those whose answer had not
// begun can be the cause, and a part on which any answer begins is sound. So a part is
// convicted once enough requests that hold it were lost in a row, in different moments,
// without an answer on it having begun anywhere since the first of them.
package poison

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

const (
	// requiredLosses is the number of losses in a row that convict a part on which no
	// answer is known to have begun. Two may be a coincidence: a request that is unlucky
	// and the next one of its session.
	requiredLosses = 3
	// requiredLossesBegun is that number for a part on which answers have begun before.
	requiredLossesBegun = 8
	// sameMoment is the time within which several losses count as one: upstreams that share
	// a zone or a switch end together. Losses that peers report seem later by the time under
	// way, so that a longer time would make instances count differently.
	sameMoment = 100 * time.Millisecond
	// evidenceMemory is how long a lost request counts. Peers take it over only in the
	// first half of that time, or it would go round between them with its age reduced by
	// the time under way.
	evidenceMemory = 10 * time.Minute
	// maxLost bounds the lost requests that are held, and so the size of heartbeats.
	maxLost = 32
	// maxBegun bounds the parts with begun answers that are reported.
	maxBegun = 64
	// maxLossesPerPart bounds the lost requests that are kept for one convicted part. It
	// exceeds requiredLossesBegun.
	maxLossesPerPart = 12
	// begunMemory is how long a begun answer is reported, so that peers drop their evidence
	// against its part. One that goes on reporting a loss with the part is told again.
	begunMemory = 5 * time.Second
	// firstProbe is the time after the last loss at which a request with a convicted part
	// may be sent again, to learn whether the part still ends upstreams. It doubles with
	// each further loss, up to maxProbeDoublings times.
	firstProbe        = time.Minute
	maxProbeDoublings = 6
	// companionProbe is the time between two probes of a part that may be innocent.
	companionProbe = 10 * time.Second
	// minRetryAfter is the least time after which a refused caller is told to come back.
	minRetryAfter = time.Second
)

// KeyOf returns the key of a prompt part.
func KeyOf(id string) gossip.PartKey {
	return gossip.PartKey(xxhash.Sum64String(id))
}

// RequestKey returns the key of a request, the same at all instances.
func RequestKey(id string) uint64 {
	return xxhash.Sum64String(id)
}

// Detector holds the evidence and the convictions of one instance. It is safe for
// concurrent use. Self is set before the first use; the other fields have zero values that
// work.
type Detector struct {
	Self ident.Instance

	mu        sync.RWMutex
	instances []ident.Instance
	// held holds the ids of the requests in lost.
	held map[uint64]struct{}
	// lost holds the requests for which some of their parts are suspected, oldest first.
	lost []lostRequest
	// begun holds the last answer on each part that is or was suspected.
	begun     map[gossip.PartKey]begunAnswer
	history   history
	convicted map[gossip.PartKey]conviction
	// probes holds when this instance last sent a request with a convicted part.
	probes map[gossip.PartKey]time.Time
}

// lostRequest is a request that ended with its upstream before its answer began.
type lostRequest struct {
	id    uint64
	parts []gossip.PartKey
	at    time.Time
}

// begunAnswer is when the last answer on a part began, and until when that is reported.
type begunAnswer struct {
	at          time.Time
	reportUntil time.Time
}

// conviction is the evidence against a convicted part.
type conviction struct {
	losses   int
	required int
	lastAt   time.Time
	// companions are other parts with as many losses that all of these requests hold, so
	// that each of them explains the losses as well.
	companions []gossip.PartKey
}

// Finding is the reason why a request is refused.
type Finding struct {
	Part gossip.PartKey
	// Losses is the number of requests with the part that were lost, and Age the time
	// since the last one.
	Losses int
	Age    time.Duration
	// RetryAfter is the time until a request with the part may be sent again.
	RetryAfter time.Duration
}

// Change is a conviction that has begun or ended.
type Change struct {
	Part      gossip.PartKey
	Convicted bool
	// Losses is the number of lost requests at a conviction.
	Losses int
}

// SetInstances replaces the list of instances, of which one sends the probes of a part.
func (d *Detector) SetInstances(instances []ident.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = instances
}

// RequestLost records a request that ended with its upstream before its answer began. id
// is its RequestKey; parts are those that other requests may share.
func (d *Detector) RequestLost(now time.Time, id uint64, parts []gossip.PartKey) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holds(id) {
		return nil
	}
	d.addLost(lostRequest{id: id, parts: parts, at: now})
	return d.update(now)
}

// AnswerBegun records that an answer to a request with the parts has begun.
func (d *Detector) AnswerBegun(now time.Time, parts []gossip.PartKey) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, part := range parts {
		d.history.add(now, part)
		if d.recordBegun(now, part, now) {
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return d.update(now)
}

// Merge takes over what peers know. Ages are as of now.
func (d *Detector) Merge(now time.Time, evidence gossip.PromptEvidence) []Change {
	if len(evidence.Lost) == 0 && len(evidence.Begun) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, l := range evidence.Lost {
		if l.Age < evidenceMemory/2 && !d.holds(l.ID) {
			d.addLost(lostRequest{id: l.ID, parts: l.Parts, at: now.Add(-l.Age)})
			changed = true
		}
	}
	for _, b := range evidence.Begun {
		if d.recordBegun(now, b.Part, now.Add(-b.Age)) {
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return d.update(now)
}

// Evidence returns what this instance knows, from its own requests and from peers.
func (d *Detector) Evidence(now time.Time) gossip.PromptEvidence {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var evidence gossip.PromptEvidence
	for _, l := range d.lost {
		evidence.Lost = append(evidence.Lost, gossip.LostRequest{ID: l.id, Parts: l.parts, Age: now.Sub(l.at)})
	}
	for part, b := range d.begun {
		if !b.at.IsZero() {
			evidence.Begun = append(evidence.Begun, gossip.BegunPart{Part: part, Age: now.Sub(b.at)})
		}
	}
	return evidence
}

// ConvictedParts returns the number of convicted parts.
func (d *Detector) ConvictedParts() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.convicted)
}

// Check reports why a request with the parts may not be sent; false if it may.
func (d *Detector) Check(now time.Time, parts []gossip.PartKey) (Finding, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.check(now, parts)
}

// AdmitSend is Check at the moment at which the request leaves. A request that was admitted
// must be sent: it may be the probe of a convicted part.
func (d *Detector) AdmitSend(now time.Time, parts []gossip.PartKey) (Finding, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	finding, refused := d.check(now, parts)
	if refused {
		return finding, true
	}
	for _, part := range parts {
		if _, found := d.convicted[part]; found {
			d.probes[part] = now
		}
	}
	return Finding{}, false
}

// Suspects reports whether another request was lost with a part of this one on which no
// answer is known to have begun. Such a request shouldn't be tried again once it was lost
// itself.
func (d *Detector) Suspects(id uint64, parts []gossip.PartKey) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, l := range d.lost {
		if l.id == id {
			continue
		}
		for _, part := range l.parts {
			if d.begun[part].at.IsZero() && slices.Contains(parts, part) {
				return true
			}
		}
	}
	return false
}

func (d *Detector) check(now time.Time, parts []gossip.PartKey) (Finding, bool) {
	if len(d.convicted) == 0 {
		return Finding{}, false
	}
	for _, part := range parts {
		c, found := d.convicted[part]
		if !found {
			continue
		}
		wait := d.probeWait(now, part, c, parts)
		if wait > 0 || !d.sendsProbes(part) {
			return Finding{Part: part, Losses: c.losses, Age: now.Sub(c.lastAt), RetryAfter: max(wait, minRetryAfter)}, true
		}
	}
	return Finding{}, false
}

// probeWait returns the time until a request with a convicted part may be sent by the
// instance that sends the probes. A request without a companion of the part is tried soon:
// the companion alone may be the cause.
func (d *Detector) probeWait(now time.Time, part gossip.PartKey, c conviction, parts []gossip.PartKey) time.Duration {
	interval := firstProbe << min(c.losses-c.required, maxProbeDoublings)
	last := latest(c.lastAt, d.probes[part])
	if c.explainedWithout(parts) {
		interval = companionProbe
		last = d.probes[part]
	}
	return interval - now.Sub(last)
}

// explainedWithout reports whether a companion, which the request doesn't hold, explains
// the losses.
func (c *conviction) explainedWithout(parts []gossip.PartKey) bool {
	return slices.ContainsFunc(c.companions, func(companion gossip.PartKey) bool { return !slices.Contains(parts, companion) })
}

// sendsProbes reports whether this instance sends the probes of a part.
func (d *Detector) sendsProbes(part gossip.PartKey) bool {
	owner, found := rank.First(strconv.FormatUint(uint64(part), 16), d.instances)
	return !found || owner == d.Self
}

func (d *Detector) holds(id uint64) bool {
	_, found := d.held[id]
	return found
}

func (d *Detector) addLost(l lostRequest) {
	if len(l.parts) == 0 {
		return
	}
	if d.held == nil {
		d.held = map[uint64]struct{}{}
	}
	d.held[l.id] = struct{}{}
	i := len(d.lost)
	for i > 0 && d.lost[i-1].at.After(l.at) {
		i--
	}
	d.lost = slices.Insert(d.lost, i, l)
	for _, part := range l.parts {
		if _, found := d.begun[part]; !found {
			d.setBegun(l.at, part, d.history.last(part))
		}
	}
}

// recordBegun records an answer on a part if the part is or was suspected. It reports
// whether the answer may acquit the part of a loss.
func (d *Detector) recordBegun(now time.Time, part gossip.PartKey, at time.Time) bool {
	held, found := d.begun[part]
	if !found || !at.After(held.at) {
		return false
	}
	d.setBegun(now, part, at)
	return len(d.lost) > 0 && held.at.Before(d.lost[len(d.lost)-1].at)
}

func (d *Detector) setBegun(now time.Time, part gossip.PartKey, at time.Time) {
	if d.begun == nil {
		d.begun = map[gossip.PartKey]begunAnswer{}
	}
	d.begun[part] = begunAnswer{at: at, reportUntil: now.Add(begunMemory)}
}

// update drops what no longer counts and convicts and acquits parts. It returns the
// convictions that have changed.
func (d *Detector) update(now time.Time) []Change {
	d.dropEvidence(now)
	losses := d.lossesByPart()
	before := d.convicted
	d.convicted = map[gossip.PartKey]conviction{}
	for part, list := range losses {
		if c, found := d.convict(part, list); found {
			d.convicted[part] = c
		}
	}
	for part, c := range d.convicted {
		c.companions = d.companions(part, c, losses[part])
		d.convicted[part] = c
	}
	d.dropProbes()
	return changes(before, d.convicted)
}

// convict returns the conviction of a part by the requests that were lost with it.
func (d *Detector) convict(part gossip.PartKey, list []*lostRequest) (conviction, bool) {
	c := conviction{losses: moments(list), required: requiredLosses, lastAt: list[len(list)-1].at}
	if !d.begun[part].at.IsZero() {
		c.required = requiredLossesBegun
	}
	return c, c.losses >= c.required
}

// moments returns the number of moments in which requests were lost.
func moments(list []*lostRequest) int {
	count := 0
	var last time.Time
	for _, l := range list {
		if count == 0 || l.at.Sub(last) > sameMoment {
			count++
			last = l.at
		}
	}
	return count
}

// companions returns the convicted parts that all lost requests of a part hold.
func (d *Detector) companions(part gossip.PartKey, c conviction, list []*lostRequest) []gossip.PartKey {
	var companions []gossip.PartKey
	for _, other := range list[0].parts {
		held, found := d.convicted[other]
		if other == part || !found || held.losses < c.losses {
			continue
		}
		inAll := !slices.ContainsFunc(list, func(l *lostRequest) bool { return !slices.Contains(l.parts, other) })
		if inAll {
			companions = append(companions, other)
		}
	}
	return companions
}

// lossesByPart returns the lost requests that count against each part, oldest first.
func (d *Detector) lossesByPart() map[gossip.PartKey][]*lostRequest {
	losses := map[gossip.PartKey][]*lostRequest{}
	for i := range d.lost {
		l := &d.lost[i]
		for _, part := range l.parts {
			if d.counts(l, part) {
				losses[part] = append(losses[part], l)
			}
		}
	}
	return losses
}

// counts reports whether a lost request counts against a part: no answer on the part has
// begun since.
func (d *Detector) counts(l *lostRequest, part gossip.PartKey) bool {
	return l.at.After(d.begun[part].at)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// changes compares two sets of convictions.
func changes(before, after map[gossip.PartKey]conviction) []Change {
	var list []Change
	for part, c := range after {
		if _, found := before[part]; !found {
			list = append(list, Change{Part: part, Convicted: true, Losses: c.losses})
		}
	}
	for part := range before {
		if _, found := after[part]; !found {
			list = append(list, Change{Part: part})
		}
	}
	return list
}
