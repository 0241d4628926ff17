package table

import (
	"fmt"
	"slices"
	"strings"

	"arbutustrestle/core/ident"
)

// Check validates the rows of all sheets and returns either a table or all faults,
// including those found by ParseSheet, but never both. Sheets with the same name,
// such as the pages of a large sheet, are treated as one.
func Check(sheets []Sheet) (*Table, Faults) {
	c := &checker{table: newTable(), firstRows: map[string]Record{}, incomplete: map[SheetName]bool{}}
	c.collect(sheets)
	c.zones()
	c.policy()
	c.pools()
	c.traffic()
	c.shares()
	c.workspaces()
	c.calls()
	if len(c.faults) > 0 {
		return nil, c.faults.sorted()
	}
	c.table.sort()
	return c.table, nil
}

// checker validates sheets and builds a table from them. The table is not shared
// until Check returns.
type checker struct {
	table  *Table
	faults Faults
	// firstRows maps a sheet name and row key to the first row with that key.
	firstRows map[string]Record
	// incomplete holds the sheets that are absent or were read only in part.
	// References to them are not checked, because a single invalid header would
	// otherwise cause a fault in every row that refers to the sheet.
	incomplete map[SheetName]bool
}

// collect merges the sheets by name, keeps the faults that parsing found, such as
// unknown sheets, and reports the sheets that are absent.
func (c *checker) collect(sheets []Sheet) {
	present := map[SheetName]bool{}
	for _, s := range sheets {
		present[s.Name] = true
		c.incomplete[s.Name] = c.incomplete[s.Name] || len(s.Faults) > 0
		c.faults = append(c.faults, s.Faults...)
	}
	for _, l := range layouts {
		joined := joinSheets(l.name, sheets)
		c.table.sheets = append(c.table.sheets, joined)
		if !present[l.name] {
			c.incomplete[l.name] = true
			c.sheetFault(l.name, "is missing", "add the sheet, with the row "+strings.Join(l.columns, ",")+" if it has no others")
		}
	}
}

// joinSheets returns one sheet with the rows of all sheets with the given name.
func joinSheets(name SheetName, sheets []Sheet) Sheet {
	joined := Sheet{Name: name, File: string(name) + fileEnding}
	for _, s := range sheets {
		if s.Name == name {
			joined.Rows = append(joined.Rows, s.Rows...)
		}
	}
	return joined
}

// forEachRow calls visit for each row of a sheet and reports rows whose key
// duplicates an earlier one instead.
func (c *checker) forEachRow(name SheetName, visit func(row *cells)) {
	l := layoutOf(name)
	for _, record := range c.table.sheet(name).Rows {
		row := &cells{layout: l, record: record, faults: &c.faults}
		key := string(name) + "\x00" + l.key(record)
		if first, duplicate := c.firstRows[key]; duplicate {
			problem := fmt.Sprintf("has the same %s as %s:%d", strings.Join(l.columns[:l.keys], ", "), first.File, first.Line)
			row.fault("", problem, "remove one of the two rows")
			continue
		}
		c.firstRows[key] = record
		visit(row)
	}
}

func (c *checker) zones() {
	t := c.table
	c.forEachRow(ZonesSheet, func(row *cells) {
		zone := zoneRow(row)
		t.zones = append(t.zones, zone)
		t.regionOf[zone.Zone] = zone.Region
		t.zonesOf[zone.Region] = append(t.zonesOf[zone.Region], zone.Zone)
	})
	// A place in the workspaces sheet may be a zone or a region, so the two must not
	// share a name.
	for _, record := range t.sheet(ZonesSheet).Rows {
		row := &cells{layout: layoutOf(ZonesSheet), record: record, faults: &c.faults}
		name := row.text("zone")
		if name != "" && t.hasRegion(ident.Region(name)) {
			row.fault("zone", fmt.Sprintf("%q is also the name of a region", name), "give the zone a name of its own")
		}
	}
	if len(t.zones) == 0 && !c.incomplete[ZonesSheet] {
		c.sheetFault(ZonesSheet, "has no rows", "list at least one zone")
	}
}

func (c *checker) sheetFault(name SheetName, problem, remedy string) {
	c.faults = append(c.faults, Fault{File: c.table.sheet(name).File, Problem: problem, Remedy: remedy})
}

// checkRegion reports a region without zones.
func (c *checker) checkRegion(row *cells, column string, region ident.Region) {
	if region != "" && !c.incomplete[ZonesSheet] && !c.table.hasRegion(region) {
		row.fault(column, fmt.Sprintf("%q is not a region of zones.csv", region), "correct it or add a zone of that region")
	}
}

func (c *checker) policy() {
	p := &c.table.policy
	c.forEachRow(PolicySheet, func(row *cells) {
		name, value := row.text("setting"), row.text("value")
		if name == objectiveSetting {
			p.Objective = parseObjective(row, value)
			return
		}
		s := findSetting(name)
		if s == nil {
			row.fault("setting", fmt.Sprintf("%q is not a setting", name), "use one of "+similarSettings(name))
			return
		}
		s.set(p, row.count("value", value, s.low, s.high))
	})
	sum := 0
	for _, class := range p.Classes {
		sum += class.SharePercent
	}
	if sum > 100 {
		c.sheetFault(PolicySheet, fmt.Sprintf("gives the classes %d percent together", sum), "lower a share-percent setting so that they come to 100 at most")
	}
	if p.RetryAfterMin > p.RetryAfterMax {
		c.sheetFault(PolicySheet, "has retry-after-min-ms above retry-after-max-ms", "lower the first or raise the second")
	}
}

func parseObjective(row *cells, value string) Objective {
	switch value {
	case Latency.String():
		return Latency
	case Cost.String():
		return Cost
	}
	row.fault("value", fmt.Sprintf("%q is not an objective", value), "write latency or cost")
	return Latency
}

func (c *checker) pools() {
	t := c.table
	c.forEachRow(PoolsSheet, func(row *cells) {
		pool := poolRow(row)
		t.pools = append(t.pools, pool)
	})
	for i := range t.pools {
		pool := &t.pools[i]
		t.poolOf[pool.Pool] = pool
		for _, served := range pool.Models {
			t.poolsOfModel[served] = append(t.poolsOfModel[served], pool)
		}
		if pool.Kind == PlainService {
			t.poolsOfService[pool.Service] = append(t.poolsOfService[pool.Service], pool)
		}
	}
}

func (c *checker) traffic() {
	t := c.table
	sums := map[modelClass]int{}
	first := map[modelClass]*cells{}
	c.forEachRow(TrafficSheet, func(row *cells) {
		traffic := trafficRow(row)
		key := modelClass{traffic.Model, traffic.Class}
		sums[key] += traffic.Weight
		if first[key] == nil {
			first[key] = row
		}
		served := ModelVersion{traffic.Model, traffic.Version}
		if len(t.poolsOfModel[served]) == 0 && !c.incomplete[PoolsSheet] {
			problem := fmt.Sprintf("no pool serves %s@%s", served.Model, served.Version)
			row.fault("version", problem, "correct it or add it to the serves column of a pool in pools.csv")
		}
		if traffic.Weight > 0 {
			t.versions[key] = append(t.versions[key], WeightedVersion{traffic.Version, traffic.Weight})
		}
	})
	for key, sum := range sums {
		if sum == 0 {
			problem := fmt.Sprintf("every weight of model %s, class %s is 0", key.model, key.class)
			first[key].fault("weight", problem, "give at least one version a weight above 0")
		}
	}
}

func (c *checker) shares() {
	t := c.table
	c.forEachRow(SharesSheet, func(row *cells) {
		share := shareRow(row)
		c.checkRegion(row, "from", share.From)
		c.checkRegion(row, "to", share.To)
		t.shares[regionPair{share.From, share.To}] = share
	})
}

func (c *checker) workspaces() {
	t := c.table
	c.forEachRow(WorkspacesSheet, func(row *cells) {
		workspace := workspaceRow(row)
		c.checkRegion(row, "home", workspace.Home)
		c.places(row, &workspace)
		t.workspaces = append(t.workspaces, workspace)
	})
	for i := range t.workspaces {
		t.workspaceOf[t.workspaces[i].Workspace] = &t.workspaces[i]
	}
}

// places splits the places of a workspace into regions and zones.
func (c *checker) places(row *cells, w *WorkspaceRow) {
	if c.incomplete[ZonesSheet] {
		return
	}
	words := strings.Fields(row.text("places"))
	if len(words) == 0 {
		row.fault("places", "is empty, so the workspace could be served nowhere", "list the regions or zones where its data may be")
		return
	}
	for i, word := range words {
		region, isZone := c.table.regionOf[ident.Zone(word)]
		switch {
		case slices.Contains(words[:i], word):
			row.fault("places", fmt.Sprintf("%q stands twice", word), "remove one of the two")
		case c.table.hasRegion(ident.Region(word)):
			w.Regions = append(w.Regions, ident.Region(word))
		case isZone:
			w.Zones = append(w.Zones, ident.Zone(word))
			// A zone of an allowed region looks like a restriction but has no effect.
			if slices.Contains(words, string(region)) {
				row.fault("places", fmt.Sprintf("%q lies in %s, which is allowed as a whole", word, region), "remove the zone, or the region if only the zone is meant")
			}
		default:
			row.fault("places", fmt.Sprintf("%q is neither a region nor a zone of zones.csv", word), "correct it or add it to zones.csv")
		}
	}
	if w.Home != "" && !c.includesRegion(w, w.Home) {
		row.fault("home", fmt.Sprintf("%s is not among the places", w.Home), "add the home, or a zone of it, to places")
	}
}

// includesRegion reports whether a region or one of its zones is among a
// workspace's places.
func (c *checker) includesRegion(w *WorkspaceRow, region ident.Region) bool {
	if slices.Contains(w.Regions, region) {
		return true
	}
	return slices.ContainsFunc(w.Zones, func(z ident.Zone) bool { return c.table.regionOf[z] == region })
}

func (c *checker) calls() {
	t := c.table
	c.forEachRow(CallsSheet, func(row *cells) {
		call := callRow(row)
		if call.Service != "" && !c.incomplete[PoolsSheet] && len(t.poolsOfService[call.Service]) == 0 {
			row.fault("service", fmt.Sprintf("no pool serves %s", call.Service), "correct it or add a pool of kind service to pools.csv")
		}
		t.calls[call.Service] = append(t.calls[call.Service], call)
	})
}
