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

// idleCase is a fleet without requests.
type idleCase struct {
	name             string
	regions, entries int
	// upstreams are listed for each region; four processes stand for all of them.
	upstreams int
}

const (
	idleTime      = 30 * time.Second
	idleSettle    = 20 * time.Second
	idleProcesses = 4
	idleModels    = 14
	idleRows      = 1300
	clockTicks    = 100
)

// BenchmarkIdle gives what the process of an entry uses without requests: bytes
// that it reads and writes, before TCP and IP; memory; processor time.
func BenchmarkIdle(b *testing.B) {
	programs := b.TempDir()
	build := exec.Command("go", "build", "-o", programs, "arbutustrestle/cmd/arbutustrestle", "arbutustrestle/cmd/standin")
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
				measureIdle(b, c, programs)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureIdle(b *testing.B, c idleCase, programs string) {
	plan := Plan{BinDir: programs, TableDir: idleTable(b, c.regions)}
	for i := range c.entries {
		r := i % c.regions
		plan.Entries = append(plan.Entries, EntryPlan{
			ID:     ident.Instance(fmt.Sprintf("entry-r%02d-%03d", r, i/c.regions)),
			Zone:   ident.Zone(fmt.Sprintf("region-%02d-z%d", r, i/c.regions%4)),
			Region: ident.Region(fmt.Sprintf("region-%02d", r)),
		})
	}
	for i := range min(idleProcesses, c.upstreams) {
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
	time.Sleep(idleSettle)
	before, reads := usageOf(b, f), readsOf(b, f)
	time.Sleep(idleTime)
	after, readsAfter := usageOf(b, f), readsOf(b, f)
	seconds := idleTime.Seconds() * float64(c.entries)
	b.ReportMetric(float64(after.bytes-before.bytes)/seconds, "B/s")
	b.ReportMetric(float64(after.writes-before.writes)/seconds, "writes/s")
	b.ReportMetric(float64(after.ticks-before.ticks)/clockTicks*1e6/seconds, "us/s")
	b.ReportMetric(float64(after.residentKB)/1000/float64(c.entries), "MB-resident")
	b.ReportMetric((readsAfter-reads)/idleTime.Seconds(), "fleet-reads/s")
}

// idleUpstream lists a further upstream at the address of one that runs.
func idleUpstream(runs *Upstream, region, number int) *Upstream {
	u := *runs
	u.Plan.Pool = fmt.Sprintf("engines-%02d", number%idleModels)
	u.Plan.ID = ident.Upstream(fmt.Sprintf("%s-r%02d-%04d", u.Plan.Pool, region, number))
	u.Plan.Region = ident.Region(fmt.Sprintf("region-%02d", region))
	u.Plan.Zone = ident.Zone(fmt.Sprintf("region-%02d-z%d", region, number%4))
	return &u
}

func idleTable(b *testing.B, regions int) string {
	folder := b.TempDir()
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
	for i := range idleRows {
		add("workspaces", "workspace-%04d,region-%02d,region-%02d,20,40,2000", i, i%regions, i%regions)
	}
	for name, text := range sheets {
		if err := os.WriteFile(filepath.Join(folder, name+".csv"), []byte(text.String()), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	return folder
}

// processUsage is summed over the entries.
type processUsage struct{ bytes, writes, ticks, residentKB int }

func usageOf(b *testing.B, f *Fleet) (sum processUsage) {
	for _, e := range f.Entries {
		if e.Exited() {
			b.Fatalf("%s has ended: %s", e.Name, e.Log())
		}
		folder := fmt.Sprintf("/proc/%d/", e.PID())
		sum.bytes += field(b, folder+"io", "rchar:") + field(b, folder+"io", "wchar:")
		sum.writes += field(b, folder+"io", "syscw:")
		sum.residentKB += field(b, folder+"status", "VmRSS:")
		stat, _ := os.ReadFile(folder + "stat")
		_, rest, _ := strings.Cut(string(stat), ") ")
		var user, system int
		words := strings.Fields(rest)
		_, _ = fmt.Sscan(words[11], &user)
		_, _ = fmt.Sscan(words[12], &system)
		sum.ticks += user + system
	}
	return sum
}

// field returns the number behind a name in a file of /proc.
func field(b *testing.B, file, name string) (value int) {
	data, err := os.ReadFile(file)
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), name)
	_, _ = fmt.Sscan(rest, &value)
	return value
}

// readsOf returns the reads that the platform has counted.
func readsOf(b *testing.B, f *Fleet) (sum float64) {
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
