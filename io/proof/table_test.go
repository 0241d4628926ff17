package proof

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/table"
	"arbutustrestle/io/cmds"
	"arbutustrestle/io/fleet"
)

// forceBound is the users' bound for a change to be in force everywhere.
const forceBound = 8 * time.Second

// watch looks at what is in force on every instance for as long as it runs.
type watch struct {
	w       *world
	stopped chan struct{}
	ended   sync.WaitGroup
	mu      sync.Mutex
	highest map[ident.Instance]ident.Revision
	// refused are revisions that must never be in force.
	refused map[ident.Revision]bool
	faults  []string
	looks   int
}

func (w *world) watch() *watch {
	v := &watch{w: w, stopped: make(chan struct{}), highest: map[ident.Instance]ident.Revision{}, refused: map[ident.Revision]bool{}}
	for _, e := range w.Entries {
		v.ended.Go(func() {
			for {
				select {
				case <-v.stopped:
					return
				case <-time.After(30 * time.Millisecond):
					v.look(e)
				}
			}
		})
	}
	return v
}

func (v *watch) look(e *fleet.Entry) {
	s, err := v.w.status(e)
	if err != nil || s.Phase == member.Starting.String() {
		return // it does not run, or refuses all requests until it knows its peers' tables
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.looks++
	if s.TableRevision < v.highest[e.Plan.ID] {
		v.faults = append(v.faults, fmt.Sprintf("%s, %s, fell from %d to %d", e.Plan.ID, s.Phase, v.highest[e.Plan.ID], s.TableRevision))
	}
	if v.refused[s.TableRevision] {
		v.faults = append(v.faults, fmt.Sprintf("%s has %d in force", e.Plan.ID, s.TableRevision))
	}
	v.highest[e.Plan.ID] = max(v.highest[e.Plan.ID], s.TableRevision)
}

// forbid notes a revision that must never be in force.
func (v *watch) forbid(r ident.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refused[r] = true
}

func (v *watch) stop(t *testing.T) {
	close(v.stopped)
	v.ended.Wait()
	slices.Sort(v.faults)
	for _, f := range slices.Compact(v.faults) {
		t.Error(f)
	}
	t.Logf("%d looks at a table in force", v.looks)
}

// accept publishes the fleet's sheets and returns after which time they were shown
// as accepted. At the moment of the first "accepted" every instance has to have them
// in force.
func (w *world) accept(note string) time.Duration {
	w.t.Helper()
	started := time.Now()
	w.must(w.PublishTable(w.ctx, note))
	w.until(func() error {
		revision, missing, err := cmds.Unconfirmed(w.ctx, w.Platform.Address)
		if err == nil && (len(missing) > 0 || revision != w.Revision) {
			err = fmt.Errorf("%d: %v", revision, missing)
		}
		return err
	})
	took := time.Since(started)
	for _, e := range w.Entries {
		s, err := w.status(e)
		if err != nil || s.TableRevision < w.Revision {
			w.t.Errorf("accepted while %s has %d of %d in force (%v)", e.Plan.ID, s.TableRevision, w.Revision, err)
		}
	}
	return took
}

// inTime fails the test for a change that came in force after the users' bound.
func (w *world) inTime(what string, took time.Duration) {
	w.t.Helper()
	w.t.Logf("%s: in force everywhere after %s", what, took.Round(time.Millisecond))
	if took > forceBound {
		w.t.Errorf("%s: in force everywhere after %s", what, took)
	}
}

// restartEach restarts every entry, one after the other.
func (w *world) restartEach(revision ident.Revision) {
	w.t.Helper()
	for _, e := range w.Entries {
		restart(w, e)
		w.inForce(e, revision)
	}
}

var tableShape = shape{
	entries:  []string{"west-1", "west-2", "north-1", "north-2"},
	services: []string{"west-1", "north-1"},
}

// TestTableNeverFalls watches every instance while the platform shows an old state
// or nothing, and instances restart.
func TestTableNeverFalls(t *testing.T) {
	t.Parallel()
	w := start(t, tableShape)
	v := w.watch()
	old := time.Now().UTC().Format(time.RFC3339Nano)
	w.must(w.SetCell(table.WorkspacesSheet, "everywhere", "in-flight", "50"))
	w.inTime("a change", w.accept("a change"))

	w.must(w.Platform.SetFault(w.ctx, `{"as-of":"`+old+`"}`))
	w.restartEach(w.Revision)
	w.must(w.Platform.SetFault(w.ctx, `{"down":"unavailable"}`))
	restart(w, w.entry("west-1"))
	w.inForce(w.entry("west-1"), w.Revision)
	w.must(w.Platform.SetFault(w.ctx, `{"down":"reset"}`))
	restart(w, w.entry("north-1"))
	w.inForce(w.entry("north-1"), w.Revision)
	w.must(w.Platform.SetFault(w.ctx, `{}`))

	w.must(w.SetCell(table.WorkspacesSheet, "everywhere", "in-flight", "60"))
	w.accept("after the outage")
	w.inTime("a change after the outage", w.accept("another"))
	v.stop(t)
}

// TestTableOfLoneEntry restarts the only entry of a region while the platform shows an
// old state. The other region has the newer table.
func TestTableOfLoneEntry(t *testing.T) {
	t.Parallel()
	w := start(t, shape{entries: []string{"west-1", "west-2", "north-1"}, services: []string{"west-1", "north-1"}})
	v := w.watch()
	old := time.Now().UTC().Format(time.RFC3339Nano)
	w.must(w.SetCell(table.WorkspacesSheet, "everywhere", "in-flight", "50"))
	w.inTime("a change", w.accept("a change"))
	w.must(w.Platform.SetFault(w.ctx, `{"as-of":"`+old+`"}`))
	lone := w.entry("north-1")
	restart(w, lone)
	w.inForce(lone, w.Revision)
	v.stop(t)
}

// TestOperatorsAtOnce publishes bad tables, two tables with one number, a table that
// is not based on the last, and a rollback.
func TestOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	w := start(t, tableShape)
	v := w.watch()
	good := cloneSheets(w.Sheets)

	w.must(w.SetCell(table.WorkspacesSheet, "everywhere", "home", "nowhere"))
	v.forbid(w.Revision + 1)
	w.must(w.PublishTable(w.ctx, "a home that is not there"))
	w.notAccepted("refused the published table")

	w.Sheets = cloneSheets(good)
	w.must(w.SetCell(table.WorkspacesSheet, "everywhere", "in-flight", "50"))
	w.inTime("the mended table", w.accept("mended"))
	settled := w.digests()

	w.must(w.SetCell(table.WorkspacesSheet, "everywhere", "in-flight", "51"))
	w.Revision--
	w.must(w.PublishTable(w.ctx, "another operator, the same number"))
	w.notAccepted("two operators published at once")
	if now := w.digests(); !slices.Equal(now, settled) {
		t.Errorf("in force %v, then %v", settled, now)
	}

	based := w.Revision
	w.Revision = based + 100
	v.forbid(w.Revision)
	w.must(w.skipBase(based))
	w.notAccepted("its revision is not its base plus 1")
	w.Revision = based
	w.inTime("the next number", w.accept("the next number"))

	w.Sheets = cloneSheets(good)
	w.inTime("a rollback", w.accept("back to the first table"))
	for range 5 {
		w.inTime("one of many changes", w.accept("a change"))
	}
	v.stop(t)
}

func cloneSheets(sheets []table.Sheet) []table.Sheet {
	copies := slices.Clone(sheets)
	for i := range copies {
		copies[i].Rows = slices.Clone(copies[i].Rows)
		for k := range copies[i].Rows {
			copies[i].Rows[k].Cells = slices.Clone(copies[i].Rows[k].Cells)
		}
	}
	return copies
}

// notAccepted waits until every instance says why it does not take the published
// table.
func (w *world) notAccepted(why string) {
	w.t.Helper()
	w.until(func() error {
		_, missing, err := cmds.Unconfirmed(w.ctx, w.Platform.Address)
		if err != nil {
			return err
		}
		if len(missing) == 0 {
			w.t.Fatal("accepted")
		}
		for _, m := range missing {
			if !strings.Contains(m, why) {
				return errors.New(m)
			}
		}
		if len(missing) < len(w.Entries) {
			return fmt.Errorf("only %v", missing)
		}
		return nil
	})
}

// digests returns what is in force on each instance.
func (w *world) digests() []string {
	w.t.Helper()
	var digests []string
	for _, e := range w.Entries {
		s, err := w.status(e)
		w.must(err)
		digests = append(digests, fmt.Sprint(s.TableRevision, s.TableDigest))
	}
	return digests
}

// skipBase publishes a manifest that claims a number which is not its base plus one.
func (w *world) skipBase(base ident.Revision) error {
	pages := table.Split(w.Sheets, table.PageBytes)
	manifest := table.NewManifest(base, "fleet", "a wrong base", pages)
	manifest.Revision = w.Revision
	return w.Platform.Put(w.ctx, "/v1/values/table/manifest", manifest.Encode())
}
