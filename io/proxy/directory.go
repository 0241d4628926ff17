package proxy

import (
	"net/netip"
	"slices"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/io/syncer"
)

// maxAddresses bounds the number of addresses returned to a caller.
const maxAddresses = 64

// Directory looks up the instances that a caller should connect to.
type Directory struct {
	Loop *syncer.Loop
}

// Ready reports whether this instance accepts traffic.
func (d *Directory) Ready() bool {
	v := d.Loop.View()
	return v.Phase == member.Ready
}

// InstanceAddresses returns the addresses of ready instances for a caller in the given
// region and zone that requests a host. They are in the caller's own region; if no
// instance is ready there, they are in the regions where every route of the host may be
// served, so that the caller's data stays within its home regions.
func (d *Directory) InstanceAddresses(host string, region ident.Region, zone ident.Zone) []netip.AddrPort {
	v := d.Loop.View()
	if list := v.Membership.ReadyAddresses(region, zone); len(list) > 0 {
		return list[:min(len(list), maxAddresses)]
	}
	if v.Config == nil {
		return nil
	}
	homes, bound := v.Config.HomeRegions(host)
	var list []netip.AddrPort
	for _, r := range v.Membership.ReadyRegions() {
		if !bound || slices.Contains(homes, r) {
			list = append(list, v.Membership.ReadyAddresses(r, zone)...)
		}
	}
	return list[:min(len(list), maxAddresses)]
}
