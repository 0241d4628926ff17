package load

import (
	"time"

	"arbutustrestle/core/ident"
)

// RegionLoad is what a summary says of one model in another region.
type RegionLoad struct {
	Region ident.Region
	// FreeSlots is the number of free slots, warm-up taken into account.
	FreeSlots float64
	// Wait is the projected wait of a new request there.
	Wait time.Duration
	// AsOf is the time of the local clock at which the summary arrived.
	AsOf time.Time
}

// cellStaleAfter is the age from which a summary is no longer believed.
const cellStaleAfter = 15 * time.Second

// Fresh reports whether the cell may be relied on.
func (c RegionLoad) Fresh(now time.Time) bool {
	return !c.AsOf.IsZero() && now.Sub(c.AsOf) <= cellStaleAfter
}
