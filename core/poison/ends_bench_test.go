package poison

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// evidenceShapes are the parts of lost requests, by the number of the request.
var evidenceShapes = map[string]func(r *rand.Rand, losses, n, part int) string{
	// Requests of a few sessions share all their parts.
	"sessions": func(_ *rand.Rand, _, n, part int) string { return fmt.Sprint("session-", n%8, "-", part) },
	// Each part is held by some four requests, no two sets of requests alike.
	"mixed": func(r *rand.Rand, losses, _, _ int) string { return fmt.Sprint("part-", r.IntN(losses*8)) },
	// As mixed, of one upstream, all in a second.
	"mixed-one-end": func(r *rand.Rand, losses, _, _ int) string { return fmt.Sprint("part-", r.IntN(losses*8)) },
	// All hold one part, the others are new.
	"one": func(_ *rand.Rand, _, n, part int) string {
		if part == 0 {
			return "deadly"
		}
		return fmt.Sprint("own-", n, "-", part)
	},
}

// newEvidence returns a detector that has seen losses of requests of some parts, in moments of two.
func newEvidence(name string, losses, parts int) *Detector {
	d, shape := &Detector{Self: "a"}, evidenceShapes[name]
	r := rand.New(rand.NewPCG(1, 1))
	for n := range losses {
		traits := gossip.Traits{Fingerprint: gossip.TraitKey(n + 1)}
		for part := range parts {
			traits.Parts = append(traits.Parts, PartKey(shape(r, losses, n, part)))
		}
		upstream, seconds := ident.Upstream(fmt.Sprint("u-", n/2%6)), float64(n/2)
		if name == "mixed-one-end" {
			upstream, seconds = "u", float64(n%8)*0.12
		}
		d.addLost(lostRequest{id: LossID(fmt.Sprint(n), upstream), traits: traits, at: at(seconds), told: true})
	}
	return d
}

// BenchmarkUpdate measures what follows a lost request, by the losses that are held.
func BenchmarkUpdate(b *testing.B) {
	const parts = 32
	for name := range evidenceShapes {
		for _, losses := range []int{16, 32, 64, 128, 256} {
			b.Run(fmt.Sprintf("%s/%d", name, losses), func(b *testing.B) {
				d := newEvidence(name, losses, parts)
				b.ReportAllocs()
				for b.Loop() {
					d.update(at(300))
				}
			})
		}
	}
}

// allocated returns the bytes that an update allocates.
func allocated(d *Detector) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	d.update(at(300))
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestCostOfUpdate guards against an update whose cost grows with the square of the losses: it holds the lock that
// the check of each request takes. Four times as many losses may cost five times as much.
func TestCostOfUpdate(t *testing.T) {
	const parts = 32
	for name := range evidenceShapes {
		few, many := newEvidence(name, 64, parts), newEvidence(name, 256, parts)
		// The first update drops what is too much.
		allocated(few)
		allocated(many)
		if a, b := allocated(few), allocated(many); b > 5*a {
			t.Errorf("%s: %d bytes for 64 losses, %d for 256", name, a, b)
		}
	}
}

// TestExplainedBesideMany guards against refusing parts that were lost with a part that ends upstreams, if there
// are more of them at each end than causes are held.
func TestExplainedBesideMany(t *testing.T) {
	d := &Detector{Self: "a"}
	for end := range 4 {
		seconds, upstream := float64(1+2*end), ident.Upstream(fmt.Sprint("i-", end))
		loseAt(d, seconds, fmt.Sprint("bad-", end), upstream, keys("deadly"), Waiting)
		for n := range 3 * maxCausesOfSlot {
			if n%4 != end {
				loseAt(d, seconds, fmt.Sprint("sound-", n), upstream, keys(fmt.Sprint("victim-", n)), Waiting)
			}
		}
	}
	if !refused(d, 9, "deadly") {
		t.Error("the part that ends upstreams is sent")
	}
	for n := range 3 * maxCausesOfSlot {
		if refused(d, 9, fmt.Sprint("victim-", n)) {
			t.Fatalf("victim-%d is refused", n)
		}
	}
}
