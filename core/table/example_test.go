package table_test

import (
	"fmt"

	"arbutustrestle/core/table"
)

// exampleSheets is a small table as an operator would save it.
var exampleSheets = map[string]string{
	"zones.csv":      "zone,region\nwest-1,west\nnorth-1,north\n",
	"policy.csv":     "setting,value\nobjective,cost\n",
	"traffic.csv":    "model,class,version,weight\nplanner,any,v3,90\nplanner,any,v4,10\n",
	"shares.csv":     "from,to,max-percent,cost\nwest,north,20,120\n",
	"workspaces.csv": "workspace,home,places,requests-per-second,in-flight,tokens-per-second\nfamily-peeters,west,west,5,,\n",
	"pools.csv":      "pool,kind,serves,slots,checks-orders\nplanners,engine,planner@v3 planner@v4,8,yes\n",
	"calls.csv":      "service,method,path,repeatable,timeout-s\n",
}

// An operator's command checks and publishes sheets, from which an instance builds
// the table.
func Example() {
	var sheets []table.Sheet
	for name, text := range exampleSheets {
		sheets = append(sheets, table.ParseSheet(name, []byte(text)))
	}
	if _, faults := table.Check(sheets); len(faults) > 0 {
		fmt.Println(faults)
		return
	}
	pages := table.Split(sheets, table.PageBytes)
	manifest := table.NewManifest(41, "ann", "try planner v4", pages)

	published := map[table.Digest][]byte{}
	for _, page := range pages {
		published[page.Ref.Digest] = page.Data
	}
	active := table.Version{Revision: 41}
	if manifest.Compare(active) != table.Newer {
		return
	}
	t, err := table.Build(manifest, published)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(t.Version().Revision, t.Policy().Objective, t.Regions())
	fmt.Println(t.Versions("planner", table.Quick))
	// Output:
	// 42 cost [north west]
	// [{v3 90} {v4 10}]
}
