package proof

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/table"
	"arbutustrestle/io/admin"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/cmds"
	"arbutustrestle/io/emul"
	"arbutustrestle/io/fleet"
)

// hangTimeout only bounds a test that hangs.
const hangTimeout = 2 * time.Minute

// programs is the folder with the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "arbutustrestle-proof-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	build := exec.Command("go", "build", "-race", "-o", folder+"/", "./cmd/arbutustrestle", "./cmd/standin")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	programs = folder
	// The tests wait for states most of their time, so more of them than processors
	// run at once.
	flag.Parse()
	if err := flag.Set("test.parallel", "16"); err != nil {
		panic(err)
	}
	return m.Run()
}

// world is a fleet with a client.
type world struct {
	*fleet.Fleet
	t      *testing.T
	ctx    context.Context
	client bench.Client
	// past holds the logs of restarted entries.
	past string
}

// shape says what a fleet is made of; each name is a region and a number, such as
// "west-1", and an entry or upstream number n is in the region's zone n.
type shape struct {
	entries  []string
	engines  []string
	services []string
	// tap sees what is sent to the entries' peer addresses; it may be nil.
	tap func(to ident.Instance, p []byte)
	// engineFlags and serviceFlags are further flags of the stand-ins.
	engineFlags, serviceFlags []string
}

// zoneOf returns the zone and the region of a name such as "west-1". Odd numbers are
// in the first zone of the region, even ones in the second.
func zoneOf(name string) (ident.Zone, ident.Region) {
	region, number, _ := strings.Cut(name, "-")
	number = map[string]string{"1": "1", "2": "2", "3": "1", "4": "2", "5": "1", "6": "2"}[number]
	return ident.Zone(region + "-eu-" + number), ident.Region(region + "-eu")
}

func (s shape) plan() fleet.Plan {
	p := fleet.Plan{BinDir: programs, TableDir: filepath.Join("testdata", "table"), Relays: true, Tap: s.tap, LogLevel: "debug"}
	for _, name := range s.entries {
		zone, region := zoneOf(name)
		p.Entries = append(p.Entries, fleet.EntryPlan{ID: ident.Instance(name), Zone: zone, Region: region})
	}
	add := func(kind, pool string, names, flags []string) {
		for _, name := range names {
			zone, region := zoneOf(name)
			id := ident.Upstream(kind + "-" + name)
			p.Upstreams = append(p.Upstreams, fleet.UpstreamPlan{ID: id, Pool: pool, Zone: zone, Region: region, Kind: kind, Flags: flags})
		}
	}
	add("engine", "planners", s.engines, s.engineFlags)
	add("service", "app", s.services, s.serviceFlags)
	return p
}

// start runs a fleet until the test ends, and waits until it has settled.
func start(t *testing.T, s shape) *world {
	ctx, cancel := context.WithTimeout(t.Context(), 2*hangTimeout)
	t.Cleanup(cancel)
	f, err := fleet.Start(ctx, s.plan())
	w := &world{Fleet: f, t: t, ctx: ctx}
	t.Cleanup(w.stop)
	w.must(err)
	w.settle()
	return w
}

// stop ends the fleet. A data race in a process fails the test.
func (w *world) stop() {
	err := w.Stop()
	if err != nil {
		w.t.Error(err)
	}
	for _, e := range w.Entries {
		if e.Process == nil {
			continue
		}
		if w.t.Failed() {
			w.t.Logf("log of %s:\n%s", e.Name, ending(e.Log()))
		}
		w.past += e.Log()
	}
	for _, sign := range []string{"WARNING: DATA RACE", "\npanic: ", "\nfatal error: "} {
		if _, after, found := strings.Cut(w.past, sign); found {
			w.t.Errorf("%s%s", sign, after[:min(len(after), 6000)])
		}
	}
	if w.t.Failed() {
		w.t.Logf("all logs:\n%s", w.past)
	}
	w.client.Close()
}

// ending returns the last lines of a log.
func ending(log string) string {
	const lines = 25
	all := strings.SplitAfter(log, "\n")
	all = slices.DeleteFunc(all, func(line string) bool { return strings.Contains(line, `"message":"request answered"`) })
	return strings.Join(all[max(0, len(all)-lines):], "")
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// until waits for a state.
func (w *world) until(look func() error) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, hangTimeout)
	defer cancel()
	w.must(fleet.PollUntil(ctx, look))
}

// settle waits until the published table is in force everywhere and each entry sees
// all others.
func (w *world) settle() {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(w.ctx, hangTimeout)
	defer cancel()
	_, err := w.WaitTableActive(ctx)
	w.must(err)
	w.must(w.WaitReady(ctx))
}

func (w *world) status(e *fleet.Entry) (admin.Status, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	return cmds.FetchStatus(ctx, e.Admin)
}

// member returns what one entry of a region shows of another.
func (w *world) member(at, of *fleet.Entry) (admin.Member, error) {
	s, err := w.status(at)
	if err != nil {
		return admin.Member{}, err
	}
	i := slices.IndexFunc(s.Members, func(m admin.Member) bool { return m.Instance == of.Plan.ID })
	if i < 0 {
		return admin.Member{}, nil
	}
	return s.Members[i], nil
}

// untilUsable waits until one entry takes another for usable, or no longer does.
func (w *world) untilUsable(at, of *fleet.Entry, usable bool) {
	w.t.Helper()
	w.until(func() error {
		m, err := w.member(at, of)
		if err == nil && m.Usable != usable {
			err = fmt.Errorf("%s shows usable=%t of %s", at.Name, m.Usable, of.Plan.ID)
		}
		return err
	})
}

// entry returns the entry with a name.
func (w *world) entry(name string) *fleet.Entry {
	return w.Entry(ident.Instance(name))
}

// others returns all entries but one.
func (w *world) others(not *fleet.Entry) []*fleet.Entry {
	return slices.DeleteFunc(slices.Clone(w.Entries), func(e *fleet.Entry) bool { return e == not })
}

// runs returns what the stand-ins of a kind logged, by stand-in.
func (w *world) runs(kind string) map[ident.Upstream][]emul.Run {
	w.t.Helper()
	found := map[ident.Upstream][]emul.Run{}
	for _, u := range w.Upstreams {
		if u.Plan.Kind != kind {
			continue
		}
		body, err := u.Runs(w.ctx)
		w.must(err)
		var log struct {
			Runs []emul.Run `json:"runs"`
		}
		w.must(json.Unmarshal(body, &log))
		found[u.Plan.ID] = log.Runs
	}
	return found
}

// addRow adds a row to a sheet, without publishing it.
func (w *world) addRow(sheet table.SheetName, cells ...string) {
	w.t.Helper()
	for i, s := range w.Sheets {
		if s.Name == sheet {
			w.Sheets[i].Rows = append(s.Rows, table.Record{Cells: cells})
			return
		}
	}
	w.t.Fatalf("no sheet %s", sheet)
}

// publish changes one cell and publishes the table.
func (w *world) publish(sheet table.SheetName, first, column, value string) {
	w.t.Helper()
	w.must(w.SetCell(sheet, first, column, value))
	w.must(w.PublishTable(w.ctx, "a change"))
}
