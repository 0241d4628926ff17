package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

var start = time.Unix(1_000_000, 0)

const workspace = ident.Workspace("house-1")

// fleet is the ledgers of one region and the heartbeats between them.
type fleet struct {
	names   []ident.Instance
	ledgers []*Limiter
	random  *rand.Rand
	now     time.Time
	// cut separates the first so many instances from the others; zero is no cut.
	cut int
}

func newFleet(count int) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(1, uint64(count)))}
	for i := range count {
		f.names = append(f.names, ident.Instance(fmt.Sprintf("entry-%d", i)))
		f.ledgers = append(f.ledgers, &Limiter{})
	}
	return f
}

// beat has every instance tell its peers; one heartbeat in ten is lost.
func (f *fleet) beat(now time.Time) {
	for i, l := range f.ledgers {
		var peers []ident.Instance
		for j, name := range f.names {
			if j != i {
				peers = append(peers, name)
			}
		}
		usages := l.PrepareHeartbeat(now, f.names[i], peers)
		for j, other := range f.ledgers {
			if j == i || f.random.IntN(10) == 0 || (f.cut > 0 && (i < f.cut) != (j < f.cut)) {
				continue
			}
			other.SetPeerClaims(f.names[i], usages)
		}
	}
}

// load is how the callers choose among the instances.
type load struct {
	name string
	at   func(f *fleet, second int) int
}

var loads = []load{
	{"even", func(f *fleet, _ int) int { return f.random.IntN(len(f.names)) }},
	{"one instance", func(*fleet, int) int { return 0 }},
	{"moving", func(f *fleet, second int) int { return second / 10 % len(f.names) }},
	{"skewed", func(f *fleet, _ int) int { return min(f.random.IntN(len(f.names)), f.random.IntN(len(f.names))) }},
}

// use offers so many requests a second for a minute and returns how many a second
// were admitted from the fifth second on, and the most in any second after it.
func (f *fleet) use(limits Limits, perSecond int, l load) (mean, most float64) {
	admitted := 0
	for second := range 60 {
		inSecond := 0
		for i := range perSecond {
			now := f.now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			at := f.ledgers[l.at(f, second)]
			if at.Admit(now, workspace, limits) == nil {
				inSecond++
				at.Release(workspace)
			}
		}
		f.now = f.now.Add(time.Second)
		f.beat(f.now)
		if second >= 5 {
			admitted += inSecond
			most = max(most, float64(inSecond))
		}
	}
	return float64(admitted) / 55, most
}

const limit = 100.0

// TestRequestsPerSecondHold bounds the error by what moves in a heartbeat: a tenth
// above the limit in the mean, and not much less than it when callers ask for more.
func TestRequestsPerSecondHold(t *testing.T) {
	for _, count := range []int{3, 9, 26} {
		for _, l := range loads {
			f := newFleet(count)
			mean, most := f.use(Limits{RequestsPerSecond: limit}, 200, l)
			t.Logf("%d instances, %s: %.1f a second, at most %.0f", count, l.name, mean, most)
			if mean > 1.1*limit || mean < 0.75*limit || most > 2.2*limit {
				t.Errorf("%d instances, %s: %.1f a second in the mean, at most %.0f of %.0f", count, l.name, mean, most, limit)
			}
			below, _ := newFleet(count).use(Limits{RequestsPerSecond: limit}, 50, l)
			if below < 0.9*50 {
				t.Errorf("%d instances, %s: %.1f of 50 a second admitted, the limit is %.0f", count, l.name, below, limit)
			}
		}
	}
}

// TestPlainWaysBreakTheBounds shows what the claims are for: a fixed part for each
// instance, and admitting what the others are known to have left.
func TestPlainWaysBreakTheBounds(t *testing.T) {
	for _, count := range []int{3, 9, 26} {
		fixed := limit / float64(count) // all that callers of one instance get
		last := make([]float64, count)
		most := 0.0
		for range 60 {
			sum, used := 0.0, make([]float64, count)
			for _, use := range last {
				sum += use
			}
			for i := range used {
				used[i] = min(2*limit/float64(count), max(0, limit-(sum-last[i])))
			}
			total := 0.0
			for _, use := range used {
				total += use
			}
			last, most = used, max(most, total)
		}
		t.Logf("%d instances: fixed parts admit %.1f at one instance, what is left admits up to %.0f", count, fixed, most)
		if fixed > 0.75*limit || most < 1.5*limit {
			t.Errorf("%d instances: %.1f and %.0f are within the bounds", count, fixed, most)
		}
	}
}

// TestCutKeepsClaims cuts the fleet in two after it has settled: as long as nobody
// is forgotten, silent peers keep what they claimed.
func TestCutKeepsClaims(t *testing.T) {
	for _, count := range []int{3, 9, 26} {
		f := newFleet(count)
		f.use(Limits{RequestsPerSecond: limit}, 200, loads[0])
		f.cut = (count + 1) / 2
		mean, _ := f.use(Limits{RequestsPerSecond: limit}, 200, loads[0])
		for i, l := range f.ledgers {
			for j, name := range f.names {
				if (i < f.cut) != (j < f.cut) {
					l.RemovePeer(name)
				}
			}
		}
		apart, _ := f.use(Limits{RequestsPerSecond: limit}, 400, loads[0])
		t.Logf("%d instances: %.1f a second while silent, %.1f once forgotten", count, mean, apart)
		if mean > 1.1*limit || apart > 2.1*limit {
			t.Errorf("%d instances: %.1f a second while silent, %.1f once forgotten", count, mean, apart)
		}
	}
}

func TestInFlightAndTokens(t *testing.T) {
	f := newFleet(9)
	limits := Limits{InFlight: 30, TokensPerSecond: 1000}
	running, tokens := make([]int, 9), 0
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 40 {
			at := f.random.IntN(9)
			if f.ledgers[at].Admit(now, workspace, limits) == nil {
				running[at]++
			}
		}
		total := 0
		for at, l := range f.ledgers {
			total += running[at]
			l.AddTokens(now, workspace, 100*running[at])
			if second >= 10 {
				tokens += 100 * running[at]
			}
			for range running[at] {
				l.Release(workspace)
			}
			running[at] = 0
		}
		if second > 5 && total > 33 {
			t.Errorf("second %d: %d in flight, the limit is 30", second, total)
		}
		f.beat(now.Add(time.Second))
	}
	if mean := float64(tokens) / 50; mean > 1100 {
		t.Errorf("%.0f tokens a second, the limit is 1000", mean)
	}
}

func TestDivideAddsUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, wants := range [][]float64{{0, 0, 0}, {10, 10, 10}, {100, 1, 1}, {5, 0, 0}} {
		sum, all := 0.0, wants[0]+wants[1]+wants[2]
		for range 1000 {
			for _, own := range wants {
				sum += InstanceSlots(random, 37, own, all-own, len(wants)) / 1000
			}
		}
		if sum < 36 || sum > 38 {
			t.Errorf("wants %v: the parts add up to %.1f of 37", wants, sum)
		}
	}
	if InstanceSlots(random, 1, 0, 50, 26) < 1 {
		t.Error("a part must be of use")
	}
}

func ExampleLimiter() {
	var a, b Limiter
	peer := []ident.Instance{"b"}
	limits := Limits{InFlight: 10}
	for range 3 {
		a.Admit(start, "house-1", limits)
	}
	b.SetPeerClaims("a", a.PrepareHeartbeat(start.Add(time.Second), "a", peer))
	b.PrepareHeartbeat(start.Add(time.Second), "b", []ident.Instance{"a"})
	admitted := 0
	for b.Admit(start.Add(time.Second), "house-1", limits) == nil {
		admitted++
	}
	fmt.Println(admitted, "more at once")
	// Output: 4 more at once
}

func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{10, 93, 400, 1300} {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			l, limits, names := filled(count, 25)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = (i + 1) % count
				_ = l.Admit(start, names[i], limits)
				l.Release(names[i])
			}
		})
	}
}

func BenchmarkBeat(b *testing.B) {
	for _, count := range []int{10, 93, 400, 1300} {
		b.Run(fmt.Sprintf("workspaces=%d", count), func(b *testing.B) {
			l, _, _ := filled(count, 25)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.stale = true
				l.PrepareHeartbeat(now, l.self, append([]ident.Instance{}, l.peers...))
			}
		})
	}
}

// filled has all workspaces in use here and at as many of the peers as use it.
func filled(count, peers int) (*Limiter, Limits, []ident.Workspace) {
	l := &Limiter{}
	limits := Limits{RequestsPerSecond: 1000, InFlight: 1000, TokensPerSecond: 100_000}
	var names []ident.Workspace
	var others []ident.Instance
	for i := range peers {
		others = append(others, ident.Instance(fmt.Sprintf("entry-%d", i)))
	}
	for i := range count {
		names = append(names, ident.Workspace(fmt.Sprintf("workspace-%d", i)))
		_ = l.Admit(start, names[i], limits)
		l.SetPeerClaims(others[i%peers], append(l.heard[others[i%peers]], WorkspaceClaims{Workspace: names[i], Requests: Claim{Held: 10, Wanted: 10}}))
	}
	l.PrepareHeartbeat(start, "entry", others)
	return l, limits, names
}
