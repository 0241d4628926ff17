package poison

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"arbutustrestle/core/gossip"
)

// soundParts is more than one report holds.
const soundParts = 3 * maxReportedSound

// overfull returns an instance that has more to report than one report holds: lost requests, and
// sound traits of another.
func overfull(random *rand.Rand) *Detector {
	d := &Detector{Self: "entry-1", Random: random}
	for n := range 3 * maxReported {
		d.RequestLost(at(0), uint64(n+1), request(gossip.TraitKey(1000+n), fmt.Sprint("lost-", n)), Waiting)
	}
	var parts []string
	for n := range soundParts {
		parts = append(parts, fmt.Sprint("sound-", n))
	}
	d.RequestLost(at(0.01), 10_000, keys(parts...), Waiting)
	d.AnswerSound(at(0.02), keys(parts...))
	return d
}

// TestReportsRepeat guards against runs that can't be played again: what a report has no room for
// depends on nothing but the evidence and the source that was passed in.
func TestReportsRepeat(t *testing.T) {
	seeded := func(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
	for _, c := range []struct {
		name string
		a, b *Detector
		same bool
	}{
		{"the same seed", overfull(seeded(1)), overfull(seeded(1)), true},
		{"different seeds", overfull(seeded(1)), overfull(seeded(2)), false},
		{"no source", overfull(nil), overfull(nil), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for n := range 5 {
				now := at(0.1 * float64(n+1))
				a, b := c.a.Evidence(now), c.b.Evidence(now)
				if len(a.Lost) != maxReported || len(a.Sound) != maxReportedSound {
					t.Fatalf("report %d has %d lost requests and %d sound traits, so that nothing is left out", n, len(a.Lost), len(a.Sound))
				}
				if reflect.DeepEqual(a.Lost, b.Lost) != c.same {
					t.Errorf("report %d: lost requests equal %v", n, !c.same)
				}
				if reflect.DeepEqual(a.Sound, b.Sound) != c.same {
					t.Errorf("report %d: sound traits equal %v", n, !c.same)
				}
			}
		})
	}
}

// TestReportsTakeTurns guards against evidence that no report ever has room for.
func TestReportsTakeTurns(t *testing.T) {
	d := overfull(nil)
	lost, sound := map[uint64]struct{}{}, map[gossip.TraitKey]struct{}{}
	for n := range 40 {
		evidence := d.Evidence(at(0.1 * float64(n+1)))
		for _, l := range evidence.Lost {
			lost[l.ID] = struct{}{}
		}
		for _, s := range evidence.Sound {
			sound[s.Trait] = struct{}{}
		}
	}
	if len(lost) != 3*maxReported || len(sound) != soundParts {
		t.Errorf("%d lost requests and %d sound traits reported", len(lost), len(sound))
	}
}
