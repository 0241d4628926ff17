package proof

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/result"
	"arbutustrestle/io/fleet"
)

// steady sends completions of a workspace to some entries, one at a time to each,
// until it is stopped.
type steady struct {
	stopped atomic.Bool
	workers sync.WaitGroup
	whole   atomic.Int64
	mu      sync.Mutex
	failed  []string
}

func (w *world) steady(workspace ident.Workspace, entries ...*fleet.Entry) *steady {
	s := &steady{}
	for _, e := range entries {
		s.workers.Go(func() {
			for !s.stopped.Load() {
				q := completion(workspace, 8)
				answer, failure := w.client.Call(w.ctx, e.Caller, q)
				if failure == nil && own(q, &answer) {
					s.whole.Add(1)
					continue
				}
				s.mu.Lock()
				s.failed = append(s.failed, fmt.Sprintf("%s: %v %q", e.Name, failure, answer.Text))
				s.mu.Unlock()
			}
		})
	}
	return s
}

// untilMore waits until further requests were answered.
func (s *steady) untilMore(w *world, count int64) {
	w.t.Helper()
	before := s.whole.Load()
	w.until(func() error {
		if s.whole.Load() < before+count {
			return fmt.Errorf("%d answers, not %d", s.whole.Load()-before, count)
		}
		return nil
	})
}

// stop returns what was not answered in whole.
func (s *steady) stop() []string {
	s.stopped.Store(true)
	s.workers.Wait()
	return s.failed
}

// inForce waits until an entry is ready with at least a revision in force.
func (w *world) inForce(e *fleet.Entry, revision ident.Revision) {
	w.t.Helper()
	w.until(func() error {
		s, err := w.status(e)
		if err == nil && (s.Phase != member.Ready.String() || s.TableRevision < revision) {
			err = fmt.Errorf("%s is %s with revision %d", e.Plan.ID, s.Phase, s.TableRevision)
		}
		return err
	})
}

// TestIsolatedRegion cuts a region off from the other one and from the platform. It
// serves its own requests for all of the cut, through a restart inside it, and takes
// the changes that it missed afterwards.
func TestIsolatedRegion(t *testing.T) {
	t.Parallel()
	w := start(t, shape{
		entries:     []string{"west-1", "west-2", "west-3", "north-1"},
		engines:     []string{"west-1", "west-2", "north-1"},
		services:    []string{"west-1", "north-1"},
		engineFlags: []string{"-step-time", "5ms"},
	})
	west, other, north := w.entry("west-1"), w.entry("west-2"), w.entry("north-1")
	load := w.steady("west-only", west, w.entry("west-3"))
	far := w.steady("north-only", north)
	load.untilMore(w, 20)

	w.CutRegions("west-eu", "north-eu", true)
	w.CutPlatform("west-eu", true)
	for _, e := range w.Entries[:3] {
		w.until(func() error {
			s, err := w.status(e)
			if err == nil && (!s.PlatformDown || s.Regions[0].Fresh) {
				err = fmt.Errorf("%s has not noticed the cut", e.Name)
			}
			return err
		})
	}
	load.untilMore(w, 20)
	w.publish("workspaces", "west-only", "in-flight", "100")
	w.inForce(north, w.Revision)
	load.untilMore(w, 20)

	other.Kill()
	load.untilMore(w, 20)
	w.must(w.StartEntry(other))
	w.inForce(other, w.Revision-1)
	restarted := w.steady("west-only", other)
	restarted.untilMore(w, 20)
	if failed := restarted.stop(); len(failed) > 0 {
		t.Errorf("the restarted entry failed %d: %s", len(failed), failed[0])
	}
	w.keyedInside(other, "west-only")
	if s, err := w.status(other); err != nil || s.TableRevision != w.Revision-1 {
		t.Errorf("the restarted entry has revision %d, %v", s.TableRevision, err)
	}

	w.CutRegions("west-eu", "north-eu", false)
	w.CutPlatform("west-eu", false)
	w.settle()
	load.untilMore(w, 20)
	far.untilMore(w, 1)
	for name, s := range map[string]*steady{"isolated": load, "other": far} {
		if failed := s.stop(); len(failed) > 0 {
			t.Errorf("the %s region failed %d: %s", name, len(failed), failed[0])
		}
	}
	t.Logf("%d answers in the isolated region, %d in the other", load.whole.Load(), far.whole.Load())
}

// keyedInside makes one keyed call.
func (w *world) keyedInside(e *fleet.Entry, workspace ident.Workspace) {
	w.t.Helper()
	advice, err := w.client.FetchAdvice(w.ctx, e.Caller, workspace)
	w.must(err)
	_, failure := w.client.Call(w.ctx, e.Caller, reservation(workspace, advice.KeyPrefix+"inside"))
	if failure != nil && failure.Outcome != result.Done {
		w.t.Errorf("a keyed call in the isolated region: %v", failure)
	}
}
