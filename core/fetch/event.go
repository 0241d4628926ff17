package fetch

import (
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/table"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Tick advances the time. It is due every member.TickInterval.
type Tick struct{}

// Membership carries the alive instances of the local region, whenever they change.
type Membership struct {
	Peers []Peer
	// ExpectedPeers is the number of other instances in this region that are listed
	// and not leaving.
	ExpectedPeers int
	// FleetSize is the number of listed instances in all regions, and FleetReaders the
	// number of readers among them. Zero means that they are not known yet.
	FleetSize    int
	FleetReaders int
	// ListedRegions is the number of other regions in the list, and FreshRegions the
	// number of those with a fresh summary.
	ListedRegions int
	FreshRegions  int
	// RemoteEntries holds listed instances of other regions. An instance that is alone
	// in its region reads the table from them when it starts.
	RemoteEntries []ident.Instance
}

// PeerAnnounced carries an announcement of a peer between two heartbeats.
type PeerAnnounced struct {
	Instance  ident.Instance
	Revisions member.Revisions
}

// Answer is the kind of an answer from the platform.
type Answer uint8

const (
	// Found comes with a value and its revision.
	Found Answer = iota
	// Unchanged means that no value newer than the requested revision appeared in
	// time.
	Unchanged
	// Absent means that the platform has no such value.
	Absent
)

// PlatformAnswered answers a ReadPlatform.
type PlatformAnswered struct {
	Key    Key
	Answer Answer
	// Value is set for Found. The embedder must not change its data afterwards.
	Value Value
}

// PlatformFailed ends a ReadPlatform that got no answer, or was refused.
type PlatformFailed struct {
	Key Key
	// RetryAfter is the delay requested by the platform; zero if none.
	RetryAfter time.Duration
}

// PeerAnswered answers a ReadPeer.
type PeerAnswered struct {
	Instance ident.Instance
	Key      Key
	// Found is false when the peer has nothing newer than the requested revision.
	Found bool
	// Value is set when Found is. The embedder must not change its data afterwards.
	Value Value
}

// PeerFailed ends a ReadPeer that got no answer.
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

// Action is an output of State.Step that the embedding program performs.
type Action interface{ isAction() }

// ReadPlatform requests a read of the platform, which ends in PlatformAnswered or
// PlatformFailed.
type ReadPlatform struct {
	Key   Key
	After ident.Revision
	// Wait is how long the platform may wait for a revision above After; zero means a
	// plain read.
	Wait time.Duration
}

// ReadPeer requests a value from a peer, which ends in PeerAnswered or PeerFailed.
type ReadPeer struct {
	Instance ident.Instance
	Key      Key
	// After is the revision held: of the table for ManifestKey, of the platform for
	// lists, 0 for pages.
	After ident.Revision
}

// Announce requests that the given peers receive a PeerAnnounced. Its loss does no
// harm, as heartbeats carry the same revisions.
type Announce struct {
	To        []ident.Instance
	Revisions member.Revisions
}

// TableActivated reports a new active table, with all its pages at once.
type TableActivated struct{ Table *table.Table }

// ListActivated reports a new active version of a list.
type ListActivated struct {
	Key   Key
	Value Value
}

// ValueRejected reports a value that failed its checks. The active one stays.
type ValueRejected struct {
	Key Key
	// Version is set for ManifestKey, as far as it could be read.
	Version table.Version
	// Verdict is table.Newer when the rows were at fault.
	Verdict table.Verdict
	// Err holds table.Faults when the rows or the manifest were at fault; otherwise it
	// may be nil.
	Err error
}

// BecameReady is emitted once: the instance may take traffic.
type BecameReady struct{ Source StartSource }

func (ReadPlatform) isAction()   {}
func (ReadPeer) isAction()       {}
func (Announce) isAction()       {}
func (TableActivated) isAction() {}
func (ListActivated) isAction()  {}
func (ValueRejected) isAction()  {}
func (BecameReady) isAction()    {}
