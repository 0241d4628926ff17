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
	Part gossip.PartKey
	// Losses is the number of requests with the part that were lost, and Age the time
	// since the last one.
	Losses int
	Age    time.Duration
	// RetryAfter is the time until a request with the part may be sent again.
	RetryAfter time.Duration
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
