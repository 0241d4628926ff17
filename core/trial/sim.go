package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/route"
	"arbutustrestle/core/share"
	"arbutustrestle/core/table"
)

const (
	// betweenRegions and insideRegion are one-way delays.
	betweenRegions = 50 * time.Millisecond
	insideRegion   = time.Millisecond
	// reportPeriod and reportLag are how often and how late entries hear of a load.
	reportPeriod = time.Second
	reportLag    = 200 * time.Millisecond
	// lateLag is the lag under LateReports.
	lateLag = 4 * time.Second
	// beatPeriod and beatLoss are of the heartbeats inside a region.
	beatPeriod = time.Second
	beatLoss   = 0.05
	// summaryPeriod and summaryLag are of the summaries between regions.
	summaryPeriod = 2 * time.Second
	summaryLag    = 500 * time.Millisecond
	// listLag is how late the platform's list tells that a replica came or went.
	listLag = 3 * time.Second
	// eventLag and eventLoss are of cache events.
	eventLag  = 2 * time.Second
	eventLoss = 0.2
	// serviceReplicas is the number of plain service replicas in each region.
	serviceReplicas = 2
	// hedgeAfter and latencyWait are what operators set who weigh latency most: they
	// leave 1.5 s of the 1.9 s to the first token for reading the prompt.
	hedgeAfter  = 400 * time.Millisecond
	latencyWait = 400 * time.Millisecond
	// costWait is what operators set who weigh cost most; they don't hedge.
	costWait = 900 * time.Millisecond
	// spillCost is the cost of sending a request to another region.
	spillCost = 150 * time.Millisecond
	// latencyShare and costShare are the parts of a region's requests that may go to
	// another one.
	latencyShare = 0.5
	costShare    = 0.1
)

var begin = time.Unix(1_700_000_000, 0)

// sim is one run.
type sim struct {
	schedule
	options Options
	random  *rand.Rand
	// engines and entries are by region.
	engines [][]*engine
	entries [][]*entry
	policy  table.Policy
	report  *Report
}

func regionName(i int) ident.Region {
	return ident.Region(fmt.Sprintf("region-%d", i))
}

// Run does one run and reports on it.
func Run(o Options) *Report {
	o.fill()
	s := &sim{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), policy: table.DefaultPolicy()}
	s.now = begin
	s.setPolicy()
	s.report = newReport(o)
	for i, count := range o.Engines {
		s.engines = append(s.engines, s.newEngines(i, count))
	}
	for i := range o.Engines {
		s.entries = append(s.entries, s.newEntries(i))
	}
	s.startReports()
	s.startBeats()
	s.startSummaries()
	s.startFault()
	s.startCallers()
	s.until(begin.Add(o.Duration))
	s.report.close(s)
	return s.report
}

// setPolicy sets the rows of the policy sheet that differ from the defaults.
func (s *sim) setPolicy() {
	wait := latencyWait
	s.policy.HedgeAfter = hedgeAfter
	if s.options.Policy.Objective == table.Cost {
		wait = costWait
		s.policy.HedgeAfter = 0
	}
	for class := range s.policy.Classes {
		s.policy.Classes[class].MaxWait = wait
	}
	if s.options.Policy.NoHedge {
		s.policy.HedgeAfter = 0
	}
}

func (s *sim) newEngines(region, count int) []*engine {
	var list []*engine
	for i := range count + serviceReplicas {
		e := &engine{sim: s, region: region, slow: 1}
		e.id = ident.Upstream(fmt.Sprintf("engine-%d-%d", region, i))
		if i >= count {
			e.kind = services
		}
		list = append(list, e)
	}
	return list
}

func (s *sim) newEntries(region int) []*entry {
	var list []*entry
	for i := range s.options.Instances {
		list = append(list, newEntry(s, region, i))
	}
	return list
}

// startReports has every entry ask every engine for its load, each pair at its own
// time.
func (s *sim) startReports() {
	for region, engines := range s.engines {
		for _, e := range engines {
			for _, n := range s.entries[region] {
				s.every(s.within(reportPeriod), reportPeriod, func() { s.observe(n, e) })
			}
			s.every(reportPeriod, reportPeriod, func() {
				e.perSecond = float64(e.generated) / reportPeriod.Seconds()
				e.generated = 0
			})
		}
	}
}

func (s *sim) observe(n *entry, e *engine) {
	if e.down {
		return
	}
	lag := reportLag
	if s.options.Fault == LateReports {
		lag = lateLag
	}
	r := e.report()
	s.after(lag, func() { n.upstreams[e.id].Observe(s.now, r) })
}

func (s *sim) within(period time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(period)))
}

// startBeats has every entry tell its peers in the region what it uses.
func (s *sim) startBeats() {
	for _, entries := range s.entries {
		for _, n := range entries {
			n.resize()
			s.every(s.within(beatPeriod), beatPeriod, func() { s.beat(n, entries) })
		}
	}
}

func (s *sim) beat(n *entry, entries []*entry) {
	var peers []ident.Instance
	for _, p := range entries {
		if p != n {
			peers = append(peers, p.id)
		}
	}
	usages := n.ledger.PrepareHeartbeat(s.now, n.id, peers)
	wants := n.wants()
	for _, p := range entries {
		if p == n || s.random.Float64() < beatLoss {
			continue
		}
		s.after(insideRegion, func() { p.hear(n.id, wants, usages) })
	}
	n.resize()
}

// startSummaries tells the entries of each region how the others are loaded.
func (s *sim) startSummaries() {
	for from := range s.entries {
		s.every(s.within(summaryPeriod), summaryPeriod, func() {
			for k := range kindCount {
				total := load.Sum(s.now, s.entries[from][0].pools[k].list)
				s.after(summaryLag, func() { s.tell(from, k, total) })
			}
		})
	}
}

func (s *sim) tell(from int, k kind, total load.Total) {
	cell := load.RegionLoad{Region: regionName(from), FreeSlots: total.SpareSlots(), Wait: total.Wait, AsOf: s.now}
	for to, entries := range s.entries {
		if to == from {
			continue
		}
		for _, n := range entries {
			n.pools[k].learn(cell)
		}
	}
}

// cacheEvent tells the entries of a region what an engine's cache holds.
func (s *sim) cacheEvent(e *engine, prefix uint64, stored bool) {
	if s.random.Float64() < eventLoss {
		return
	}
	s.after(eventLag, func() {
		for _, n := range s.entries[e.region] {
			if stored {
				n.cache.Add(prefix, e.id)
			} else {
				n.cache.Remove(prefix, e.id)
			}
		}
	})
}

// list tells the entries of a region, late, that an engine came or went.
func (s *sim) list(e *engine, live bool) {
	s.after(listLag, func() {
		for _, n := range s.entries[e.region] {
			if live {
				n.upstreams[e.id].MarkReturned(s.now)
			} else {
				n.upstreams[e.id].MarkLeaving()
			}
		}
	})
}

// remotes returns what an entry knows of other regions before it has heard of them.
func (s *sim) remotes(own int) []route.RemoteRegion {
	var list []route.RemoteRegion
	if s.options.Policy.NoSpill {
		return nil
	}
	share := latencyShare
	if s.options.Policy.Objective == table.Cost {
		share = costShare
	}
	for i := range s.options.Engines {
		if i == own {
			continue
		}
		list = append(list, route.RemoteRegion{
			Load:        load.RegionLoad{Region: regionName(i)},
			WaitPenalty: spillCost,
			MaxShare:    share,
			Senders:     (len(s.options.Engines) - 1) * s.options.Instances,
		})
	}
	return list
}

// limits are the same for every workspace: a quarter of its region's slots.
func (s *sim) limits(region int) share.Limits {
	if s.options.Policy.NoWorkspaceLimit {
		return share.Limits{}
	}
	return share.Limits{InFlight: float64(s.options.Engines[region]*batches[models].slots) / 4}
}
