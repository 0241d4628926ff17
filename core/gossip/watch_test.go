package gossip

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// region is entries of one region, each with its turn, under the virtual clock of a
// world. An entry that the platform turns away watches in vain and says so.
type region struct {
	*world
	turns  map[netip.AddrPort]*WatcherElection
	turned map[netip.AddrPort]bool
	// covered is when each entry last watched with success or could hear one that did.
	covered map[netip.AddrPort]time.Time
	// calls counts the answers of the platform, one for each entry and tick that watches.
	calls int
}

func newRegion(t *testing.T, size int) *region {
	r := &region{world: newWorld(t), turns: map[netip.AddrPort]*WatcherElection{}, turned: map[netip.AddrPort]bool{}, covered: map[netip.AddrPort]time.Time{}}
	r.seeds = []netip.AddrPort{address(0), address(3)}
	for n := range size {
		// Entries 0, 3, 6 and so on are of one region.
		r.start(3*n, 1)
		r.turns[address(3*n)] = &WatcherElection{}
	}
	return r
}

// spend lets time pass and returns the longest time for which a running entry neither
// watched nor heard directly of one that does.
func (r *region) spend(d time.Duration) time.Duration {
	var longest time.Duration
	for end := r.now.Add(d); r.now.Before(end); {
		r.pass(TickInterval)
		for a, s := range r.states {
			longest = max(longest, r.step(a, s))
		}
	}
	return longest
}

// step takes one entry's decision and returns how long it has been without word.
func (r *region) step(a netip.AddrPort, s *State) time.Duration {
	v := s.View(r.now)
	watches := r.turns[a].ShouldWatch(r.now, v) && !r.turned[a]
	s.UpdateSelf(func(own *Record) { own.WatchesPlatform = watches })
	if watches {
		r.calls++
	}
	for _, m := range v.Members {
		watches = watches || r.states[m.PeerAddress] != nil && r.states[m.PeerAddress].self.WatchesPlatform && !r.isCut(m.PeerAddress, a)
	}
	if watches || r.covered[a].IsZero() {
		r.covered[a] = r.now
	}
	return r.now.Sub(r.covered[a])
}

func (r *region) isCut(from, to netip.AddrPort) bool {
	return r.cut != nil && r.cut(from, to)
}

// watching returns the entries that watch.
func (r *region) watching() (list []netip.AddrPort) {
	for a, s := range r.states {
		if s.self.WatchesPlatform {
			list = append(list, a)
		}
	}
	return list
}

func (r *region) stop(a netip.AddrPort) {
	delete(r.states, a)
}

// TestFewWatch has regions of any size settle on two entries that watch, which costs
// the platform no more in a region of 28 than in one of four.
func TestFewWatch(t *testing.T) {
	for _, size := range []int{1, 2, 4, 12, 28} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			r := newRegion(t, size)
			r.spend(10 * time.Second)
			if got := len(r.watching()); got != min(size, watchers) {
				t.Fatalf("%d watch", got)
			}
			r.calls = 0
			r.spend(20 * time.Second)
			if most := min(size, watchers) * int(20*time.Second/TickInterval); r.calls > most*11/10 {
				t.Errorf("%d ticks of watching, want about %d", r.calls, most)
			}
		})
	}
}

// without bounds the time in which an entry has nobody to hear changes from: it leaves
// half of the 3 s in which a change must be in force to the read.
const without = 1500 * time.Millisecond

// TestWatchersGo takes those who watch away in several ways: no entry may be without
// word for long, and two watch again in the end.
func TestWatchersGo(t *testing.T) {
	for name, harm := range map[string]func(r *region, watching []netip.AddrPort){
		"one stops":            func(r *region, w []netip.AddrPort) { r.stop(w[0]) },
		"both stop":            func(r *region, w []netip.AddrPort) { r.stop(w[0]); r.stop(w[1]) },
		"one is turned away":   func(r *region, w []netip.AddrPort) { r.turned[w[0]] = true },
		"both are":             func(r *region, w []netip.AddrPort) { r.turned[w[0]], r.turned[w[1]] = true, true },
		"both are cut off":     func(r *region, w []netip.AddrPort) { r.cut = apart(w) },
		"their beats get lost": func(r *region, w []netip.AddrPort) { r.cut = from(w) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegion(t, 12)
			r.spend(10 * time.Second)
			harm(r, r.watching())
			if longest := r.spend(8 * time.Second); longest > without {
				t.Errorf("%v without word", longest)
			}
			if got := len(r.watching()); got < watchers || got > 2*watchers {
				t.Errorf("%d watch in the end", got)
			}
		})
	}
}

// TestOthersTakeOver stops one of those who watch: the next in rank follows, and not
// all at once.
func TestOthersTakeOver(t *testing.T) {
	r := newRegion(t, 28)
	r.spend(10 * time.Second)
	r.stop(r.watching()[0])
	most := 0
	for range 80 {
		r.spend(TickInterval)
		most = max(most, len(r.watching()))
	}
	if most > watchers+2 {
		t.Errorf("%d watched at once", most)
	}
}

func apart(some []netip.AddrPort) func(a, b netip.AddrPort) bool {
	return func(a, b netip.AddrPort) bool { return in(some, a) != in(some, b) }
}

func from(some []netip.AddrPort) func(a, b netip.AddrPort) bool {
	return func(a, b netip.AddrPort) bool { return in(some, a) && !in(some, b) }
}

func in(some []netip.AddrPort, a netip.AddrPort) bool {
	for _, s := range some {
		if s == a {
			return true
		}
	}
	return false
}
