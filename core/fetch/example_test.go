package fetch_test

import (
	"fmt"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// A single instance starts, reads the platform and activates the table.
func Example() {
	platform := map[fetch.Key]fetch.Value{}
	publish(platform, 0, "family-peeters")
	platform[fetch.EntriesKey] = fetch.Value{Revision: 7, Data: []byte("[]")}
	s := fetch.New(fetch.Options{Instance: "entry-west-1", Zone: "west-1", Region: "west"})
	now := time.Unix(0, 0)
	events := []fetch.Event{fetch.Tick{}}
	for range 40 {
		var next []fetch.Event
		for _, event := range events {
			for _, action := range s.Step(now, event) {
				switch a := action.(type) {
				case fetch.ReadPlatform:
					value, found := platform[a.Key]
					switch {
					case !found:
						next = append(next, fetch.PlatformAnswered{Key: a.Key, Answer: fetch.Absent})
					case a.Wait == 0:
						next = append(next, fetch.PlatformAnswered{Key: a.Key, Answer: fetch.Found, Value: value})
					}
				case fetch.ListActivated:
					// The size of the fleet in the list limits the rate of platform
					// reads.
					next = append(next, fetch.Membership{FleetSize: 1, FleetReaders: 1})
				case fetch.TableActivated:
					fmt.Println("active revision:", a.Table.Version().Revision)
				case fetch.BecameReady:
					fmt.Println("ready:", a.Source)
				}
			}
		}
		now = now.Add(250 * time.Millisecond)
		events = append(next, fetch.Tick{})
	}
	// Output:
	// active revision: 1
	// ready: both
}

// publish stores the table that follows a revision on a platform.
func publish(platform map[fetch.Key]fetch.Value, base ident.Revision, workspaces ...string) {
	pages := table.Split(sheetsWith(workspaces), table.PageBytes)
	manifest := table.NewManifest(base, "ann", "", pages)
	for _, page := range pages {
		platform[fetch.PageKey(page.Ref.Digest)] = fetch.Value{Revision: 1, Data: page.Data}
	}
	platform[fetch.ManifestKey] = fetch.Value{Revision: platform[fetch.ManifestKey].Revision + 1, Data: manifest.Encode()}
}

func sheetsWith(workspaces []string) []table.Sheet {
	rows := "workspace,home,places,requests-per-second,in-flight,tokens-per-second\n"
	for _, w := range workspaces {
		rows += w + ",west,west,5,,\n"
	}
	texts := []string{
		"zones.csv", "zone,region\nwest-1,west\nwest-2,west\nwest-3,west\n",
		"policy.csv", "setting,value\nobjective,cost\n",
		"traffic.csv", "model,class,version,weight\nplanner,any,v3,100\n",
		"shares.csv", "from,to,max-percent,cost\n",
		"workspaces.csv", rows,
		"pools.csv", "pool,kind,serves,slots,checks-orders\nplanners,engine,planner@v3,8,yes\n",
		"calls.csv", "service,method,path,repeatable,timeout-s\n",
	}
	var sheets []table.Sheet
	for i := 0; i < len(texts); i += 2 {
		sheets = append(sheets, table.ParseSheet(texts[i], []byte(texts[i+1])))
	}
	return sheets
}
