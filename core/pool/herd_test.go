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

// herd is many entries over the same upstreams, each of which hears only now and then
// what the others have in flight. Engines read one prompt after the other; a plain
// upstream turns a request away when its slots are taken.
type herd struct {
	random  *rand.Rand
	pools   []*Pool
	now     time.Time
	wordAge time.Duration
	// busy is until when an engine reads, and slots the ends of what a plain one runs.
	busy  map[ident.Upstream]time.Time
	slots map[ident.Upstream][]time.Time
	later []event
	// waits are the times until engines turned to requests; shed counts requests that
	// were turned away.
	waits []time.Duration
	shed  int
	count int
}

type event struct {
	at time.Time
	do func(now time.Time)
}

func newHerd(entries int, wordAge time.Duration, guesses bool) *herd {
	const engines, plain = 56, 4
	h := &herd{random: rand.New(rand.NewPCG(1, 2)), now: start, busy: map[ident.Upstream]time.Time{}, slots: map[ident.Upstream][]time.Time{}}
	h.wordAge = wordAge
	var near []ident.Instance
	for n := range entries {
		near = append(near, ident.Instance(fmt.Sprintf("entry-%d", n)))
	}
	for _, id := range near {
		p := newPool(id, engines)
		p.SetServices(map[ident.Service]spec.Service{"chat": {Name: "chat", Engine: true}, "app": {Name: "app"}})
		for n := range plain {
			l := listed(100 + n)
			l.Service, l.Slots = "app", plainSlots
			p.SetUpstream(start, l)
		}
		p.SetRegionInstances(near)
		if guesses {
			p.SetMeanLoadAge(h.wordAge)
		}
		h.pools = append(h.pools, p)
	}
	return h
}

const (
	plainSlots = 6
	plainHold  = 60 * time.Millisecond
	herdStep   = 5 * time.Millisecond
)

// run lets requests come at a rate a second over all entries, for some time.
func (h *herd) run(span time.Duration, rate float64, ask func() Request) {
	told := make([]time.Time, len(h.pools))
	for i := range told {
		told[i] = h.now.Add(time.Duration(h.random.Int64N(int64(2 * h.wordAge))))
	}
	for end := h.now.Add(span); h.now.Before(end); h.now = h.now.Add(herdStep) {
		h.settle()
		for i := range h.pools {
			if !h.now.Before(told[i]) {
				told[i] = told[i].Add(2 * h.wordAge)
				h.tell(i)
			}
		}
		for due := rate * herdStep.Seconds(); due > 0; due-- {
			if h.random.Float64() < due {
				h.send(h.pools[h.random.IntN(len(h.pools))], ask())
			}
		}
	}
}

// settle carries out what is due.
func (h *herd) settle() {
	slices.SortStableFunc(h.later, func(a, b event) int { return a.at.Compare(b.at) })
	for len(h.later) > 0 && !h.later[0].at.After(h.now) {
		e := h.later[0]
		h.later = h.later[1:]
		e.do(e.at)
	}
}

// tell lets one entry hear of all others.
func (h *herd) tell(i int) {
	var loads []gossip.UpstreamLoad
	for j, p := range h.pools {
		if i != j {
			loads = append(loads, p.UpstreamLoads(h.now)...)
		}
	}
	h.pools[i].SetPeerLoads(loads)
}

func (h *herd) send(p *Pool, a Request) {
	lease, found := p.Pick(h.now, a)
	if !found {
		panic("no upstream")
	}
	h.count++
	if a.Service == "app" {
		h.serve(lease)
		return
	}
	id := lease.Upstream.ID
	turned := h.now
	if h.busy[id].After(turned) {
		turned = h.busy[id]
	}
	h.waits = append(h.waits, turned.Sub(h.now))
	answered := turned.Add(time.Duration(float64(lease.UncachedTokens)/60) * time.Millisecond)
	h.busy[id] = answered
	h.later = append(h.later,
		event{answered, lease.ResponseReceived},
		event{answered.Add(time.Second), func(now time.Time) { lease.End(now, Answered) }})
}

func (h *herd) serve(lease *Lease) {
	id := lease.Upstream.ID
	h.slots[id] = slices.DeleteFunc(h.slots[id], func(end time.Time) bool { return !end.After(h.now) })
	if len(h.slots[id]) >= plainSlots {
		h.shed++
		h.later = append(h.later, event{h.now.Add(herdStep), func(now time.Time) { lease.End(now, Refused) }})
		return
	}
	end := h.now.Add(plainHold)
	h.slots[id] = append(h.slots[id], end)
	h.later = append(h.later, event{end, func(now time.Time) {
		lease.ResponseReceived(now)
		lease.End(now, Answered)
	}})
}

// mean returns the mean wait.
func (h *herd) mean() time.Duration {
	total := time.Duration(0)
	for _, w := range h.waits {
		total += w
	}
	return total / time.Duration(max(1, len(h.waits)))
}

// mixed sends urgent prompts and plain requests for a while, about half of what the
// upstreams bear.
func (h *herd) mixed() {
	plain := false
	h.run(20*time.Second, 470, func() Request {
		plain = !plain
		if plain {
			return Request{Service: "app"}
		}
		return Request{Service: "chat", Tokens: 4000 + h.random.IntN(4000)}
	})
}

// TestHerd answers the pattern that many entries run after the upstream that looked best
// when they last heard of each other. Its baseline, in the same run, takes what it heard
// for all there is.
func TestHerd(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{6, 28} {
		var waits [2]time.Duration
		var shed [2]int
		for i, guesses := range []bool{false, true} {
			h := newHerd(entries, gossip.MeanLoadAge(entries), guesses)
			h.mixed()
			waits[i], shed[i] = h.mean(), h.shed
			t.Logf("%d entries, guesses %t: mean wait %s of %d, %d shed of %d", entries, guesses, h.mean(), len(h.waits), h.shed, h.count-len(h.waits))
		}
		if entries > 12 && waits[1] > waits[0]*3/4 {
			t.Errorf("%d entries: mean wait %s, baseline %s", entries, waits[1], waits[0])
		}
		if waits[1] > waits[0]*11/10 || shed[1] > shed[0]*11/10 {
			t.Errorf("%d entries: worse than the baseline", entries)
		}
	}
}
