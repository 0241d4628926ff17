// Package budget limits the retries and hedges of each service, that is, all attempts
// beyond the first of a request. All instances together stay within one budget without
// communication: each spends only the attempts that its own requests earn and its share
// of the free ones.
package budget

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// sliceCount is the number of slices into which the window is divided for counting.
	sliceCount = 20
	// earnedShare is the fraction of the earned attempts that is spent, since the
	// requests that the budget is measured against are counted over a window that ends
	// elsewhere.
	earnedShare = 0.7
)

// Limits is the budget of all instances together.
type Limits struct {
	// Ratio is the number of extra attempts that one request earns.
	Ratio float64
	// Window is the time over which requests and extra attempts are counted.
	Window time.Duration
	// FreeAttempts is the number of extra attempts in a window that need not be earned.
	FreeAttempts float64
}

// Budget counts requests and extra attempts by service. It is safe for concurrent use.
type Budget struct {
	Limits Limits

	mu sync.Mutex
	// start is the time of the first call. Slices are counted from it, so that a change
	// of the wall clock doesn't move them.
	start time.Time
	// instances is the most instances that were in view at a time, and grownAt when that
	// number last grew.
	instances int
	grownAt   time.Time
	// settled is set once the number has not grown for settleTime.
	settled  bool
	services map[ident.Service]*window
}

// window counts in a ring of slices.
type window struct {
	newest        int64
	requests      [sliceCount]float64
	extraAttempts [sliceCount]float64
}

// settleTime is how long the number of instances must stay the same after the start
// before any free attempts are spent. Instances that start together take about two seconds
// to find each other.
const settleTime = 3 * time.Second

// SetInstanceCount sets the number of instances among which the free attempts are
// divided. It must be called several times a second. The number never decreases: an
// instance that is missing from the view may still spend its share.
func (b *Budget) SetInstanceCount(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.instances {
		b.instances = n
		b.grownAt = now
	}
	if now.Sub(b.grownAt) >= settleTime {
		b.settled = true
	}
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time, s ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, s)
	w.requests[w.newest%sliceCount]++
}

// Take spends one extra attempt. It reports false when the budget is exhausted.
func (b *Budget) Take(now time.Time, s ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, s)
	if sum(w.extraAttempts)+1 > sum(w.requests)*b.Limits.Ratio*earnedShare+b.freePerInstance() {
		return false
	}
	w.extraAttempts[w.newest%sliceCount]++
	return true
}

// minInstances is the least number by which the free attempts are divided; it applies
// while few instances are in view. With more, they are divided by twice the instance
// count, since instances that restart or join within a window spend a share as well.
const minInstances = 12

func (b *Budget) freePerInstance() float64 {
	if !b.settled {
		return 0
	}
	return b.Limits.FreeAttempts / float64(max(minInstances, 2*b.instances))
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
	if b.start.IsZero() {
		b.start = now
	}
	sliceLength := max(b.Limits.Window/sliceCount, 1)
	w.advance(int64(now.Sub(b.start) / sliceLength))
	return w
}

// advance clears the slices that have left the window. When the clock steps back, the
// newest slice keeps counting.
func (w *window) advance(at int64) {
	if at-w.newest >= sliceCount {
		*w = window{newest: at}
		return
	}
	for w.newest < at {
		w.newest++
		w.requests[w.newest%sliceCount] = 0
		w.extraAttempts[w.newest%sliceCount] = 0
	}
}

func sum(counts [sliceCount]float64) float64 {
	total := 0.0
	for _, p := range counts {
		total += p
	}
	return total
}
