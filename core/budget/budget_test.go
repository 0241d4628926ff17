package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

const service ident.Service = "chat"

// fleet is entries that spend out of one budget, each for itself.
type fleet struct {
	limits   Limits
	entries  []*Budget
	requests []time.Time
	extras   []time.Time
}

func newFleet(n int, limits Limits) *fleet {
	f := &fleet{limits: limits}
	for range n {
		b := &Budget{Limits: limits}
		b.SetInstanceCount(n)
		f.entries = append(f.entries, b)
	}
	return f
}

func (f *fleet) request(now time.Time, entry int, wanted int) {
	f.requests = append(f.requests, now)
	f.entries[entry].CountRequest(now, service)
	for range wanted {
		if f.entries[entry].Take(now, service) {
			f.extras = append(f.extras, now)
		}
	}
}

func count(list []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// worst returns by how much the further attempts of any window exceed what the budget
// allows; requests are counted in the window itself, the one before it, or the one
// half a window before it, whichever has most.
func (f *fleet) worst(start time.Time, length time.Duration) float64 {
	most := -1e9
	w := f.limits.Window
	for at := time.Duration(0); at < length; at += w / 50 {
		from := start.Add(at)
		base := max(
			count(f.requests, from, from.Add(w)),
			count(f.requests, from.Add(-w), from),
			count(f.requests, from.Add(-w/2), from.Add(w/2)),
		)
		extras := float64(count(f.extras, from, from.Add(w)))
		most = max(most, extras-f.limits.Ratio*float64(base)-f.limits.FreeAttempts)
	}
	return most
}

// Whatever the load does, all entries together stay inside the budget, though each
// counts alone and wants a further attempt for every request: a service that fails
// altogether, under traffic that jumps and stops.
func TestBudgetOfAll(t *testing.T) {
	limits := Limits{Ratio: 0.2, Window: 10 * time.Second, FreeAttempts: 54}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		entries := 1 + random.IntN(12)
		f := newFleet(entries, limits)
		start := time.Unix(1_800_000_000, 0)
		now := start
		rate := 20.0
		for now.Sub(start) < time.Minute {
			if random.IntN(400) == 0 {
				rate = []float64{2, 20, 200, 600}[random.IntN(4)]
			}
			f.request(now, random.IntN(entries), 2)
			now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		if over := f.worst(start, time.Minute); over > 0 {
			t.Errorf("seed %d, %d entries: %.0f further attempts too many", seed, entries, over)
		}
	}
}

// Entries that see few of the others must not spend their parts as well.
func TestUnseenEntries(t *testing.T) {
	b := &Budget{Limits: Limits{Ratio: 0, Window: 10 * time.Second, FreeAttempts: 60}}
	now := time.Unix(1_800_000_000, 0)
	b.SetInstanceCount(10)
	b.SetInstanceCount(1)
	spent := 0
	for range 100 {
		if b.Take(now, service) {
			spent++
		}
	}
	if spent > 6 {
		t.Errorf("one of ten entries spent %d of 60", spent)
	}
}
