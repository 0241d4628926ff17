package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

// idleCase describes a fleet that receives no requests.
type idleCase struct {
	name             string
	regions, entries int
	// upstreams is the number of upstreams listed per region. idleUpstreamProcesses
	// processes serve for all of them.
	upstreams int
}

const (
	idleTime              = 30 * time.Second
	idleWarmup            = 20 * time.Second
	idleUpstreamProcesses = 4
	idleModels            = 14
	idleWorkspaces        = 1300
	clockTicks            = 100
)

// BenchmarkIdle measures what an instance uses without requests: bytes read and written
// (without TCP and IP overhead), memory and CPU time.
func BenchmarkIdle(b *testing.B) {
	binDir := b.TempDir()
	build := exec.Command("go", "build", "-o", binDir, "arbutustrestle/cmd/arbutustrestle", "arbutustrestle/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for _, c := range []idleCase{
		{"region/entries=3", 1, 3, 14},
		{"region/entries=9", 1, 9, 41},
		{"region/entries=18", 1, 18, 83},
		{"region/entries=27", 1, 27, 124},
		{"no-upstreams/entries=27", 1, 27, 0},
		{"14-regions/entries=42", 14, 42, 14},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, c, binDir)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureIdle(b *testing.B, c idleCase, binDir string) {
	plan := Plan{BinDir: binDir, TableDir: idleTable(b, c.regions)}
	for i := range c.entries {
		r := i % c.regions
		plan.Entries = append(plan.Entries, EntryPlan{
			ID:     ident.Instance(fmt.Sprintf("entry-r%02d-%03d", r, i/c.regions)),
			Zone:   ident.Zone(fmt.Sprintf("region-%02d-z%d", r, i/c.regions%4)),
			Region: ident.Region(fmt.Sprintf("region-%02d", r)),
		})
	}
	for i := range min(idleUpstreamProcesses, c.upstreams) {
		plan.add(fmt.Sprintf("engines-%02d", i), "region-00", "region-00-z0", i, "engine", nil)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f, err := Start(ctx, plan)
	defer func() { _ = f.Stop() }()
	if err != nil {
		b.Fatal(err)
	}
	started := f.Upstreams
	for r := range c.regions {
		for i := range c.upstreams {
			if r > 0 || i >= len(started) {
				f.Upstreams = append(f.Upstreams, idleUpstream(started[i%len(started)], r, i))
			}
		}
	}
	if err := f.PublishUpstreams(ctx); err != nil {
		b.Fatal(err)
	}
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	time.Sleep(idleWarmup)
	before, reads := totalUsage(b, f), platformReads(b, f)
	time.Sleep(idleTime)
	after, readsAfter := totalUsage(b, f), platformReads(b, f)
	seconds := idleTime.Seconds() * float64(c.entries)
	b.ReportMetric(float64(after.bytes-before.bytes)/seconds, "B/s")
	b.ReportMetric(float64(after.writes-before.writes)/seconds, "writes/s")
	b.ReportMetric(float64(after.ticks-before.ticks)/clockTicks*1e6/seconds, "us/s")
	b.ReportMetric(float64(after.residentKB)/1000/float64(c.entries), "MB-resident")
	b.ReportMetric((readsAfter-reads)/idleTime.Seconds(), "fleet-reads/s")
}

// idleUpstream returns another upstream at the address of a running one.
func idleUpstream(template *Upstream, region, number int) *Upstream {
	u := *template
	u.Plan.Pool = fmt.Sprintf("engines-%02d", number%idleModels)
	u.Plan.ID = ident.Upstream(fmt.Sprintf("%s-r%02d-%04d", u.Plan.Pool, region, number))
	u.Plan.Region = ident.Region(fmt.Sprintf("region-%02d", region))
	u.Plan.Zone = ident.Zone(fmt.Sprintf("region-%02d-z%d", region, number%4))
	return &u
}

func idleTable(b *testing.B, regions int) string {
	dir := b.TempDir()
	sheets := map[string]*strings.Builder{}
	add := func(sheet, format string, values ...any) {
		if sheets[sheet] == nil {
			sheets[sheet] = &strings.Builder{}
		}
		fmt.Fprintf(sheets[sheet], format+"\n", values...)
	}
	add("zones", "zone,region")
	add("shares", "from,to,max-percent,cost")
	add("policy", "setting,value")
	add("traffic", "model,class,version,weight")
	add("pools", "pool,kind,serves,slots,checks-orders")
	add("calls", "service,method,path,repeatable,timeout-s")
	add("workspaces", "workspace,home,places,requests-per-second,in-flight,tokens-per-second")
	for r := range regions {
		for z := range 4 {
			add("zones", "region-%02d-z%d,region-%02d", r, z, r)
		}
		for j := 1; j < regions; j++ {
			add("shares", "region-%02d,region-%02d,20,120", r, (r+j)%regions)
		}
	}
	for m := range idleModels {
		add("traffic", "model-%02d,any,v1,90\nmodel-%02d,any,v2,10", m, m)
		add("pools", "engines-%02d,engine,model-%02d@v1 model-%02d@v2,16,yes", m, m, m)
	}
	for i := range idleWorkspaces {
		add("workspaces", "workspace-%04d,region-%02d,region-%02d,20,40,2000", i, i%regions, i%regions)
	}
	for name, text := range sheets {
		if err := os.WriteFile(filepath.Join(dir, name+".csv"), []byte(text.String()), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	return dir
}

// processUsage is the resource usage of all instances together.
type processUsage struct{ bytes, writes, ticks, residentKB int }

func totalUsage(b *testing.B, f *Fleet) (sum processUsage) {
	for _, e := range f.Entries {
		if e.Exited() {
			b.Fatalf("%s has ended: %s", e.Name, e.Log())
		}
		procDir := fmt.Sprintf("/proc/%d/", e.PID())
		sum.bytes += procField(b, procDir+"io", "rchar:") + procField(b, procDir+"io", "wchar:")
		sum.writes += procField(b, procDir+"io", "syscw:")
		sum.residentKB += procField(b, procDir+"status", "VmRSS:")
		stat, _ := os.ReadFile(procDir + "stat")
		_, rest, _ := strings.Cut(string(stat), ") ")
		var user, system int
		columns := strings.Fields(rest)
		_, _ = fmt.Sscan(columns[11], &user)
		_, _ = fmt.Sscan(columns[12], &system)
		sum.ticks += user + system
	}
	return sum
}

// procField returns the number that follows a name in a file of /proc.
func procField(b *testing.B, file, name string) (value int) {
	data, err := os.ReadFile(file)
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), name)
	_, _ = fmt.Sscan(rest, &value)
	return value
}

// platformReads returns the number of reads that the platform has counted.
func platformReads(b *testing.B, f *Fleet) (sum float64) {
	response, err := http.Get("http://" + f.Platform.Address.String() + "/v1/stats")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stats struct {
		Reads map[string]float64 `json:"reads"`
	}
	if err := json.NewDecoder(response.Body).Decode(&stats); err != nil {
		b.Fatal(err)
	}
	for _, n := range stats.Reads {
		sum += n
	}
	return sum
}
