package share

import (
	"math/rand/v2"
	"testing"
)

// testPool is a set of instances that divide the slots of one pool. Each instance has
// callers that retry immediately after a refusal.
type testPool struct {
	random   *rand.Rand
	slots    float64
	callers  []int
	estimate func(instance, admitted, refused int) int
	wanted   []int
}

// step samples the demand of each instance and returns the refusals of the next
// interval. A caller without a slot is refused twenty times in it.
func (p *testPool) step() int {
	refusals := 0
	parts := make([]int, len(p.callers))
	for i := range p.callers {
		others := 0
		for j, w := range p.wanted {
			if j != i {
				others += w
			}
		}
		parts[i] = int(InstanceSlots(p.random, p.slots, float64(p.wanted[i]), float64(others), len(p.callers)))
	}
	for i, callers := range p.callers {
		admitted := min(callers, parts[i])
		// The number of active callers varies between the samples.
		present := p.random.IntN(admitted + 1)
		refused := 20 * (callers - admitted)
		refusals += refused
		p.wanted[i] = p.estimate(i, present, refused)
	}
	return refusals
}

func countRefusals(seed uint64, callers []int, want func(instance, admitted, refused int) int) int {
	p := &testPool{
		random:   rand.New(rand.NewPCG(seed, 1)),
		slots:    8,
		callers:  callers,
		estimate: want,
		wanted:   make([]int, len(callers)),
	}
	for range 20 {
		p.step()
	}
	total := 0
	for range 200 {
		total += p.step()
	}
	return total
}

// A pool of 8 slots for two instances with three callers each has a slot for all of
// them. If the parts follow each sample with its refusals, some callers get none.
func TestSmallPoolDoesNotOscillate(t *testing.T) {
	for seed := range uint64(20) {
		raw := countRefusals(seed, []int{3, 3}, func(_, admitted, refused int) int { return admitted + refused })
		wants := make([]DemandEstimator, 2)
		smooth := countRefusals(seed, []int{3, 3}, func(i, admitted, refused int) int {
			return wants[i].Sample(admitted, 0, refused)
		})
		if smooth*5 > raw {
			t.Errorf("seed %d: %d refusals, %d without averaging", seed, smooth, raw)
		}
	}
}

// An instance with most of the callers must still get most of the slots.
func TestDemandEstimatorFollowsLoad(t *testing.T) {
	var busy, idle DemandEstimator
	b, i := 0, 0
	for range 20 {
		b = busy.Sample(6, 0, 40)
		i = idle.Sample(0, 0, 0)
	}
	if b < 10 || i != 0 {
		t.Errorf("the busy instance wants %d, the idle one %d", b, i)
	}
}
