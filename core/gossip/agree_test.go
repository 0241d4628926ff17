package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// newAgreeingRegion runs instances of one region until they agree.
func newAgreeingRegion(t *testing.T, size int) *network {
	t.Helper()
	w := newNetwork(t)
	w.seeds = []netip.AddrPort{address(0), address(3)}
	for n := range size {
		w.start(3*n, 1)
	}
	w.advance(settleTime + 4*time.Second)
	for a, s := range w.states {
		if !s.View(w.now).RegionAgrees {
			t.Fatalf("%s doesn't agree after the start", a)
		}
	}
	return w
}

// TestRegionAgreementIsExclusive guards against two holders of one duty: whatever becomes
// of heartbeats and instances, two instances whose regions agree at the same time must
// have the same view, or views without a common instance.
func TestRegionAgreementIsExclusive(t *testing.T) {
	const size = 10
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newAgreeingRegion(t, size)
		run := uint64(1)
		for range 12 {
			w.isCut = randomCuts(random)
			if random.IntN(2) == 0 {
				run++
				w.start(3*random.IntN(size), run)
			}
			for end := w.now.Add(time.Duration(random.Int64N(int64(8 * time.Second)))); w.now.Before(end); {
				w.advance(TickInterval)
				expectExclusive(t, w)
			}
		}
	}
}

// An instance that nobody hears, but that hears the others, must have lost its agreement
// before the others agree without it.
func TestRegionAgreementOfUnheardInstance(t *testing.T) {
	for n := range 4 {
		w := newAgreeingRegion(t, 5)
		w.advance(time.Duration(n) * TickInterval)
		w.isCut = func(from, _ netip.AddrPort) bool { return from == address(0) }
		for range int((aliveTimeout + settleTime + 4*time.Second) / TickInterval) {
			w.advance(TickInterval)
			expectExclusive(t, w)
		}
		if !w.states[address(3)].View(w.now).RegionAgrees {
			t.Error("the others don't agree in the end")
		}
	}
}

// randomCuts cuts some directions between two instances, for as long as it is in use.
func randomCuts(random *rand.Rand) func(from, to netip.AddrPort) bool {
	type direction struct{ from, to netip.AddrPort }
	cut := map[direction]bool{}
	share := random.Float64() / 2
	return func(from, to netip.AddrPort) bool {
		d := direction{from, to}
		if _, drawn := cut[d]; !drawn {
			cut[d] = random.Float64() < share
		}
		return cut[d]
	}
}

func expectExclusive(t *testing.T, w *network) {
	t.Helper()
	var views [][]ident.Instance
	for _, s := range w.states {
		v := s.View(w.now)
		if !v.RegionAgrees {
			continue
		}
		mine := v.RegionInstances()
		for _, other := range views {
			if !slices.Equal(mine, other) && haveCommon(mine, other) {
				t.Fatalf("at %s, regions agree on %v and on %v", w.now, mine, other)
			}
		}
		views = append(views, mine)
	}
}

func haveCommon(a, b []ident.Instance) bool {
	return slices.ContainsFunc(a, func(id ident.Instance) bool { return slices.Contains(b, id) })
}

// The region must not agree for an instance that is alone, that is leaving, or that holds
// only the minority of the instances that it remembers; it must agree for the majority.
func TestRegionAgreementNeedsMajority(t *testing.T) {
	w := newAgreeingRegion(t, 5)
	w.isCut = cutApart([]netip.AddrPort{address(0), address(3)})
	w.advance(aliveTimeout + settleTime + 4*time.Second)
	for n, want := range map[int]bool{0: false, 3: false, 6: true, 9: true, 12: true} {
		if got := w.states[address(n)].View(w.now).RegionAgrees; got != want {
			t.Errorf("instance %d of the partitioned region agrees: %t", n, got)
		}
	}
	w.states[address(6)].UpdateSelf(func(r *Record) { r.Phase = member.Draining })
	if w.states[address(6)].View(w.now).RegionAgrees {
		t.Error("a leaving instance agrees")
	}
	alone := newNetwork(t)
	alone.start(0, 1)
	alone.advance(settleTime + 4*time.Second)
	if alone.states[address(0)].View(alone.now).RegionAgrees {
		t.Error("an instance that never met another one agrees")
	}
}

// An instance that has been the only one of its region for long agrees with itself, so that
// a region of one instance has its duties done; one that others fell silent to doesn't.
func TestRegionAgreementOfOneInstance(t *testing.T) {
	alone := newNetwork(t)
	alone.start(0, 1)
	alone.advance(aloneSettleTime + time.Second)
	if !alone.states[address(0)].View(alone.now).RegionAgrees {
		t.Error("the only instance doesn't agree")
	}
	w := newAgreeingRegion(t, 3)
	w.isCut = func(from, to netip.AddrPort) bool { return from == address(0) || to == address(0) }
	w.advance(aliveTimeout + aloneSettleTime + 4*time.Second)
	if w.states[address(0)].View(w.now).RegionAgrees {
		t.Error("an instance that remembers others agrees alone")
	}
}
