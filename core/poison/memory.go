package poison

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

// dropEvidence drops the lost requests that count against no part, that are old, or that
// are more than can be held.
func (d *Detector) dropEvidence(now time.Time) {
	d.lost = slices.DeleteFunc(d.lost, func(l lostRequest) bool {
		return now.Sub(l.at) > evidenceMemory || !slices.ContainsFunc(l.parts, func(part gossip.PartKey) bool { return d.counts(&l, part) })
	})
	d.dropSurplus()
	clear(d.held)
	for _, l := range d.lost {
		d.held[l.id] = struct{}{}
	}
	d.dropBegun(now)
}

// dropSurplus drops the oldest lost requests beyond maxLossesPerPart for each convicted
// part, and beyond maxLost for all others together.
func (d *Detector) dropSurplus() {
	newer := map[gossip.PartKey]int{}
	others := 0
	var kept []lostRequest
	for _, l := range slices.Backward(d.lost) {
		convicts := false
		for _, part := range l.parts {
			if _, found := d.convicted[part]; found && d.counts(&l, part) {
				convicts = convicts || newer[part] < maxLossesPerPart
				newer[part]++
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

// dropBegun drops the begun answers of parts that aren't suspected any more, once peers
// have had time to learn of them.
func (d *Detector) dropBegun(now time.Time) {
	suspected := map[gossip.PartKey]struct{}{}
	for _, l := range d.lost {
		for _, part := range l.parts {
			suspected[part] = struct{}{}
		}
	}
	for part, b := range d.begun {
		if _, found := suspected[part]; !found && now.After(b.reportUntil) {
			delete(d.begun, part)
		}
	}
	for len(d.begun) > maxBegun+len(suspected) {
		d.dropOldestBegun(suspected)
	}
}

// dropOldestBegun drops the answer that would be reported for the shortest time, of those on
// parts that aren't suspected.
func (d *Detector) dropOldestBegun(suspected map[gossip.PartKey]struct{}) {
	var oldest gossip.PartKey
	var until time.Time
	for part, b := range d.begun {
		if _, found := suspected[part]; !found && (until.IsZero() || b.reportUntil.Before(until)) {
			oldest, until = part, b.reportUntil
		}
	}
	delete(d.begun, oldest)
}

func (d *Detector) dropProbes() {
	if d.probes == nil {
		d.probes = map[gossip.PartKey]time.Time{}
	}
	for part := range d.probes {
		if _, found := d.convicted[part]; !found {
			delete(d.probes, part)
		}
	}
}

// history holds when answers on parts last began, for at least historyMemory unless there
// are very many parts. Its zero value is empty.
type history struct {
	recent  map[gossip.PartKey]time.Time
	older   map[gossip.PartKey]time.Time
	changed time.Time
}

const (
	historyMemory = 2 * time.Minute
	// maxHistory bounds each half of a history.
	maxHistory = 8192
)

func (h *history) add(now time.Time, part gossip.PartKey) {
	if h.recent == nil || len(h.recent) >= maxHistory || now.Sub(h.changed) > historyMemory {
		h.older = h.recent
		h.recent = map[gossip.PartKey]time.Time{}
		h.changed = now
	}
	h.recent[part] = now
}

// last returns when an answer on the part last began; zero if none is known.
func (h *history) last(part gossip.PartKey) time.Time {
	if at, found := h.recent[part]; found {
		return at
	}
	return h.older[part]
}
