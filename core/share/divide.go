package share

import (
	"math"
	"math/rand/v2"
)

// even is the part of a pool that is divided evenly between the instances; the rest
// goes by what each wants.
const even = 0.3

// InstanceSlots returns one instance's part of a pool's slots, a whole number of at least
// one. The wants are requests in flight, waiting and lately refused; others is the
// sum over its peers as last heard. Before they are rounded, the parts add up to
// the pool when all have heard the same. They are rounded at random, so that many
// instances with a part of 1.5 have 1 or 2 slots each and not all 2.
func InstanceSlots(random *rand.Rand, slots, own, others float64, instances int) float64 {
	part := slots / float64(max(1, instances))
	if own+others > 0 {
		part = even*part + (1-even)*slots*own/(own+others)
	}
	return max(1, math.Floor(part+random.Float64()))
}
