package dedup

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// MemberLookup looks up an instance in the membership of the calling instance. It
// returns false for an instance that is not listed. It returns the zero incarnation
// for a listed instance whose incarnation isn't known here, such as an instance of
// another region.
type MemberLookup func(ident.Instance) (ident.Incarnation, bool)

// Destination is the location of the records of a key: Local, Forward, Ask or Gone.
type Destination interface {
	destination()
}

// Local means that this instance holds the records for the key.
type Local struct{}

// Forward means that the try must be forwarded to an incarnation, which never forwards
// it again.
type Forward struct {
	Incarnation ident.Incarnation
}

// Ask means that the peers in the availability zone must be asked for a successor
// note, after which the key is resolved again.
type Ask struct{}

// Gone means that no known instance holds the records for the key.
type Gone struct {
	// Failure has the outcome Unknown.
	Failure *result.Failure
}

func (Local) destination()   {}
func (Forward) destination() {}
func (Ask) destination()     {}
func (Gone) destination()    {}

// Resolver locates the records of keys from the state that one instance holds.
type Resolver struct {
	Self         ident.Incarnation
	LookupMember MemberLookup
	Notes        *SuccessorNotes
}

// Resolve returns the location of the records of a key. asked is true if the peers in
// the availability zone have already been asked for a successor note. A wrong view of
// the members may cause an Unknown outcome but never a second run: only the owner runs
// the call, and an instance that receives a key of another owner refuses it.
func (r Resolver) Resolve(now time.Time, k Key, asked bool) Destination {
	var destination Destination
	owner := k.Owner
	for range maxSuccessorChain {
		if owner == r.Self {
			return Local{}
		}
		if r.mayBeReachable(owner) {
			// A later successor holds all records that an earlier one holds.
			destination = Forward{Incarnation: owner}
		}
		note, found := r.Notes.Find(now, owner)
		if !found {
			break
		}
		owner = note.Successor
	}
	if destination != nil {
		return destination
	}
	if !asked {
		return Ask{}
	}
	return Gone{Failure: refuse(result.Unknown, result.OwnerGone).Failure}
}

// mayBeReachable reports whether an incarnation may be alive at the address of its
// instance.
func (r Resolver) mayBeReachable(incarnation ident.Incarnation) bool {
	current, listed := r.LookupMember(incarnation.Instance)
	return listed && (current.IsZero() || current == incarnation)
}
