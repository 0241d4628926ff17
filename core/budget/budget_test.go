package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

const service ident.Service = "chat"

// fleet is a set of instances that spend from one budget, each on its own.
type fleet struct {
	limits        Limits
	instances     []*Budget
	requests      []time.Time
	extraAttempts []time.Time
}

func newFleet(n int, limits Limits) *fleet {
	f := &fleet{limits: limits}
	for range n {
		b := &Budget{Limits: limits}
		b.settle(n)
		f.instances = append(f.instances, b)
	}
	return f
}

// settle has the budget hold a number of instances for as long as it takes to spend free
// attempts.
func (b *Budget) settle(n int) {
	before := time.Unix(1_800_000_000, 0).Add(-settleTime)
	b.SetInstanceCount(before, n)
	b.SetInstanceCount(before.Add(settleTime), n)
}

func (f *fleet) request(now time.Time, instance int, extraAttempts int) {
	f.requests = append(f.requests, now)
	f.instances[instance].CountRequest(now, service)
	for range extraAttempts {
		if f.instances[instance].Take(now, service) {
			f.extraAttempts = append(f.extraAttempts, now)
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

// maxExcess returns the largest excess of the extra attempts in any window over the
// budget. The budget counts the requests of the window itself, of the window before it,
// or of the window that begins half a window earlier, whichever has the most.
func (f *fleet) maxExcess(start time.Time, length time.Duration) float64 {
	excess := -1e9
	w := f.limits.Window
	for at := time.Duration(0); at < length; at += w / 50 {
		from := start.Add(at)
		requests := max(
			count(f.requests, from, from.Add(w)),
			count(f.requests, from.Add(-w), from),
			count(f.requests, from.Add(-w/2), from.Add(w/2)),
		)
		extra := float64(count(f.extraAttempts, from, from.Add(w)))
		excess = max(excess, extra-f.limits.Ratio*float64(requests)-f.limits.FreeAttempts)
	}
	return excess
}

// All instances together stay within the budget under any load, though each counts on its
// own and wants extra attempts for every request. The service fails all requests, and the
// traffic jumps and stops.
func TestSharedBudget(t *testing.T) {
	limits := Limits{Ratio: 0.2, Window: 10 * time.Second, FreeAttempts: 54}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		instances := 1 + random.IntN(12)
		f := newFleet(instances, limits)
		start := time.Unix(1_800_000_000, 0)
		now := start
		rate := 20.0
		for now.Sub(start) < time.Minute {
			if random.IntN(400) == 0 {
				rate = []float64{2, 20, 200, 600}[random.IntN(4)]
			}
			f.request(now, random.IntN(instances), 2)
			now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		if over := f.maxExcess(start, time.Minute); over > 0 {
			t.Errorf("seed %d, %d instances: %.0f extra attempts too many", seed, instances, over)
		}
	}
}

// An instance whose view lacks most of the others must not spend their shares.
func TestUnseenInstances(t *testing.T) {
	b := &Budget{Limits: Limits{Ratio: 0, Window: 10 * time.Second, FreeAttempts: 60}}
	now := time.Unix(1_800_000_000, 0)
	b.settle(10)
	b.SetInstanceCount(now, 1)
	spent := 0
	for range 100 {
		if b.Take(now, service) {
			spent++
		}
	}
	if spent > 6 {
		t.Errorf("one of ten instances spent %d of 60", spent)
	}
}

// TestFreeAttemptsAfterRestart guards against a budget that is exceeded after all instances
// have restarted: until they have found each other, each takes the free attempts to be
// shared by a few.
func TestFreeAttemptsAfterRestart(t *testing.T) {
	const instances = 84
	const free = 208
	spent := 0
	for range instances {
		b := &Budget{Limits: Limits{Ratio: 0, Window: 10 * time.Second, FreeAttempts: free}}
		for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
			now := time.Unix(1_800_000_000, 0).Add(at)
			switch {
			case at < time.Second:
				b.SetInstanceCount(now, 1)
			case at < 2*time.Second:
				b.SetInstanceCount(now, 30)
			default:
				b.SetInstanceCount(now, instances)
			}
			for b.Take(now, service) {
				spent++
			}
		}
	}
	if spent > free {
		t.Errorf("%d free attempts of %d were spent", spent, free)
	}
}
