package dedup

import (
	"cmp"
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// Note says which incarnation answers for the keys of a stopped one.
type Note struct {
	Old       ident.Incarnation
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

// Notes holds the forwarding notes that an instance knows. Its zero value is
// empty. It is not safe for concurrent use.
type Notes struct {
	// byOld holds at most maxNotes notes.
	byOld map[ident.Incarnation]Note
}

// Add takes in a note in place of an earlier one for the same incarnation. When
// there is no room, the note that expires first goes.
func (n *Notes) Add(now time.Time, note Note) {
	if note.Old == note.Successor || !now.Before(note.Expires) {
		return
	}
	if n.byOld == nil {
		n.byOld = map[ident.Incarnation]Note{}
	}
	n.byOld[note.Old] = note
	if len(n.byOld) <= maxNotes {
		return
	}
	first := slices.MinFunc(n.All(now), func(a, b Note) int { return a.Expires.Compare(b.Expires) })
	delete(n.byOld, first.Old)
}

// Find returns the note for a stopped incarnation, and false when none is known.
func (n *Notes) Find(now time.Time, old ident.Incarnation) (Note, bool) {
	note, found := n.byOld[old]
	if !found || !now.Before(note.Expires) {
		return Note{}, false
	}
	return note, true
}

// All drops what has expired and returns the other notes, by the name of their
// old incarnation.
func (n *Notes) All(now time.Time) []Note {
	all := make([]Note, 0, len(n.byOld))
	for old, note := range n.byOld {
		if !now.Before(note.Expires) {
			delete(n.byOld, old)
			continue
		}
		all = append(all, note)
	}
	slices.SortFunc(all, func(a, b Note) int { return compare(a.Old, b.Old) })
	return all
}

// compare orders incarnations by name and start.
func compare(a, b ident.Incarnation) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Start, b.Start))
}
