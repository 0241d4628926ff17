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
	scheduleCount = 100_000
	shardCount    = 20
	stepCount     = 120
	instanceCount = 4
)

// outcomeCounts holds the numbers of outcomes that occurred in the schedules, by name.
type outcomeCounts map[string]int

func (a outcomeCounts) add(b outcomeCounts) {
	for name, count := range b {
		a[name] += count
	}
}

// violations returns the number of outcomes that must never occur.
func (a outcomeCounts) violations() int {
	return a["double-runs"] + a["false-not-run"] + a["final-ran"]
}

// simEvent is a message on its way to a node, or a timer of it.
type simEvent struct {
	target int // below zero: the plain service
	// duplicable means that the message may be delivered twice, by the network or by a
	// sender that is in doubt about its delivery.
	duplicable bool
	run        func()
}

type simInstance struct {
	self    ident.Incarnation
	frozen  bool
	records *dedup.Records
	notes   *dedup.SuccessorNotes
	members map[ident.Instance]ident.Incarnation
	waiters map[dedup.Key][]func(*result.Failure)
}

type simCall struct {
	key         dedup.Key
	runs        int
	needsNewKey bool // a caller received a failure that requires a new key
}

type simTry struct {
	call                    *simCall
	ranBefore               bool // the call had run before the try was sent
	copyCount, notRunCopies int
	answered                bool
	answeredNotRun          bool
}

// simulation holds the instances, the messages in transit and a plain service that
// counts its runs.
type simulation struct {
	counts     outcomeCounts
	byHash     bool // the baseline: the owner ranks first in rendezvous hashing over the instance's view
	now        time.Time
	random     *rand.Rand // reseeded at each step, so that both strategies have the same faults
	startCount uint64
	instances  [instanceCount]*simInstance
	events     []simEvent
	calls      []*simCall
}

var instanceIDs = [instanceCount]ident.Instance{"entry-0", "entry-1", "entry-2", "entry-3"}

func (s *simulation) start(i int) {
	s.startCount++
	limits := dedup.Limits{EpochLength: time.Minute, Retention: 3 * time.Minute}
	if s.byHash {
		limits = dedup.Limits{EpochLength: 1000 * time.Hour}
	}
	n := &simInstance{self: ident.Incarnation{Instance: instanceIDs[i], Start: s.startCount}, notes: &dedup.SuccessorNotes{}, members: map[ident.Instance]ident.Incarnation{}, waiters: map[dedup.Key][]func(*result.Failure){}}
	n.records = dedup.NewRecords(n.self, s.now, limits)
	s.instances[i] = n
	for j, other := range s.instances {
		if other != nil && s.random.IntN(4) > 0 {
			n.members[instanceIDs[j]] = other.self
		}
	}
	n.members[n.self.Instance] = n.self
}

func (s *simulation) schedule(target int, duplicable bool, run func()) {
	s.events = append(s.events, simEvent{target: target, duplicable: duplicable, run: run})
}

// scheduleOnRun schedules an event for the current process run of an instance. The
// event is lost if that run has ended.
func (s *simulation) scheduleOnRun(i int, run func()) {
	n := s.instances[i]
	s.schedule(i, false, func() {
		if s.instances[i] == n {
			run()
		}
	})
}

func (s *simulation) step(kind int) {
	i := s.random.IntN(instanceCount)
	n := s.instances[i]
	switch {
	case kind < 50:
		s.deliver()
	case kind < 54 && len(s.events) > 0: // lost
		at := s.random.IntN(len(s.events))
		s.events = slices.Delete(s.events, at, at+1)
	case kind < 58 && len(s.events) > 0: // duplicated
		if e := s.events[s.random.IntN(len(s.events))]; e.duplicable {
			s.events = append(s.events, e)
		}
	case kind < 64 && !n.frozen:
		s.counts["keys"]++
		key, err := dedup.ParseKey(n.records.KeyPrefix(s.now) + fmt.Sprint("key-", s.counts["keys"]))
		if err != nil {
			panic(err)
		}
		s.calls = append(s.calls, &simCall{key: key})
	case kind < 78 && len(s.calls) > 0:
		s.counts["tries"]++
		c := s.calls[s.random.IntN(len(s.calls))]
		t := &simTry{call: c, ranBefore: c.runs > 0}
		s.scheduleOnRun(i, func() { s.resolve(i, t, false) })
	case kind < 82:
		n.frozen = !n.frozen
	case kind < 85:
		s.start(i)
	case kind < 90: // the view of one instance is updated about a peer, or loses the peer
		j := (i + 1 + s.random.IntN(instanceCount-1)) % instanceCount
		delete(n.members, instanceIDs[j])
		if s.random.IntN(3) > 0 {
			n.members[instanceIDs[j]] = s.instances[j].self
		}
	case kind < 91 && !n.frozen && !s.byHash:
		s.handOver(i)
	case kind >= 91:
		s.now = s.now.Add(time.Duration(s.random.IntN(40)) * time.Second)
	}
}

func (s *simulation) deliver() {
	for range 4 {
		if len(s.events) == 0 {
			return
		}
		at := s.random.IntN(len(s.events))
		e := s.events[at]
		if e.target >= 0 && s.instances[e.target].frozen {
			continue
		}
		s.events = slices.Delete(s.events, at, at+1)
		e.run()
		return
	}
}

// resolve is the part of a try at the instance that received it from the caller.
func (s *simulation) resolve(i int, t *simTry, asked bool) {
	n := s.instances[i]
	if s.byHash {
		var live []ident.Instance
		for j := range instanceCount {
			if _, listed := n.members[instanceIDs[j]]; listed {
				live = append(live, instanceIDs[j])
			}
		}
		owner, _ := rank.First(t.call.key.Unique, live)
		s.forward(i, owner, t)
		return
	}
	lookup := func(name ident.Instance) (ident.Incarnation, bool) { known, ok := n.members[name]; return known, ok }
	switch d := (dedup.Resolver{Self: n.self, LookupMember: lookup, Notes: n.notes}).Resolve(s.now, t.call.key, asked).(type) {
	case dedup.Local:
		t.copyCount = 1
		s.begin(i, t, s.replyTo(t))
	case dedup.Forward:
		s.forward(i, d.Incarnation.Instance, t)
	case dedup.Ask:
		peer := s.random.IntN(instanceCount)
		s.schedule(peer, true, func() {
			if note, found := s.instances[peer].notes.Find(s.now, t.call.key.Owner); found {
				n.notes.Add(s.now, note)
			}
			s.scheduleOnRun(i, func() { s.resolve(i, t, true) })
		})
	case dedup.Gone:
		s.replyTo(t)(d.Failure)
	}
}

func (s *simulation) forward(i int, owner ident.Instance, t *simTry) {
	j := int(owner[len(owner)-1] - '0')
	if s.random.IntN(8) == 0 && !s.byHash { // the instance can't connect to the owner
		t.copyCount++
		s.replyTo(t)(dedup.DowngradeNotRun(&result.Failure{Outcome: result.NotRun, Step: result.StepForward, Reason: result.PeerUnreachable}))
		return
	}
	for range 1 + s.random.IntN(2) { // a second copy: the instance is in doubt about the first
		t.copyCount++
		reply := s.replyTo(t)
		s.schedule(j, false, func() { s.begin(j, t, func(f *result.Failure) { s.scheduleOnRun(i, func() { reply(f) }) }) })
	}
	s.scheduleOnRun(i, func() { s.replyTo(t)(&result.Failure{}) }) // timeout
}

// replyTo returns a function that returns the outcome of one copy to the caller. An
// instance that sent several copies of one try replies NotRun only after all of them
// were answered with NotRun.
func (s *simulation) replyTo(t *simTry) func(*result.Failure) {
	return func(f *result.Failure) {
		if t.answered {
			return
		}
		if f != nil && f.Outcome == result.NotRun && !dedup.NeedsNewKey(f) {
			t.notRunCopies++
			if t.notRunCopies < t.copyCount {
				return
			}
		}
		t.answered = true
		switch {
		case f == nil:
			s.counts["done"]++
		case f.Outcome == result.Unknown:
			s.counts["unknown"]++
		default:
			s.counts["not-run"]++
			t.answeredNotRun = true
			if t.ranBefore {
				s.counts["false-not-run"]++
			}
			if dedup.NeedsNewKey(f) {
				s.counts["final"]++
				t.call.needsNewKey = true
				s.counts["final-ran"] += min(t.call.runs, 1)
			}
		}
	}
}

// begin is the part of a try at the owner: it records the key, sends the call and
// waits for the service.
func (s *simulation) begin(i int, t *simTry, reply func(*result.Failure)) {
	n := s.instances[i]
	key := t.call.key
	if s.byHash {
		key = dedup.Key{Owner: n.self, Unique: key.Unique}
	}
	switch d := n.records.Begin(s.now, dedup.Call{Key: key, Workspace: "w"}).(type) {
	case dedup.Join:
		s.counts["joined"]++
		n.waiters[key] = append(n.waiters[key], reply)
	case dedup.Replay:
		s.counts["replayed"]++
		if key.Owner != n.self {
			s.counts["from-import"]++
		}
		reply(d.Answer.Failure())
	case dedup.Refuse:
		reply(d.Failure)
	case dedup.Run:
		n.waiters[key] = []func(*result.Failure){reply}
		end := func(a dedup.Answer) {
			n.records.End(s.now, key, a)
			for _, waiter := range n.waiters[key] {
				waiter(a.Failure())
			}
			delete(n.waiters, key)
		}
		s.scheduleOnRun(i, func() { s.send(i, t, end) })
	}
}

func (s *simulation) send(i int, t *simTry, end func(dedup.Answer)) {
	if s.random.IntN(4) == 0 {
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
	s.schedule(-1, false, func() { // TCP delivers a request to the service at most once
		s.counts["runs"]++
		t.call.runs++
		if t.call.runs > 1 {
			s.counts["double-runs"]++
		}
		if t.answeredNotRun {
			s.counts["false-not-run"]++
		}
		if t.call.needsNewKey {
			s.counts["final-ran"]++
		}
		s.scheduleOnRun(i, func() { once(dedup.Answer{Outcome: result.Done}) })
	})
	s.scheduleOnRun(i, func() { once(dedup.Answer{}) }) // timeout
}

// handOver exports the records to a random successor. When the successor has imported
// them completely, it sends its successor note to all instances.
func (s *simulation) handOver(i int) {
	s.counts["handovers"]++
	exporter, successor := s.instances[i], s.random.IntN(instanceCount)
	if successor == i {
		return
	}
	for _, c := range exporter.records.Export(s.now, func(ident.Workspace) bool { return true }) {
		s.schedule(successor, true, func() {
			next := s.instances[successor]
			if err := next.records.Import(s.now, c); err != nil || !next.records.ImportComplete(c.Owner) {
				return
			}
			note := dedup.SuccessorNote{Stopped: c.Owner, Successor: next.self, Expires: s.now.Add(3 * time.Minute)}
			for j := range instanceCount {
				s.schedule(j, true, func() { s.instances[j].notes.Add(s.now, note) })
			}
		})
	}
}

func runSchedule(seed uint64, byHash bool) outcomeCounts {
	kinds := rand.New(rand.NewPCG(seed, 1))
	source := rand.NewPCG(seed, 2)
	s := &simulation{counts: outcomeCounts{}, byHash: byHash, now: time.Unix(0, 0), random: rand.New(source)}
	for i := range instanceCount {
		s.start(i)
	}
	for range stepCount {
		kind := kinds.IntN(100)
		source.Seed(kinds.Uint64(), seed)
		s.step(kind)
	}
	return s.counts
}

func TestAtMostOnceUnderRandomSchedules(t *testing.T) {
	var mu sync.Mutex
	total, baseline := outcomeCounts{}, outcomeCounts{}
	t.Run("shards", func(t *testing.T) {
		for shard := range shardCount {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				byOwner, byHash := outcomeCounts{}, outcomeCounts{}
				for seed := shard; seed < scheduleCount; seed += shardCount {
					got := runSchedule(uint64(seed), false)
					if got.violations() > 0 {
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
		t.Error("the schedules don't distinguish the strategies: the baseline has no double run")
	}
}
