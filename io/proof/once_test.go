package proof

import (
	"fmt"
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

const (
	// keysPerRound is the number of keys of one case.
	keysPerRound = 4
	// tryTimeout bounds one try of a keyed call.
	tryTimeout = 3 * time.Second
)

// told is what a caller was told of one try of a keyed call.
type told struct {
	key   string
	entry ident.Instance
	at    time.Time
	// outcome is Done for an answer.
	outcome result.Outcome
	reason  result.Reason
	text    string
}

// booking is a set of keys of one owner, with all that callers were told.
type booking struct {
	w    *world
	keys []string

	mu    sync.Mutex
	told  []told
	tries sync.WaitGroup
	// pending counts the tries that have not ended.
	pending atomic.Int64
}

// newBooking takes keys from an owner.
func (w *world) newBooking(owner *fleet.Entry, name string) *booking {
	w.t.Helper()
	b := &booking{w: w}
	advice, err := w.client.FetchAdvice(w.ctx, owner.Caller, "everywhere")
	w.must(err)
	if advice.KeyPrefix == "" {
		w.t.Fatalf("%s gives no keys", owner.Name)
	}
	for i := range keysPerRound {
		b.keys = append(b.keys, fmt.Sprintf("%s%s-%d", advice.KeyPrefix, strings.ReplaceAll(name, " ", "-"), i))
	}
	return b
}

// send tries every key through each of the entries, all at once.
func (b *booking) send(entries []*fleet.Entry) {
	for _, key := range b.keys {
		for _, e := range entries {
			b.pending.Add(1)
			b.tries.Go(func() {
				defer b.pending.Add(-1)
				b.try(key, e)
			})
		}
	}
}

func (b *booking) try(key string, e *fleet.Entry) {
	answer, failure := b.w.client.Call(b.w.ctx, e.Caller, &bench.Request{
		Workspace:      "everywhere",
		Class:          table.ServiceCall,
		Timeout:        tryTimeout,
		Service:        "app",
		Method:         "POST",
		Path:           "/bookings/museum",
		Body:           []byte(`{"slot":"` + key + `"}`),
		IdempotencyKey: key,
		KeepText:       true,
	})
	t := told{key: key, entry: e.Plan.ID, at: time.Now(), outcome: result.Done, text: string(answer.Text)}
	if failure != nil {
		t.outcome, t.reason = failure.Outcome, failure.Reason
	}
	if answer.Status == 0 && t.outcome == result.NotRun {
		return // no connection was made, so nobody told anything
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = append(b.told, t)
}

// untilRunning sends the keys, again when all tries were refused, until one of them
// has reached a service.
func (b *booking) untilRunning(entries []*fleet.Entry) {
	b.w.t.Helper()
	b.w.until(func() error {
		if b.pending.Load() == 0 {
			b.send(entries)
		}
		if len(b.started()) == 0 {
			return fmt.Errorf("no key runs")
		}
		return nil
	})
}

// started returns when each run of each key began.
func (b *booking) started() map[string][]time.Time {
	b.w.t.Helper()
	started := map[string][]time.Time{}
	for _, runs := range b.w.runs("service") {
		for _, r := range runs {
			if r.Started() && strings.Contains(strings.Join(b.keys, " ")+" ", r.IdempotencyKey+" ") && r.IdempotencyKey != "" {
				started[r.IdempotencyKey] = append(started[r.IdempotencyKey], r.Time)
			}
		}
	}
	return started
}

// check waits for all tries and compares what callers were told with what ran.
func (b *booking) check(t *testing.T) {
	t.Helper()
	b.tries.Wait()
	started := b.started()
	counts := map[string]int{}
	for _, c := range b.told {
		counts[c.outcome.String()+" "+c.reason.String()]++
		runs := started[c.key]
		switch {
		case c.outcome == result.Done && len(runs) != 1:
			t.Errorf("%s answered %s, which ran %d times", c.entry, c.key, len(runs))
		case c.outcome == result.NotRun && len(runs) > 0 && runs[0].Before(c.at):
			t.Errorf("%s said not-run (%s) of %s at %s, which ran at %s", c.entry, c.reason, c.key, c.at, runs[0])
		}
	}
	texts := map[string]string{}
	for _, c := range b.told {
		if c.outcome == result.Done && texts[c.key] != "" && texts[c.key] != c.text {
			t.Errorf("two answers to %s", c.key)
		}
		if c.outcome == result.Done {
			texts[c.key] = c.text
		}
	}
	for key, runs := range started {
		if len(runs) > 1 {
			t.Errorf("%s ran %d times", key, len(runs))
		}
	}
	if len(started) == 0 {
		t.Error("no key ran at all")
	}
	t.Logf("%d keys ran; told: %v", len(started), counts)
}

// onceCase is a disturbance of an owner whose keys are tried before, during and
// after it.
type onceCase struct {
	name string
	// before is done before the first try.
	before func(w *world, owner *fleet.Entry)
	// disturb is done while the first tries run; heal after the second ones ended.
	disturb func(w *world, owner *fleet.Entry)
	heal    func(w *world, owner *fleet.Entry)
}

func cutOwner(in, out bool) func(*world, *fleet.Entry) {
	return func(w *world, owner *fleet.Entry) {
		for _, e := range w.others(owner) {
			w.CutEntries(e, owner, in, out)
		}
	}
}

func restart(w *world, owner *fleet.Entry) {
	owner.Kill()
	w.past += owner.Log()
	w.must(w.StartEntry(owner))
}

func serviceFault(fault string) func(*world, *fleet.Entry) {
	return func(w *world, _ *fleet.Entry) {
		for _, u := range w.Upstreams {
			w.must(u.SetFault(w.ctx, fault))
		}
	}
}

var nothing = func(*world, *fleet.Entry) {}

// awaitUnreachable waits until the peers in the owner's region take it for gone.
func awaitUnreachable(w *world, owner *fleet.Entry) {
	for _, e := range w.others(owner) {
		if e.Plan.Region == owner.Plan.Region {
			w.untilUsable(e, owner, false)
		}
	}
}

// list publishes the list of entries and waits until all running ones hold it.
func list(w *world, without ...ident.Instance) {
	before := map[*fleet.Entry]ident.Revision{}
	for _, e := range w.Entries {
		s, err := w.status(e)
		w.must(err)
		before[e] = s.EntriesRevision
	}
	w.must(w.PublishEntries(w.ctx, without...))
	for e, revision := range before {
		w.until(func() error {
			s, err := w.status(e)
			if err == nil && s.EntriesRevision <= revision {
				err = fmt.Errorf("%s still has list %d", e.Name, s.EntriesRevision)
			}
			return err
		})
	}
}

var onceGroups = map[string][]onceCase{
	"died": {
		{name: "killed", disturb: func(_ *world, o *fleet.Entry) { o.Kill() }, heal: func(w *world, o *fleet.Entry) { w.must(w.StartEntry(o)) }},
		{name: "restarted under its id", disturb: restart, heal: nothing},
		{name: "restarted twice", disturb: restart, heal: restart},
	},
	"frozen": {
		{name: "frozen and thawed", disturb: func(w *world, o *fleet.Entry) {
			o.Freeze()
			awaitUnreachable(w, o)
		}, heal: func(_ *world, o *fleet.Entry) { o.Thaw() }},
		{name: "frozen in a cut", before: cutOwner(false, true), disturb: func(_ *world, o *fleet.Entry) {
			o.Freeze()
		}, heal: func(w *world, o *fleet.Entry) {
			cutOwner(false, false)(w, o)
			o.Thaw()
		}},
	},
	"cut": {
		{name: "cut inbound", disturb: cutOwner(true, false), heal: cutOwner(false, false)},
		{name: "cut outbound", disturb: cutOwner(false, true), heal: cutOwner(false, false)},
		{name: "cut both ways", disturb: cutOwner(true, true), heal: cutOwner(false, false)},
	},
	"list": {
		{name: "taken off the list and put back", disturb: func(w *world, o *fleet.Entry) { list(w, o.Plan.ID) }, heal: func(w *world, _ *fleet.Entry) { list(w) }},
		{
			name:    "service closes after it read",
			before:  serviceFault(`{"faults":[{"kind":"close-after-read","count":2}]}`),
			disturb: nothing, heal: nothing,
		},
	},
	"hang": {
		{
			name:    "service hangs after it ran",
			before:  serviceFault(`{"faults":[{"kind":"hang-after-run","count":2}]}`),
			disturb: nothing, heal: nothing,
		},
	},
	"refusal": {
		{
			name:    "service refuses then resets",
			before:  serviceFault(`{"faults":[{"kind":"refuse-before-run","count":1},{"kind":"reset","count":1}]}`),
			disturb: nothing, heal: nothing,
		},
	},
}

var onceShape = shape{
	entries:      []string{"west-1", "west-2", "north-1"},
	services:     []string{"west-1", "west-2", "north-1"},
	serviceFlags: []string{"-work-time", "200ms"},
}

// TestAtMostOnce tries the same keys through every entry before, during and after a
// disturbance of their owner.
func TestAtMostOnce(t *testing.T) {
	for name, cases := range onceGroups {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := start(t, onceShape)
			for _, c := range cases {
				c.run(t, w)
			}
		})
	}
}

func (c *onceCase) run(t *testing.T, w *world) {
	owner := w.entry("west-1")
	w.settle()
	if c.before != nil {
		c.before(w, owner)
	}
	b := w.newBooking(owner, c.name)
	b.untilRunning(w.Entries)
	c.disturb(w, owner)
	b.send(w.Entries)
	b.tries.Wait()
	c.heal(w, owner)
	b.send(w.Entries)
	t.Run(c.name, b.check)
	serviceFault(`{"faults":[]}`)(w, owner)
}

// TestAtMostOnceAcrossHandover stops the owner gracefully, tries its keys, kills the
// successor that took its records, and tries them again.
func TestAtMostOnceAcrossHandover(t *testing.T) {
	t.Parallel()
	s := onceShape
	s.entries = []string{"west-1", "west-2", "west-3", "north-1"}
	w := start(t, s)
	owner := w.entry("west-1")
	b := w.newBooking(owner, "handover")
	b.untilRunning(w.Entries)
	owner.Signal(syscall.SIGTERM)
	b.send(w.others(owner))
	w.must(owner.Wait(w.ctx))
	b.tries.Wait()
	held := len(b.started())
	b.send(w.others(owner))
	b.tries.Wait()
	if now := len(b.started()); now != held {
		t.Errorf("%d keys ran after the handover", now-held)
	}
	var successor *fleet.Entry
	for _, e := range w.others(owner) {
		if strings.Contains(e.Log(), "records taken over") {
			successor = e
		}
	}
	if successor == nil {
		t.Fatal("nobody took the records over")
	}
	successor.Kill()
	left := w.others(owner)
	b.send(left)
	b.tries.Wait()
	w.must(w.StartEntry(owner))
	w.must(w.StartEntry(successor))
	w.settle()
	b.send(w.Entries)
	b.check(t)
}
