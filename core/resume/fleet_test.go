package resume

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
)

const (
	simTick = 20 * time.Millisecond
	// noticeDelay is the time until a peer that is told at once knows of a stream, and
	// heartbeatDelay the transit of a heartbeat between regions.
	noticeDelay    = 80 * time.Millisecond
	heartbeatDelay = 60 * time.Millisecond
)

// simFleet is a number of instances in three regions, with a virtual clock. Each sends a
// heartbeat to every other one once in heartbeatInterval.
type simFleet struct {
	random            *rand.Rand
	now               time.Time
	tables            []*Table
	alive             []bool
	phase             [][]time.Duration
	heartbeatInterval time.Duration
	pending           []simMessage
}

type simMessage struct {
	at     time.Time
	to     int
	groups []gossip.BegunStreams
	notice bool
}

func newSimFleet(seed uint64, instances int, interval time.Duration) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, heartbeatInterval: interval}
	for range instances {
		f.tables = append(f.tables, &Table{})
		f.alive = append(f.alive, true)
		phases := make([]time.Duration, instances)
		for i := range phases {
			phases[i] = time.Duration(f.random.Int64N(int64(interval)))
		}
		f.phase = append(f.phase, phases)
	}
	return f
}

func (f *simFleet) region(instance int) int { return instance % 3 }

// others returns the instances that are alive and in the region of an instance, or not.
func (f *simFleet) others(instance int, sameRegion bool) []int {
	var list []int
	for i := range f.tables {
		if i != instance && f.alive[i] && (f.region(i) == f.region(instance)) == sameRegion {
			list = append(list, i)
		}
	}
	f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// told returns the peers that are told of a stream at once, as io/syncer chooses them.
func (f *simFleet) told(instance int) []int {
	near, far := f.others(instance, true), f.others(instance, false)
	if len(near)+len(far) <= 8 {
		return append(near, far...)
	}
	return append(near[:min(3, len(near))], far[:min(1, len(far))]...)
}

func (f *simFleet) begin(instance int, key gossip.StreamKey) {
	f.tables[instance].Begun(f.now, key, first)
	groups := []gossip.BegunStreams{{Origin: first, Keys: []gossip.StreamKey{key}}}
	for _, to := range f.told(instance) {
		f.pending = append(f.pending, simMessage{f.now.Add(noticeDelay), to, groups, len(f.tables) > 9})
	}
}

// run lets time pass.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simTick) {
		f.heartbeats()
		f.deliver()
	}
}

func (f *simFleet) heartbeats() {
	for from := range f.tables {
		if !f.alive[from] {
			continue
		}
		groups := f.tables[from].Report(f.now, always).Everywhere
		for to := range f.tables {
			since := (f.now.Sub(start) + f.phase[from][to]) % f.heartbeatInterval
			if to != from && since < simTick && len(groups) > 0 {
				f.pending = append(f.pending, simMessage{f.now.Add(heartbeatDelay), to, groups, false})
			}
		}
	}
}

func (f *simFleet) deliver() {
	var later []simMessage
	for _, m := range f.pending {
		switch {
		case f.now.Before(m.at):
			later = append(later, m)
		case !f.alive[m.to]:
		case m.notice:
			f.tables[m.to].PassOn(f.now, m.groups)
		default:
			f.tables[m.to].Learn(f.now, m.groups)
		}
	}
	f.pending = later
}

// takeUp takes each stream up at another instance, at a random moment within a time, and
// returns how many were taken up and how many of these were known there.
func (f *simFleet) takeUp(streams map[gossip.StreamKey]int, within time.Duration) (takenUp, known int) {
	ticks := int(within / simTick)
	for tick := range ticks {
		f.run(simTick)
		for _, key := range slices.Sorted(maps.Keys(streams)) {
			instance := streams[key]
			if int(key%gossip.StreamKey(ticks)) != tick {
				continue
			}
			at := f.others(instance, f.random.Float64() < 0.8)
			if len(at) == 0 {
				continue
			}
			takenUp++
			if _, found := f.tables[at[0]].Lookup(key); found {
				known++
			}
		}
	}
	return takenUp, known
}

// TestStreamsOfKilledInstance guards against streams that nobody knows of any more once the
// instance where they began is killed: a third of the instances are, at once, a moment after
// streams have begun there. Most of the callers who then take them up at other instances,
// within 400 ms and most of them in the same region, must find them known.
func TestStreamsOfKilledInstance(t *testing.T) {
	for _, c := range []struct {
		instances int
		interval  time.Duration
		// known is the least share of the streams that must be known where they are taken up.
		known float64
	}{
		{9, 400 * time.Millisecond, 0.9},
		{28, 800 * time.Millisecond, 0.5},
		{84, 1600 * time.Millisecond, 0.5},
	} {
		total, known := 0, 0
		for seed := range uint64(6) {
			f := newSimFleet(seed, c.instances, c.interval)
			f.run(2 * time.Second)
			killed := f.random.Perm(c.instances)[:c.instances/3]
			streams := map[gossip.StreamKey]int{}
			for range 8 {
				for _, instance := range killed {
					key := KeyOf(fmt.Sprint(len(streams)))
					streams[key] = instance
					f.begin(instance, key)
				}
				f.run(100 * time.Millisecond)
			}
			for _, instance := range killed {
				f.alive[instance] = false
			}
			takenUp, found := f.takeUp(streams, 400*time.Millisecond)
			total += takenUp
			known += found
		}
		share := float64(known) / float64(total)
		t.Logf("%d instances: %.2f of %d streams known", c.instances, share, total)
		if share < c.known {
			t.Errorf("%d instances: %.2f of %d streams known", c.instances, share, total)
		}
	}
}
