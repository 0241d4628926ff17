package fetch_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

const (
	peerDelay            = 2 * time.Millisecond
	platformDelay        = 5 * time.Millisecond
	platformPollInterval = 50 * time.Millisecond
	region               = ident.Region("west")
)

// fleet drives the states of some instances and a platform under one virtual clock of
// milliseconds.
type fleet struct {
	now               time.Time
	random            *rand.Rand
	nodes             []*node
	queue             map[int64][]func()
	tickInterval      time.Duration
	values            map[fetch.Key]fetch.Value
	saved             map[fetch.Key]fetch.Value // served while servesSaved is set
	servesSaved       bool
	down              bool
	refusing          bool
	duplicatesAnswers bool
	// membershipDelay is how long a starting instance has no heartbeats of its peers.
	membershipDelay time.Duration
	reads           []time.Time
	out             strings.Builder
}

type node struct {
	id     ident.Instance
	zone   ident.Zone
	region int
	// state is nil while the instance is down.
	state     *fetch.State
	crashedAt time.Time
	// membershipAt is when the instance begins to receive its peers' heartbeats.
	membershipAt time.Time
	// platformCut cuts the instance off from the platform.
	platformCut bool
	table       ident.Revision
	lists       map[fetch.Key]ident.Revision
	readyFrom   fetch.StartSource
}

// newFleet creates instances such as "e01-2", the second one in zone 1 of region 0.
func newFleet(regions, zones, each int) *fleet {
	f := &fleet{now: time.UnixMilli(0), random: rand.New(rand.NewPCG(1, 2)), queue: map[int64][]func(){}, values: map[fetch.Key]fetch.Value{}, tickInterval: member.TickInterval}
	for i := range regions * zones * each {
		r, z := i/each/zones, i/each%zones+1
		id := ident.Instance(fmt.Sprintf("e%d%d-%d", r, z, i%each+1))
		f.nodes = append(f.nodes, &node{id: id, zone: ident.Zone(fmt.Sprintf("z%d-%d", r, z)), region: r})
	}
	f.setLists(1)
	return f
}

func (f *fleet) setLists(revision ident.Revision) {
	for _, key := range []fetch.Key{fetch.EntriesKey, fetch.UpstreamsKey(region)} {
		f.values[key] = fetch.Value{Revision: revision, Data: []byte("[]")}
	}
}

func (f *fleet) after(d time.Duration, run func()) {
	at := f.now.Add(max(d, time.Millisecond)).UnixMilli()
	f.queue[at] = append(f.queue[at], run)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		at := f.now.UnixMilli()
		for _, run := range f.queue[at] {
			run()
		}
		delete(f.queue, at)
	}
}

// nodesNamed returns the instances with the name prefix, or all for "all".
func (f *fleet) nodesNamed(prefix string) []*node {
	var list []*node
	for _, n := range f.nodes {
		if prefix == "all" || strings.HasPrefix(string(n.id), prefix) {
			list = append(list, n)
		}
	}
	return list
}

func (f *fleet) start(n *node) {
	n.state = fetch.New(fetch.Options{Instance: n.id, Zone: n.zone, Region: region, Random: rand.New(rand.NewPCG(f.random.Uint64(), 3))})
	n.membershipAt = f.now.Add(f.membershipDelay)
	n.table, n.lists = 0, map[fetch.Key]ident.Revision{}
	run := n.state
	repeat := func(event func() fetch.Event, wait func() time.Duration) {
		var again func()
		again = func() {
			if n.state == run {
				f.step(n, event())
				f.after(wait(), again)
			}
		}
		f.after(time.Duration(f.random.Int64N(int64(f.tickInterval))), again)
	}
	repeat(func() fetch.Event { return fetch.Tick{} }, func() time.Duration { return f.tickInterval })
	repeat(func() fetch.Event { return f.membershipOf(n) }, func() time.Duration { return max(f.tickInterval, f.period()) })
}

func (f *fleet) crash(n *node) {
	n.state = nil
	n.crashedAt = f.now
}

func (f *fleet) period() time.Duration {
	return member.HeartbeatPeriod(len(f.nodes) / (f.nodes[len(f.nodes)-1].region + 1))
}

// membershipOf returns an instance's view of its region. A crashed peer stays in it
// for three more periods, though it does not answer.
func (f *fleet) membershipOf(n *node) fetch.Membership {
	var m fetch.Membership
	zones := map[ident.Zone]int{}
	for _, p := range f.nodes {
		zones[p.zone]++
		if p == n || p.region != n.region {
			continue
		}
		m.ExpectedPeers++
		peer := fetch.Peer{Instance: p.id, Zone: p.zone, Usable: true}
		if p.state != nil {
			peer.Revisions = p.state.Revisions()
		}
		if f.now.Before(n.membershipAt) {
			continue
		}
		if p.state != nil || !p.crashedAt.IsZero() && f.now.Sub(p.crashedAt) <= 3*f.period() {
			m.Peers = append(m.Peers, peer)
		}
	}
	if n.state.Revisions().Entries == 0 {
		return m
	}
	m.FleetSize = len(f.nodes)
	for _, count := range zones {
		m.FleetReaders += min(count, 2)
	}
	return m
}

func (f *fleet) step(n *node, e fetch.Event) {
	run := n.state
	if run == nil {
		return
	}
	for _, action := range append([]fetch.Action{}, run.Step(f.now, e)...) {
		switch a := action.(type) {
		case fetch.ReadPlatform:
			f.reads = append(f.reads, f.now)
			f.after(platformDelay, func() { f.answerPlatformRead(n, run, a) })
		case fetch.ReadPeer:
			f.after(peerDelay, func() { f.answerPeerRead(n, run, a) })
		case fetch.Announce:
			for _, id := range a.To {
				f.after(peerDelay, func() {
					f.step(f.nodesNamed(string(id))[0], fetch.PeerAnnounced{Instance: n.id, Revisions: a.Revisions})
				})
			}
		case fetch.TableActivated:
			if a.Table.Version().Revision <= n.table {
				fmt.Fprintf(&f.out, "%s went from %d to %d\n", n.id, n.table, a.Table.Version().Revision)
			}
			n.table = a.Table.Version().Revision
		case fetch.ListActivated:
			if a.Value.Revision <= n.lists[a.Key] {
				fmt.Fprintf(&f.out, "%s went from %d to %d of %s\n", n.id, n.lists[a.Key], a.Value.Revision, a.Key)
			}
			n.lists[a.Key] = a.Value.Revision
		case fetch.BecameReady:
			n.readyFrom = a.Source
			for _, p := range f.nodes {
				if p.state != nil && p.table > n.table {
					fmt.Fprintf(&f.out, "%s is ready with %d, %s has %d\n", n.id, n.table, p.id, p.table)
				}
			}
		case fetch.ValueRejected:
			line, _, _ := strings.Cut(fmt.Sprint(a.Err), "\n")
			fmt.Fprintf(&f.out, "%s refused revision %d, %s: %s\n", n.id, a.Version.Revision, a.Verdict, line)
		}
	}
}

// deliver passes an answer to the run that sent the request, and once more 3 s later
// when answers are duplicated.
func (f *fleet) deliver(n *node, run *fetch.State, e fetch.Event) {
	step := func() {
		if n.state == run {
			f.step(n, e)
		}
	}
	step()
	if f.duplicatesAnswers {
		f.after(3*time.Second, step)
	}
}

// answerPlatformRead acts as the platform: it answers a read, keeps it waiting or
// fails it.
func (f *fleet) answerPlatformRead(n *node, run *fetch.State, r fetch.ReadPlatform) {
	v, found := f.values[r.Key]
	if f.servesSaved {
		v, found = f.saved[r.Key]
	}
	switch {
	case f.down || n.platformCut:
		f.deliver(n, run, fetch.PlatformFailed{Key: r.Key})
	case f.refusing:
		f.deliver(n, run, fetch.PlatformFailed{Key: r.Key, RetryAfter: 2 * time.Second})
	case !found:
		f.deliver(n, run, fetch.PlatformAnswered{Key: r.Key, Answer: fetch.Absent})
	case v.Revision > r.After:
		f.deliver(n, run, fetch.PlatformAnswered{Key: r.Key, Answer: fetch.Found, Value: v})
	case r.Wait <= 0:
		f.deliver(n, run, fetch.PlatformAnswered{Key: r.Key, Answer: fetch.Unchanged})
	default:
		r.Wait -= platformPollInterval
		f.after(platformPollInterval, func() { f.answerPlatformRead(n, run, r) })
	}
}

func (f *fleet) answerPeerRead(n *node, run *fetch.State, a fetch.ReadPeer) {
	var answer fetch.Event = fetch.PeerFailed{Instance: a.Instance, Key: a.Key}
	if p := f.nodesNamed(string(a.Instance))[0]; p.state != nil {
		v, found := p.state.Value(a.Key, a.After)
		answer = fetch.PeerAnswered{Instance: a.Instance, Key: a.Key, Found: found, Value: v}
	}
	f.after(peerDelay, func() { f.deliver(n, run, answer) })
}

// activeEverywhere reports whether a revision is active on every running instance.
func (f *fleet) activeEverywhere(revision ident.Revision) bool {
	for _, n := range f.nodes {
		if n.state != nil && n.state.Revisions().Table < revision {
			return false
		}
	}
	return true
}

// maxReadsInSecond returns the highest number of reads in any second.
func maxReadsInSecond(reads []time.Time) int {
	first, highest := 0, 0
	for i, at := range reads {
		for at.Sub(reads[first]) >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
