package load

import (
	"time"

	"arbutustrestle/core/ident"
)

// RegionLoad is the load of one model in another region, from that region's last
// summary.
type RegionLoad struct {
	Region ident.Region
	// FreeSlots is the number of free slots; upstreams that are warming up count in
	// part.
	FreeSlots float64
	// Wait is the projected wait of a new request in that region.
	Wait time.Duration
	// AsOf is the local time at which the summary arrived.
	AsOf time.Time
}

// maxSummaryAge is the age above which a summary is ignored.
const maxSummaryAge = 15 * time.Second

// Fresh reports whether the summary is recent enough to be used.
func (l RegionLoad) Fresh(now time.Time) bool {
	return !l.AsOf.IsZero() && now.Sub(l.AsOf) <= maxSummaryAge
}
