// Package poison detects requests that end upstreams: they crash each upstream that begins
// to answer them (queries of death). What such requests have in common is a trait: a part
// of their prompt, or that they are tries of one request, which its fingerprint tells. The
// package holds the evidence of one instance and of its peers, and decides which requests
// may not be sent.
//
// An upstream that ends takes all requests down with it. Only those whose answer had not begun,
// or only just, can be the cause, and a trait on which any answer has outlasted its beginning
// is sound. So a trait is convicted once enough requests that hold it were lost in a row, in
// different moments, without such an answer anywhere since the first of them.
package poison

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/random"
)

const (
	// requiredLosses is the number of losses in a row that convict a trait on which no
	// answer is known. Two may be a coincidence: a request that is unlucky and the next one
	// of its session.
	requiredLosses = 3
	// requiredLossesSound is that number for a trait that was sound before.
	requiredLossesSound = 8
	// weightWaiting and weightBegun are those of the loss of a request of whose answer no whole
	// event had arrived, and of one whose answer had just begun: a sound request is about as
	// likely to be caught in its first events as before them, but a stream that goes on
	// elsewhere is caught again and again while upstreams are restarted in turn. Half of each is a
	// whole number, for losses that another trait explains.
	weightWaiting, weightBegun = 4, 2
	// sameMoment is the time within which several losses count as one: upstreams that share
	// a zone or a switch end together. Losses that peers report seem later by the time under
	// way, so that a longer time would make instances count differently.
	sameMoment = 100 * time.Millisecond
	// evidenceMemory is how long a lost request counts. Peers take it over only in the
	// first half of that time, or it would go round between them with its age reduced by
	// the time under way.
	evidenceMemory = 10 * time.Minute
	// maxLost bounds the lost requests that are held beside those with a trait that was lost
	// in several moments: twice as many as one upstream serves and queues. One that ends
	// upstreams must not be displaced by those that are lost with it before it comes again.
	maxLost = 512
	// maxHeldParts bounds the parts of these together: callers choose their number.
	maxHeldParts = 1 << 15
	// maxRepeated bounds those with such a trait, which all instances report, and maxReported
	// those that one report of an instance holds of its own. Each report has others if there
	// are more.
	maxRepeated = 8
	maxReported = 64
	// maxReportedParts bounds the prompt parts in one report, over all of its losses, and
	// minPartsOfLoss and maxPartsOfLoss those of one loss. Further reports have the others.
	maxReportedParts = 512
	minPartsOfLoss   = 4
	maxPartsOfLoss   = 32
	// maxMergedParts bounds the parts of a lost request that peers report.
	maxMergedParts = 16384
	// windowTime is how long a report holds the same parts of a long prompt. It is longer than the
	// time between two heartbeats to the same peer.
	windowTime = 2 * time.Second
	// tellTime is how long a loss is reported whose parts have no room in one report.
	tellTime = 2 * time.Minute
	// maxReportedSound bounds the sound traits in one report.
	maxReportedSound = 256
	// maxSound, and twice as many for a while, bounds the sound traits that are held beside those
	// that are suspected.
	maxSound = 1024
	// maxLossesPerTrait bounds the lost requests that are kept for one convicted trait. It
	// exceeds requiredLossesSound.
	maxLossesPerTrait = 12
	// reportTime is how long what an instance has seen itself is reported, so that peers hear
	// of it several times. A sound trait is reported longer while a loss with it is.
	reportTime = 5 * time.Second
	// firstProbe is the time after the last loss at which a request with a convicted trait
	// may be sent again, to learn whether the trait still ends upstreams. It doubles with
	// each further loss, up to maxProbeDoublings times.
	firstProbe        = time.Minute
	maxProbeDoublings = 6
	// companionProbe is the time between two probes of a trait that may be innocent.
	companionProbe = 10 * time.Second
	// minRetryAfter is the least time after which a refused caller is told to come back.
	minRetryAfter = time.Second
)

// PartKey returns the key of the trait of holding a prompt part.
func PartKey(id string) gossip.TraitKey {
	return gossip.TraitKey(xxhash.Sum64String(id))
}

// LossID identifies the loss of a request with its upstream, at all instances. One request
// may be lost with several upstreams. The upper half is the key of the upstream, so that instances
// can tell what was lost together.
func LossID(requestID string, upstream ident.Upstream) uint64 {
	return xxhash.Sum64String(string(upstream))<<32 | xxhash.Sum64String(requestID)>>32
}

// upstreamOf returns the key of the upstream of a LossID.
func upstreamOf(id uint64) uint32 {
	return uint32(id >> 32)
}

// Detector holds the evidence and the convictions of one instance. It is safe for
// concurrent use. Self and Random are set before the first use; all but Self have zero values that
// work.
type Detector struct {
	Self ident.Instance
	// Random chooses what has no room in a report; nil means a generator seeded with the name of
	// the instance. Nothing else may use it.
	Random *rand.Rand

	mu        sync.RWMutex
	instances []ident.Instance
	// held holds the ids of the requests in lost.
	held map[uint64]struct{}
	// lost holds the requests for which some of their traits are suspected, oldest first.
	lost []lostRequest
	// sound holds the last answer on each trait that is or was suspected.
	sound   map[gossip.TraitKey]soundAnswer
	history history
	// again holds the traits that were lost in several moments.
	again     map[gossip.TraitKey]struct{}
	convicted map[gossip.TraitKey]conviction
	// probes holds when this instance last sent a request with a convicted trait.
	probes map[gossip.TraitKey]time.Time
}

// source returns the source of the choices. It is called with the lock held.
func (d *Detector) source() *rand.Rand {
	if d.Random == nil {
		d.Random = random.ForInstance(d.Self)
	}
	return d.Random
}

// lostRequest is a request that ended with its upstream before its answer had outlasted its
// beginning.
type lostRequest struct {
	id     uint64
	traits gossip.Traits
	// begun is set if a whole event of the answer had arrived.
	begun bool
	at    time.Time
	// told is set if this instance tells peers of the request for a while: it sent it, or
	// others of its region may not have heard of it.
	told bool
	// index holds the parts if there are many; nil until it is needed.
	index map[gossip.TraitKey]struct{}
	// reported is set if all instances report the request, whoever sent it.
	reported bool
	// explained is set if a convicted trait was lost with the same end of the upstream.
	explained bool
}

// indexedParts is the number of parts from which on a lost request has an index of them.
const indexedParts = 64

// holds reports whether a part is among those of the request.
func (l *lostRequest) holds(part gossip.TraitKey) bool {
	if len(l.traits.Parts) < indexedParts {
		return slices.Contains(l.traits.Parts, part)
	}
	if l.index == nil {
		l.index = make(map[gossip.TraitKey]struct{}, len(l.traits.Parts))
		for _, held := range l.traits.Parts {
			l.index[held] = struct{}{}
		}
	}
	_, found := l.index[part]
	return found
}

// add adds a part that the request doesn't hold.
func (l *lostRequest) add(part gossip.TraitKey) {
	l.traits.Parts = append(l.traits.Parts, part)
	if l.index != nil {
		l.index[part] = struct{}{}
	}
}

// soundAnswer is when an answer on a trait last outlasted its beginning, and until when that is
// reported.
type soundAnswer struct {
	at          time.Time
	reportUntil time.Time
}

// SetInstances replaces the list of instances, of which one sends the probes of a trait.
func (d *Detector) SetInstances(instances []ident.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = instances
}

// Progress is how far an answer had come when its upstream ended.
type Progress uint8

const (
	// Waiting means that no whole event of it had arrived, or, if it is no stream of events, that
	// its head had arrived a moment before at most.
	Waiting Progress = iota
	// JustBegun means that its first whole event had arrived a moment before.
	JustBegun
	// Running means that it had outlasted its beginning: its request isn't the cause.
	Running
)

// RequestLost records a request that ended with its upstream. id is its LossID.
func (d *Detector) RequestLost(now time.Time, id uint64, traits gossip.Traits, progress Progress) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.holds(id) || progress == Running {
		return nil
	}
	d.addLost(lostRequest{id: id, traits: traits, begun: progress == JustBegun, at: now, told: true})
	return d.update(now)
}

// AnswerSound records that an answer to a request with the traits has outlasted its beginning, or
// is whole.
func (d *Detector) AnswerSound(now time.Time, traits gossip.Traits) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for trait := range traits.All() {
		d.history.add(now, trait)
		if d.recordSound(now, trait, now) {
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return d.update(now)
}

// Merge takes over what a peer knows. Ages are as of now. passOn is set if the peer doesn't
// tell all instances of this region.
func (d *Detector) Merge(now time.Time, evidence gossip.LossEvidence, passOn bool) []Change {
	if len(evidence.Lost) == 0 && len(evidence.Sound) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, l := range evidence.Lost {
		if l.Age >= evidenceMemory/2 {
			continue
		}
		if d.holds(l.ID) {
			changed = d.addParts(l.ID, l.Traits.Parts) || changed
			continue
		}
		d.addLost(lostRequest{id: l.ID, traits: l.Traits, begun: l.Begun, at: now.Add(-l.Age), told: passOn})
		changed = true
	}
	for _, b := range evidence.Sound {
		if d.recordSound(now, b.Trait, now.Add(-b.Age)) {
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return d.update(now)
}

func (d *Detector) holds(id uint64) bool {
	_, found := d.held[id]
	return found
}

func (d *Detector) addLost(l lostRequest) {
	if l.traits.Fingerprint == 0 && len(l.traits.Parts) == 0 {
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
	for trait := range l.traits.All() {
		d.suspect(l.at, trait)
	}
	l.traits.Parts = slices.Clone(l.traits.Parts)
	d.lost = slices.Insert(d.lost, i, l)
}

// suspect makes answers on a trait count from now on.
func (d *Detector) suspect(now time.Time, trait gossip.TraitKey) {
	if _, found := d.sound[trait]; !found {
		d.setSound(now, trait, d.history.last(trait))
	}
}

// addParts adds parts to a lost request that is held: a peer reports those of long prompts one after
// the other. It reports whether there are new ones that count.
func (d *Detector) addParts(id uint64, parts []gossip.TraitKey) bool {
	i := slices.IndexFunc(d.lost, func(l lostRequest) bool { return l.id == id })
	if i < 0 {
		return false
	}
	l := &d.lost[i]
	added := false
	for _, part := range parts {
		d.suspect(l.at, part)
		if !d.counts(l, part) || l.holds(part) || len(l.traits.Parts) >= maxMergedParts {
			continue
		}
		l.add(part)
		added = true
	}
	return added
}

// recordSound records an answer on a trait if the trait is or was suspected. It reports
// whether the answer may acquit the trait of a loss.
func (d *Detector) recordSound(now time.Time, trait gossip.TraitKey, at time.Time) bool {
	held, found := d.sound[trait]
	if !found || !at.After(held.at) {
		return false
	}
	d.setSound(now, trait, at)
	return len(d.lost) > 0 && held.at.Before(d.lost[len(d.lost)-1].at)
}

func (d *Detector) setSound(now time.Time, trait gossip.TraitKey, at time.Time) {
	if d.sound == nil {
		d.sound = map[gossip.TraitKey]soundAnswer{}
	}
	d.sound[trait] = soundAnswer{at: at, reportUntil: now.Add(reportTime)}
}
