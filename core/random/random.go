// Package random gives the generators of parts to which no random source was passed.
package random

import (
	"hash/fnv"
	"math/rand/v2"

	"arbutustrestle/core/ident"
)

// ForInstance returns a generator seeded with the name of an instance. Each call returns one with
// the same numbers, and instances with different names get different ones.
func ForInstance(id ident.Instance) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return rand.New(rand.NewPCG(hash.Sum64(), 0))
}
