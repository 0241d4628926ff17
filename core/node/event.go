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

// Event is something that Node.Step takes in.
type Event interface{ isEvent() }

// Tick lets time pass. It is due every member.TickInterval.
type Tick struct {
	// Usage and Notes are what the next heartbeats tell.
	Usage          []share.WorkspaceClaims
	SuccessorNotes []dedup.SuccessorNote
	Demands        []Demand
}

// HeartbeatArrived brings a heartbeat of a peer.
type HeartbeatArrived struct{ Heartbeat member.Heartbeat }

// SummaryArrived brings a summary that came straight from another region.
type SummaryArrived struct{ Summary member.RegionSummary }

// AnnouncementArrived brings what a peer says that it holds.
type AnnouncementArrived struct {
	Instance ident.Instance
	Held     member.Revisions
}

// SendFailed reports that nothing could be delivered to an instance.
type SendFailed struct{ To ident.Instance }

// FetchAnswered brings an answer to a ReadPlatform or AskPeer.
type FetchAnswered struct {
	Event fetch.Event
	// AskedAt is when the question was sent.
	AskedAt time.Time
}

// LoadPolled answers a PollLoad.
type LoadPolled struct {
	Upstream ident.Upstream
	Report   load.Report
	Models   ModelReport
}

// ModelReport is what an engine says of the orders that it has had.
type ModelReport struct {
	// Known is false for an upstream that serves every model, or none.
	Known bool
	// Loaded holds names of the form "model@version", sorted.
	Loaded []string
	// HighestFence is the highest fencing number seen; zero when it keeps none.
	HighestFence ident.Revision
}

// OrderAnswered ends a SendOrder.
type OrderAnswered struct{ order.OrderResult }

// LoadPollFailed ends a PollLoad without an answer.
type LoadPollFailed struct{ Upstream ident.Upstream }

// PhaseChanged says that the instance drains, or stops.
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

// Action is something that the embedding program does after Node.Step.
type Action interface{ isAction() }

// SendHeartbeat asks for a heartbeat to be sent; a failure comes back as SendFailed.
type SendHeartbeat struct{ member.SendHeartbeat }

// SendSummary asks for a summary to be sent; a failure comes back as SendFailed.
type SendSummary struct{ member.SendSummary }

// SendAnnouncement asks for peers to be told what is held here.
type SendAnnouncement struct {
	To   []netip.AddrPort
	Held member.Revisions
}

// ReadPlatform asks for a read of the platform.
type ReadPlatform struct{ fetch.ReadPlatform }

// AskPeer asks for a value to be fetched from a peer.
type AskPeer struct {
	fetch.ReadPeer
	Address netip.AddrPort
}

// PollLoad asks for an upstream's load to be read.
type PollLoad struct {
	Upstream ident.Upstream
	Address  netip.AddrPort
}

// SendOrder asks for an order to be sent to an engine, once, and not after SendBy.
type SendOrder struct {
	order.Send
	Address netip.AddrPort
}

// OrderHeld reports that an order is due and why it isn't sent.
type OrderHeld struct{ order.Hold }

// PublishView brings a new view in force.
type PublishView struct{ View *View }

// GossipReceived brings what a peer's heartbeat told beside its membership.
type GossipReceived struct {
	From   ident.Instance
	Gossip Gossip
}

// ValueRejected reports a published value that was not taken.
type ValueRejected struct{ fetch.ValueRejected }

// BecameReady is given once: the instance may take traffic.
type BecameReady struct{ Source fetch.StartSource }

// PauseDetected reports that the process stood still.
type PauseDetected struct{ Gap time.Duration }

func (SendHeartbeat) isAction()    {}
func (SendSummary) isAction()      {}
func (SendAnnouncement) isAction() {}
func (ReadPlatform) isAction()     {}
func (AskPeer) isAction()          {}
func (PollLoad) isAction()         {}
func (SendOrder) isAction()        {}
func (OrderHeld) isAction()        {}
func (PublishView) isAction()      {}
func (GossipReceived) isAction()   {}
func (ValueRejected) isAction()    {}
func (BecameReady) isAction()      {}
func (PauseDetected) isAction()    {}

// Gossip is what the entries of a region tell each other beside their membership.
type Gossip struct {
	Loads          []UpstreamLoad
	Usage          []share.WorkspaceClaims
	SuccessorNotes []dedup.SuccessorNote
	Demands        []Demand
}

// Demand is how many slots of a group an instance would use: its requests in flight
// and waiting, and those lately refused.
type Demand struct {
	Group  string
	Wanted int
}

// UpstreamLoad is a load report that the sender has read.
type UpstreamLoad struct {
	Upstream ident.Upstream
	Report   load.Report
}

// RegionLoad is the free capacity of a region, as its summary tells it.
type RegionLoad struct {
	Models   []ModelLoad
	Services []ServiceLoad
}

// ModelLoad is a region's free capacity for one model.
type ModelLoad struct {
	Model ident.Model
	Free  float64
	Slots float64
	Wait  time.Duration
}

// ServiceLoad is a region's free capacity for one plain service.
type ServiceLoad struct {
	Service ident.Service
	Free    float64
	Slots   float64
	Wait    time.Duration
}

// Codec writes and reads what heartbeats and summaries carry as opaque payloads.
// Times on the sender's clock are written as ages.
type Codec interface {
	EncodeGossip(now time.Time, g Gossip) []byte
	DecodeGossip(now time.Time, payload []byte) (Gossip, error)
	EncodeLoad(l RegionLoad) []byte
	DecodeLoad(payload []byte) (RegionLoad, error)
}
