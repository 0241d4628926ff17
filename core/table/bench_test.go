package table_test

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
)

// sizes holds the numbers of workspaces in the benchmarks.
var sizes = []int{100, 325, 650, 1300}

// targetSheets returns the sheets of a table of the target size, 14 regions, 48
// zones and 14 models, with the given number of workspaces. The workspaces are the
// fifth sheet.
func targetSheets(workspaces int) []table.Sheet {
	var zones, traffic, shares, rows, pools, calls strings.Builder
	for i := range 48 {
		fmt.Fprintf(&zones, "zone-%02d,region-%02d\n", i, i%14)
	}
	for i := range 14 {
		fmt.Fprintf(&traffic, "model-%02d,any,v1,90\nmodel-%02d,any,v2,10\n", i, i)
		fmt.Fprintf(&pools, "engines-%02d,engine,model-%02d@v1 model-%02d@v2,16,yes\nservice-%02d,service,app-%02d,32,no\n", i, i, i, i, i)
		fmt.Fprintf(&calls, "app-%02d,GET,/pages,yes,5\napp-%02d,any,/bookings,no,15\n", i, i)
		for j := range 13 {
			fmt.Fprintf(&shares, "region-%02d,region-%02d,20,120\n", i, (i+j+1)%14)
		}
	}
	for i := range workspaces {
		fmt.Fprintf(&rows, "workspace-%04d,region-%02d,region-%02d region-%02d,20,40,2000\n", i, i%14, i%14, (i+1)%14)
	}
	texts := []string{
		"zones.csv", "zone,region\n" + zones.String(),
		"policy.csv", "setting,value\nobjective,latency\n",
		"traffic.csv", "model,class,version,weight\n" + traffic.String(),
		"shares.csv", "from,to,max-percent,cost\n" + shares.String(),
		"workspaces.csv", "workspace,home,places,requests-per-second,in-flight,tokens-per-second\n" + rows.String(),
		"pools.csv", "pool,kind,serves,slots,checks-orders\n" + pools.String(),
		"calls.csv", "service,method,path,repeatable,timeout-s\n" + calls.String(),
	}
	var sheets []table.Sheet
	for pair := range slices.Chunk(texts, 2) {
		sheets = append(sheets, table.ParseSheet(pair[0], []byte(pair[1])))
	}
	return sheets
}

func BenchmarkBuild(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			manifest, pages := publish(1, "", targetSheets(size))
			var kept []*table.Table
			before := heapBytes()
			for range 20 {
				built, err := table.Build(manifest, pages)
				if err != nil {
					b.Fatal(err)
				}
				kept = append(kept, built)
			}
			held := float64(heapBytes()-before) / float64(len(kept))
			b.ReportAllocs()
			for b.Loop() {
				_, _ = table.Build(manifest, pages)
			}
			b.ReportMetric(held, "bytes-held")
			runtime.KeepAlive(kept)
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func lookups(t *table.Table) {
	t.Workspace("workspace-0042")
	t.RegionOf("zone-07")
	t.Share("region-03", "region-07")
	t.Versions("model-03", table.Quick)
	t.PoolsOfModel("model-03", "v1")
	t.Call("app-03", "POST", "/bookings/7")
}

// BenchmarkLookups measures the six lookups of one request.
func BenchmarkLookups(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			built, _ := table.Check(targetSheets(size))
			b.ReportAllocs()
			for b.Loop() {
				lookups(built)
			}
		})
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	built, _ := table.Check(targetSheets(100))
	if n := testing.AllocsPerRun(100, func() { lookups(built) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkChange reports the bytes that an instance reads after a change of one
// workspace's row: the manifest and the pages that it does not have.
func BenchmarkChange(b *testing.B) {
	for _, size := range sizes {
		for _, pageBytes := range []int{512, 1024, 2048, 4096, 8192, 1 << 20} {
			b.Run(fmt.Sprintf("workspaces=%d/page=%d", size, pageBytes), func(b *testing.B) {
				var read, pages int
				for b.Loop() {
					read, pages = changeBytes(size, pageBytes)
				}
				b.ReportMetric(float64(read), "bytes/change")
				b.ReportMetric(float64(pages), "pages")
			})
		}
	}
}

// changeBytes returns the mean number of bytes read over changes of ten rows, one
// at a time, and the number of pages.
func changeBytes(size, pageBytes int) (read, pages int) {
	known := map[table.Digest]bool{}
	for _, page := range table.Split(targetSheets(size), pageBytes) {
		known[page.Ref.Digest] = true
	}
	const changes = 10
	for i := range changes {
		sheets := targetSheets(size)
		sheets[4].Rows[i*size/changes].Cells[4] = "41"
		split := table.Split(sheets, pageBytes)
		pages = len(split)
		read += len(table.NewManifest(ident.Revision(i), "ann", "", split).Encode())
		for _, page := range split {
			if !known[page.Ref.Digest] {
				read += len(page.Data)
			}
		}
	}
	return read / changes, pages
}
