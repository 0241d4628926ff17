package proof

import (
	"fmt"
	"testing"

	"arbutustrestle/core/table"
)

// TestPlatformFaults lets the platform be slow, refuse reads, hang and be down, both
// while instances run and when they all start at once.
func TestPlatformFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, fault string
		// readable is set when instances can still read something at last.
		readable bool
	}{
		{"rate limited", `{"rate":10}`, true},
		{"slow", `{"slow-ms":700}`, true},
		{"hangs", `{"hang":true}`, false},
		{"unavailable", `{"down":"unavailable"}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := start(t, shape{
				entries:     []string{"west-1", "west-2", "north-1"},
				engines:     []string{"west-1", "north-1"},
				engineFlags: []string{"-step-time", "10ms"},
			})
			w.faultWhileRunning(c.fault, c.readable)
			w.faultAtStart(c.fault, c.readable)
		})
	}
}

// faultWhileRunning shows that requests are served through the fault, and that a
// change comes in force: during it if anything can be read, else after it.
func (w *world) faultWhileRunning(fault string, readable bool) {
	w.t.Helper()
	load := w.steady("everywhere", w.Entries...)
	load.untilMore(w, 20)
	w.must(w.Platform.SetFault(w.ctx, fault))
	w.must(w.SetCell(table.WorkspacesSheet, "everywhere", "in-flight", "70"))
	if readable {
		w.must(w.PublishTable(w.ctx, "during the fault"))
		for _, e := range w.Entries {
			w.inForce(e, w.Revision)
		}
	} else {
		w.until(func() error { return w.downSeen() })
	}
	load.untilMore(w, 100)
	w.must(w.Platform.SetFault(w.ctx, `{}`))
	w.must(w.PublishTable(w.ctx, "after the fault"))
	w.settle()
	load.untilMore(w, 20)
	if failed := load.stop(); len(failed) > 0 {
		w.t.Errorf("%d requests failed: %s", len(failed), failed[0])
	}
}

// downSeen returns nil once some instance has noticed that the platform is down.
func (w *world) downSeen() error {
	for _, e := range w.Entries {
		if s, err := w.status(e); err == nil && s.PlatformDown {
			return nil
		}
	}
	return fmt.Errorf("nobody has noticed")
}

// faultAtStart starts all instances at once under the fault.
func (w *world) faultAtStart(fault string, readable bool) {
	w.t.Helper()
	for _, e := range w.Entries {
		e.Kill()
	}
	w.must(w.Platform.SetFault(w.ctx, fault))
	for _, e := range w.Entries {
		w.must(w.StartEntry(e))
	}
	if !readable {
		// Without a table nothing is served and nothing is made up.
		w.until(func() error {
			s, err := w.status(w.Entries[0])
			if err == nil && s.TableRevision != 0 {
				w.t.Errorf("%s has %d in force", s.Instance, s.TableRevision)
			}
			return err
		})
		w.must(w.Platform.SetFault(w.ctx, `{}`))
	}
	for _, e := range w.Entries {
		w.inForce(e, w.Revision)
	}
	w.must(w.Platform.SetFault(w.ctx, `{}`))
	w.settle()
	load := w.steady("everywhere", w.Entries...)
	load.untilMore(w, 20)
	if failed := load.stop(); len(failed) > 0 {
		w.t.Errorf("%d requests failed after the start: %s", len(failed), failed[0])
	}
}
