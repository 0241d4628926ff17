package member

import (
	"net/netip"
	"time"

	"arbutustrestle/core/ident"
)

// Event is something that State.Step takes in.
type Event interface{ isEvent() }

// Tick lets time pass. It is due every TickInterval.
type Tick struct{}

// ListingRead brings a state of the platform's list of entries.
type ListingRead struct{ Listing Listing }

// HeartbeatArrived brings a heartbeat of a peer.
type HeartbeatArrived struct{ Heartbeat Heartbeat }

// SummaryArrived brings a summary that came straight from another region.
type SummaryArrived struct{ Summary RegionSummary }

// SendFailed reports that nothing could be delivered to an instance: a refused
// or broken connection, or no answer within the link's timeout.
type SendFailed struct{ To ident.Instance }

// LocalStateChanged says what this instance's heartbeats and summaries carry from now on.
type LocalStateChanged struct {
	Phase     Phase
	Revisions Revisions
	// Payload goes into heartbeats, SummaryPayload into summaries. Neither is
	// changed by the embedder afterwards.
	Payload        []byte
	SummaryPayload []byte
}

func (Tick) isEvent()              {}
func (ListingRead) isEvent()       {}
func (HeartbeatArrived) isEvent()  {}
func (SummaryArrived) isEvent()    {}
func (SendFailed) isEvent()        {}
func (LocalStateChanged) isEvent() {}

// Action is something that the embedding program does after State.Step.
type Action interface{ isAction() }

// SendHeartbeat asks for a heartbeat to be sent; a failure comes back as SendFailed.
type SendHeartbeat struct {
	// To is empty when only the address is known, as of a seed. Its failure need
	// not come back.
	To        ident.Instance
	Address   netip.AddrPort
	Heartbeat Heartbeat
}

// SendSummary asks for a summary to be sent to an entry of another region; a
// failure comes back as SendFailed.
type SendSummary struct {
	To      ident.Instance
	Region  ident.Region
	Address netip.AddrPort
	Summary RegionSummary
}

// HeartbeatAccepted reports a heartbeat that was taken: neither late nor doubled, and of the
// peer's current run. Only the payload of such a heartbeat may be used.
type HeartbeatAccepted struct{ Heartbeat Heartbeat }

// SummaryAccepted reports a summary that was taken.
type SummaryAccepted struct{ Summary RegionSummary }

// PauseDetected reports that the process stood still. Leases, load and whatever else
// was held before is stale.
type PauseDetected struct{ Gap time.Duration }

func (SendHeartbeat) isAction()     {}
func (SendSummary) isAction()       {}
func (HeartbeatAccepted) isAction() {}
func (SummaryAccepted) isAction()   {}
func (PauseDetected) isAction()     {}
