package proxy

import "time"

// DrainSchedule holds the times of a draining instance. The zero value means that the
// instance isn't draining.
type DrainSchedule struct {
	// StrictAt is when callers have had time to move to other instances. ExitAt is when
	// the process exits, whatever still runs.
	StrictAt time.Time
	ExitAt   time.Time
}

// Admits reports whether a request with the given deadline is still accepted. Before
// StrictAt every request is: callers may not have learned of the drain yet, and most
// requests end in time. After that, only requests that are certain to end before the
// process exits are accepted.
func (d DrainSchedule) Admits(now, deadline time.Time) bool {
	return d.ExitAt.IsZero() || now.Before(d.StrictAt) || deadline.Before(d.ExitAt)
}
