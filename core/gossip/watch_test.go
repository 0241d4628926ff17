package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// simulatedRegion runs the instances of one region, each with its watcher election, on
// the virtual clock of a network. An instance that the platform rejects gets no responses
// and announces that it doesn't watch.
type simulatedRegion struct {
	*network
	elections map[netip.AddrPort]*WatcherElection
	rejected  map[netip.AddrPort]bool
	// lastCovered is when each instance last watched with success or could receive
	// heartbeats from one that did.
	lastCovered map[netip.AddrPort]time.Time
	// calls counts the responses of the platform, one for each watching instance and
	// tick.
	calls int
}

func newSimulatedRegion(t *testing.T, size int) *simulatedRegion {
	r := &simulatedRegion{network: newNetwork(t), elections: map[netip.AddrPort]*WatcherElection{}, rejected: map[netip.AddrPort]bool{}, lastCovered: map[netip.AddrPort]time.Time{}}
	r.seeds = []netip.AddrPort{address(0), address(3)}
	for n := range size {
		// Instances 0, 3, 6 and so on are of one region.
		r.start(3*n, 1)
		r.elections[address(3*n)] = &WatcherElection{}
	}
	return r
}

// run lets time pass and returns the longest time for which a running instance neither
// watched nor received heartbeats directly from a watcher.
func (r *simulatedRegion) run(d time.Duration) time.Duration {
	var longest time.Duration
	for end := r.now.Add(d); r.now.Before(end); {
		r.advance(TickInterval)
		for a, s := range r.states {
			longest = max(longest, r.step(a, s))
		}
	}
	return longest
}

// step makes one instance's decision and returns how long the instance has been without a
// source of changes.
func (r *simulatedRegion) step(a netip.AddrPort, s *State) time.Duration {
	v := s.View(r.now)
	watches := r.elections[a].ShouldWatch(r.now, v) && !r.rejected[a]
	s.UpdateSelf(func(own *Record) { own.WatchesPlatform = watches })
	if watches {
		r.calls++
	}
	for _, m := range v.Members {
		watches = watches || r.states[m.PeerAddress] != nil && r.states[m.PeerAddress].self.WatchesPlatform && !r.isCutBetween(m.PeerAddress, a)
	}
	if watches || r.lastCovered[a].IsZero() {
		r.lastCovered[a] = r.now
	}
	return r.now.Sub(r.lastCovered[a])
}

func (r *simulatedRegion) isCutBetween(from, to netip.AddrPort) bool {
	return r.isCut != nil && r.isCut(from, to)
}

// watching returns the instances that watch.
func (r *simulatedRegion) watching() (list []netip.AddrPort) {
	for a, s := range r.states {
		if s.self.WatchesPlatform {
			list = append(list, a)
		}
	}
	return list
}

func (r *simulatedRegion) stop(a netip.AddrPort) {
	delete(r.states, a)
}

// TestWatcherCount checks that regions of any size settle on two watchers, so that the
// platform serves no more calls for a region of 28 than for one of four.
func TestWatcherCount(t *testing.T) {
	for _, size := range []int{1, 2, 4, 12, 28} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			r := newSimulatedRegion(t, size)
			r.run(10 * time.Second)
			if got := len(r.watching()); got != min(size, wantedWatchers) {
				t.Fatalf("%d instances watch", got)
			}
			r.calls = 0
			r.run(20 * time.Second)
			if most := min(size, wantedWatchers) * int(20*time.Second/TickInterval); r.calls > most*11/10 {
				t.Errorf("%d ticks of watching, want about %d", r.calls, most)
			}
		})
	}
}

// maxUncovered bounds the time for which an instance has no source of changes. It leaves
// half of the 3 s in which a change must be active to the read.
const maxUncovered = 1500 * time.Millisecond

// TestWatcherFailures makes the watchers fail in several ways: no instance may be without
// a source of changes for long, and at least two instances watch in the end.
func TestWatcherFailures(t *testing.T) {
	for name, fail := range map[string]func(r *simulatedRegion, watching []netip.AddrPort){
		"one stops":                 func(r *simulatedRegion, w []netip.AddrPort) { r.stop(w[0]) },
		"both stop":                 func(r *simulatedRegion, w []netip.AddrPort) { r.stop(w[0]); r.stop(w[1]) },
		"one is rejected":           func(r *simulatedRegion, w []netip.AddrPort) { r.rejected[w[0]] = true },
		"both are rejected":         func(r *simulatedRegion, w []netip.AddrPort) { r.rejected[w[0]], r.rejected[w[1]] = true, true },
		"both are partitioned":      func(r *simulatedRegion, w []netip.AddrPort) { r.isCut = cutApart(w) },
		"their heartbeats get lost": func(r *simulatedRegion, w []netip.AddrPort) { r.isCut = cutFrom(w) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newSimulatedRegion(t, 12)
			r.run(10 * time.Second)
			fail(r, r.watching())
			if longest := r.run(8 * time.Second); longest > maxUncovered {
				t.Errorf("%v without a source of changes", longest)
			}
			if got := len(r.watching()); got < wantedWatchers || got > 2*wantedWatchers {
				t.Errorf("%d instances watch in the end", got)
			}
		})
	}
}

// TestStaggeredTakeover stops one of the watchers: the next in rank takes over, and not
// all instances at once.
func TestStaggeredTakeover(t *testing.T) {
	r := newSimulatedRegion(t, 28)
	r.run(10 * time.Second)
	r.stop(r.watching()[0])
	most := 0
	for range 80 {
		r.run(TickInterval)
		most = max(most, len(r.watching()))
	}
	if most > wantedWatchers+2 {
		t.Errorf("%d instances watched at once", most)
	}
}

func cutApart(some []netip.AddrPort) func(a, b netip.AddrPort) bool {
	return func(a, b netip.AddrPort) bool { return contains(some, a) != contains(some, b) }
}

func cutFrom(some []netip.AddrPort) func(a, b netip.AddrPort) bool {
	return func(a, b netip.AddrPort) bool { return contains(some, a) && !contains(some, b) }
}

func contains(some []netip.AddrPort, a netip.AddrPort) bool {
	for _, s := range some {
		if s == a {
			return true
		}
	}
	return false
}
