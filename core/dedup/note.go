package dedup

import (
	"cmp"
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// SuccessorNote says which incarnation answers for the keys of a stopped one.
type SuccessorNote struct {
	Stopped   ident.Incarnation
	Successor ident.Incarnation
	// Expires is on the clock of the instance that holds the note; between
	// instances the time that is left is sent.
	Expires time.Time
}

// maxNotes bounds the notes that an instance holds. The loss of one costs an
// Unknown outcome at worst.
const maxNotes = 4096

// maxSuccessors bounds the chain of successors that is followed.
const maxSuccessors = 16

// SuccessorNotes holds the forwarding notes that an instance knows. Its zero value is
// empty. It is not safe for concurrent use.
type SuccessorNotes struct {
	// byOld holds at most maxNotes notes.
	byOld map[ident.Incarnation]SuccessorNote
}

// Add takes in a note in place of an earlier one for the same incarnation. When
// there is no room, the note that expires first goes.
func (n *SuccessorNotes) Add(now time.Time, note SuccessorNote) {
	if note.Stopped == note.Successor || !now.Before(note.Expires) {
		return
	}
	if n.byOld == nil {
		n.byOld = map[ident.Incarnation]SuccessorNote{}
	}
	n.byOld[note.Stopped] = note
	if len(n.byOld) <= maxNotes {
		return
	}
	first := slices.MinFunc(n.All(now), func(a, b SuccessorNote) int { return a.Expires.Compare(b.Expires) })
	delete(n.byOld, first.Stopped)
}

// Find returns the note for a stopped incarnation, and false when none is known.
func (n *SuccessorNotes) Find(now time.Time, old ident.Incarnation) (SuccessorNote, bool) {
	note, found := n.byOld[old]
	if !found || !now.Before(note.Expires) {
		return SuccessorNote{}, false
	}
	return note, true
}

// All drops what has expired and returns the other notes, by the name of their
// old incarnation.
func (n *SuccessorNotes) All(now time.Time) []SuccessorNote {
	all := make([]SuccessorNote, 0, len(n.byOld))
	for old, note := range n.byOld {
		if !now.Before(note.Expires) {
			delete(n.byOld, old)
			continue
		}
		all = append(all, note)
	}
	slices.SortFunc(all, func(a, b SuccessorNote) int { return compare(a.Stopped, b.Stopped) })
	return all
}

// compare orders incarnations by name and start.
func compare(a, b ident.Incarnation) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Start, b.Start))
}
