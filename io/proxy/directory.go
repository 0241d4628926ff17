package proxy

import (
	"net/netip"
	"slices"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/io/syncer"
)

// maxAddresses bounds the entries that a caller is told of.
const maxAddresses = 64

// Directory answers the question which entries a caller is to use.
type Directory struct {
	Loop *syncer.Loop
}

// Ready reports whether this entry takes traffic.
func (d *Directory) Ready() bool {
	v := d.Loop.View()
	return v.Phase == member.Ready
}

// InstanceAddresses returns the addresses of ready entries for a caller in a region and zone
// that asks for a host. They are those of the caller's own region; when none is ready
// there, those of the regions in which all of the host's routes may be served. The
// caller's data then stays inside the homes.
func (d *Directory) InstanceAddresses(host string, region ident.Region, zone ident.Zone) []netip.AddrPort {
	v := d.Loop.View()
	if list := v.Mesh.ReadyAddresses(region, zone); len(list) > 0 {
		return list[:min(len(list), maxAddresses)]
	}
	if v.Config == nil {
		return nil
	}
	homes, bound := v.Config.HomeRegions(host)
	var list []netip.AddrPort
	for _, r := range v.Mesh.ReadyRegions() {
		if !bound || slices.Contains(homes, r) {
			list = append(list, v.Mesh.ReadyAddresses(r, zone)...)
		}
	}
	return list[:min(len(list), maxAddresses)]
}
