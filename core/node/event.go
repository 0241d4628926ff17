package node

import (
	"net/netip"
	"time"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/member"
	"arbutustrestle/core/order"
	"arbutustrestle/core/share"
)

// Event is an input of Node.Step.
type Event interface{ isEvent() }

// Tick drives the timers. The embedding program sends one every
// member.TickInterval.
type Tick struct {
	// Usage, SuccessorNotes and Demands are sent with the next heartbeats.
	Usage          []share.WorkspaceClaims
	SuccessorNotes []dedup.SuccessorNote
	Demands        []Demand
}

// HeartbeatArrived carries a heartbeat received from a peer.
type HeartbeatArrived struct{ Heartbeat member.Heartbeat }

// SummaryArrived carries a summary received directly from another region.
type SummaryArrived struct{ Summary member.RegionSummary }

// AnnouncementArrived carries the revisions that a peer reports to hold.
type AnnouncementArrived struct {
	Instance  ident.Instance
	Revisions member.Revisions
}

// SendFailed reports that a message could not be delivered to an instance.
type SendFailed struct{ To ident.Instance }

// FetchAnswered carries the answer to a ReadPlatform or a ReadPeer.
type FetchAnswered struct {
	Event fetch.Event
	// AskedAt is the time at which the request was sent.
	AskedAt time.Time
}

// LoadPolled carries the answer to a PollLoad.
type LoadPolled struct {
	Upstream ident.Upstream
	Report   load.Report
	Models   ModelReport
}

// ModelReport is an engine's report of its loaded models and of the orders that it
// has received.
type ModelReport struct {
	// Known is false for an upstream that serves every model or no model.
	Known bool
	// Loaded holds the sorted names of the loaded models, in the form
	// "model@version".
	Loaded []string
	// HighestFence is the highest fencing number that the engine has received; zero
	// if the engine stores none.
	HighestFence ident.Revision
}

// OrderAnswered carries the result of a SendOrder.
type OrderAnswered struct{ order.Result }

// LoadPollFailed reports that a PollLoad received no answer.
type LoadPollFailed struct{ Upstream ident.Upstream }

// PhaseChanged reports that the instance has begun to drain or to stop.
type PhaseChanged struct{ Phase member.Phase }

func (Tick) isEvent()                {}
func (HeartbeatArrived) isEvent()    {}
func (SummaryArrived) isEvent()      {}
func (AnnouncementArrived) isEvent() {}
func (SendFailed) isEvent()          {}
func (FetchAnswered) isEvent()       {}
func (LoadPolled) isEvent()          {}
func (LoadPollFailed) isEvent()      {}
func (OrderAnswered) isEvent()       {}
func (PhaseChanged) isEvent()        {}

// Action is an output of Node.Step that the embedding program carries out.
type Action interface{ isAction() }

// SendHeartbeat requests that a heartbeat be sent. A failure is reported as
// SendFailed.
type SendHeartbeat struct{ member.SendHeartbeat }

// SendSummary requests that a summary be sent. A failure is reported as SendFailed.
type SendSummary struct{ member.SendSummary }

// SendAnnouncement requests that the held revisions of this instance be sent to
// peers.
type SendAnnouncement struct {
	To        []netip.AddrPort
	Revisions member.Revisions
}

// ReadPlatform requests a read of the platform. The answer is a FetchAnswered.
type ReadPlatform struct{ fetch.ReadPlatform }

// ReadPeer requests that a published value be fetched from a peer. The answer is a
// FetchAnswered.
type ReadPeer struct {
	fetch.ReadPeer
	Address netip.AddrPort
}

// PollLoad requests a read of an upstream's load. The result is a LoadPolled or a
// LoadPollFailed.
type PollLoad struct {
	Upstream ident.Upstream
	Address  netip.AddrPort
}

// SendOrder requests that an order be sent to an engine once, without a retry, and
// not after SendBy.
type SendOrder struct {
	order.Send
	Address netip.AddrPort
}

// OrderHeld reports that a due order is not sent, with the reason.
type OrderHeld struct{ order.Hold }

// PublishView replaces the view that requests are decided on.
type PublishView struct{ View *View }

// GossipReceived carries the gossip of a peer's heartbeat, which is its content
// besides the membership.
type GossipReceived struct {
	From   ident.Instance
	Gossip Gossip
}

// ValueRejected reports that a published value was rejected.
type ValueRejected struct{ fetch.ValueRejected }

// BecameReady reports that the instance may receive traffic. It is emitted once.
type BecameReady struct{ Source fetch.StartSource }

// PauseDetected reports that the process was suspended for the time Gap.
type PauseDetected struct{ Gap time.Duration }

func (SendHeartbeat) isAction()    {}
func (SendSummary) isAction()      {}
func (SendAnnouncement) isAction() {}
func (ReadPlatform) isAction()     {}
func (ReadPeer) isAction()         {}
func (PollLoad) isAction()         {}
func (SendOrder) isAction()        {}
func (OrderHeld) isAction()        {}
func (PublishView) isAction()      {}
func (GossipReceived) isAction()   {}
func (ValueRejected) isAction()    {}
func (BecameReady) isAction()      {}
func (PauseDetected) isAction()    {}

// Gossip is the data that the instances of a region exchange besides their
// membership.
type Gossip struct {
	Loads          []UpstreamLoad
	Usage          []share.WorkspaceClaims
	SuccessorNotes []dedup.SuccessorNote
	Demands        []Demand
}

// Demand is the number of slots of an upstream group that an instance could use: its
// requests in flight and waiting, and those refused recently.
type Demand struct {
	// Group is the name of the UpstreamGroup.
	Group  string
	Wanted int
}

// UpstreamLoad is a load report that the sender polled from an upstream.
type UpstreamLoad struct {
	Upstream ident.Upstream
	Report   load.Report
}

// RegionLoad is the free capacity of a region as reported by its summary.
type RegionLoad struct {
	Models   []ModelLoad
	Services []ServiceLoad
}

// ModelLoad is a region's free capacity for one model. Free is the number of slots
// that the region offers to other regions, Slots the number of all its slots, and
// Wait the shortest queue of its upstreams.
type ModelLoad struct {
	Model ident.Model
	Free  float64
	Slots float64
	Wait  time.Duration
}

// ServiceLoad is a region's free capacity for one plain service, in the terms of
// ModelLoad.
type ServiceLoad struct {
	Service ident.Service
	Free    float64
	Slots   float64
	Wait    time.Duration
}

// Codec encodes and decodes the opaque payloads of heartbeats and summaries. It
// encodes times on the sender's clock as ages.
type Codec interface {
	EncodeGossip(now time.Time, g Gossip) []byte
	DecodeGossip(now time.Time, payload []byte) (Gossip, error)
	EncodeLoad(l RegionLoad) []byte
	DecodeLoad(payload []byte) (RegionLoad, error)
}
