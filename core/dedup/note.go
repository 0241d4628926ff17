package dedup

import (
	"cmp"
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// SuccessorNote names the incarnation that holds the records of a stopped one and
// answers for its keys.
type SuccessorNote struct {
	Stopped   ident.Incarnation
	Successor ident.Incarnation
	// Expires is a time on the clock of the instance that holds the note. Instances
	// send each other the remaining time instead.
	Expires time.Time
}

// maxSuccessorNotes is the maximum number of notes that an instance holds. The loss of
// a note causes an Unknown outcome at worst.
const maxSuccessorNotes = 4096

// maxSuccessorChain is the maximum number of successors that Resolve follows.
const maxSuccessorChain = 16

// SuccessorNotes holds the notes of one instance. Its zero value is empty. It is not
// safe for concurrent use.
type SuccessorNotes struct {
	// byStopped holds at most maxSuccessorNotes notes, by stopped incarnation.
	byStopped map[ident.Incarnation]SuccessorNote
}

// Add stores a note and replaces an earlier one for the same incarnation. When the
// notes are full, it removes the note that expires first.
func (n *SuccessorNotes) Add(now time.Time, note SuccessorNote) {
	if note.Stopped == note.Successor || !now.Before(note.Expires) {
		return
	}
	if n.byStopped == nil {
		n.byStopped = map[ident.Incarnation]SuccessorNote{}
	}
	n.byStopped[note.Stopped] = note
	if len(n.byStopped) <= maxSuccessorNotes {
		return
	}
	next := slices.MinFunc(n.All(now), func(a, b SuccessorNote) int { return a.Expires.Compare(b.Expires) })
	delete(n.byStopped, next.Stopped)
}

// Find returns the note for a stopped incarnation, or false if there is none.
func (n *SuccessorNotes) Find(now time.Time, stopped ident.Incarnation) (SuccessorNote, bool) {
	note, found := n.byStopped[stopped]
	if !found || !now.Before(note.Expires) {
		return SuccessorNote{}, false
	}
	return note, true
}

// All removes expired notes and returns the others, sorted by stopped incarnation.
func (n *SuccessorNotes) All(now time.Time) []SuccessorNote {
	all := make([]SuccessorNote, 0, len(n.byStopped))
	for stopped, note := range n.byStopped {
		if !now.Before(note.Expires) {
			delete(n.byStopped, stopped)
			continue
		}
		all = append(all, note)
	}
	slices.SortFunc(all, func(a, b SuccessorNote) int { return compareIncarnations(a.Stopped, b.Stopped) })
	return all
}

// compareIncarnations orders incarnations by name and start.
func compareIncarnations(a, b ident.Incarnation) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Start, b.Start))
}
