package fleet

import (
	"fmt"

	"arbutustrestle/core/ident"
)

// TwoRegionPlan returns the fleet of the demo: three entry instances in two regions, each
// region with its own engines and one plain service. It matches the table in
// examples/table.
func TwoRegionPlan(binDir, tableDir string) Plan {
	plan := Plan{
		BinDir:   binDir,
		TableDir: tableDir,
		Entries: []EntryPlan{
			{ID: "entry-west-eu-1", Zone: "west-eu-1", Region: "west-eu"},
			{ID: "entry-west-eu-2", Zone: "west-eu-2", Region: "west-eu"},
			{ID: "entry-north-eu-1", Zone: "north-eu-1", Region: "north-eu"},
		},
	}
	engine := []string{"-step-time", "5ms"}
	for i := 1; i <= 2; i++ {
		plan.add("planners", "west-eu", "west-eu-1", i, "engine", engine)
		plan.add("planners", "north-eu", "north-eu-1", i, "engine", engine)
	}
	plan.add("helpers", "west-eu", "west-eu-1", 1, "engine", engine)
	plan.add("helpers", "north-eu", "north-eu-1", 1, "engine", engine)
	plan.add("app", "west-eu", "west-eu-2", 1, "service", nil)
	plan.add("app", "north-eu", "north-eu-1", 1, "service", nil)
	return plan
}

// add adds an upstream whose id consists of its pool, region and number.
func (p *Plan) add(pool, region, zone string, number int, kind string, flags []string) {
	u := UpstreamPlan{Pool: pool, Kind: kind, Flags: flags}
	u.ID = ident.Upstream(fmt.Sprintf("%s-%s-%d", pool, region, number))
	u.Zone = ident.Zone(zone)
	u.Region = ident.Region(region)
	p.Upstreams = append(p.Upstreams, u)
}
