package gossip

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// world is entries under one virtual clock, with a delay between them.
type world struct {
	t       *testing.T
	now     time.Time
	states  map[netip.AddrPort]*State
	seeds   []netip.AddrPort
	cut     func(from, to netip.AddrPort) bool
	pending []delivery
	// records counts those that were sent.
	records int
}

type delivery struct {
	at      time.Time
	to      netip.AddrPort
	records []Record
}

const delay = 55 * time.Millisecond

func newWorld(t *testing.T) *world {
	return &world{t: t, now: time.Unix(1_800_000_000, 0), states: map[netip.AddrPort]*State{}}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// start starts entry n, or starts it again; regions are dealt by turns of three.
func (w *world) start(n int, run uint64) {
	record := Record{
		ID:            ident.Instance(fmt.Sprintf("entry-%d", n)),
		Incarnation:   run,
		Zone:          ident.Zone(fmt.Sprintf("zone-%d", n%3)),
		Region:        ident.Region(fmt.Sprintf("region-%d", n%3)),
		PeerAddress:   address(n),
		CallerAddress: netip.AddrPortFrom(address(n).Addr(), 8000),
		Phase:         member.Ready,
	}
	w.states[address(n)] = New(record, w.seeds, rand.New(rand.NewPCG(run, uint64(n))))
}

func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(TickInterval) {
		w.deliver()
		for from, s := range w.states {
			for _, send := range s.DueHeartbeats(w.now) {
				w.records += len(send.Records)
				if w.cut == nil || !w.cut(from, send.Address) {
					w.pending = append(w.pending, delivery{w.now.Add(delay), send.Address, send.Records})
				}
			}
		}
	}
	w.deliver()
}

func (w *world) deliver() {
	for _, d := range w.pending {
		if s := w.states[d.to]; s != nil {
			s.Receive(w.now, d.records)
		}
	}
	w.pending = w.pending[:0]
}

// ready returns the entries of a region that entry n names to callers.
func (w *world) ready(n int, region int) []netip.AddrPort {
	name := ident.Region(fmt.Sprintf("region-%d", region))
	list := w.states[address(n)].View(w.now).ReadyAddresses(name, "")
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

func (w *world) expect(n, region int, entries ...int) {
	w.t.Helper()
	want := make([]netip.AddrPort, 0, len(entries))
	for _, e := range entries {
		want = append(want, netip.AddrPortFrom(address(e).Addr(), 8000))
	}
	if got := w.ready(n, region); !slices.Equal(got, want) {
		w.t.Errorf("entry %d names %v in region %d, not %v", n, got, region, want)
	}
}

func started(t *testing.T) *world {
	w := newWorld(t)
	w.seeds = []netip.AddrPort{address(1), address(2), address(200)}
	for n := range 9 {
		w.start(n, 1)
	}
	w.pass(5 * time.Second)
	return w
}

// Entries that know only seeds, one of them down, find all others.
func TestMeet(t *testing.T) {
	w := started(t)
	for n := range 9 {
		w.expect(n, 0, 0, 3, 6)
		w.expect(n, 1, 1, 4, 7)
	}
}

// A killed entry leaves the answers after the silence, and a draining one with its
// next beat.
func TestLeave(t *testing.T) {
	w := started(t)
	delete(w.states, address(4))
	w.states[address(7)].UpdateSelf(func(r *Record) { r.Phase = member.Draining })
	w.pass(2 * HeartbeatInterval)
	w.expect(0, 1, 1, 4)
	w.pass(silentAfter)
	w.expect(0, 1, 1)
	w.expect(1, 1, 1)
}

// An entry that is started again counts as its new run, and late news of the old one
// changes nothing.
func TestRestart(t *testing.T) {
	w := started(t)
	old := w.states[address(4)].self
	old.Sequence += 100
	old.Phase = member.Stopped
	w.start(4, 2)
	w.pass(2 * time.Second)
	w.states[address(0)].Receive(w.now, []Record{w.states[address(1)].self, old})
	w.expect(0, 1, 1, 4, 7)
}

// All entries are killed and started again at once, with the seeds that they had.
func TestAllRestart(t *testing.T) {
	w := started(t)
	clear(w.states)
	for n := range 9 {
		w.start(n, 2)
	}
	w.pass(5 * time.Second)
	for n := range 9 {
		w.expect(n, 2, 2, 5, 8)
	}
}

// Entries that start together know each other within a second, though the seeds are the
// last to start.
func TestMeetSoon(t *testing.T) {
	w := newWorld(t)
	w.seeds = []netip.AddrPort{address(1), address(2), address(200)}
	for _, n := range []int{0, 3, 4, 5, 6, 7, 8} {
		w.start(n, 1)
	}
	w.pass(300 * time.Millisecond)
	w.start(1, 1)
	w.start(2, 1)
	w.pass(time.Second)
	for n := range 9 {
		w.expect(n, 0, 0, 3, 6)
		w.expect(n, 1, 1, 4, 7)
		w.expect(n, 2, 2, 5, 8)
	}
}

// Regions that are cut off from each other name their own entries, and find each other
// again after the cut though no seed is in one of them.
func TestIslands(t *testing.T) {
	w := started(t)
	w.cut = func(from, to netip.AddrPort) bool {
		return from.Addr().As4()[3]%3 != to.Addr().As4()[3]%3
	}
	w.pass(10 * time.Second)
	w.expect(0, 0, 0, 3, 6)
	w.expect(0, 1)
	w.expect(1, 1, 1, 4, 7)
	w.cut = nil
	w.pass(5 * time.Second)
	w.expect(0, 1, 1, 4, 7)
	w.expect(1, 0, 0, 3, 6)
}

// An entry whose beats don't arrive is heard of by nobody, though it hears the others.
func TestOneWayCut(t *testing.T) {
	w := started(t)
	w.cut = func(from, _ netip.AddrPort) bool { return from == address(4) }
	w.pass(6 * time.Second)
	w.expect(0, 1, 1, 7)
	w.expect(4, 1, 1, 4, 7)
}

// A process that stood still doesn't take its own silence for that of the others.
func TestPause(t *testing.T) {
	w := started(t)
	paused := w.states[address(0)]
	delete(w.states, address(0))
	w.pass(8 * time.Second)
	w.states[address(0)] = paused
	w.pass(HeartbeatInterval)
	w.expect(0, 1, 1, 4, 7)
}
