package poison

import (
	"slices"
	"strconv"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/rank"
)

// Finding is the reason why a request is refused.
type Finding struct {
	Trait gossip.TraitKey
	// Losses is the number of requests with the trait that were lost, and Age the time
	// since the last one.
	Losses int
	Age    time.Duration
	// RetryAfter is the time until a request with the trait may be sent again.
	RetryAfter time.Duration
}

// ConvictedTraits returns the number of convicted traits.
func (d *Detector) ConvictedTraits() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.convicted)
}

// Check reports why a request with the traits may not be sent; false if it may.
func (d *Detector) Check(now time.Time, traits gossip.Traits) (Finding, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.check(now, traits)
}

// AdmitSend is Check at the moment at which the request leaves. A request that was admitted
// must be sent: it may be the probe of a convicted trait.
func (d *Detector) AdmitSend(now time.Time, traits gossip.Traits) (Finding, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	finding, refused := d.check(now, traits)
	if refused {
		return finding, true
	}
	for trait := range traits.All() {
		if _, found := d.convicted[trait]; found {
			d.probes[trait] = now
		}
	}
	return Finding{}, false
}

// Suspects reports whether other requests were lost with a trait of this one on which no
// answer is known, and that no convicted trait explains. id is the LossID of this one's last loss.
// Such a request shouldn't be tried again once it was lost itself.
func (d *Detector) Suspects(id uint64, traits gossip.Traits) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	own := map[gossip.TraitKey]int{}
	for trait := range traits.All() {
		own[trait] = 0
	}
	for i := range d.lost {
		l := &d.lost[i]
		if l.id == id {
			continue
		}
		for trait := range l.traits.All() {
			sum, found := own[trait]
			if !found || !d.sound[trait].at.IsZero() {
				continue
			}
			if _, convicted := d.convicted[trait]; l.explained && !convicted {
				continue
			}
			own[trait] = sum + l.weight()
			if own[trait] >= weightWaiting {
				return true
			}
		}
	}
	return false
}

func (d *Detector) check(now time.Time, traits gossip.Traits) (Finding, bool) {
	if len(d.convicted) == 0 {
		return Finding{}, false
	}
	for trait := range traits.All() {
		c, found := d.convicted[trait]
		if !found {
			continue
		}
		wait := d.probeWait(now, trait, c, traits)
		if wait > 0 || !d.sendsProbes(trait) {
			return Finding{Trait: trait, Losses: c.losses, Age: now.Sub(c.lastAt), RetryAfter: max(wait, minRetryAfter)}, true
		}
	}
	return Finding{}, false
}

// probeWait returns the time until a request with a convicted trait may be sent by the
// instance that sends the probes. A request without a companion of the trait is tried soon:
// the companion alone may be the cause.
func (d *Detector) probeWait(now time.Time, trait gossip.TraitKey, c conviction, traits gossip.Traits) time.Duration {
	interval := firstProbe << min(c.losses-c.required, maxProbeDoublings)
	last := latest(c.lastAt, d.probes[trait])
	if c.explainedWithout(traits) {
		interval = companionProbe
		last = d.probes[trait]
	}
	return interval - now.Sub(last)
}

// explainedWithout reports whether a companion, which the request doesn't hold, explains
// the losses.
func (c *conviction) explainedWithout(traits gossip.Traits) bool {
	return slices.ContainsFunc(c.companions, func(companion gossip.TraitKey) bool { return !traits.Has(companion) })
}

// sendsProbes reports whether this instance sends the probes of a trait.
func (d *Detector) sendsProbes(trait gossip.TraitKey) bool {
	owner, found := rank.First(strconv.FormatUint(uint64(trait), 16), d.instances)
	return !found || owner == d.Self
}
