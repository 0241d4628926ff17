// Package member keeps what one entry instance knows of the others: every entry
// of its own region in detail, by a mesh of heartbeats, and a summary of each
// other region. It decides from what is heard, from failed sends and from the
// platform's listing, which lags; it never compares clocks of two machines.
package member

import (
	"net/netip"

	"arbutustrestle/core/ident"
)

// Phase is what an entry instance says of itself.
type Phase uint8

// The phases in the order in which an instance passes through them.
const (
	// Starting instances have no table in force yet and take no traffic.
	Starting Phase = iota
	// Ready instances take traffic.
	Ready
	// Draining instances finish what runs and take nothing new.
	Draining
	// Stopped is said once, in the last heartbeat of a graceful shutdown.
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

// Status is what this instance holds of another one in its region.
type Status uint8

const (
	// Unproven instances are listed but this run has not heard from them.
	Unproven Status = iota
	// Alive instances were heard within the suspicion time.
	Alive
	// Suspect instances are silent for some periods, or have not been heard since a
	// send to them failed or this process paused. Any newer heartbeat makes them
	// alive again.
	Suspect
	// Unreachable instances are silent for long. They may still run.
	Unreachable
	// Left instances said that they stop, and no later run has been heard.
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

// Entry is one entry instance as the platform lists it, or as it describes itself.
type Entry struct {
	ID     ident.Instance
	Zone   ident.Zone
	Region ident.Region
	// Peer, Caller and Admin are the addresses of its three listeners.
	Peer   netip.AddrPort
	Caller netip.AddrPort
	Admin  netip.AddrPort
	// Leaving is set by the platform when the instance is to go.
	Leaving bool
}

// Listing is one state of the platform's list of entries.
type Listing struct {
	// Revision only grows; a listing with a lower or equal one is not taken.
	Revision ident.Revision
	Entries  []Entry
}

// Revisions names the newest published values that an instance has.
type Revisions struct {
	// Table is the revision of the table in force, the number inside the manifest.
	Table ident.Revision
	// Entries and Upstreams are platform revisions of the two lists.
	Entries   ident.Revision
	Upstreams ident.Revision
}

// Echo names the last heartbeat that the sender heard from the recipient. It
// proves to the recipient that its own messages arrive.
type Echo struct {
	// Start is that of the recipient's run; zero means that nothing was heard.
	Start    uint64
	Sequence uint64
}

// Heartbeat is what one entry tells another one in its region.
type Heartbeat struct {
	From ident.Incarnation
	// Sequence counts milliseconds since the sender's run began and grows with
	// each heartbeat to the same recipient, so that its echo tells the sender
	// when the echoed heartbeat was sent.
	Sequence  uint64
	Echo      Echo
	Phase     Phase
	Revisions Revisions
	// Self describes the sender unless the recipient has lately confirmed a
	// heartbeat, so that one that restarted without a list can answer.
	Self *Entry
	// Payload is opaque here.
	Payload []byte
	// Summaries are those of other regions that reached the sender directly.
	Summaries []RegionSummary
}

// Contact is an entry of another region to which a request can be forwarded.
type Contact struct {
	Incarnation ident.Incarnation
	Zone        ident.Zone
	Peer        netip.AddrPort
	Caller      netip.AddrPort
}

// RegionSummary is what one region tells another about itself.
type RegionSummary struct {
	Region ident.Region
	// Origin made the summary; Sequence grows with each summary of that run.
	Origin   ident.Incarnation
	Sequence uint64
	// AgeMillis is the time for which an instance held the summary before handing it
	// on, in milliseconds; the time on the way is not in it.
	AgeMillis uint32
	// ReadyCount is the number of entries there that take traffic.
	ReadyCount    int
	TableRevision ident.Revision
	// Contacts are up to maxContacts ready entries there.
	Contacts []Contact
	// Payload is opaque here.
	Payload []byte
}
