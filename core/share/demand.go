package share

import "math"

const (
	// demandSmoothing is the weight of the newest sample in the average demand.
	demandSmoothing = 0.3
	// maxRefusedShare limits what refusals add to the current requests. Callers that
	// retry immediately are refused many times, but remain the same few callers.
	maxRefusedShare = 1.0
)

// DemandEstimator averages the number of slots that an instance would use. It is needed
// for small pools, in which an instance's part of two or three slots would oscillate
// with each sample: an instance that had refused a caller a hundred times would claim
// the whole pool, and the callers of the other instances would be refused next. Its
// zero value has no demand.
type DemandEstimator struct {
	mean float64
}

// Sample adds a sample of the current requests, with the refusals since the last
// sample, and returns the number of wanted slots.
func (e *DemandEstimator) Sample(admitted, waiting, refused int) int {
	current := float64(admitted + waiting)
	wanted := current + min(float64(refused), maxRefusedShare*(current+1))
	e.mean += demandSmoothing * (wanted - e.mean)
	return int(math.Ceil(e.mean - demandSmoothing/2))
}
