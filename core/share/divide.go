package share

import (
	"math"
	"math/rand/v2"
)

// evenFraction is the part of a pool that is divided evenly between the instances; the
// rest is divided in proportion to their demand.
const evenFraction = 0.3

// InstanceSlots returns one instance's part of a pool's slots, a whole number of at
// least one. The demand of an instance, own, is its requests in flight, waiting and
// recently refused; others is the sum over its peers as last reported. Before rounding,
// the parts add up to the pool if all instances have received the same reports. They
// are rounded at random, so that many instances with a part of 1.5 have 1 or 2 slots
// each and not all 2.
func InstanceSlots(random *rand.Rand, slots, own, others float64, instances int) float64 {
	share := slots / float64(max(1, instances))
	if own+others > 0 {
		share = evenFraction*share + (1-evenFraction)*slots*own/(own+others)
	}
	return max(1, math.Floor(share+random.Float64()))
}
