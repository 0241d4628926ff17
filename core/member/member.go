// Package member tracks the membership of a region from the point of view of one
// instance: every peer of the local region in detail, by heartbeats between all of
// them, and one summary for each other region. It decides by received messages, failed
// sends and the platform's listing, which lags; it never compares the clocks of two
// machines.
package member

import (
	"net/netip"

	"arbutustrestle/core/ident"
)

// Phase is the lifecycle phase that an instance reports for itself.
type Phase uint8

// The phases in the order in which an instance passes through them.
const (
	// Starting instances have no active table yet and take no traffic.
	Starting Phase = iota
	// Ready instances take traffic.
	Ready
	// Draining instances complete running requests and accept no new ones.
	Draining
	// Stopped is reported once, in the last heartbeat of a graceful shutdown.
	Stopped
)

var phaseNames = [...]string{"starting", "ready", "draining", "stopped"}

// String returns the kebab-case name of the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Status is this instance's view of a peer in its region.
type Status uint8

const (
	// Unproven instances are listed, but no heartbeat from them has reached this run.
	Unproven Status = iota
	// Alive instances sent a heartbeat within the suspicion timeout.
	Alive
	// Suspect instances have sent no heartbeat for some periods, or none since a send
	// to them failed or this process paused. Any newer heartbeat makes them alive
	// again.
	Suspect
	// Unreachable instances have sent no heartbeat for a long time. They may still
	// run.
	Unreachable
	// Left instances reported that they stop, and no later run has sent a heartbeat.
	Left
)

var statusNames = [...]string{"unproven", "alive", "suspect", "unreachable", "left"}

// String returns the kebab-case name of the status.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "unknown"
}

// Entry is one instance as the platform lists it, or as it describes itself.
type Entry struct {
	ID     ident.Instance
	Zone   ident.Zone
	Region ident.Region
	// Peer, Caller and Admin are the addresses of its three listeners.
	Peer   netip.AddrPort
	Caller netip.AddrPort
	Admin  netip.AddrPort
	// Leaving is set by the platform when the instance will be removed.
	Leaving bool
}

// Listing is one version of the platform's list of instances.
type Listing struct {
	// Revision only increases; a listing with a lower or equal one is ignored.
	Revision ident.Revision
	Entries  []Entry
}

// Revisions holds the revisions of the newest published values of an instance.
type Revisions struct {
	// Table is the revision of the active table, the number inside the manifest.
	Table ident.Revision
	// Entries and Upstreams are platform revisions of the two lists.
	Entries   ident.Revision
	Upstreams ident.Revision
}

// Echo identifies the last heartbeat that the sender received from the recipient. It
// proves to the recipient that its own messages arrive.
type Echo struct {
	// Start identifies the recipient's run; zero means that nothing was received.
	Start    uint64
	Sequence uint64
}

// Heartbeat is the periodic message between two instances of a region.
type Heartbeat struct {
	From ident.Incarnation
	// Sequence counts milliseconds since the sender's run began and grows with each
	// heartbeat to the same recipient, so that the sender can derive from an echo when
	// it sent the echoed heartbeat.
	Sequence  uint64
	Echo      Echo
	Phase     Phase
	Revisions Revisions
	// Self describes the sender. It is omitted when the recipient has recently
	// confirmed a heartbeat. A recipient that restarted without a list needs it to
	// answer.
	Self *Entry
	// Payload is opaque to this package.
	Payload []byte
	// Summaries are those of other regions that reached the sender directly.
	Summaries []RegionSummary
}

// Contact is an instance of another region to which requests can be forwarded.
type Contact struct {
	Incarnation ident.Incarnation
	Zone        ident.Zone
	Peer        netip.AddrPort
	Caller      netip.AddrPort
}

// RegionSummary is the state of one region as sent to another region.
type RegionSummary struct {
	Region ident.Region
	// Origin created the summary; Sequence grows with each summary of that run.
	Origin   ident.Incarnation
	Sequence uint64
	// AgeMillis is the time between the arrival of the summary at an instance and its
	// relay by that instance, in milliseconds, without the time in transit.
	AgeMillis uint32
	// ReadyCount is the number of instances there that take traffic.
	ReadyCount    int
	TableRevision ident.Revision
	// Contacts are up to maxContacts ready instances there.
	Contacts []Contact
	// Payload is opaque to this package.
	Payload []byte
}
