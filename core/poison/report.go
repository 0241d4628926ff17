package poison

import (
	"cmp"
	"slices"
	"time"

	"arbutustrestle/core/gossip"
)

// Evidence returns what this instance reports: its own losses for a while, and those that
// are evidence against a trait, from its own requests and from peers. A report has a bounded
// size, however many parts the prompts have: what has no room has it later.
func (d *Detector) Evidence(now time.Time) gossip.LossEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	var evidence gossip.LossEvidence
	losses := d.reportedLosses(now)
	if len(losses) > 0 {
		room := max(minPartsOfLoss, min(maxPartsOfLoss, maxReportedParts/len(losses)))
		for _, l := range losses {
			traits := gossip.Traits{Fingerprint: l.traits.Fingerprint, Parts: d.partsToTell(now, l, room)}
			evidence.Lost = append(evidence.Lost, gossip.LostRequest{ID: l.id, Traits: traits, Begun: l.begun, Age: now.Sub(l.at)})
		}
	}
	evidence.Sound = d.soundToTell(now, evidence.Lost)
	return evidence
}

// reportedLosses returns the lost requests of this report. Of more than maxReported own ones it
// takes others each time.
func (d *Detector) reportedLosses(now time.Time) []*lostRequest {
	var list, own []*lostRequest
	for i := range d.lost {
		l := &d.lost[i]
		age := now.Sub(l.at)
		switch {
		case l.reported:
			list = append(list, l)
		case l.told && (age < reportTime || age < tellTime && len(l.traits.Parts) > maxPartsOfLoss):
			own = append(own, l)
		}
	}
	if len(own) > maxReported {
		d.source().Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
		own = own[:maxReported]
	}
	return append(list, own...)
}

// partsToTell returns the parts of a lost request for the reports of a while: those that are
// convicted or were lost again, then those without an answer, then the others. Those that have no
// room have it in turn. What is chosen stays for windowTime, as each peer gets only some of the
// reports.
func (d *Detector) partsToTell(now time.Time, l *lostRequest, room int) []gossip.TraitKey {
	if len(l.traits.Parts) <= room {
		return slices.Clone(l.traits.Parts)
	}
	var suspected, unanswered, others []gossip.TraitKey
	for _, part := range l.traits.Parts {
		_, convicted := d.convicted[part]
		_, repeated := d.again[part]
		switch {
		case convicted || repeated:
			suspected = append(suspected, part)
		case d.sound[part].at.IsZero():
			unanswered = append(unanswered, part)
		default:
			others = append(others, part)
		}
	}
	window := int(now.Sub(l.at) / windowTime)
	var parts []gossip.TraitKey
	for _, list := range [][]gossip.TraitKey{suspected, unanswered, others} {
		parts = append(parts, inTurn(list, window, room-len(parts))...)
	}
	return parts
}

// inTurn returns as many elements of a list as there is room for, others in each window.
func inTurn(list []gossip.TraitKey, window, room int) []gossip.TraitKey {
	if len(list) <= room {
		return list
	}
	first := window * room % len(list)
	return slices.Concat(list[first:], list[:first])[:room]
}

// soundToTell returns the sound traits for this report: those that were found lately, and those of
// losses in it. Of more than maxReportedSound it takes others each time.
func (d *Detector) soundToTell(now time.Time, lost []gossip.LostRequest) []gossip.SoundTrait {
	reported := map[gossip.TraitKey]struct{}{}
	for _, l := range lost {
		for trait := range l.Traits.All() {
			reported[trait] = struct{}{}
		}
	}
	var list []gossip.SoundTrait
	for trait, s := range d.sound {
		_, found := reported[trait]
		if !s.at.IsZero() && (found || now.Before(s.reportUntil)) {
			list = append(list, gossip.SoundTrait{Trait: trait, Age: now.Sub(s.at)})
		}
	}
	slices.SortFunc(list, func(a, b gossip.SoundTrait) int { return cmp.Compare(a.Trait, b.Trait) })
	if len(list) > maxReportedSound {
		d.source().Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:maxReportedSound]
	}
	return list
}
