package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// large is the number of entries of the largest installation that is played, in three
// regions of 28.
const large = 84

func newLarge(t *testing.T) *world {
	w := newWorld(t)
	w.seeds = []netip.AddrPort{address(0), address(1), address(2)}
	for n := range large {
		w.start(n, 1)
	}
	return w
}

// TestLarge starts all entries of a large installation at once. They have to know each
// other soon, never believe one silent that isn't, and send few records: at some 90
// bytes each, 80 a second are the 7 KB/s that control may take.
func TestLarge(t *testing.T) {
	w := newLarge(t)
	w.pass(2 * time.Second)
	for a, s := range w.states {
		if known := alive(s.View(w.now)); known != large-1 {
			t.Fatalf("%s knows %d others after 2 s", a, known)
		}
	}
	before := w.records
	const span = 30 * time.Second
	for end := w.now.Add(span); w.now.Before(end); {
		w.pass(TickInterval)
		for a, s := range w.states {
			if known := alive(s.View(w.now)); known != large-1 {
				t.Fatalf("%s believes %d others alive", a, known)
			}
		}
	}
	if rate := (w.records - before) / large / int(span/time.Second); rate > 200 {
		t.Errorf("%d records a second from each entry", rate)
	}
}

// TestLargeAnnounce has an entry of a large installation say that it drains: all others
// of its region have to know at once, since they name it to callers.
func TestLargeAnnounce(t *testing.T) {
	w := newLarge(t)
	w.pass(5 * time.Second)
	s := w.states[address(5)]
	s.UpdateSelf(func(r *Record) { r.Phase++ })
	s.Announce()
	w.pass(3 * TickInterval)
	for n := 2; n < large; n += 3 {
		for _, m := range w.states[address(n)].View(w.now).Members {
			if m.PeerAddress == address(5) && m.Phase != s.self.Phase {
				t.Errorf("entry %d doesn't know", n)
			}
		}
	}
}

func alive(v *View) int {
	n := 0
	for _, m := range v.Members {
		if m.Alive {
			n++
		}
	}
	return n
}
