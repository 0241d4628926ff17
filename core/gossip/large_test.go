package gossip

import (
	"net/netip"
	"testing"
	"time"
)

// largeSize is the number of instances of the largest simulated installation, in three
// regions of 28.
const largeSize = 84

func newLargeNetwork(t *testing.T) *network {
	w := newNetwork(t)
	w.seeds = []netip.AddrPort{address(0), address(1), address(2)}
	for n := range largeSize {
		w.start(n, 1)
	}
	return w
}

// TestLargeNetwork starts all instances of a large installation at once. Each must have
// all others in its view soon, must never consider a running instance silent, and must
// send few records: at about 90 bytes each, 80 a second are the 7 KB/s that control
// traffic may take.
func TestLargeNetwork(t *testing.T) {
	w := newLargeNetwork(t)
	w.advance(2 * time.Second)
	for a, s := range w.states {
		if count := countAlive(s.View(w.now)); count != largeSize-1 {
			t.Fatalf("%s has %d others in its view after 2 s", a, count)
		}
	}
	before := w.records
	const span = 30 * time.Second
	for end := w.now.Add(span); w.now.Before(end); {
		w.advance(TickInterval)
		for a, s := range w.states {
			if count := countAlive(s.View(w.now)); count != largeSize-1 {
				t.Fatalf("%s considers %d others alive", a, count)
			}
		}
	}
	if rate := (w.records - before) / largeSize / int(span/time.Second); rate > 200 {
		t.Errorf("%d records a second from each instance", rate)
	}
}

// TestLargeAnnounce has an instance of a large installation announce that it drains. All
// other instances of its region must hold the new phase at once, since they name the
// instance to callers.
func TestLargeAnnounce(t *testing.T) {
	w := newLargeNetwork(t)
	w.advance(5 * time.Second)
	s := w.states[address(5)]
	s.UpdateSelf(func(r *Record) { r.Phase++ })
	s.Announce()
	w.advance(3 * TickInterval)
	for n := 2; n < largeSize; n += 3 {
		for _, m := range w.states[address(n)].View(w.now).Members {
			if m.PeerAddress == address(5) && m.Phase != s.self.Phase {
				t.Errorf("instance %d holds an old phase", n)
			}
		}
	}
}

func countAlive(v *View) int {
	n := 0
	for _, m := range v.Members {
		if m.Alive {
			n++
		}
	}
	return n
}
