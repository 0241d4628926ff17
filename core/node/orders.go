package node

import (
	"slices"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/order"
	"arbutustrestle/core/table"
)

// orderPollInterval is the time between two polls of an engine to which this
// instance sends orders. It is well below the age at which a report is too old for
// an order.
const orderPollInterval = 3 * time.Second

// orders passes the lists, the table and the engines' reports to the orderer.
type orders struct {
	orderer *order.Orderer
	// list is the list that was last passed to the orderer.
	list order.InstanceList
	// lastPolled holds the time at which each engine was last polled for an order.
	lastPolled map[ident.Upstream]time.Time
}

// stepOrder passes an event to the orderer and emits the resulting actions.
func (n *Node) stepOrder(now time.Time, event order.Event) {
	for _, action := range n.orders.orderer.Step(now, event) {
		switch a := action.(type) {
		case order.Send:
			if u, found := n.upstreams.byID[a.Upstream]; found {
				n.emit(SendOrder{Send: a, Address: u.Address})
			}
		case order.Hold:
			n.emit(OrderHeld{a})
		case order.Refresh:
			// The read doesn't wait for a change, so its answer confirms the held list.
			after := n.fetch.Revisions().Entries
			n.emit(ReadPlatform{fetch.ReadPlatform{Key: fetch.EntriesKey, After: after}})
		}
	}
}

// updateOrderList passes a new list of instances to the orderer. The age of the list
// is that of the platform read that confirms it. Until such a read, a list received
// from a peer has no age.
func (n *Node) updateOrderList(now time.Time, l member.Listing) {
	var live []ident.Instance
	for _, e := range l.Entries {
		if e.Region == n.options.Self.Region && !e.Leaving {
			live = append(live, e.ID)
		}
	}
	n.orders.list = order.InstanceList{Revision: l.Revision, Live: live}
	n.stepOrder(now, n.orders.list)
}

// confirmList updates the age of the held list when an answer of the platform shows
// that it is the newest one.
func (n *Node) confirmList(now time.Time, e FetchAnswered) {
	answer, ok := e.Event.(fetch.PlatformAnswered)
	if !ok || answer.Key != fetch.EntriesKey {
		return
	}
	confirmed := answer.Answer == fetch.Unchanged || answer.Answer == fetch.Found && answer.Value.Revision == n.orders.list.Revision
	if confirmed && n.orders.list.Revision > 0 {
		n.orders.list.AsOf = e.AskedAt
		n.stepOrder(now, n.orders.list)
	}
}

// stepEngineReport passes an engine's report of its models to the orderer.
func (n *Node) stepEngineReport(now time.Time, e LoadPolled) {
	u, found := n.upstreams.byID[e.Upstream]
	if !found || !e.Models.Known || n.table == nil {
		return
	}
	row, found := n.table.Pool(u.Pool)
	if !found || row.Kind != table.Engine {
		return
	}
	n.stepOrder(now, order.EngineStatus{
		Upstream:     e.Upstream,
		ChecksOrders: row.ChecksOrders,
		Wanted:       wantedModels(row),
		Loaded:       e.Models.Loaded,
		HighestFence: e.Models.HighestFence,
		AsOf:         e.Report.AsOf,
	})
}

// wantedModels returns the sorted names of the models that the replicas of a pool
// should load.
func wantedModels(row *table.PoolRow) []string {
	names := make([]string, 0, len(row.Models))
	for _, m := range row.Models {
		names = append(names, string(m.Model)+"@"+string(m.Version))
	}
	slices.Sort(names)
	return names
}

// pollOrderedEngines emits polls of the engines to which this instance sends orders.
func (n *Node) pollOrderedEngines(now time.Time) {
	if n.orders.lastPolled == nil {
		n.orders.lastPolled = map[ident.Upstream]time.Time{}
	}
	for id, u := range n.upstreams.byID {
		orderer, found := n.orders.orderer.OrdererOf(id)
		if !found || orderer != n.options.Self.ID || now.Sub(n.orders.lastPolled[id]) < orderPollInterval {
			continue
		}
		n.orders.lastPolled[id] = now
		n.emit(PollLoad{Upstream: id, Address: u.Address})
	}
}

// removeEngines removes engines that are no longer listed from the orderer.
func (n *Node) removeEngines(now time.Time, old map[ident.Upstream]*Upstream) {
	for id := range old {
		if n.upstreams.byID[id] == nil {
			delete(n.orders.lastPolled, id)
			n.stepOrder(now, order.Removed{Upstream: id})
		}
	}
}
