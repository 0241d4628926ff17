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
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
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
