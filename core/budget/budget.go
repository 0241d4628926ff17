// Package budget bounds the attempts beyond the first of each request, for each
// service, so that all entries together stay inside one budget without telling each
// other: each spends only what its own requests earn and its part of what is free.
package budget

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// slices is the number of parts in which the window is counted.
	slices = 20
	// ownShare of what requests earn is spent, since the requests that are counted
	// against the budget are those of a window that ends elsewhere.
	ownShare = 0.7
)

// Limits is the budget of all entries together.
type Limits struct {
	// Ratio is the further attempts that one request earns.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// FreeAttempts is the number of further attempts that need not be earned.
	FreeAttempts float64
}

// Budget counts requests and further attempts by service. It is safe for concurrent
// use.
type Budget struct {
	Limits Limits

	mu sync.Mutex
	// began is the time of the first call; slices are counted from it, so that a time of
	// day that is set doesn't move them.
	began    time.Time
	entries  int
	services map[ident.Service]*window
}

// window counts in a ring of slices.
type window struct {
	at       int64
	requests [slices]float64
	extras   [slices]float64
}

// SetInstanceCount sets the number of entries among which the free part is divided. It
// never sinks: an entry that isn't seen may still spend its part.
func (b *Budget) SetInstanceCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(b.entries, n)
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time, s ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, s)
	w.requests[w.at%slices]++
}

// Take spends one further attempt, and reports false when the budget has none.
func (b *Budget) Take(now time.Time, s ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, s)
	if sum(w.extras)+1 > sum(w.requests)*b.Limits.Ratio*ownShare+b.free() {
		return false
	}
	w.extras[w.at%slices]++
	return true
}

// minEntries is taken for the number of entries while fewer are known.
const minEntries = 12

func (b *Budget) free() float64 {
	return b.Limits.FreeAttempts / float64(max(minEntries, 2*b.entries))
}

func (b *Budget) window(now time.Time, s ident.Service) *window {
	if b.services == nil {
		b.services = map[ident.Service]*window{}
	}
	w := b.services[s]
	if w == nil {
		w = &window{}
		b.services[s] = w
	}
	if b.began.IsZero() {
		b.began = now
	}
	step := max(b.Limits.Window/slices, 1)
	w.advance(int64(now.Sub(b.began) / step))
	return w
}

// advance empties the slices that have left the window. A clock that steps back
// keeps counting in the newest slice.
func (w *window) advance(at int64) {
	if at-w.at >= slices {
		*w = window{at: at}
		return
	}
	for w.at < at {
		w.at++
		w.requests[w.at%slices] = 0
		w.extras[w.at%slices] = 0
	}
}

func sum(parts [slices]float64) float64 {
	total := 0.0
	for _, p := range parts {
		total += p
	}
	return total
}
