package fetch_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
)

// The target: 370 instances in 14 regions with 48 zones and 1,300 workspaces; a change
// is active everywhere within 8 s; the platform answers 2,000 reads per second.
const (
	targetWorkspaces     = 1300
	targetActivation     = 8 * time.Second
	targetReadsPerSecond = 2000
)

// printState writes the active table and lists of each instance, grouped by revisions.
func (f *fleet) printState() {
	groups := map[string][]string{}
	for _, n := range f.nodes {
		if n.state == nil {
			continue
		}
		s := n.state.Status()
		name := fmt.Sprintf("table %d lists %d %d", s.Active.Revision, s.Revisions.Entries, s.Revisions.Upstreams)
		for i, set := range []bool{s.Conflict.Revision != 0, s.Candidate.Revision != 0, !s.Ready} {
			if set {
				name += []string{" conflict", " fetching", " not-ready"}[i]
			}
		}
		groups[name] = append(groups[name], string(n.id))
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		fmt.Fprintf(&f.out, "%s: %s\n", name, strings.Join(groups[name], " "))
	}
}

func (f *fleet) runCommand(text string) {
	words := strings.Fields(text)
	last := words[len(words)-1]
	number, _ := strconv.Atoi(words[min(1, len(words)-1)])
	switch words[0] {
	case "publish": // publish BASE WORKSPACE...; "Bad!" is no valid workspace name.
		publish(f.values, ident.Revision(number), words[2:]...)
	case "lists":
		f.setLists(ident.Revision(number))
	case "lose-pages":
		maps.DeleteFunc(f.values, func(key fetch.Key, _ fetch.Value) bool { return strings.HasPrefix(string(key), "table/page/") })
	case "save": // The values that the platform serves while it is old.
		f.saved = maps.Clone(f.values)
	case "platform":
		f.down, f.refusing, f.servesSaved = last == "down", last == "refusing", last == "old"
	case "double":
		f.duplicatesAnswers = true
	case "run":
		wait, _ := time.ParseDuration(last)
		f.run(wait)
	case "unheard":
		f.membershipDelay, _ = time.ParseDuration(last)
	case "show":
		f.printState()
	}
	for _, n := range f.nodesNamed(last) {
		switch words[0] {
		case "start":
			f.start(n)
		case "crash":
			f.crash(n)
		case "cut", "join":
			n.platformCut = words[0] == "cut"
		case "from":
			fmt.Fprintf(&f.out, "%s ready from %s\n", n.id, n.readyFrom)
		case "counts":
			c := n.state.Counts()
			fmt.Fprintf(&f.out, "reads=%d stale=%d conflicts=%d refused=%d\n", c.PlatformReads, c.StaleAnswers, c.Conflicts, c.RejectedTables)
		}
	}
}

func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(_ *testing.T, d *datadriven.TestData) string {
		f := newFleet(1, 2, 3)
		for _, text := range strings.FieldsFunc(d.Input, func(r rune) bool { return r == ';' || r == '\n' }) {
			f.runCommand(text)
		}
		return f.out.String()
	})
}

// TestActivationTimeAndReadRate checks a fleet of today's size and one of the target's
// size against the target: the time until a change is active everywhere while a reader
// that has just crashed still counts as alive, and the platform's reads by all
// instances in any second.
func TestActivationTimeAndReadRate(t *testing.T) {
	for _, f := range []*fleet{newFleet(3, 1, 3), newFleet(14, 3, 9)} {
		t.Run(fmt.Sprintf("entries=%d", len(f.nodes)), func(t *testing.T) { checkBounds(t, f) })
	}
}

func checkBounds(t *testing.T, f *fleet) {
	phase := func(name string, d time.Duration) {
		before := len(f.reads)
		f.run(d)
		peak := maxReadsInSecond(f.reads[before:])
		t.Logf("%s: %.1f reads/s on average, %d in the worst second", name, float64(len(f.reads)-before)/d.Seconds(), peak)
		if peak > targetReadsPerSecond {
			t.Errorf("%s: %d reads in a second, limit %d", name, peak, targetReadsPerSecond)
		}
	}
	change := func(name string, revision ident.Revision, workspaces []string) {
		changedAt := f.now
		publish(f.values, revision-1, workspaces...)
		before := len(f.reads)
		for !f.activeEverywhere(revision) && f.now.Sub(changedAt) < 2*targetActivation {
			f.run(10 * time.Millisecond)
		}
		elapsed := f.now.Sub(changedAt)
		t.Logf("%s: active everywhere after %s, %d reads, %d in the worst second", name, elapsed, len(f.reads)-before, maxReadsInSecond(f.reads[before:]))
		if elapsed > targetActivation {
			t.Errorf("%s: took %s, limit %s", name, elapsed, targetActivation)
		}
	}
	workspaces := make([]string, targetWorkspaces)
	others := make([]string, targetWorkspaces)
	for i := range workspaces {
		workspaces[i] = fmt.Sprintf("workspace-%d", i)
		others[i] = fmt.Sprintf("other-%d", i)
	}
	publish(f.values, 0, workspaces...)
	f.runCommand("start all")
	phase("all start", time.Minute)
	phase("calm", time.Minute)
	f.crash(f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.state.Status().Reader })])
	change("one row", 2, append(workspaces, "one-more"))
	change("all rows", 3, others)
	f.setLists(2)
	phase("the lists change", 10*time.Second)
	for _, n := range f.nodes {
		if n.state != nil && n.state.Revisions().Entries != 2 {
			t.Errorf("%s has revision %d of the list of instances", n.id, n.state.Revisions().Entries)
		}
	}
	f.runCommand("crash e01")
	phase("a zone is lost", time.Minute)
	f.runCommand("platform down")
	f.tickInterval = 10 * time.Second
	phase("the platform is down", time.Hour)
	f.runCommand("platform up")
	f.tickInterval /= 40
	phase("the platform is back", time.Minute)
}

func BenchmarkStep(b *testing.B) {
	for _, each := range []int{1, 3, 9, 40} {
		f := newFleet(1, 3, each)
		publish(f.values, 0, "ann")
		f.runCommand("start all")
		f.run(30 * time.Second)
		n := f.nodes[0]
		for name, event := range map[string]fetch.Event{"tick": fetch.Tick{}, "members": f.membershipOf(n)} {
			b.Run(fmt.Sprintf("%s/entries=%d", name, 3*each), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					n.state.Step(f.now, event)
				}
			})
		}
	}
}
