package poison

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

// dropOld drops the lost requests that count against no trait or are old, and the parts against
// which those that are left don't count.
func (d *Detector) dropOld(now time.Time) {
	d.lost = slices.DeleteFunc(d.lost, func(l lostRequest) bool {
		return now.Sub(l.at) > evidenceMemory || !d.countsAtAll(&l)
	})
	for i := range d.lost {
		l := &d.lost[i]
		noLongerCounts := func(part gossip.TraitKey) bool { return !d.counts(l, part) }
		l.traits.Parts = slices.DeleteFunc(l.traits.Parts, noLongerCounts)
		// It may hold parts that were removed.
		l.index = nil
	}
}

// countsAtAll reports whether a lost request counts against a trait.
func (d *Detector) countsAtAll(l *lostRequest) bool {
	for trait := range l.traits.All() {
		if d.counts(l, trait) {
			return true
		}
	}
	return false
}

// dropSurplus drops the oldest lost requests beyond what can be held, and marks those that
// all instances report. losses holds those that count against each trait.
func (d *Detector) dropSurplus(losses map[gossip.TraitKey][]*lostRequest) {
	d.again = lostAgain(losses)
	newer := map[gossip.TraitKey]int{}
	repeated, others, parts := 0, 0, 0
	kept := make([]lostRequest, 0, len(d.lost))
	for _, l := range slices.Backward(d.lost) {
		convicts, repeats := d.convictsOrRepeats(&l, newer)
		l.reported = convicts || repeats && repeated < maxRepeated
		switch {
		case l.reported && !convicts:
			repeated++
		case !l.reported:
			others++
			parts += len(l.traits.Parts)
		}
		if l.reported || others <= maxLost && parts <= maxHeldParts {
			kept = append(kept, l)
		}
	}
	slices.Reverse(kept)
	d.lost = kept
	clear(d.held)
	for _, l := range d.lost {
		d.held[l.id] = struct{}{}
	}
}

// lostAgain returns the traits that were lost in several moments.
func lostAgain(losses map[gossip.TraitKey][]*lostRequest) map[gossip.TraitKey]struct{} {
	again := map[gossip.TraitKey]struct{}{}
	for trait, list := range losses {
		if moments(list) > 1 {
			again[trait] = struct{}{}
		}
	}
	return again
}

// convictsOrRepeats reports whether a lost request is one of the newest maxLossesPerTrait
// with a convicted trait, and whether it has one that was lost again. newer counts the
// later ones with each convicted trait.
func (d *Detector) convictsOrRepeats(l *lostRequest, newer map[gossip.TraitKey]int) (convicts, repeats bool) {
	for trait := range l.traits.All() {
		if !d.counts(l, trait) {
			continue
		}
		if _, found := d.convicted[trait]; found {
			convicts = convicts || newer[trait] < maxLossesPerTrait
			newer[trait]++
			continue
		}
		_, found := d.again[trait]
		repeats = repeats || found
	}
	return convicts, repeats
}

// dropSound drops the answers on traits that aren't suspected any more, once peers
// have had time to learn of them.
func (d *Detector) dropSound(now time.Time) {
	suspected := map[gossip.TraitKey]struct{}{}
	for _, l := range d.lost {
		for trait := range l.traits.All() {
			suspected[trait] = struct{}{}
		}
	}
	var others []gossip.TraitKey
	for trait, s := range d.sound {
		if _, found := suspected[trait]; found {
			continue
		}
		if now.After(s.reportUntil) {
			delete(d.sound, trait)
			continue
		}
		others = append(others, trait)
	}
	if len(others) <= 2*maxSound {
		return
	}
	// Those go that would be reported for the shortest time, many at once.
	slices.SortFunc(others, func(a, b gossip.TraitKey) int { return d.sound[a].reportUntil.Compare(d.sound[b].reportUntil) })
	for _, trait := range others[:len(others)-maxSound] {
		delete(d.sound, trait)
	}
}

func (d *Detector) dropProbes() {
	if d.probes == nil {
		d.probes = map[gossip.TraitKey]time.Time{}
	}
	for trait := range d.probes {
		if _, found := d.convicted[trait]; !found {
			delete(d.probes, trait)
		}
	}
}

// history holds when answers on traits last began, for at least historyMemory unless there
// are very many traits. Its zero value is empty.
type history struct {
	recent  map[gossip.TraitKey]time.Time
	older   map[gossip.TraitKey]time.Time
	changed time.Time
}

const (
	historyMemory = 2 * time.Minute
	// maxHistory bounds each half of a history.
	maxHistory = 65536
)

func (h *history) add(now time.Time, trait gossip.TraitKey) {
	if h.recent == nil || len(h.recent) >= maxHistory || now.Sub(h.changed) > historyMemory {
		h.older = h.recent
		h.recent = map[gossip.TraitKey]time.Time{}
		h.changed = now
	}
	h.recent[trait] = now
}

// last returns when an answer on the trait last began; zero if none is known.
func (h *history) last(trait gossip.TraitKey) time.Time {
	if at, found := h.recent[trait]; found {
		return at
	}
	return h.older[trait]
}
