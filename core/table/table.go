// Package table implements the table that operators edit: which versions serve
// each model, how much traffic each region may send to others, where the data of
// each workspace may be, and how calls may be treated.
//
// A table consists of sheets of rows. Check converts sheets to a Table or returns
// all faults in them. For publishing, Split divides sheets into pages named by
// their digests, a Manifest lists the pages and carries the revision, and Build
// reassembles the Table. Compare decides whether an offered revision may replace
// the active one.
package table

import (
	"cmp"
	"slices"
	"strings"

	"arbutustrestle/core/ident"
)

// Table is a checked table. It is immutable: the slices and pointers that its
// methods return are shared and must not be modified. Its zero value is empty and
// allows nothing.
type Table struct {
	version Version
	// sheets holds all sheets, in the order of SheetNames.
	sheets     []Sheet
	policy     Policy
	zones      []ZoneRow
	regions    []ident.Region
	pools      []PoolRow
	workspaces []WorkspaceRow

	regionOf       map[ident.Zone]ident.Region
	zonesOf        map[ident.Region][]ident.Zone
	workspaceOf    map[ident.Workspace]*WorkspaceRow
	poolOf         map[string]*PoolRow
	poolsOfModel   map[ModelVersion][]*PoolRow
	poolsOfService map[ident.Service][]*PoolRow
	// versions omits versions with a weight of 0.
	versions map[modelClass][]WeightedVersion
	shares   map[regionPair]ShareRow
	// calls is sorted by descending path length; for equal paths, AnyMethod comes
	// last.
	calls map[ident.Service][]CallRow
}

type modelClass struct {
	model ident.Model
	class Class
}

type regionPair struct {
	from, to ident.Region
}

func newTable() *Table {
	return &Table{
		policy:         DefaultPolicy(),
		regionOf:       map[ident.Zone]ident.Region{},
		zonesOf:        map[ident.Region][]ident.Zone{},
		workspaceOf:    map[ident.Workspace]*WorkspaceRow{},
		poolOf:         map[string]*PoolRow{},
		poolsOfModel:   map[ModelVersion][]*PoolRow{},
		poolsOfService: map[ident.Service][]*PoolRow{},
		versions:       map[modelClass][]WeightedVersion{},
		shares:         map[regionPair]ShareRow{},
		calls:          map[ident.Service][]CallRow{},
	}
}

// sort sorts the slices that lookups return, so that two instances with the same
// revision iterate in the same order, regardless of the order of its pages.
func (t *Table) sort() {
	slices.SortFunc(t.zones, func(a, b ZoneRow) int { return cmp.Compare(a.Zone, b.Zone) })
	for region, zones := range t.zonesOf {
		slices.Sort(zones)
		t.regions = append(t.regions, region)
	}
	slices.Sort(t.regions)
	for _, weighted := range t.versions {
		slices.SortFunc(weighted, func(a, b WeightedVersion) int { return cmp.Compare(a.Version, b.Version) })
	}
	for _, calls := range t.calls {
		slices.SortFunc(calls, compareCalls)
	}
}

func compareCalls(a, b CallRow) int {
	return cmp.Or(
		cmp.Compare(len(b.Path), len(a.Path)),
		cmp.Compare(a.Path, b.Path),
		// Upper case sorts before "any".
		cmp.Compare(a.Method, b.Method),
	)
}

// Version returns the revision and digest of the manifest that the table was
// built from; zero for a table returned by Check.
func (t *Table) Version() Version {
	return t.version
}

// Policy returns the settings, with defaults for those without a row.
func (t *Table) Policy() *Policy {
	return &t.policy
}

// Regions returns the regions sorted by name.
func (t *Table) Regions() []ident.Region {
	return t.regions
}

// Zones returns the availability zones sorted by name.
func (t *Table) Zones() []ZoneRow {
	return t.zones
}

// ZonesOf returns the availability zones of a region sorted by name.
func (t *Table) ZonesOf(region ident.Region) []ident.Zone {
	return t.zonesOf[region]
}

// RegionOf returns the region of an availability zone, and false for a zone that
// is not in the table.
func (t *Table) RegionOf(zone ident.Zone) (ident.Region, bool) {
	region, ok := t.regionOf[zone]
	return region, ok
}

func (t *Table) hasRegion(region ident.Region) bool {
	return len(t.zonesOf[region]) > 0
}

// Workspace returns the row of a workspace, and false if there is none.
func (t *Table) Workspace(workspace ident.Workspace) (*WorkspaceRow, bool) {
	row, ok := t.workspaceOf[workspace]
	return row, ok
}

// Workspaces returns all rows of the workspaces sheet in unspecified order.
func (t *Table) Workspaces() []WorkspaceRow {
	return t.workspaces
}

// Versions returns the versions that serve a class of a model's requests: those
// of the rows for the class, or of the rows for AnyClass if the class has none.
// Nil means that no version serves them.
func (t *Table) Versions(model ident.Model, class Class) []WeightedVersion {
	if weighted := t.versions[modelClass{model, class}]; weighted != nil {
		return weighted
	}
	return t.versions[modelClass{model, AnyClass}]
}

// Share returns the limit on the traffic from a region to another, and false if
// no traffic is allowed.
func (t *Table) Share(from, to ident.Region) (ShareRow, bool) {
	share, ok := t.shares[regionPair{from, to}]
	return share, ok && share.MaxPercent > 0
}

// Pool returns the row of a pool, and false if there is none.
func (t *Table) Pool(name string) (*PoolRow, bool) {
	row, ok := t.poolOf[name]
	return row, ok
}

// Pools returns all rows of the pools sheet in unspecified order.
func (t *Table) Pools() []PoolRow {
	return t.pools
}

// PoolsOfModel returns the pools whose engines may load a version of a model.
func (t *Table) PoolsOfModel(model ident.Model, version ident.Version) []*PoolRow {
	return t.poolsOfModel[ModelVersion{model, version}]
}

// PoolsOfService returns the pools whose replicas run a plain service.
func (t *Table) PoolsOfService(service ident.Service) []*PoolRow {
	return t.poolsOfService[service]
}

// Call returns the row that covers a call of a plain service: the one with the
// longest path and, among rows with that path, the one that names the method. The
// path is decoded, such as "/bookings/7". No row covers a path with empty, "." or
// ".." segments, because the service could resolve it to a different path.
func (t *Table) Call(service ident.Service, method, path string) (*CallRow, bool) {
	if !cleanPath(path) {
		return nil, false
	}
	calls := t.calls[service]
	for i := range calls {
		if calls[i].covers(method, path) {
			return &calls[i], true
		}
	}
	return nil, false
}

// covers reports whether the row applies to a call. "/bookings" covers "/bookings"
// and "/bookings/7", but not "/bookings-archive".
func (c *CallRow) covers(method, path string) bool {
	if c.Method != method && c.Method != AnyMethod {
		return false
	}
	rest, ok := strings.CutPrefix(path, c.Path)
	return ok && (rest == "" || rest[0] == '/' || c.Path == "/")
}

// cleanPath reports whether a path begins with a slash and has no empty, "." or
// ".." segments. A trailing slash is allowed.
func cleanPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	rest := path[1:]
	for rest != "" {
		segment, after, _ := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		rest = after
	}
	return true
}

// Sheet returns the rows of a sheet as text, for display to operators.
func (t *Table) Sheet(name SheetName) Sheet {
	return t.sheet(name)
}

// sheet returns the named sheet, or an empty one if the table has none.
func (t *Table) sheet(name SheetName) Sheet {
	for _, s := range t.sheets {
		if s.Name == name {
			return s
		}
	}
	return Sheet{Name: name}
}
