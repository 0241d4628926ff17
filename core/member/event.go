package member

import (
	"net/netip"
	"time"

	"arbutustrestle/core/ident"
)

// Event is an input of State.Step.
type Event interface{ isEvent() }

// Tick advances the time. It is due every TickInterval.
type Tick struct{}

// ListingRead carries a version of the platform's list of instances.
type ListingRead struct{ Listing Listing }

// HeartbeatArrived carries a heartbeat of a peer.
type HeartbeatArrived struct{ Heartbeat Heartbeat }

// SummaryArrived carries a summary received directly from another region.
type SummaryArrived struct{ Summary RegionSummary }

// SendFailed reports that nothing could be delivered to an instance: a refused or
// broken connection, or no answer within the link's timeout.
type SendFailed struct{ To ident.Instance }

// LocalStateChanged sets the contents of this instance's next heartbeats and
// summaries.
type LocalStateChanged struct {
	Phase     Phase
	Revisions Revisions
	// Payload goes into heartbeats, SummaryPayload into summaries. The embedder must
	// not change either afterwards.
	Payload        []byte
	SummaryPayload []byte
}

func (Tick) isEvent()              {}
func (ListingRead) isEvent()       {}
func (HeartbeatArrived) isEvent()  {}
func (SummaryArrived) isEvent()    {}
func (SendFailed) isEvent()        {}
func (LocalStateChanged) isEvent() {}

// Action is an output of State.Step that the embedding program performs.
type Action interface{ isAction() }

// SendHeartbeat requests that a heartbeat is sent; a failure is reported as
// SendFailed.
type SendHeartbeat struct {
	// To is empty when only the address is known, as for a seed. Its failure need not
	// be reported.
	To        ident.Instance
	Address   netip.AddrPort
	Heartbeat Heartbeat
}

// SendSummary requests that a summary is sent to an instance of another region; a
// failure is reported as SendFailed.
type SendSummary struct {
	To      ident.Instance
	Region  ident.Region
	Address netip.AddrPort
	Summary RegionSummary
}

// HeartbeatAccepted reports an accepted heartbeat: neither late nor duplicated, and of
// the peer's current run. Only the payload of such a heartbeat may be used.
type HeartbeatAccepted struct{ Heartbeat Heartbeat }

// SummaryAccepted reports an accepted summary.
type SummaryAccepted struct{ Summary RegionSummary }

// PauseDetected reports that this process was suspended for a while. Leases, load and
// all other state from before the pause are stale.
type PauseDetected struct{ Gap time.Duration }

func (SendHeartbeat) isAction()     {}
func (SendSummary) isAction()       {}
func (HeartbeatAccepted) isAction() {}
func (SummaryAccepted) isAction()   {}
func (PauseDetected) isAction()     {}
