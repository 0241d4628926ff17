package share

import "math"

const (
	// wantStep is the weight of the newest sample of what an instance wants.
	wantStep = 0.3
	// refusedShare bounds what refusals add to the requests that are there. Callers that
	// come back at once are refused many times, and are still the same few callers.
	refusedShare = 1.0
)

// DemandEstimator follows how many slots an instance would use. It answers small pools, in which
// an instance's part of two or three slots swings with each sample: an instance that
// had refused a caller a hundred times would claim the whole pool, and the others'
// callers would be refused in turn. Its zero value wants nothing.
type DemandEstimator struct {
	mean float64
}

// Sample takes in what there is at one moment, with the refusals since the last
// sample, and returns the slots that are wanted.
func (w *DemandEstimator) Sample(admitted, waiting, refused int) int {
	present := float64(admitted + waiting)
	wanted := present + min(float64(refused), refusedShare*(present+1))
	w.mean += wantStep * (wanted - w.mean)
	return int(math.Ceil(w.mean - wantStep/2))
}
