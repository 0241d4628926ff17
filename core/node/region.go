package node

import (
	"maps"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/route"
)

// regionLoad sums the free capacity of the own region for its summary.
func (v *View) regionLoad(now time.Time) RegionLoad {
	var l RegionLoad
	for _, model := range slices.Sorted(maps.Keys(v.modelGroups)) {
		total := load.Sum(now, v.modelGroups[model].Upstreams)
		l.Models = append(l.Models, ModelLoad{Model: model, Free: total.SpareSlots(), Slots: total.Slots, Wait: total.Wait})
	}
	for _, service := range slices.Sorted(maps.Keys(v.serviceGroups)) {
		total := load.Sum(now, v.serviceGroups[service].Upstreams)
		l.Services = append(l.Services, ServiceLoad{Service: service, Free: total.SpareSlots(), Slots: total.Slots, Wait: total.Wait})
	}
	return l
}

// SpareSlots returns the free slots that another region last offered for all models and
// plain services together; zero for a region that has reported none.
func (v *View) SpareSlots(region ident.Region) float64 {
	return v.spareSlots[region]
}

// spareSlots sums what each other region last offered.
func (n *Node) spareSlots() map[ident.Region]float64 {
	sums := make(map[ident.Region]float64, len(n.regionLoads))
	for region, l := range n.regionLoads {
		for _, m := range l.Models {
			sums[region] += m.Free
		}
		for _, s := range l.Services {
			sums[region] += s.Free
		}
	}
	return sums
}

// remotes returns the other regions that serve a model or a plain service and to
// which the table allows this region to spill.
func (n *Node) remotes(model ident.Model, service ident.Service) []route.RemoteRegion {
	var remotes []route.RemoteRegion
	own := n.options.Self.Region
	for i := range n.members.Regions() {
		region := &n.members.Regions()[i]
		share, allowed := n.table.Share(own, region.Name)
		if !allowed || !region.Fresh || len(region.Contacts) == 0 {
			continue
		}
		cell, serves := n.regionLoads[region.Name].find(modelOrService{model, service})
		if !serves {
			continue
		}
		cell.Region = region.Name
		cell.AsOf = region.SummaryMadeAt
		remotes = append(remotes, route.RemoteRegion{
			Load:        cell,
			WaitPenalty: share.Cost,
			MaxShare:    float64(share.MaxPercent) / 100,
			Senders:     n.senders(region.Name),
		})
	}
	return remotes
}

// senders estimates the number of instances that may spill to a region: the alive
// instances of this region, and as many for each other region that the table allows
// to spill to it.
func (n *Node) senders(to ident.Region) int {
	regions := 0
	for _, from := range n.table.Regions() {
		if _, allowed := n.table.Share(from, to); allowed && from != to {
			regions++
		}
	}
	return max(1, regions) * max(1, len(n.members.AliveInstances()))
}
