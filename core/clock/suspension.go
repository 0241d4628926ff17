package clock

import "time"

// Suspension returns the time by which the wall clock has advanced more than the
// monotonic clock between two readings: the machine was suspended, or its wall clock was
// set forward. It is negative if the wall clock was set back, and zero for times without a
// monotonic reading.
func Suspension(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}
