package prefix

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

// Regions holds which sections this instance has sent to other regions. It is safe for
// concurrent use, and its zero value is empty.
type Regions struct {
	mu      sync.Mutex
	indexes map[ident.Region]*Index
}

// Read records that a prompt was sent to a region.
func (r *Regions) Read(now time.Time, region ident.Region, p *Prompt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.indexes == nil {
		r.indexes = map[ident.Region]*Index{}
	}
	x := r.indexes[region]
	if x == nil {
		x = &Index{}
		r.indexes[region] = x
	}
	x.Read(now, p)
}

// Held estimates what the upstream that a region chooses holds of a prompt, for sections
// that stay in a cache for the given time after their last use. What peers sent there isn't
// known here.
func (r *Regions) Held(now time.Time, region ident.Region, p *Prompt, residence time.Duration) Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.indexes[region]
	if x == nil {
		return Estimate{Shared: p.Shared()}
	}
	return x.Held(now, p, &Situation{Residence: residence})
}
