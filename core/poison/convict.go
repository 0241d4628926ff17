package poison

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

// conviction is the evidence against a convicted part.
type conviction struct {
	losses   int
	required int
	lastAt   time.Time
	// companions are other parts with as many losses that all of these requests hold, so
	// that each of them explains the losses as well.
	companions []gossip.PartKey
}

// Change is a conviction that has begun or ended.
type Change struct {
	Part      gossip.PartKey
	Convicted bool
	// Losses is the number of lost requests at a conviction.
	Losses int
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
