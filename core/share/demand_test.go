package share

import (
	"math/rand/v2"
	"testing"
)

// pool is instances that divide the slots of one pool, each with callers that send
// again at once when they are refused.
type pool struct {
	random  *rand.Rand
	slots   float64
	callers []int
	want    func(instance, admitted, refused int) int
	wanted  []int
}

// step samples what each instance wants and returns the refusals of the next interval.
// A caller that finds no slot is refused twenty times in it.
func (p *pool) step() int {
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
		// Callers come and go between the samples.
		present := p.random.IntN(admitted + 1)
		refused := 20 * (callers - admitted)
		refusals += refused
		p.wanted[i] = p.want(i, present, refused)
	}
	return refusals
}

func refusals(seed uint64, callers []int, want func(instance, admitted, refused int) int) int {
	p := &pool{
		random:  rand.New(rand.NewPCG(seed, 1)),
		slots:   8,
		callers: callers,
		want:    want,
		wanted:  make([]int, len(callers)),
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

// A pool of 8 slots before two instances with three callers each has a slot for all of
// them. Parts that follow each sample with its refusals leave some without.
func TestSmallPoolDoesNotSwing(t *testing.T) {
	for seed := range uint64(20) {
		raw := refusals(seed, []int{3, 3}, func(_, admitted, refused int) int { return admitted + refused })
		wants := make([]DemandEstimator, 2)
		smooth := refusals(seed, []int{3, 3}, func(i, admitted, refused int) int {
			return wants[i].Sample(admitted, 0, refused)
		})
		if smooth*5 > raw {
			t.Errorf("seed %d: %d refusals, %d with plain samples", seed, smooth, raw)
		}
	}
}

// An instance with most of the callers still gets most of the slots.
func TestWantFollowsLoad(t *testing.T) {
	var busy, idle DemandEstimator
	b, i := 0, 0
	for range 20 {
		b = busy.Sample(6, 0, 40)
		i = idle.Sample(0, 0, 0)
	}
	if b < 10 || i != 0 {
		t.Errorf("the busy one wants %d, the idle one %d", b, i)
	}
}
