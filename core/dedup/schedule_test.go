package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/result"
)

const (
	schedules = 100_000
	shards    = 20
	steps     = 120
	nodes     = 4
)

// tally counts what the schedules showed.
type tally map[string]int

func (a tally) add(b tally) {
	for name, count := range b {
		a[name] += count
	}
}

// wrong counts what must never happen.
func (a tally) wrong() int { return a["double-runs"] + a["false-not-run"] + a["final-ran"] }

// event is a message on its way to a node, or a timer of it.
type event struct {
	node int // below zero: the plain service
	// repeats says that the network, or a sender that is in doubt, may deliver it twice.
	repeats bool
	run     func()
}

type node struct {
	self    ident.Incarnation
	frozen  bool
	records *dedup.Records
	notes   *dedup.SuccessorNotes
	view    map[ident.Instance]ident.Incarnation
	waiters map[dedup.Key][]func(*result.Failure)
}

type call struct {
	key   dedup.Key
	runs  int
	final bool // a caller was told that it needs a new key
}

type try struct {
	call           *call
	ranBefore      bool // the key had run before the try was issued
	copies, notRun int
	told           bool
	toldNotRun     bool
}

// world holds the nodes, the messages and a plain service that counts its runs.
type world struct {
	count  tally
	byHash bool // the baseline: the owner is found by hash over the entry's view
	now    time.Time
	draw   *rand.Rand // reseeded at each step, so that both strategies meet the same faults
	starts uint64
	nodes  [nodes]*node
	events []event
	calls  []*call
}

var instances = [nodes]ident.Instance{"entry-0", "entry-1", "entry-2", "entry-3"}

func (w *world) start(i int) {
	w.starts++
	limits := dedup.Limits{EpochLength: time.Minute, Retention: 3 * time.Minute}
	if w.byHash {
		limits = dedup.Limits{EpochLength: 1000 * time.Hour}
	}
	n := &node{self: ident.Incarnation{Instance: instances[i], Start: w.starts}, notes: &dedup.SuccessorNotes{}, view: map[ident.Instance]ident.Incarnation{}, waiters: map[dedup.Key][]func(*result.Failure){}}
	n.records = dedup.NewRecords(n.self, w.now, limits)
	w.nodes[i] = n
	for j, other := range w.nodes {
		if other != nil && w.draw.IntN(4) > 0 {
			n.view[instances[j]] = other.self
		}
	}
	n.view[n.self.Instance] = n.self
}

func (w *world) post(to int, repeats bool, run func()) {
	w.events = append(w.events, event{node: to, repeats: repeats, run: run})
}

// postTo sends to one process run: it is lost when that has ended.
func (w *world) postTo(i int, run func()) {
	n := w.nodes[i]
	w.post(i, false, func() {
		if w.nodes[i] == n {
			run()
		}
	})
}

func (w *world) step(kind int) {
	i := w.draw.IntN(nodes)
	n := w.nodes[i]
	switch {
	case kind < 50:
		w.deliver()
	case kind < 54 && len(w.events) > 0: // lost
		at := w.draw.IntN(len(w.events))
		w.events = slices.Delete(w.events, at, at+1)
	case kind < 58 && len(w.events) > 0: // doubled
		if e := w.events[w.draw.IntN(len(w.events))]; e.repeats {
			w.events = append(w.events, e)
		}
	case kind < 64 && !n.frozen:
		w.count["keys"]++
		key, err := dedup.ParseKey(n.records.KeyPrefix(w.now) + fmt.Sprint("key-", w.count["keys"]))
		if err != nil {
			panic(err)
		}
		w.calls = append(w.calls, &call{key: key})
	case kind < 78 && len(w.calls) > 0:
		w.count["tries"]++
		c := w.calls[w.draw.IntN(len(w.calls))]
		t := &try{call: c, ranBefore: c.runs > 0}
		w.postTo(i, func() { w.arrive(i, t, false) })
	case kind < 82:
		n.frozen = !n.frozen
	case kind < 85:
		w.start(i)
	case kind < 90: // the view of one node catches up on one other, or loses it
		j := (i + 1 + w.draw.IntN(nodes-1)) % nodes
		delete(n.view, instances[j])
		if w.draw.IntN(3) > 0 {
			n.view[instances[j]] = w.nodes[j].self
		}
	case kind < 91 && !n.frozen && !w.byHash:
		w.handOver(i)
	case kind >= 91:
		w.now = w.now.Add(time.Duration(w.draw.IntN(40)) * time.Second)
	}
}

func (w *world) deliver() {
	for range 4 {
		if len(w.events) == 0 {
			return
		}
		at := w.draw.IntN(len(w.events))
		e := w.events[at]
		if e.node >= 0 && w.nodes[e.node].frozen {
			continue
		}
		w.events = slices.Delete(w.events, at, at+1)
		e.run()
		return
	}
}

// arrive is the entry's part of a try.
func (w *world) arrive(i int, t *try, asked bool) {
	n := w.nodes[i]
	if w.byHash {
		var live []ident.Instance
		for j := range nodes {
			if _, listed := n.view[instances[j]]; listed {
				live = append(live, instances[j])
			}
		}
		owner, _ := rank.First(t.call.key.Unique, live)
		w.forward(i, owner, t)
		return
	}
	members := func(name ident.Instance) (ident.Incarnation, bool) { known, ok := n.view[name]; return known, ok }
	switch d := (dedup.Resolver{Self: n.self, LookupMember: members, Notes: n.notes}).Resolve(w.now, t.call.key, asked).(type) {
	case dedup.Local:
		t.copies = 1
		w.begin(i, t, w.teller(t))
	case dedup.Forward:
		w.forward(i, d.Incarnation.Instance, t)
	case dedup.Ask:
		peer := w.draw.IntN(nodes)
		w.post(peer, true, func() {
			if note, found := w.nodes[peer].notes.Find(w.now, t.call.key.Owner); found {
				n.notes.Add(w.now, note)
			}
			w.postTo(i, func() { w.arrive(i, t, true) })
		})
	case dedup.Gone:
		w.teller(t)(d.Failure)
	}
}

func (w *world) forward(i int, owner ident.Instance, t *try) {
	j := int(owner[len(owner)-1] - '0')
	if w.draw.IntN(8) == 0 && !w.byHash { // the entry can't connect to the owner
		t.copies++
		w.teller(t)(dedup.DowngradeNotRun(&result.Failure{Outcome: result.NotRun, Step: result.StepForward, Reason: result.PeerUnreachable}))
		return
	}
	for range 1 + w.draw.IntN(2) { // a second copy: the entry is in doubt about the first
		t.copies++
		reply := w.teller(t)
		w.post(j, false, func() { w.begin(j, t, func(f *result.Failure) { w.postTo(i, func() { reply(f) }) }) })
	}
	w.postTo(i, func() { w.teller(t)(&result.Failure{}) }) // timeout
}

// teller returns what gives one copy's outcome to the caller. An entry that sent
// several copies of one try says NotRun only when each of them was answered so.
func (w *world) teller(t *try) func(*result.Failure) {
	return func(f *result.Failure) {
		if t.told {
			return
		}
		if f != nil && f.Outcome == result.NotRun && !dedup.NeedsNewKey(f) {
			t.notRun++
			if t.notRun < t.copies {
				return
			}
		}
		t.told = true
		switch {
		case f == nil:
			w.count["done"]++
		case f.Outcome == result.Unknown:
			w.count["unknown"]++
		default:
			w.count["not-run"]++
			t.toldNotRun = true
			if t.ranBefore {
				w.count["false-not-run"]++
			}
			if dedup.NeedsNewKey(f) {
				w.count["final"]++
				t.call.final = true
				w.count["final-ran"] += min(t.call.runs, 1)
			}
		}
	}
}

// begin is the owner's part of a try: record, send, wait for the service.
func (w *world) begin(i int, t *try, reply func(*result.Failure)) {
	n := w.nodes[i]
	key := t.call.key
	if w.byHash {
		key = dedup.Key{Owner: n.self, Unique: key.Unique}
	}
	switch d := n.records.Begin(w.now, dedup.Call{Key: key, Workspace: "w"}).(type) {
	case dedup.Join:
		w.count["joined"]++
		n.waiters[key] = append(n.waiters[key], reply)
	case dedup.Replay:
		w.count["replayed"]++
		if key.Owner != n.self {
			w.count["from-import"]++
		}
		reply(d.Answer.Failure())
	case dedup.Refuse:
		reply(d.Failure)
	case dedup.Run:
		n.waiters[key] = []func(*result.Failure){reply}
		end := func(a dedup.Answer) {
			n.records.End(w.now, key, a)
			for _, waiter := range n.waiters[key] {
				waiter(a.Failure())
			}
			delete(n.waiters, key)
		}
		w.postTo(i, func() { w.send(i, t, end) })
	}
}

func (w *world) send(i int, t *try, end func(dedup.Answer)) {
	if w.draw.IntN(4) == 0 {
		end(dedup.Answer{Outcome: result.NotRun, Step: result.StepAttempt, Reason: result.ConnectFailed})
		return
	}
	ended := false
	once := func(a dedup.Answer) {
		if !ended {
			ended = true
			end(a)
		}
	}
	w.post(-1, false, func() { // TCP delivers a request to the service at most once
		w.count["runs"]++
		t.call.runs++
		if t.call.runs > 1 {
			w.count["double-runs"]++
		}
		if t.toldNotRun {
			w.count["false-not-run"]++
		}
		if t.call.final {
			w.count["final-ran"]++
		}
		w.postTo(i, func() { once(dedup.Answer{Outcome: result.Done}) })
	})
	w.postTo(i, func() { once(dedup.Answer{}) }) // timeout
}

// handOver exports to a random successor, and notes go out when it has everything.
func (w *world) handOver(i int) {
	w.count["handovers"]++
	old, s := w.nodes[i], w.draw.IntN(nodes)
	if s == i {
		return
	}
	for _, c := range old.records.Export(w.now, func(ident.Workspace) bool { return true }) {
		w.post(s, true, func() {
			next := w.nodes[s]
			if err := next.records.Import(w.now, c); err != nil || !next.records.ImportComplete(c.Owner) {
				return
			}
			note := dedup.SuccessorNote{Stopped: c.Owner, Successor: next.self, Expires: w.now.Add(3 * time.Minute)}
			for j := range nodes {
				w.post(j, true, func() { w.nodes[j].notes.Add(w.now, note) })
			}
		})
	}
}

func runSchedule(seed uint64, byHash bool) tally {
	schedule := rand.New(rand.NewPCG(seed, 1))
	source := rand.NewPCG(seed, 2)
	w := &world{count: tally{}, byHash: byHash, now: time.Unix(0, 0), draw: rand.New(source)}
	for i := range nodes {
		w.start(i)
	}
	for range steps {
		kind := schedule.IntN(100)
		source.Seed(schedule.Uint64(), seed)
		w.step(kind)
	}
	return w.count
}

func TestAtMostOnceUnderRandomSchedules(t *testing.T) {
	var mu sync.Mutex
	total, baseline := tally{}, tally{}
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				byOwner, byHash := tally{}, tally{}
				for seed := shard; seed < schedules; seed += shards {
					got := runSchedule(uint64(seed), false)
					if got.wrong() > 0 {
						t.Fatalf("seed %d: %v", seed, got)
					}
					byOwner.add(got)
					byHash.add(runSchedule(uint64(seed), true))
				}
				mu.Lock()
				defer mu.Unlock()
				total.add(byOwner)
				baseline.add(byHash)
			})
		}
	})
	t.Logf("key names its owner: %v", total)
	t.Logf("owner by hash: %v", baseline)
	for _, reached := range []string{"runs", "done", "not-run", "unknown", "final", "joined", "replayed", "from-import"} {
		if total[reached] == 0 {
			t.Errorf("no schedule reaches %s", reached)
		}
	}
	if baseline["double-runs"] == 0 {
		t.Error("the schedules don't tell the strategies apart")
	}
}
