// Package reside enforces data residency: it decides where the data of a workspace
// may be. Each hop of a request calls it before it reads the body: the first
// instance, the instance that the request is forwarded to, and the instance that
// attempts it at an upstream. Anything unknown is refused.
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
	// Region is the region stated by the instance or by the platform's list. If it is
	// empty, the region of Zone in the table applies.
	Region ident.Region
}

// Verdict is the decision whether data may be in a place. Its zero value refuses,
// so that an uninitialized verdict fails closed.
type Verdict uint8

// The verdicts. All but Allowed refuse.
const (
	// NotAllowed means that the place is known but is not one of the workspace's
	// places.
	NotAllowed Verdict = iota
	// Allowed means that the data may be read and processed in the place.
	Allowed
	// UnknownWorkspace means that the table has no row for the workspace.
	UnknownWorkspace
	// NoPlaces means that the workspace has no places at all.
	NoPlaces
	// UnknownZone means that the zone of the place is not in the table.
	UnknownZone
	// RegionMismatch means that the table has another region for the zone than the
	// place states, so that one of the two is out of date.
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

// Reason returns the reason for refusing a request, and ReasonNone for Allowed.
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

// Check decides whether the data of a workspace may be in a place. The verdict is
// valid only for the given table; a request that has been queued is checked again
// with the table that is active then. A nil table allows nothing.
func Check(t *table.Table, workspace ident.Workspace, place Place) Verdict {
	if t == nil {
		return UnknownWorkspace
	}
	row, ok := t.Workspace(workspace)
	if !ok {
		return UnknownWorkspace
	}
	return checkRow(t, row, place)
}

func checkRow(t *table.Table, row *table.WorkspaceRow, place Place) Verdict {
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

// Places returns the regions in which all zones are allowed for a workspace and the
// individual zones allowed in addition, for the answer to a caller that contacted a
// wrong instance. Both are empty for an unknown workspace. The slices belong to the
// table and must not be modified.
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
// for choosing a region before choosing an instance. An instance in that region
// still needs its own Check.
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
