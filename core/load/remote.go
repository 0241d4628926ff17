package load

import (
	"time"

	"arbutustrestle/core/ident"
)

// Cell is what a summary says of one model in another region.
type Cell struct {
	Region ident.Region
	// Free is the number of free slots, warm-up taken into account.
	Free float64
	// Wait is the projected wait of a new request there.
	Wait time.Duration
	// AsOf is the time of the local clock at which the summary arrived.
	AsOf time.Time
}

// cellStaleAfter is the age from which a summary is no longer believed.
const cellStaleAfter = 15 * time.Second

// Fresh reports whether the cell may be relied on.
func (c Cell) Fresh(now time.Time) bool {
	return !c.AsOf.IsZero() && now.Sub(c.AsOf) <= cellStaleAfter
}
