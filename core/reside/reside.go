// Package reside decides where the data of a workspace may be. Each hop of a
// request asks before it reads the body: the entry instance, the instance that a
// request is forwarded to, and whoever attempts it at an upstream. Everything
// that is not known is refused.
package reside

import (
	"slices"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Place is where an instance or an upstream runs.
type Place struct {
	Zone ident.Zone
	// Region is what the instance or the platform's list says it is. It may be
	// empty, in which case the table says it.
	Region ident.Region
}

// Verdict is the answer to whether data may be in a place. Its zero value
// refuses, so that a forgotten verdict lets nothing out.
type Verdict uint8

// The verdicts. Only Inside allows.
const (
	// NotAllowed means that the place is known and not among those of the workspace.
	NotAllowed Verdict = iota
	// Allowed means that the data may be read and processed in the place.
	Allowed
	// UnknownWorkspace means that the table has no row for the workspace.
	UnknownWorkspace
	// NoPlaces means that the workspace may be nowhere.
	NoPlaces
	// UnknownZone means that the table does not know the zone of the place.
	UnknownZone
	// RegionMismatch means that the table puts the zone in another region than the
	// place claims, so that one of the two is out of date.
	RegionMismatch
)

var verdictNames = [...]string{"outside", "inside", "unknown-workspace", "no-places", "unknown-zone", "region-mismatch"}

// String returns the kebab-case name of the verdict.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[NotAllowed]
}

// Reason returns the reason with which a request is refused, and ReasonNone for
// Inside.
func (v Verdict) Reason() result.Reason {
	switch v {
	case Allowed:
		return result.ReasonNone
	case UnknownWorkspace:
		return result.UnknownWorkspace
	case NoPlaces:
		return result.NoPlaceAllowed
	default:
		return result.PlaceForbidden
	}
}

// Check decides whether the data of a workspace may be in a place. It holds for
// the table given; a request that has waited asks again with the table in force
// by then. A nil table allows nothing.
func Check(t *table.Table, workspace ident.Workspace, place Place) Verdict {
	if t == nil {
		return UnknownWorkspace
	}
	row, ok := t.Workspace(workspace)
	if !ok {
		return UnknownWorkspace
	}
	return decide(t, row, place)
}

func decide(t *table.Table, row *table.WorkspaceRow, place Place) Verdict {
	if len(row.Regions) == 0 && len(row.Zones) == 0 {
		return NoPlaces
	}
	region, ok := t.RegionOf(place.Zone)
	if !ok {
		return UnknownZone
	}
	if place.Region != "" && place.Region != region {
		return RegionMismatch
	}
	if slices.Contains(row.Regions, region) || slices.Contains(row.Zones, place.Zone) {
		return Allowed
	}
	return NotAllowed
}

// Places returns the regions that a workspace may be in as a whole and the
// single zones besides, for the answer to a caller at a wrong entry. Both are
// empty for an unknown workspace. They are the table's and must not be changed.
func Places(t *table.Table, workspace ident.Workspace) ([]ident.Region, []ident.Zone) {
	if t == nil {
		return nil, nil
	}
	row, ok := t.Workspace(workspace)
	if !ok {
		return nil, nil
	}
	return row.Regions, row.Zones
}

// AnyZoneAllowed reports whether any zone of a region is among a workspace's places,
// for choosing regions before choosing instances. An instance in that region
// still needs to be Allowed.
func AnyZoneAllowed(t *table.Table, workspace ident.Workspace, region ident.Region) bool {
	regions, zones := Places(t, workspace)
	if slices.Contains(regions, region) {
		return true
	}
	for _, zone := range zones {
		if in, ok := t.RegionOf(zone); ok && in == region {
			return true
		}
	}
	return false
}
