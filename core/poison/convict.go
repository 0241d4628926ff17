package poison

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

// conviction is the evidence against a convicted trait.
type conviction struct {
	// losses counts the moments in which requests were lost, those that had just begun half, and
	// those with an end that another trait explains half of that.
	losses   int
	required int
	lastAt   time.Time
	// companions are the convicted traits, this one among them, each of which explains all losses:
	// it was lost with the same ends of upstreams.
	companions []gossip.TraitKey
}

// Change is the beginning or end of a conviction.
type Change struct {
	Trait     gossip.TraitKey
	Convicted bool
	// Losses is the number of lost requests at a conviction.
	Losses int
}

// update drops what no longer counts and convicts and acquits traits. It returns the
// convictions that have changed.
func (d *Detector) update(now time.Time) []Change {
	d.dropOld(now)
	losses := d.lossesByTrait()
	before := d.convicted
	d.convictAll(losses)
	d.dropSurplus(losses)
	d.dropSound(now)
	d.dropProbes()
	return changes(before, d.convicted)
}

// convictAll replaces the convictions. losses holds the lost requests that count against each
// trait. Traits that were lost with more ends of upstreams are likelier the cause of these ends.
// What was lost in the same ends counts half against others, and alone doesn't convict them.
func (d *Detector) convictAll(losses map[gossip.TraitKey][]*lostRequest) {
	d.convicted = map[gossip.TraitKey]conviction{}
	for i := range d.lost {
		d.lost[i].explained = false
	}
	var causes []*suspects
	ends := endIndex{}
	for _, s := range d.suspects(losses) {
		for _, l := range s.losses {
			l.explained = ends.explains(l, s)
		}
		c, found := d.convict(s.traits[0], s.losses)
		if !found {
			continue
		}
		for _, trait := range s.traits {
			d.convicted[trait] = c
		}
		causes = append(causes, s)
		ends.add(s)
	}
	for i := range d.lost {
		l := &d.lost[i]
		l.explained = ends.explains(l, nil)
	}
	for trait := range d.convicted {
		if d.explainedByRequest(trait, losses[trait]) {
			delete(d.convicted, trait)
		}
	}
	d.setCompanions(causes, ends)
}

// convict returns the conviction of a trait by the requests that were lost with it. It needs one that
// nothing else explains.
func (d *Detector) convict(trait gossip.TraitKey, list []*lostRequest) (conviction, bool) {
	c := conviction{losses: weight(list) / weightWaiting, required: requiredLosses, lastAt: list[len(list)-1].at}
	if !d.sound[trait].at.IsZero() {
		c.required = requiredLossesSound
	}
	unexplained := slices.ContainsFunc(list, func(l *lostRequest) bool { return !l.explained })
	return c, unexplained && c.losses >= c.required
}

// explainedByRequest reports whether all losses with a prompt part are of one request that is
// convicted itself. They are no evidence against its parts, which others may hold as well.
func (d *Detector) explainedByRequest(trait gossip.TraitKey, list []*lostRequest) bool {
	fingerprint := list[0].traits.Fingerprint
	if _, found := d.convicted[fingerprint]; !found || fingerprint == trait {
		return false
	}
	return !slices.ContainsFunc(list, func(l *lostRequest) bool { return l.traits.Fingerprint != fingerprint })
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

// weight returns what lost requests weigh together. Those of one moment weigh as much as the
// heaviest of them.
func weight(list []*lostRequest) int {
	sum, heaviest := 0, 0
	var last time.Time
	for i, l := range list {
		if i == 0 || l.at.Sub(last) > sameMoment {
			sum += heaviest
			heaviest = 0
			last = l.at
		}
		if l.explained {
			heaviest = max(heaviest, l.weight()/2)
			continue
		}
		heaviest = max(heaviest, l.weight())
	}
	return sum + heaviest
}

func (l *lostRequest) weight() int {
	if l.begun {
		return weightBegun
	}
	return weightWaiting
}

// lossesByTrait returns the lost requests that count against each trait, oldest first.
func (d *Detector) lossesByTrait() map[gossip.TraitKey][]*lostRequest {
	losses := map[gossip.TraitKey][]*lostRequest{}
	for i := range d.lost {
		l := &d.lost[i]
		for trait := range l.traits.All() {
			if d.counts(l, trait) {
				losses[trait] = append(losses[trait], l)
			}
		}
	}
	return losses
}

// counts reports whether a lost request counts against a trait: no answer on the trait has
// outlasted its beginning since.
func (d *Detector) counts(l *lostRequest, trait gossip.TraitKey) bool {
	return l.at.After(d.sound[trait].at)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// changes compares two sets of convictions.
func changes(before, after map[gossip.TraitKey]conviction) []Change {
	var list []Change
	for trait, c := range after {
		if _, found := before[trait]; !found {
			list = append(list, Change{Trait: trait, Convicted: true, Losses: c.losses})
		}
	}
	for trait := range before {
		if _, found := after[trait]; !found {
			list = append(list, Change{Trait: trait})
		}
	}
	return list
}
