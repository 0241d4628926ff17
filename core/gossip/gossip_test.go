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

// network runs instances on a virtual clock, with a delay between them.
type network struct {
	t       *testing.T
	now     time.Time
	states  map[netip.AddrPort]*State
	seeds   []netip.AddrPort
	isCut   func(from, to netip.AddrPort) bool
	pending []delivery
	// records counts the records sent, and remote the heartbeats to other regions.
	records, remote int
	// targets holds the addresses in other regions that heartbeats were sent to.
	targets map[[2]netip.AddrPort]struct{}
}

type delivery struct {
	at      time.Time
	to      netip.AddrPort
	records []Record
}

const networkDelay = 55 * time.Millisecond

func newNetwork(t *testing.T) *network {
	return &network{t: t, now: time.Unix(1_800_000_000, 0), states: map[netip.AddrPort]*State{}, targets: map[[2]netip.AddrPort]struct{}{}}
}

// region returns the region of the instance with an address: they are assigned in turn.
func region(a netip.AddrPort) int {
	b := a.Addr().As4()
	return (int(b[2])<<8 + int(b[3])) % 3
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// start starts instance n, or restarts it. Instances are assigned to three regions in
// turn.
func (w *network) start(n int, run uint64) {
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

func (w *network) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(TickInterval) {
		w.deliver()
		for from, s := range w.states {
			for _, send := range s.DueHeartbeats(w.now) {
				w.records += len(send.Records)
				if region(from) != region(send.Address) {
					w.remote++
					w.targets[[2]netip.AddrPort{from, send.Address}] = struct{}{}
				}
				if w.isCut == nil || !w.isCut(from, send.Address) {
					w.pending = append(w.pending, delivery{w.now.Add(networkDelay), send.Address, send.Records})
				}
			}
		}
	}
	w.deliver()
}

func (w *network) deliver() {
	for _, d := range w.pending {
		if s := w.states[d.to]; s != nil {
			s.Receive(w.now, d.records)
		}
	}
	w.pending = w.pending[:0]
}

// ready returns the instances of a region that instance n names to callers.
func (w *network) ready(n int, region int) []netip.AddrPort {
	name := ident.Region(fmt.Sprintf("region-%d", region))
	list := w.states[address(n)].View(w.now).ReadyAddresses(name, "")
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

func (w *network) expectReady(n, region int, instances ...int) {
	w.t.Helper()
	want := make([]netip.AddrPort, 0, len(instances))
	for _, e := range instances {
		want = append(want, netip.AddrPortFrom(address(e).Addr(), 8000))
	}
	if got := w.ready(n, region); !slices.Equal(got, want) {
		w.t.Errorf("instance %d names %v in region %d, not %v", n, got, region, want)
	}
}

func newStartedNetwork(t *testing.T) *network {
	w := newNetwork(t)
	w.seeds = []netip.AddrPort{address(1), address(2), address(200)}
	for n := range 9 {
		w.start(n, 1)
	}
	w.advance(5 * time.Second)
	return w
}

// Instances that start with nothing but seeds, one of them down, find all others.
func TestJoin(t *testing.T) {
	w := newStartedNetwork(t)
	for n := range 9 {
		w.expectReady(n, 0, 0, 3, 6)
		w.expectReady(n, 1, 1, 4, 7)
	}
}

// A killed instance is no longer named to callers after aliveTimeout, and a draining one
// after its next heartbeat.
func TestLeave(t *testing.T) {
	w := newStartedNetwork(t)
	delete(w.states, address(4))
	w.states[address(7)].UpdateSelf(func(r *Record) { r.Phase = member.Draining })
	w.advance(2 * HeartbeatInterval)
	w.expectReady(0, 1, 1, 4)
	w.advance(aliveTimeout)
	w.expectReady(0, 1, 1)
	w.expectReady(1, 1, 1)
}

// A restarted instance counts as its new incarnation, and late records of the old one
// change nothing.
func TestRestart(t *testing.T) {
	w := newStartedNetwork(t)
	old := w.states[address(4)].self
	old.Sequence += 100
	old.Phase = member.Stopped
	w.start(4, 2)
	w.advance(2 * time.Second)
	w.states[address(0)].Receive(w.now, []Record{w.states[address(1)].self, old})
	w.expectReady(0, 1, 1, 4, 7)
}

// All instances are killed and restarted at once, with the same seeds.
func TestAllRestart(t *testing.T) {
	w := newStartedNetwork(t)
	clear(w.states)
	for n := range 9 {
		w.start(n, 2)
	}
	w.advance(5 * time.Second)
	for n := range 9 {
		w.expectReady(n, 2, 2, 5, 8)
	}
}

// Instances that start together find each other within a second, though the seeds are the
// last to start.
func TestFastJoin(t *testing.T) {
	w := newNetwork(t)
	w.seeds = []netip.AddrPort{address(1), address(2), address(200)}
	for _, n := range []int{0, 3, 4, 5, 6, 7, 8} {
		w.start(n, 1)
	}
	w.advance(300 * time.Millisecond)
	w.start(1, 1)
	w.start(2, 1)
	w.advance(time.Second)
	for n := range 9 {
		w.expectReady(n, 0, 0, 3, 6)
		w.expectReady(n, 1, 1, 4, 7)
		w.expectReady(n, 2, 2, 5, 8)
	}
}

// Regions that are partitioned from each other name their own instances, and find each
// other again after the partition though one of them holds no seed.
func TestPartition(t *testing.T) {
	w := newStartedNetwork(t)
	w.isCut = func(from, to netip.AddrPort) bool {
		return from.Addr().As4()[3]%3 != to.Addr().As4()[3]%3
	}
	w.advance(10 * time.Second)
	w.expectReady(0, 0, 0, 3, 6)
	w.expectReady(0, 1)
	w.expectReady(1, 1, 1, 4, 7)
	w.isCut = nil
	w.advance(5 * time.Second)
	w.expectReady(0, 1, 1, 4, 7)
	w.expectReady(1, 0, 0, 3, 6)
}

// An instance whose heartbeats don't arrive is in no other view, though it receives
// heartbeats from the others.
func TestOneWayPartition(t *testing.T) {
	w := newStartedNetwork(t)
	w.isCut = func(from, _ netip.AddrPort) bool { return from == address(4) }
	w.advance(6 * time.Second)
	w.expectReady(0, 1, 1, 7)
	w.expectReady(4, 1, 1, 4, 7)
}

// An instance whose process was paused doesn't consider its peers silent.
func TestProcessPause(t *testing.T) {
	w := newStartedNetwork(t)
	paused := w.states[address(0)]
	delete(w.states, address(0))
	w.advance(8 * time.Second)
	w.states[address(0)] = paused
	w.advance(HeartbeatInterval)
	w.expectReady(0, 1, 1, 4, 7)
}
