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
	// Self is this instance, from its settings.
	Self member.Entry
	// Start is that of this run's incarnation.
	Start uint64
	// Seeds are peer addresses that are tried besides the listed ones.
	Seeds []netip.AddrPort
	Codec Codec
}

// Node is the control state of one entry instance. It is not safe for concurrent
// use; the views that it publishes are.
type Node struct {
	options Options
	member  *member.State
	feed    *fetch.State
	phase   member.Phase
	// members is the membership view that feed was last told of.
	members *member.View
	table   *table.Table
	pool    upstreams
	orders  orders
	meters  meters
	regions map[ident.Region]RegionLoad
	// loadDue is when this instance next makes its payloads.
	loadDue time.Time
	view    *View
	// wakeBy is when a pause counts as over at the latest; zero when there was none.
	wakeBy time.Time
	// stale is set when the view has to be made anew.
	stale   bool
	actions []Action
}

// payloadInterval is the time between two payloads, and between two polls of an
// upstream.
const payloadInterval = time.Second

// New returns the control state of an instance that holds nothing yet.
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
		feed: fetch.New(fetch.Options{
			Instance:     o.Self.ID,
			Zone:         o.Self.Zone,
			Region:       o.Self.Region,
			Random:       rand.New(rand.NewPCG(o.Start, 2)),
			ValidateList: checkList,
		}),
		pool:    upstreams{byID: map[ident.Upstream]*Upstream{}},
		orders:  orders{orderer: order.NewOrderer(o.Self.ID, order.Limits{})},
		regions: map[ident.Region]RegionLoad{},
	}
	n.members = n.member.View()
	n.view = &View{Self: self, Zone: o.Self.Zone, Region: o.Self.Region, Members: n.members}
	return n
}

// checkList refuses a list that can't be read whole.
func checkList(key fetch.Key, data []byte) error {
	if key == fetch.EntriesKey {
		_, err := list.ParseEntries(data)
		return err
	}
	_, err := list.ParseUpstreams(data)
	return err
}

// View returns the view published last.
func (n *Node) View() *View {
	return n.view
}

// FetchStatus returns what is held of the published values.
func (n *Node) FetchStatus() fetch.Status {
	return n.feed.Status()
}

// Counts returns the events that were not taken, by reason.
func (n *Node) Counts() (member.Counts, fetch.Counts) {
	return n.member.Counts(), n.feed.Counts()
}

// Value returns a published value for a peer that asks; see fetch.State.Value.
func (n *Node) Value(key fetch.Key, after ident.Revision) (fetch.Value, bool) {
	return n.feed.Value(key, after)
}

// Step takes in an event and returns what is to be done. The returned slice is
// valid until the next step.
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
		n.stepFeed(now, fetch.PeerAnnounced{Instance: e.Instance, Revisions: e.Held})
	case SendFailed:
		n.stepMember(now, member.SendFailed{To: e.To})
	case FetchAnswered:
		n.stepFeed(now, e.Event)
		n.confirmList(now, e)
	case LoadPolled:
		n.pool.observe(now, UpstreamLoad{Upstream: e.Upstream, Report: e.Report}, true)
		n.orderReport(now, e)
	case LoadPollFailed:
		n.pool.failed(now, e.Upstream)
	case OrderAnswered:
		n.stepOrder(now, e.OrderResult)
	case PhaseChanged:
		n.setPhase(now, e.Phase)
	}
	n.followMembers(now)
	n.wake(now)
	n.publish()
	return n.actions
}

func (n *Node) act(a Action) {
	n.actions = append(n.actions, a)
}

func (n *Node) tick(now time.Time, e Tick) {
	if !now.Before(n.loadDue) {
		n.loadDue = now.Add(payloadInterval)
		n.setLocal(now, e)
		n.pollLoads(now)
		n.pollOrders(now)
		n.stepOrder(now, order.Tick{})
	}
	n.stepMember(now, member.Tick{})
	n.stepFeed(now, fetch.Tick{})
}

// setLocal makes the payloads of the heartbeats and summaries that follow.
func (n *Node) setLocal(now time.Time, e Tick) {
	gossip := Gossip{Loads: n.pool.ownReports(), Usage: e.Usage, SuccessorNotes: e.SuccessorNotes, Demands: e.Demands}
	n.stepMember(now, member.LocalStateChanged{
		Phase:          n.phase,
		Revisions:      n.feed.Revisions(),
		Payload:        n.options.Codec.EncodeGossip(now, gossip),
		SummaryPayload: n.options.Codec.EncodeLoad(n.view.regionLoad(now)),
	})
}

func (n *Node) setPhase(now time.Time, phase member.Phase) {
	if phase <= n.phase {
		return
	}
	n.phase = phase
	n.stale = true
	n.setLocal(now, Tick{})
}

func (n *Node) stepMember(now time.Time, event member.Event) {
	for _, action := range n.member.Step(now, event) {
		switch a := action.(type) {
		case member.SendHeartbeat:
			n.act(SendHeartbeat{a})
		case member.SendSummary:
			n.act(SendSummary{a})
		case member.HeartbeatAccepted:
			n.hear(now, a.Heartbeat)
		case member.SummaryAccepted:
			n.hearRegion(a.Summary)
		case member.PauseDetected:
			n.wakeBy = now.Add(wakeWait)
			n.stale = true
			n.act(PauseDetected{Gap: a.Gap})
		}
	}
}

// hear takes in what a heartbeat carries. A payload that can't be read is left: the
// heartbeat itself still proves its sender alive.
func (n *Node) hear(now time.Time, h member.Heartbeat) {
	gossip, err := n.options.Codec.DecodeGossip(now, h.Payload)
	if err != nil {
		return
	}
	for _, l := range gossip.Loads {
		n.pool.observe(now, l, false)
	}
	n.act(GossipReceived{From: h.From.Instance, Gossip: gossip})
}

func (n *Node) hearRegion(s member.RegionSummary) {
	l, err := n.options.Codec.DecodeLoad(s.Payload)
	if err != nil {
		return
	}
	n.regions[s.Region] = l
	n.stale = true
}

func (n *Node) stepFeed(now time.Time, event fetch.Event) {
	for _, action := range n.feed.Step(now, event) {
		switch a := action.(type) {
		case fetch.ReadPlatform:
			n.act(ReadPlatform{a})
		case fetch.ReadPeer:
			n.askPeer(now, a)
		case fetch.Announce:
			n.announce(a)
		case fetch.TableActivated:
			n.table = a.Table
			n.stale = true
			n.orders.orderer.SetTakeoverDelay(a.Table.Policy().OrderHandover)
		case fetch.ListActivated:
			n.takeList(now, a)
		case fetch.ValueRejected:
			n.act(ValueRejected{a})
		case fetch.BecameReady:
			n.phase = max(n.phase, member.Ready)
			n.stale = true
			n.setLocal(now, Tick{})
			n.act(BecameReady{Source: a.Source})
		}
	}
}

func (n *Node) askPeer(now time.Time, a fetch.ReadPeer) {
	e, found := n.member.View().Entry(a.Instance)
	if !found {
		n.stepFeed(now, fetch.PeerFailed{Instance: a.Instance, Key: a.Key})
		return
	}
	n.act(AskPeer{ReadPeer: a, Address: e.Peer})
}

func (n *Node) announce(a fetch.Announce) {
	announcement := SendAnnouncement{Held: a.Revisions}
	for _, id := range a.To {
		if m, found := n.member.View().Member(id); found {
			announcement.To = append(announcement.To, m.Entry.Peer)
		}
	}
	n.act(announcement)
}

func (n *Node) takeList(now time.Time, a fetch.ListActivated) {
	n.stale = true
	if a.Key == fetch.EntriesKey {
		entries, err := list.ParseEntries(a.Value.Data)
		if err != nil {
			return
		}
		listing := member.Listing{Revision: a.Value.Revision, Entries: entries}
		n.stepMember(now, member.ListingRead{Listing: listing})
		n.listForOrders(now, listing)
		return
	}
	rows, err := list.ParseUpstreams(a.Value.Data)
	if err != nil {
		return
	}
	before := n.pool.byID
	n.pool.take(now, rows)
	n.forgetEngines(now, before)
}

// followMembers tells the feed of a changed membership.
func (n *Node) followMembers(now time.Time) {
	v := n.member.View()
	if v == n.members {
		return
	}
	n.members = v
	n.stale = true
	n.stepFeed(now, fetch.MembershipOf(v))
}

// wakeWait is how long an instance that stood still waits for its peers before it
// serves by the table that it has, since it may be cut off from all of them.
const wakeWait = 4 * time.Second

// wake ends the time after a pause once no peer has a newer table.
func (n *Node) wake(now time.Time) {
	if n.wakeBy.IsZero() {
		return
	}
	behind := n.members.Stale || n.table == nil
	for i := range n.members.Members() {
		m := &n.members.Members()[i]
		behind = behind || m.Status == member.Alive && m.Revisions.Table > n.table.Version().Revision
	}
	if behind && now.Before(n.wakeBy) {
		return
	}
	n.wakeBy = time.Time{}
	n.stale = true
}

// publish makes the view anew when something that it shows has changed.
func (n *Node) publish() {
	if !n.stale {
		return
	}
	n.stale = false
	alive := len(n.members.AliveInstances())
	v := &View{
		Self:      n.view.Self,
		Zone:      n.options.Self.Zone,
		Region:    n.options.Self.Region,
		Phase:     n.phase,
		Resuming:  !n.wakeBy.IsZero(),
		Table:     n.table,
		Members:   n.members,
		upstreams: n.pool.listed(n.table, alive),
	}
	r := routes{view: v, meters: &n.meters, remotes: n.remotes}
	r.build()
	n.view = v
	n.act(PublishView{View: v})
}

// pollLoads asks for the load of the upstreams that this instance polls for its
// region.
func (n *Node) pollLoads(now time.Time) {
	alive := slices.Clone(n.members.AliveInstances())
	for _, u := range n.pool.due(now, n.options.Self.ID, alive) {
		n.act(PollLoad{Upstream: u.ID, Address: u.Address})
	}
}

// modelOrService names what a region is asked for; one of the two is set.
type modelOrService struct {
	model   ident.Model
	service ident.Service
}

// find returns a region's load for a model or a plain service.
func (l RegionLoad) find(w modelOrService) (load.RegionLoad, bool) {
	for _, m := range l.Models {
		if w.service == "" && m.Model == w.model {
			return load.RegionLoad{FreeSlots: m.Free, Wait: m.Wait}, true
		}
	}
	for _, s := range l.Services {
		if w.service != "" && s.Service == w.service {
			return load.RegionLoad{FreeSlots: s.Free, Wait: s.Wait}, true
		}
	}
	return load.RegionLoad{}, false
}
