package poison

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

// dropEvidence drops the lost requests that count against no trait, that are old, or that
// are more than can be held.
func (d *Detector) dropEvidence(now time.Time) {
	d.lost = slices.DeleteFunc(d.lost, func(l lostRequest) bool {
		return now.Sub(l.at) > evidenceMemory || !slices.ContainsFunc(l.traits, func(trait gossip.TraitKey) bool { return d.counts(&l, trait) })
	})
	d.dropSurplus()
	clear(d.held)
	for _, l := range d.lost {
		d.held[l.id] = struct{}{}
	}
	d.dropBegun(now)
}

// dropSurplus drops the oldest lost requests beyond maxLossesPerTrait for each convicted
// trait, and beyond maxLost for all others together.
func (d *Detector) dropSurplus() {
	newer := map[gossip.TraitKey]int{}
	others := 0
	var kept []lostRequest
	for _, l := range slices.Backward(d.lost) {
		convicts := false
		for _, trait := range l.traits {
			if _, found := d.convicted[trait]; found && d.counts(&l, trait) {
				convicts = convicts || newer[trait] < maxLossesPerTrait
				newer[trait]++
			}
		}
		if !convicts {
			others++
		}
		if convicts || others <= maxLost {
			kept = append(kept, l)
		}
	}
	slices.Reverse(kept)
	d.lost = kept
}

// dropBegun drops the begun answers of traits that aren't suspected any more, once peers
// have had time to learn of them.
func (d *Detector) dropBegun(now time.Time) {
	suspected := map[gossip.TraitKey]struct{}{}
	for _, l := range d.lost {
		for _, trait := range l.traits {
			suspected[trait] = struct{}{}
		}
	}
	for trait, b := range d.begun {
		if _, found := suspected[trait]; !found && now.After(b.reportUntil) {
			delete(d.begun, trait)
		}
	}
	for len(d.begun) > maxBegun+len(suspected) {
		d.dropOldestBegun(suspected)
	}
}

// dropOldestBegun drops the answer that would be reported for the shortest time, of those on
// traits that aren't suspected.
func (d *Detector) dropOldestBegun(suspected map[gossip.TraitKey]struct{}) {
	var oldest gossip.TraitKey
	var until time.Time
	for trait, b := range d.begun {
		if _, found := suspected[trait]; !found && (until.IsZero() || b.reportUntil.Before(until)) {
			oldest, until = trait, b.reportUntil
		}
	}
	delete(d.begun, oldest)
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
	maxHistory = 8192
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
