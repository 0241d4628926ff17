package proxy

import "time"

// DrainSchedule is the way of an entry to its end. Its zero value is no drain.
type DrainSchedule struct {
	// StrictAt is when callers have had the time to turn to other entries, and Exit when
	// the process ends whatever still runs.
	StrictAt time.Time
	ExitAt   time.Time
}

// Admits reports whether a request that has to be answered by a deadline is still
// taken. Early in a drain all are: callers may not have heard of it, and most end in
// time. Later only those that end for certain before the process does.
func (d DrainSchedule) Admits(now, deadline time.Time) bool {
	return d.ExitAt.IsZero() || now.Before(d.StrictAt) || deadline.Before(d.ExitAt)
}
