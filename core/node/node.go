package node

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/list"
	"arbutustrestle/core/load"
	"arbutustrestle/core/member"
	"arbutustrestle/core/order"
	"arbutustrestle/core/table"
)

// Options are the settings of a Node.
type Options struct {
	// Self describes this instance as its settings do.
	Self member.Entry
	// Start is the Start of this run's incarnation.
	Start uint64
	// Seeds are peer addresses that are contacted in addition to the listed ones.
	Seeds []netip.AddrPort
	Codec Codec
}

// Node is the control state of one instance. It is not safe for concurrent use; the
// views that it publishes are.
type Node struct {
	options Options
	member  *member.State
	fetch   *fetch.State
	phase   member.Phase
	// members is the membership view that was last passed to fetch.
	members     *member.View
	table       *table.Table
	upstreams   upstreamSet
	orders      orders
	limiters    spillLimiters
	regionLoads map[ident.Region]RegionLoad
	// payloadDue is the time at which the payloads are encoded next.
	payloadDue time.Time
	view       *View
	// resumeBy is the latest time at which the state after a pause ends; zero if the
	// process isn't resuming from a pause.
	resumeBy time.Time
	// viewStale is set when the view has to be rebuilt.
	viewStale bool
	actions   []Action
}

// payloadInterval is the time between two encodings of the payloads and between two
// polls of an upstream.
const payloadInterval = time.Second

// New returns the control state of an instance that holds no published values.
func New(o Options) *Node {
	self := ident.Incarnation{Instance: o.Self.ID, Start: o.Start}
	n := &Node{
		options: o,
		member: member.New(member.Options{
			Self:   o.Self,
			Start:  o.Start,
			Seeds:  o.Seeds,
			Random: rand.New(rand.NewPCG(o.Start, 1)),
		}),
		fetch: fetch.New(fetch.Options{
			Instance:     o.Self.ID,
			Zone:         o.Self.Zone,
			Region:       o.Self.Region,
			Random:       rand.New(rand.NewPCG(o.Start, 2)),
			ValidateList: validateList,
		}),
		upstreams:   upstreamSet{byID: map[ident.Upstream]*Upstream{}},
		orders:      orders{orderer: order.NewOrderer(o.Self.ID, order.Limits{})},
		regionLoads: map[ident.Region]RegionLoad{},
	}
	n.members = n.member.View()
	n.view = &View{Self: self, Zone: o.Self.Zone, Region: o.Self.Region, Members: n.members}
	return n
}

// validateList returns an error for a list that can't be parsed completely.
func validateList(key fetch.Key, data []byte) error {
	if key == fetch.EntriesKey {
		_, err := list.ParseEntries(data)
		return err
	}
	_, err := list.ParseUpstreams(data)
	return err
}

// View returns the most recently published view.
func (n *Node) View() *View {
	return n.view
}

// FetchStatus returns which published values are held.
func (n *Node) FetchStatus() fetch.Status {
	return n.fetch.Status()
}

// Counts returns the numbers of ignored events by reason.
func (n *Node) Counts() (member.Counts, fetch.Counts) {
	return n.member.Counts(), n.fetch.Counts()
}

// Value returns a published value that a peer has requested; see fetch.State.Value.
func (n *Node) Value(key fetch.Key, after ident.Revision) (fetch.Value, bool) {
	return n.fetch.Value(key, after)
}

// Step processes an event and returns the resulting actions. The returned slice is
// valid until the next call.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.actions = n.actions[:0]
	switch e := event.(type) {
	case Tick:
		n.tick(now, e)
	case HeartbeatArrived:
		n.stepMember(now, member.HeartbeatArrived{Heartbeat: e.Heartbeat})
	case SummaryArrived:
		n.stepMember(now, member.SummaryArrived{Summary: e.Summary})
	case AnnouncementArrived:
		n.stepFetch(now, fetch.PeerAnnounced{Instance: e.Instance, Revisions: e.Revisions})
	case SendFailed:
		n.stepMember(now, member.SendFailed{To: e.To})
	case FetchAnswered:
		n.stepFetch(now, e.Event)
		n.confirmList(now, e)
	case LoadPolled:
		n.upstreams.observe(now, UpstreamLoad{Upstream: e.Upstream, Report: e.Report}, true)
		n.stepEngineReport(now, e)
	case LoadPollFailed:
		n.upstreams.pollFailed(now, e.Upstream)
	case OrderAnswered:
		n.stepOrder(now, e.Result)
	case PhaseChanged:
		n.setPhase(now, e.Phase)
	}
	n.updateMembers(now)
	n.checkResumed(now)
	n.publishView()
	return n.actions
}

func (n *Node) emit(a Action) {
	n.actions = append(n.actions, a)
}

func (n *Node) tick(now time.Time, e Tick) {
	if !now.Before(n.payloadDue) {
		n.payloadDue = now.Add(payloadInterval)
		n.updatePayloads(now, e)
		n.pollLoads(now)
		n.pollOrderedEngines(now)
		n.stepOrder(now, order.Tick{})
	}
	n.stepMember(now, member.Tick{})
	n.stepFetch(now, fetch.Tick{})
}

// updatePayloads encodes the payloads of the next heartbeats and summaries.
func (n *Node) updatePayloads(now time.Time, e Tick) {
	gossip := Gossip{Loads: n.upstreams.ownReports(), Usage: e.Usage, SuccessorNotes: e.SuccessorNotes, Demands: e.Demands}
	n.stepMember(now, member.LocalStateChanged{
		Phase:          n.phase,
		Revisions:      n.fetch.Revisions(),
		Payload:        n.options.Codec.EncodeGossip(now, gossip),
		SummaryPayload: n.options.Codec.EncodeLoad(n.view.regionLoad(now)),
	})
}

func (n *Node) setPhase(now time.Time, phase member.Phase) {
	if phase <= n.phase {
		return
	}
	n.phase = phase
	n.viewStale = true
	n.updatePayloads(now, Tick{})
}

func (n *Node) stepMember(now time.Time, event member.Event) {
	for _, action := range n.member.Step(now, event) {
		switch a := action.(type) {
		case member.SendHeartbeat:
			n.emit(SendHeartbeat{a})
		case member.SendSummary:
			n.emit(SendSummary{a})
		case member.HeartbeatAccepted:
			n.receiveGossip(now, a.Heartbeat)
		case member.SummaryAccepted:
			n.receiveRegionLoad(a.Summary)
		case member.PauseDetected:
			n.resumeBy = now.Add(resumeTimeout)
			n.viewStale = true
			n.emit(PauseDetected{Gap: a.Gap})
		}
	}
}

// receiveGossip applies the payload of a heartbeat. It ignores a payload that can't
// be decoded: the heartbeat itself still proves that its sender is alive.
func (n *Node) receiveGossip(now time.Time, h member.Heartbeat) {
	gossip, err := n.options.Codec.DecodeGossip(now, h.Payload)
	if err != nil {
		return
	}
	for _, l := range gossip.Loads {
		n.upstreams.observe(now, l, false)
	}
	n.emit(GossipReceived{From: h.From.Instance, Gossip: gossip})
}

func (n *Node) receiveRegionLoad(s member.RegionSummary) {
	l, err := n.options.Codec.DecodeLoad(s.Payload)
	if err != nil {
		return
	}
	n.regionLoads[s.Region] = l
	n.viewStale = true
}

func (n *Node) stepFetch(now time.Time, event fetch.Event) {
	for _, action := range n.fetch.Step(now, event) {
		switch a := action.(type) {
		case fetch.ReadPlatform:
			n.emit(ReadPlatform{a})
		case fetch.ReadPeer:
			n.readPeer(now, a)
		case fetch.Announce:
			n.announce(a)
		case fetch.TableActivated:
			n.table = a.Table
			n.viewStale = true
			n.orders.orderer.SetTakeoverDelay(a.Table.Policy().OrderHandover)
		case fetch.ListActivated:
			n.activateList(now, a)
		case fetch.ValueRejected:
			n.emit(ValueRejected{a})
		case fetch.BecameReady:
			n.phase = max(n.phase, member.Ready)
			n.viewStale = true
			n.updatePayloads(now, Tick{})
			n.emit(BecameReady{Source: a.Source})
		}
	}
}

func (n *Node) readPeer(now time.Time, a fetch.ReadPeer) {
	e, found := n.member.View().Entry(a.Instance)
	if !found {
		n.stepFetch(now, fetch.PeerFailed{Instance: a.Instance, Key: a.Key})
		return
	}
	n.emit(ReadPeer{ReadPeer: a, Address: e.Peer})
}

func (n *Node) announce(a fetch.Announce) {
	announcement := SendAnnouncement{Revisions: a.Revisions}
	for _, id := range a.To {
		if m, found := n.member.View().Member(id); found {
			announcement.To = append(announcement.To, m.Entry.Peer)
		}
	}
	n.emit(announcement)
}

func (n *Node) activateList(now time.Time, a fetch.ListActivated) {
	n.viewStale = true
	if a.Key == fetch.EntriesKey {
		entries, err := list.ParseEntries(a.Value.Data)
		if err != nil {
			return
		}
		listing := member.Listing{Revision: a.Value.Revision, Entries: entries}
		n.stepMember(now, member.ListingRead{Listing: listing})
		n.updateOrderList(now, listing)
		return
	}
	rows, err := list.ParseUpstreams(a.Value.Data)
	if err != nil {
		return
	}
	old := n.upstreams.byID
	n.upstreams.revision = a.Value.Revision
	n.upstreams.activate(now, rows)
	n.removeEngines(now, old)
}

// updateMembers passes a changed membership to fetch.
func (n *Node) updateMembers(now time.Time) {
	v := n.member.View()
	if v == n.members {
		return
	}
	n.members = v
	n.viewStale = true
	n.stepFetch(now, fetch.MembershipOf(v))
}

// resumeTimeout is how long an instance waits for its peers after a pause of its
// process. It then serves with the table that it holds, since it may be disconnected
// from all peers.
const resumeTimeout = 4 * time.Second

// checkResumed ends the resuming state after a pause when the peers have sent
// heartbeats again and none of them holds a newer table, or at resumeBy.
func (n *Node) checkResumed(now time.Time) {
	if n.resumeBy.IsZero() {
		return
	}
	waiting := n.members.Stale || n.table == nil
	for i := range n.members.Members() {
		m := &n.members.Members()[i]
		waiting = waiting || m.Status == member.Alive && m.Revisions.Table > n.table.Version().Revision
	}
	if waiting && now.Before(n.resumeBy) {
		return
	}
	n.resumeBy = time.Time{}
	n.viewStale = true
}

// publishView rebuilds and publishes the view if its content has changed.
func (n *Node) publishView() {
	if !n.viewStale {
		return
	}
	n.viewStale = false
	alive := len(n.members.AliveInstances())
	v := &View{
		Self:         n.view.Self,
		Zone:         n.options.Self.Zone,
		Region:       n.options.Self.Region,
		Phase:        n.phase,
		Resuming:     !n.resumeBy.IsZero(),
		Table:        n.table,
		Members:      n.members,
		upstreams:    n.upstreams.configured(n.table, alive),
		ListRevision: n.upstreams.revision,
		spareSlots:   n.spareSlots(),
	}
	builder := routeBuilder{view: v, limiters: &n.limiters, remotes: n.remotes}
	builder.build()
	n.view = v
	n.emit(PublishView{View: v})
}

// pollLoads emits the due polls of the upstreams that this instance polls on behalf
// of its region.
func (n *Node) pollLoads(now time.Time) {
	alive := slices.Clone(n.members.AliveInstances())
	for _, u := range n.upstreams.pollsDue(now, n.options.Self.ID, alive) {
		n.emit(PollLoad{Upstream: u.ID, Address: u.Address})
	}
}

// modelOrService identifies a model or a plain service; exactly one field is set.
type modelOrService struct {
	model   ident.Model
	service ident.Service
}

// find returns the load of a region for a model or a plain service. It returns false
// if the region reports none.
func (l RegionLoad) find(key modelOrService) (load.RegionLoad, bool) {
	for _, m := range l.Models {
		if key.service == "" && m.Model == key.model {
			return load.RegionLoad{FreeSlots: m.Free, Wait: m.Wait}, true
		}
	}
	for _, s := range l.Services {
		if key.service != "" && s.Service == key.service {
			return load.RegionLoad{FreeSlots: s.Free, Wait: s.Wait}, true
		}
	}
	return load.RegionLoad{}, false
}
