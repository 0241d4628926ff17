package pool

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"arbutustrestle/core/ident"
)

// drawTargets returns random upstreams that the pool of an instance gives out.
func drawTargets(self ident.Instance, random *rand.Rand) [][]Upstream {
	p := New(Settings{Self: self, Region: "west", PromptRate: 60, Random: random})
	for n := range 20 {
		p.SetUpstream(start, testUpstream(n))
	}
	var draws [][]Upstream
	for range 20 {
		draws = append(draws, p.CheckTargets("chat", 3), p.OtherTargets("engine-0", 3))
	}
	return draws
}

// TestDrawsRepeat guards against runs that can't be played again: the draws of a pool depend on
// nothing but the source that was passed in, or without one on the name of the instance.
func TestDrawsRepeat(t *testing.T) {
	seeded := func(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
	for _, c := range []struct {
		name string
		a, b [][]Upstream
		same bool
	}{
		{"the same seed", drawTargets("entry-1", seeded(1)), drawTargets("entry-2", seeded(1)), true},
		{"different seeds", drawTargets("entry-1", seeded(1)), drawTargets("entry-1", seeded(2)), false},
		{"no source, the same instance", drawTargets("entry-1", nil), drawTargets("entry-1", nil), true},
		{"no source, different instances", drawTargets("entry-1", nil), drawTargets("entry-2", nil), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if reflect.DeepEqual(c.a, c.b) != c.same {
				t.Errorf("draws equal %v\n%v\n%v", !c.same, ids(c.a), ids(c.b))
			}
		})
	}
}

func ids(draws [][]Upstream) string {
	text := ""
	for _, list := range draws {
		for _, u := range list {
			text += fmt.Sprint(u.ID, " ")
		}
	}
	return text
}
