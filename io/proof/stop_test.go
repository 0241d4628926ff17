package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/fleet"
)

// leavingBound is the users' "a few seconds" for an upstream that is leaving.
const leavingBound = 5 * time.Second

// TestLeavingUpstreams lets upstreams leave by the list, by their own word, and by
// their own word under a stale list, under constant load.
func TestLeavingUpstreams(t *testing.T) {
	t.Parallel()
	w := start(t, shape{
		entries:     []string{"west-1", "west-2"},
		engines:     []string{"west-1", "west-2", "west-3", "west-4"},
		engineFlags: []string{"-step-time", "10ms"},
	})
	a, b := w.entry("west-1"), w.entry("west-2")
	load := w.steady("west-only", a, a, a, b, b, b)
	w.until(func() error {
		for id, runs := range w.runs("engine") {
			if len(runs) == 0 {
				return fmt.Errorf("%s has had no work", id)
			}
		}
		return nil
	})
	byList := w.Upstream("engine-west-1")
	byList.Leaving = true
	w.must(w.PublishUpstreams(w.ctx))
	left := map[ident.Upstream]time.Time{byList.Plan.ID: time.Now()}
	w.says(left, "engine-west-2")
	w.must(w.Platform.SetFault(w.ctx, `{"stale":true}`))
	w.says(left, "engine-west-3")

	last := time.Now().Add(leavingBound)
	w.until(func() error {
		late := 0
		for _, r := range w.runs("engine")["engine-west-4"] {
			if r.Time.After(last) {
				late++
			}
		}
		if late < 100 {
			return fmt.Errorf("%d requests after the bound", late)
		}
		return nil
	})
	if failed := load.stop(); len(failed) > 0 {
		t.Errorf("%d requests failed: %s", len(failed), failed[0])
	}
	for id, at := range left {
		w.noWorkAfter(id, at)
	}
}

func (w *world) says(left map[ident.Upstream]time.Time, id ident.Upstream) {
	w.t.Helper()
	w.must(w.Upstream(id).SetLeaving(w.ctx))
	left[id] = time.Now()
}

// noWorkAfter checks the log of an upstream that left.
func (w *world) noWorkAfter(id ident.Upstream, left time.Time) {
	w.t.Helper()
	var last time.Duration
	for _, r := range w.runs("engine")[id] {
		last = max(last, r.Time.Sub(left))
	}
	w.t.Logf("%s: last new work %s after it left", id, last.Round(time.Millisecond))
	if last > leavingBound {
		w.t.Errorf("%s: new work %s after it left", id, last)
	}
}

// rolling is a load that goes on while entries are replaced.
type rolling struct {
	mu sync.Mutex
	// told holds the outcome by key.
	told   map[string]result.Outcome
	whole  int
	faults []string
}

func (r *rolling) ended(q *bench.Request, a bench.Answer, f *result.Failure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f != nil {
		r.faults = append(r.faults, fmt.Sprintf("%s %s: status %d, %v", q.Class, q.Workspace, a.Status, f))
		return
	}
	r.whole++
	if q.IdempotencyKey != "" {
		r.told[q.IdempotencyKey] = result.Done
	}
}

// TestRollingReplacement replaces every entry in turn under constant load. Nothing
// in flight is cut off, nothing is lost, and no booking runs twice.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	w := start(t, shape{
		entries:     []string{"west-1", "west-2", "north-1"},
		engines:     []string{"west-1", "west-2", "north-1"},
		services:    []string{"west-1", "north-1"},
		engineFlags: []string{"-step-time", "5ms"},
	})
	r := &rolling{told: map[string]result.Outcome{}}
	var done atomic.Bool
	var loading sync.WaitGroup
	loading.Go(func() {
		for !done.Load() {
			l := w.mixedLoad(200)
			l.OnDone = r.ended
			if _, err := l.Run(w.ctx, &w.client); err != nil {
				t.Error(err)
				return
			}
		}
	})
	for _, e := range w.Entries {
		e.Signal(syscall.SIGTERM)
		w.must(e.Wait(w.ctx))
		w.must(w.StartEntry(e))
		w.settle()
	}
	done.Store(true)
	loading.Wait()
	for _, f := range r.faults {
		t.Error(f)
	}
	w.checkBookings(r)
	t.Logf("%d requests answered, %d of them bookings", r.whole, len(r.told))
}

// mixedLoad is a load of all classes. A request that is not run is sent again until
// it is answered.
func (w *world) mixedLoad(count int) *bench.Load {
	l := &bench.Load{
		Platform:    w.Platform.Address,
		Workspaces:  []ident.Workspace{"everywhere", "west-only"},
		Model:       "planner",
		Service:     "app",
		Path:        "/bookings/museum",
		SendKeys:    true,
		Workers:     6,
		MaxRequests: count,
		MaxDuration: hangTimeout,
		Timeout:     hangTimeout,
		MaxAttempts: 1000,
		Check: func(q *bench.Request, a *bench.Answer) bool {
			return q.Class == table.ServiceCall || own(q, a)
		},
	}
	l.Mix[table.Quick], l.Mix[table.Plan], l.Mix[table.Session], l.Mix[table.ServiceCall] = 3, 2, 1, 2
	l.MaxTokens[table.Quick], l.MaxTokens[table.Plan], l.MaxTokens[table.Session] = 5, 60, 150
	return l
}

// checkBookings compares the answered bookings with what ran.
func (w *world) checkBookings(r *rolling) {
	w.t.Helper()
	byKey := map[string]int{}
	byUnique := map[string]int{}
	for _, runs := range w.runs("service") {
		for _, run := range runs {
			byKey[run.IdempotencyKey]++
			// A try that was not run is sent again with another owner's key, and the
			// same part of the caller's own.
			byUnique[run.IdempotencyKey[strings.LastIndex(run.IdempotencyKey, ".")+1:]]++
		}
	}
	for key := range r.told {
		if byKey[key] != 1 {
			w.t.Errorf("%s was answered and ran %d times", key, byKey[key])
		}
	}
	for unique, runs := range byUnique {
		if runs > 1 {
			w.t.Errorf("booking %s ran %d times", unique, runs)
		}
	}
}

// TestGracefulStop stops entries in the middle of streams, one of them much longer
// than the others, each in another way.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	w := start(t, shape{
		entries:     []string{"west-1", "west-2", "west-3", "west-4", "west-5", "west-6"},
		engines:     []string{"west-1", "west-2"},
		engineFlags: []string{"-step-time", "10ms", "-slots", "64"},
	})
	w.publish(table.PoolsSheet, "planners", "slots", "64")
	w.settle()
	term := func(e *fleet.Entry) { e.Signal(syscall.SIGTERM) }
	cases := []struct {
		name, entry string
		stop        func(e *fleet.Entry)
	}{
		{"a signal", "west-1", term},
		{"an operator's drain", "west-2", w.drain},
		{"frozen in the middle", "west-3", func(e *fleet.Entry) {
			term(e)
			w.drains(e)
			e.Freeze()
			w.untilUsable(w.entry("west-6"), e, false)
			e.Thaw()
		}},
		{"a second signal", "west-4", func(e *fleet.Entry) {
			term(e)
			w.drains(e)
			term(e)
		}},
	}
	var stopped sync.WaitGroup
	for _, c := range cases {
		stopped.Go(func() { w.stopInStream(c.name, w.entry(c.entry), c.stop) })
	}
	stopped.Wait()
	w.must(w.Platform.SetFault(w.ctx, `{"down":"reset"}`))
	w.stopInStream("the platform is down", w.entry("west-5"), term)
}

// drain tells an entry to drain, as an operator does.
func (w *world) drain(e *fleet.Entry) {
	response, err := http.Post("http://"+e.Admin.String()+"/v1/drain", "", nil)
	if err != nil {
		w.t.Error(err)
		return
	}
	_ = response.Body.Close()
}

// drains waits until an entry says that it drains.
func (w *world) drains(e *fleet.Entry) {
	w.t.Helper()
	w.until(func() error {
		if !strings.Contains(e.Log(), "draining") {
			return fmt.Errorf("%s does not drain", e.Name)
		}
		return nil
	})
}

// stopInStream stops an entry that passes streams on. All have to be answered in
// whole, and the entry has to end with exit code 0.
func (w *world) stopInStream(name string, e *fleet.Entry, stop func(*fleet.Entry)) {
	lengths := []int{300, 300, 400, 900}
	ended := make(chan error, len(lengths))
	for _, tokens := range lengths {
		go func() {
			q := completion("west-only", tokens)
			answer, failure := w.client.Call(w.ctx, e.Caller, q)
			switch {
			case failure != nil:
				ended <- failure
			case !own(q, &answer):
				ended <- fmt.Errorf("another answer: %q", answer.Text)
			default:
				ended <- nil
			}
		}()
	}
	w.until(func() error {
		s, err := w.status(e)
		if err == nil && s.InFlight < int64(len(lengths)) {
			err = fmt.Errorf("%d streams run", s.InFlight)
		}
		return err
	})
	stop(e)
	for range lengths {
		if err := <-ended; err != nil {
			w.t.Errorf("%s: %v", name, err)
		}
	}
	if err := e.Wait(w.ctx); err != nil {
		w.t.Errorf("%s: %v", name, err)
	}
}
