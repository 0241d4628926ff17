package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/spec"
)

// simulation runs many instances over the same upstreams. Each receives only now and then
// the loads that the others have in flight. Engines read one prompt after the other; a
// plain upstream rejects a request when its slots are taken.
type simulation struct {
	random      *rand.Rand
	ids         []ident.Instance
	pools       []*Pool
	now         time.Time
	meanLoadAge time.Duration
	// busyUntil is when an engine has read its last prompt. slotEnds holds the ends of
	// the requests that a plain upstream runs.
	busyUntil map[ident.Upstream]time.Time
	slotEnds  map[ident.Upstream][]time.Time
	events    []event
	// waits are the times until engines began to read the prompts; shed counts the
	// rejected requests.
	waits    []time.Duration
	shed     int
	requests int
}

type event struct {
	at  time.Time
	run func(now time.Time)
}

func newSimulation(instances int, meanLoadAge time.Duration, sampling bool) *simulation {
	const engines, plain = 56, 4
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), now: start, busyUntil: map[ident.Upstream]time.Time{}, slotEnds: map[ident.Upstream][]time.Time{}}
	s.meanLoadAge = meanLoadAge
	for n := range instances {
		s.ids = append(s.ids, ident.Instance(fmt.Sprintf("entry-%d", n)))
	}
	for _, id := range s.ids {
		p := newPool(id, engines)
		p.SetServices(map[ident.Service]spec.Service{"chat": {Name: "chat", Engine: true}, "app": {Name: "app"}})
		for n := range plain {
			u := testUpstream(100 + n)
			u.Service, u.Slots = "app", plainSlots
			p.SetUpstream(start, u)
		}
		p.SetRegion(start, s.ids, true)
		if sampling {
			p.SetMeanLoadAge(s.meanLoadAge)
		}
		s.pools = append(s.pools, p)
	}
	return s
}

const (
	plainSlots     = 6
	plainHoldTime  = 60 * time.Millisecond
	simulationStep = 5 * time.Millisecond
)

// run sends requests at a rate per second, spread over all instances, for the given time.
func (s *simulation) run(span time.Duration, rate float64, newRequest func() Request) {
	nextReport := make([]time.Time, len(s.pools))
	for i := range nextReport {
		nextReport[i] = s.now.Add(time.Duration(s.random.Int64N(int64(2 * s.meanLoadAge))))
	}
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		s.runDueEvents()
		for i, p := range s.pools {
			p.SetRegion(s.now, s.ids, true)
			if !s.now.Before(nextReport[i]) {
				nextReport[i] = nextReport[i].Add(2 * s.meanLoadAge)
				s.reportPeerLoads(i)
			}
		}
		for due := rate * simulationStep.Seconds(); due > 0; due-- {
			if s.random.Float64() < due {
				s.send(s.pools[s.random.IntN(len(s.pools))], newRequest())
			}
		}
	}
}

// runDueEvents runs the events that are due.
func (s *simulation) runDueEvents() {
	slices.SortStableFunc(s.events, func(a, b event) int { return a.at.Compare(b.at) })
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		e := s.events[0]
		s.events = s.events[1:]
		e.run(e.at)
	}
}

// reportPeerLoads gives one instance the loads of all others.
func (s *simulation) reportPeerLoads(i int) {
	var loads []gossip.UpstreamLoad
	for j, p := range s.pools {
		if i != j {
			loads = append(loads, p.UpstreamLoads(s.now)...)
		}
	}
	s.pools[i].SetPeerLoads(loads)
}

func (s *simulation) send(p *Pool, req Request) {
	lease, found := p.Pick(s.now, req)
	if !found {
		panic("no upstream")
	}
	s.requests++
	if req.Service == "app" {
		s.serve(lease)
		return
	}
	id := lease.Upstream.ID
	readStart := s.now
	if s.busyUntil[id].After(readStart) {
		readStart = s.busyUntil[id]
	}
	s.waits = append(s.waits, readStart.Sub(s.now))
	firstByte := readStart.Add(time.Duration(float64(lease.UncachedTokens)/60) * time.Millisecond)
	s.busyUntil[id] = firstByte
	s.events = append(s.events,
		event{firstByte, lease.ResponseReceived},
		event{firstByte.Add(time.Second), func(now time.Time) { lease.End(now, Answered) }})
}

func (s *simulation) serve(lease *Lease) {
	id := lease.Upstream.ID
	s.slotEnds[id] = slices.DeleteFunc(s.slotEnds[id], func(end time.Time) bool { return !end.After(s.now) })
	if len(s.slotEnds[id]) >= plainSlots {
		s.shed++
		s.events = append(s.events, event{s.now.Add(simulationStep), func(now time.Time) { lease.End(now, Refused) }})
		return
	}
	end := s.now.Add(plainHoldTime)
	s.slotEnds[id] = append(s.slotEnds[id], end)
	s.events = append(s.events, event{end, func(now time.Time) {
		lease.ResponseReceived(now)
		lease.End(now, Answered)
	}})
}

// mean returns the mean wait.
func (s *simulation) mean() time.Duration {
	total := time.Duration(0)
	for _, w := range s.waits {
		total += w
	}
	return total / time.Duration(max(1, len(s.waits)))
}

// runMixed sends urgent prompts and plain requests for a while, at about half the
// capacity of the upstreams.
func (s *simulation) runMixed() {
	plain := false
	s.run(20*time.Second, 470, func() Request {
		plain = !plain
		if plain {
			return Request{Service: "app"}
		}
		return Request{Service: "chat", Tokens: 4000 + s.random.IntN(4000)}
	})
}

// TestHerding guards against herding: many instances send to the upstream that looked
// best in the last load reports. The baseline, in the same run, takes the reported loads
// as complete.
func TestHerding(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{6, 28} {
		var waits [2]time.Duration
		var shed [2]int
		for i, sampling := range []bool{false, true} {
			s := newSimulation(instances, gossip.MeanLoadAge(instances), sampling)
			s.runMixed()
			waits[i], shed[i] = s.mean(), s.shed
			t.Logf("%d instances, sampling %t: mean wait %s of %d, %d shed of %d", instances, sampling, s.mean(), len(s.waits), s.shed, s.requests-len(s.waits))
		}
		if instances > 12 && waits[1] > waits[0]*3/4 {
			t.Errorf("%d instances: mean wait %s, baseline %s", instances, waits[1], waits[0])
		}
		if waits[1] > waits[0]*11/10 || shed[1] > shed[0]*11/10 {
			t.Errorf("%d instances: worse than the baseline", instances)
		}
	}
}
