package fetch

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/table"
)

// Event is something that State.Step takes in.
type Event interface{ isEvent() }

// Tick lets time pass. It is due every member.TickInterval.
type Tick struct{}

// Membership brings the alive entries of the own region, whenever they change.
type Membership struct {
	Peers []Peer
	// ExpectedPeers is the number of other entries that the list names in this region as
	// staying.
	ExpectedPeers int
	// FleetSize is the number of entries that the list names in all regions, and Readers
	// that of the readers among them. Zero means that they are not known yet.
	FleetSize    int
	FleetReaders int
	// ListedRegions is the number of other regions that the list names, and Heard that of
	// those among them that were heard lately.
	ListedRegions int
	FreshRegions  int
	// RemoteEntries holds entries that the list names in other regions. An instance that is
	// alone in its region asks them for the table when it starts.
	RemoteEntries []ident.Instance
}

// PeerAnnounced brings what a peer announced between two heartbeats.
type PeerAnnounced struct {
	Instance  ident.Instance
	Revisions member.Revisions
}

// Answer is the kind of an answer from the platform.
type Answer uint8

const (
	// Found comes with a value and its revision.
	Found Answer = iota
	// Unchanged means that no newer value than the asked one came up in time.
	Unchanged
	// Absent means that the platform has no such value.
	Absent
)

// PlatformAnswered answers a ReadPlatform.
type PlatformAnswered struct {
	Key    Key
	Answer Answer
	// Value is set for Found. Its data is not changed by the embedder afterwards.
	Value Value
}

// PlatformFailed ends a ReadPlatform that got no answer, or a refusal.
type PlatformFailed struct {
	Key Key
	// RetryAfter is what the platform asked for; zero if nothing.
	RetryAfter time.Duration
}

// PeerAnswered answers an AskPeer.
type PeerAnswered struct {
	Instance ident.Instance
	Key      Key
	// Found is false when the peer has nothing newer than was asked for.
	Found bool
	// Value is set when Found is. Its data is not changed by the embedder afterwards.
	Value Value
}

// PeerFailed ends an AskPeer that got no answer.
type PeerFailed struct {
	Instance ident.Instance
	Key      Key
}

func (Tick) isEvent()             {}
func (Membership) isEvent()       {}
func (PeerAnnounced) isEvent()    {}
func (PlatformAnswered) isEvent() {}
func (PlatformFailed) isEvent()   {}
func (PeerAnswered) isEvent()     {}
func (PeerFailed) isEvent()       {}

// Action is something that the embedding program does after State.Step.
type Action interface{ isAction() }

// ReadPlatform asks for a read of the platform, which ends in PlatformAnswered or
// PlatformFailed.
type ReadPlatform struct {
	Key   Key
	After ident.Revision
	// Wait is how long the platform may wait for a revision above After; zero
	// means a plain read.
	Wait time.Duration
}

// ReadPeer asks a peer for a value, which ends in PeerAnswered or PeerFailed.
type ReadPeer struct {
	Instance ident.Instance
	Key      Key
	// After is the revision held: of the table for ManifestKey, of the platform for
	// lists, 0 for pages.
	After ident.Revision
}

// Announce asks for a PeerHas to be given to the named peers. Its loss does no
// harm, as heartbeats carry the same.
type Announce struct {
	To        []ident.Instance
	Revisions member.Revisions
}

// TableActivated brings a new table in force, with all its pages at once.
type TableActivated struct{ Table *table.Table }

// ListActivated brings a new state of a list in force.
type ListActivated struct {
	Key   Key
	Value Value
}

// ValueRejected reports a value that was not taken because of what it holds. What was
// in force stays.
type ValueRejected struct {
	Key Key
	// Version is set for ManifestKey, as far as it could be read.
	Version table.Version
	// Verdict is table.Take when the rows were at fault.
	Verdict table.Verdict
	// Err holds table.Faults when the rows or the manifest were at fault; else it
	// may be nil.
	Err error
}

// BecameReady is given once: the instance may take traffic.
type BecameReady struct{ Source StartSource }

func (ReadPlatform) isAction()   {}
func (ReadPeer) isAction()       {}
func (Announce) isAction()       {}
func (TableActivated) isAction() {}
func (ListActivated) isAction()  {}
func (ValueRejected) isAction()  {}
func (BecameReady) isAction()    {}
