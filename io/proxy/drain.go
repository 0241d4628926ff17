package proxy

import "time"

// Drain is the way of an entry to its end. Its zero value is no drain.
type Drain struct {
	// Strict is when callers have had the time to turn to other entries, and Exit when
	// the process ends whatever still runs.
	Strict time.Time
	Exit   time.Time
}

// Admits reports whether a request that has to be answered by a deadline is still
// taken. Early in a drain all are: callers may not have heard of it, and most end in
// time. Later only those that end for certain before the process does.
func (d Drain) Admits(now, deadline time.Time) bool {
	return d.Exit.IsZero() || now.Before(d.Strict) || deadline.Before(d.Exit)
}
