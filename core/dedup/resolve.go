package dedup

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// MemberLookup looks up an instance in the membership of the one that asks. It
// returns false for an instance that is not listed, and the zero incarnation for
// one that is listed but whose incarnation isn't known here, such as an instance
// of another region.
type MemberLookup func(ident.Instance) (ident.Incarnation, bool)

// Destination says where the records of a key are: Local, Forward, Ask or Gone.
type Destination interface {
	destination()
}

// Local means that this instance's records answer for the key.
type Local struct{}

// Forward means to pass the try on to an incarnation, which never passes it on
// again.
type Forward struct {
	Incarnation ident.Incarnation
}

// Ask means to ask the peers in the zone for a note, and then to resolve again.
type Ask struct{}

// Gone means that nobody is known who could answer for the key.
type Gone struct {
	// Failure has the outcome Unknown.
	Failure *result.Failure
}

func (Local) destination()   {}
func (Forward) destination() {}
func (Ask) destination()     {}
func (Gone) destination()    {}

// Resolver holds what one instance knows of where keys belong.
type Resolver struct {
	Self         ident.Incarnation
	LookupMember MemberLookup
	Notes        *SuccessorNotes
}

// Resolve finds where the records of a key are. asked says that the peers in the
// zone have been asked for a note already. A wrong view of the members costs an
// Unknown outcome but never a second run: only the owner runs the call, and an
// instance that is forwarded a key of another owner refuses it.
func (r Resolver) Resolve(now time.Time, k Key, asked bool) Destination {
	var best Destination
	owner := k.Owner
	for range maxSuccessors {
		if owner == r.Self {
			return Local{}
		}
		if r.mayBe(owner) {
			// A later successor knows all that an earlier one does.
			best = Forward{Incarnation: owner}
		}
		note, found := r.Notes.Find(now, owner)
		if !found {
			break
		}
		owner = note.Successor
	}
	if best != nil {
		return best
	}
	if !asked {
		return Ask{}
	}
	return Gone{Failure: refuse(result.Unknown, result.OwnerGone).Failure}
}

// mayBe reports whether an incarnation may be alive at its instance's address.
func (r Resolver) mayBe(incarnation ident.Incarnation) bool {
	current, listed := r.LookupMember(incarnation.Instance)
	return listed && (current.IsZero() || current == incarnation)
}
