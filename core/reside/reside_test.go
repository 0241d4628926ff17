package reside

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// build returns a table of four zones in three regions with the given workspaces.
func build(t testing.TB, workspaces string) *table.Table {
	t.Helper()
	texts := map[string]string{
		"zones.csv":      "zone,region\nw-1,west\nw-2,west\nn-1,north\ns-1,south\n",
		"policy.csv":     "setting,value\n",
		"traffic.csv":    "model,class,version,weight\n",
		"shares.csv":     "from,to,max-percent\n",
		"workspaces.csv": "workspace,home,places\n" + workspaces + "\n",
		"pools.csv":      "pool,kind,serves,slots\n",
		"calls.csv":      "service,method,path,repeatable\n",
	}
	var sheets []table.Sheet
	for name, text := range texts {
		sheets = append(sheets, table.ParseSheet(name, []byte(text)))
	}
	built, faults := table.Check(sheets)
	if faults != nil {
		t.Fatal(faults)
	}
	return built
}

// TestCheckAtEachHop checks a workspace's request from every first instance to every
// target, under one table and under the table that replaces it while the request is
// queued. Each output line shows the zone of the first instance and, for each
// target, "ok" or the hop that refused. Instances that refuse immediately are left
// out.
func TestCheckAtEachHop(t *testing.T) {
	zones := []ident.Zone{"w-1", "w-2", "n-1", "s-1", "x-1"}
	datadriven.RunTest(t, "testdata/matrix", func(t *testing.T, d *datadriven.TestData) string {
		before, after, changed := strings.Cut(d.Input, "\nbecomes\n")
		if !changed {
			after = before
		}
		first, second := build(t, before), build(t, after)
		regions, zoneList := Places(second, "a")
		text := fmt.Sprintf("places %v %v, reaches north %v\n", regions, zoneList, AnyZoneAllowed(second, "a", "north"))
		for _, entry := range zones {
			if Check(first, "a", Place{Zone: entry}) != Allowed {
				continue
			}
			text += string(entry) + ":"
			for _, target := range zones {
				text += " " + refusingHop(second, entry, target)
			}
			text += "\n"
		}
		return text
	})
}

// refusingHop returns the hop that refuses a request of workspace a after the first
// instance has accepted it, or "ok".
func refusingHop(t *table.Table, entry, target ident.Zone) string {
	switch {
	case Check(t, "a", Place{Zone: entry}) != Allowed:
		return "queued"
	case Check(t, "a", Place{Zone: target}) != Allowed:
		return "target"
	}
	return "ok"
}

func TestFailClosed(t *testing.T) {
	built := build(t, "a,west,west")
	for _, c := range []struct {
		name  string
		table *table.Table
		row   *table.WorkspaceRow
		place Place
		want  Verdict
	}{
		{"no table", nil, nil, Place{"w-1", "west"}, UnknownWorkspace},
		{"empty table", &table.Table{}, nil, Place{"w-1", "west"}, UnknownWorkspace},
		{"in its region", built, nil, Place{"w-1", "west"}, Allowed},
		{"zone not in the table", built, nil, Place{"w-9", "west"}, UnknownZone},
		{"no zone", built, nil, Place{"", "west"}, UnknownZone},
		{"zone that claims an allowed region", built, nil, Place{"n-1", "west"}, RegionMismatch},
		{"empty place list", built, &table.WorkspaceRow{Home: "west"}, Place{"w-1", "west"}, NoPlaces},
		{"empty names among the places", built, &table.WorkspaceRow{Regions: []ident.Region{""}, Zones: []ident.Zone{""}}, Place{}, UnknownZone},
	} {
		got := Check(c.table, "a", c.place)
		if c.row != nil {
			got = checkRow(c.table, c.row, c.place)
		}
		if got != c.want || (got.Reason() == 0) != (got == Allowed) {
			t.Errorf("%s: %s, reason %s; want %s", c.name, got, got.Reason(), c.want)
		}
	}
	if n := testing.AllocsPerRun(100, func() { Check(built, "a", Place{"n-1", "north"}) }); n != 0 {
		t.Errorf("%v allocations per decision", n)
	}
}

func Example() {
	var t *table.Table // from table.Build
	verdict := Check(t, "family-peeters", Place{Zone: "west-eu-1"})
	fmt.Println(verdict, verdict.Reason())
	// Output: unknown-workspace unknown-workspace
}

func BenchmarkAllowed(b *testing.B) {
	for _, count := range []int{100, 325, 650, 1300} {
		var rows strings.Builder
		for i := range count {
			fmt.Fprintf(&rows, "w%d,west,w-1 n-1\n", i)
		}
		built := build(b, rows.String())
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Check(built, "w7", Place{"n-1", "north"})
			}
		})
	}
}
