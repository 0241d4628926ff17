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

// orderPollInterval is the time between two polls of an engine that this instance
// orders. It is well below the age at which a report is too old for an order.
const orderPollInterval = 3 * time.Second

// orders ties the orderer to the lists, the table and the engines' reports.
type orders struct {
	orderer *order.Orderer
	// list is the listing that the orderer was told of.
	list order.InstanceList
	// polled holds when each engine was polled last for its orders.
	polled map[ident.Upstream]time.Time
}

// stepOrder gives an event to the orderer.
func (n *Node) stepOrder(now time.Time, event order.Event) {
	for _, action := range n.orders.orderer.Step(now, event) {
		switch a := action.(type) {
		case order.Send:
			if u, found := n.pool.byID[a.Upstream]; found {
				n.act(SendOrder{Send: a, Address: u.Address})
			}
		case order.Hold:
			n.act(OrderHeld{a})
		case order.Refresh:
			// A read without a wait: its answer confirms the list that is held.
			after := n.feed.Revisions().Entries
			n.act(ReadPlatform{fetch.ReadPlatform{Key: fetch.EntriesKey, After: after}})
		}
	}
}

// listForOrders tells the orderer of a new list of entries. Its age is that of the
// read that confirms it; a list that came from a peer has none until then.
func (n *Node) listForOrders(now time.Time, l member.Listing) {
	var live []ident.Instance
	for _, e := range l.Entries {
		if e.Region == n.options.Self.Region && !e.Leaving {
			live = append(live, e.ID)
		}
	}
	n.orders.list = order.InstanceList{Revision: l.Revision, Live: live}
	n.stepOrder(now, n.orders.list)
}

// confirmList notes a platform's answer that shows the held list to be the newest.
func (n *Node) confirmList(now time.Time, e FetchAnswered) {
	answer, ok := e.Event.(fetch.PlatformAnswered)
	if !ok || answer.Key != fetch.EntriesKey {
		return
	}
	newest := answer.Answer == fetch.Unchanged || answer.Answer == fetch.Found && answer.Value.Revision == n.orders.list.Revision
	if newest && n.orders.list.Revision > 0 {
		n.orders.list.AsOf = e.AskedAt
		n.stepOrder(now, n.orders.list)
	}
}

// orderReport tells the orderer what an engine reports of its models.
func (n *Node) orderReport(now time.Time, e LoadPolled) {
	u, found := n.pool.byID[e.Upstream]
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
		Wanted:       wantedOf(row),
		Loaded:       e.Models.Loaded,
		HighestFence: e.Models.HighestFence,
		AsOf:         e.Report.AsOf,
	})
}

// wantedOf returns the names of the models that a pool's replicas are to have loaded.
func wantedOf(row *table.PoolRow) []string {
	names := make([]string, 0, len(row.Models))
	for _, m := range row.Models {
		names = append(names, string(m.Model)+"@"+string(m.Version))
	}
	slices.Sort(names)
	return names
}

// pollOrders asks for the reports of the engines that this instance orders.
func (n *Node) pollOrders(now time.Time) {
	if n.orders.polled == nil {
		n.orders.polled = map[ident.Upstream]time.Time{}
	}
	for id, u := range n.pool.byID {
		orderer, found := n.orders.orderer.OrdererOf(id)
		if !found || orderer != n.options.Self.ID || now.Sub(n.orders.polled[id]) < orderPollInterval {
			continue
		}
		n.orders.polled[id] = now
		n.act(PollLoad{Upstream: id, Address: u.Address})
	}
}

// forgetEngines tells the orderer of engines that are not listed any more.
func (n *Node) forgetEngines(now time.Time, before map[ident.Upstream]*Upstream) {
	for id := range before {
		if n.pool.byID[id] == nil {
			delete(n.orders.polled, id)
			n.stepOrder(now, order.Removed{Upstream: id})
		}
	}
}
