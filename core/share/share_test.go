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

// testRegion holds the limiters of one region and sends the heartbeats between them.
type testRegion struct {
	names    []ident.Instance
	limiters []*Limiter
	random   *rand.Rand
	now      time.Time
	// partition separates the first instances, of the given number, from the others;
	// zero means no partition.
	partition int
}

func newTestRegion(count int) *testRegion {
	f := &testRegion{now: start, random: rand.New(rand.NewPCG(1, uint64(count)))}
	for i := range count {
		f.names = append(f.names, ident.Instance(fmt.Sprintf("entry-%d", i)))
		f.limiters = append(f.limiters, &Limiter{})
	}
	return f
}

// sendHeartbeats sends the claims of every instance to its peers; one heartbeat in ten
// is lost.
func (r *testRegion) sendHeartbeats(now time.Time) {
	for i, l := range r.limiters {
		var peers []ident.Instance
		for j, name := range r.names {
			if j != i {
				peers = append(peers, name)
			}
		}
		claims := l.PrepareHeartbeat(now, r.names[i], peers)
		for j, other := range r.limiters {
			if j == i || r.random.IntN(10) == 0 || (r.partition > 0 && (i < r.partition) != (j < r.partition)) {
				continue
			}
			other.SetPeerClaims(r.names[i], claims)
		}
	}
}

// callerDistribution is the distribution of the callers over the instances.
type callerDistribution struct {
	name string
	at   func(f *testRegion, second int) int
}

var callerDistributions = []callerDistribution{
	{"even", func(f *testRegion, _ int) int { return f.random.IntN(len(f.names)) }},
	{"one instance", func(*testRegion, int) int { return 0 }},
	{"moving", func(f *testRegion, second int) int { return second / 10 % len(f.names) }},
	{"skewed", func(f *testRegion, _ int) int { return min(f.random.IntN(len(f.names)), f.random.IntN(len(f.names))) }},
}

// offer sends perSecond requests a second for a minute. It returns the mean number
// admitted per second from the fifth second on, and the peak of any second after it.
func (r *testRegion) offer(limits Limits, perSecond int, d callerDistribution) (mean, peak float64) {
	admitted := 0
	for second := range 60 {
		inSecond := 0
		for i := range perSecond {
			now := r.now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			at := r.limiters[d.at(r, second)]
			if at.Admit(now, workspace, limits) == nil {
				inSecond++
				at.Release(workspace)
			}
		}
		r.now = r.now.Add(time.Second)
		r.sendHeartbeats(r.now)
		if second >= 5 {
			admitted += inSecond
			peak = max(peak, float64(inSecond))
		}
	}
	return float64(admitted) / 55, peak
}

const limit = 100.0

// TestRequestsPerSecondWithinLimit bounds the error, which comes from the claims that
// move between two heartbeats: at most a tenth above the limit in the mean, and not
// much below it if callers demand more.
func TestRequestsPerSecondWithinLimit(t *testing.T) {
	for _, count := range []int{3, 9, 26} {
		for _, l := range callerDistributions {
			f := newTestRegion(count)
			mean, peak := f.offer(Limits{RequestsPerSecond: limit}, 200, l)
			t.Logf("%d instances, %s: %.1f per second, at most %.0f", count, l.name, mean, peak)
			if mean > 1.1*limit || mean < 0.75*limit || peak > 2.2*limit {
				t.Errorf("%d instances, %s: %.1f per second in the mean, at most %.0f; the limit is %.0f", count, l.name, mean, peak, limit)
			}
			below, _ := newTestRegion(count).offer(Limits{RequestsPerSecond: limit}, 50, l)
			if below < 0.9*50 {
				t.Errorf("%d instances, %s: %.1f of 50 per second admitted, the limit is %.0f", count, l.name, below, limit)
			}
		}
	}
}

// TestSimplerSchemesExceedTheBounds shows why claims are needed: it tries a fixed part
// for each instance, and admission into the rest that the peers left in the last
// interval.
func TestSimplerSchemesExceedTheBounds(t *testing.T) {
	for _, count := range []int{3, 9, 26} {
		fixed := limit / float64(count) // the most that callers of one instance get
		last := make([]float64, count)
		peak := 0.0
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
			last, peak = used, max(peak, total)
		}
		t.Logf("%d instances: fixed parts admit %.1f at one instance, the rest left by peers admits up to %.0f", count, fixed, peak)
		if fixed > 0.75*limit || peak < 1.5*limit {
			t.Errorf("%d instances: %.1f and %.0f are within the bounds", count, fixed, peak)
		}
	}
}

// TestPartitionKeepsClaims partitions the region after its claims have settled: until
// peers are removed, the claims of unreachable peers stay valid.
func TestPartitionKeepsClaims(t *testing.T) {
	for _, count := range []int{3, 9, 26} {
		f := newTestRegion(count)
		f.offer(Limits{RequestsPerSecond: limit}, 200, callerDistributions[0])
		f.partition = (count + 1) / 2
		mean, _ := f.offer(Limits{RequestsPerSecond: limit}, 200, callerDistributions[0])
		for i, l := range f.limiters {
			for j, name := range f.names {
				if (i < f.partition) != (j < f.partition) {
					l.RemovePeer(name)
				}
			}
		}
		afterRemoval, _ := f.offer(Limits{RequestsPerSecond: limit}, 400, callerDistributions[0])
		t.Logf("%d instances: %.1f per second while partitioned, %.1f after the removal", count, mean, afterRemoval)
		if mean > 1.1*limit || afterRemoval > 2.1*limit {
			t.Errorf("%d instances: %.1f per second while partitioned, %.1f after the removal", count, mean, afterRemoval)
		}
	}
}

func TestInFlightAndTokens(t *testing.T) {
	f := newTestRegion(9)
	limits := Limits{InFlight: 30, TokensPerSecond: 1000}
	running, tokens := make([]int, 9), 0
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		for range 40 {
			at := f.random.IntN(9)
			if f.limiters[at].Admit(now, workspace, limits) == nil {
				running[at]++
			}
		}
		total := 0
		for at, l := range f.limiters {
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
		f.sendHeartbeats(now.Add(time.Second))
	}
	if mean := float64(tokens) / 50; mean > 1100 {
		t.Errorf("%.0f tokens per second, the limit is 1000", mean)
	}
}

func TestInstanceSlotsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, wants := range [][]float64{{0, 0, 0}, {10, 10, 10}, {100, 1, 1}, {5, 0, 0}} {
		sum, total := 0.0, wants[0]+wants[1]+wants[2]
		for range 1000 {
			for _, own := range wants {
				sum += InstanceSlots(random, 37, own, total-own, len(wants)) / 1000
			}
		}
		if sum < 36 || sum > 38 {
			t.Errorf("demand %v: the parts add up to %.1f of 37", wants, sum)
		}
	}
	if InstanceSlots(random, 1, 0, 50, 26) < 1 {
		t.Error("a part must be at least one slot")
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
			l, limits, names := newFilledLimiter(count, 25)
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
			l, _, _ := newFilledLimiter(count, 25)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.totalsStale = true
				l.PrepareHeartbeat(now, l.self, append([]ident.Instance{}, l.peers...))
			}
		})
	}
}

// newFilledLimiter returns a limiter with all workspaces in use, each also at one of
// the peers.
func newFilledLimiter(count, peers int) (*Limiter, Limits, []ident.Workspace) {
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
		l.SetPeerClaims(others[i%peers], append(l.peerClaims[others[i%peers]], WorkspaceClaims{Workspace: names[i], Requests: Claim{Held: 10, Wanted: 10}}))
	}
	l.PrepareHeartbeat(start, "entry", others)
	return l, limits, names
}
