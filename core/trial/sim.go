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
	// interRegionDelay and intraRegionDelay are one-way delays.
	interRegionDelay = 50 * time.Millisecond
	intraRegionDelay = time.Millisecond
	// reportPeriod and reportLag are the period and the delay of the load reports to
	// the instances.
	reportPeriod = time.Second
	reportLag    = 200 * time.Millisecond
	// lateReportLag is the delay of load reports under LateReports.
	lateReportLag = 4 * time.Second
	// heartbeatPeriod and heartbeatLossRate apply to the heartbeats inside a region.
	heartbeatPeriod   = time.Second
	heartbeatLossRate = 0.05
	// summaryPeriod and summaryLag apply to the load summaries between regions.
	summaryPeriod = 2 * time.Second
	summaryLag    = 500 * time.Millisecond
	// listLag is the delay with which the platform's list shows an added or removed
	// replica.
	listLag = 3 * time.Second
	// cacheEventLag and cacheEventLossRate apply to cache events.
	cacheEventLag      = 2 * time.Second
	cacheEventLossRate = 0.2
	// serviceReplicas is the number of plain service replicas in each region.
	serviceReplicas = 2
	// hedgeAfter and latencyMaxWait are the settings of operators who weight latency
	// most: they leave 1.5 s of the 1.9 s to the first token for the prefill of the
	// prompt.
	hedgeAfter     = 400 * time.Millisecond
	latencyMaxWait = 400 * time.Millisecond
	// costMaxWait is the setting of operators who weight cost most; they don't hedge.
	costMaxWait = 900 * time.Millisecond
	// spillPenalty is the cost of sending a request to another region.
	spillPenalty = 150 * time.Millisecond
	// latencySpillShare and costSpillShare are the largest shares of a region's
	// requests that may go to another region.
	latencySpillShare = 0.5
	costSpillShare    = 0.1
)

var startTime = time.Unix(1_700_000_000, 0)

// sim is the state of one run.
type sim struct {
	virtualClock
	options Options
	random  *rand.Rand
	// engines and instances are indexed by region.
	engines   [][]*engine
	instances [][]*instance
	policy    table.Policy
	report    *Report
}

func regionName(i int) ident.Region {
	return ident.Region(fmt.Sprintf("region-%d", i))
}

// Run simulates one run and returns its report.
func Run(o Options) *Report {
	o.setDefaults()
	s := &sim{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), policy: table.DefaultPolicy()}
	s.now = startTime
	s.setPolicy()
	s.report = newReport(o)
	for i, count := range o.Engines {
		s.engines = append(s.engines, s.newEngines(i, count))
	}
	for i := range o.Engines {
		s.instances = append(s.instances, s.newInstances(i))
	}
	s.startReports()
	s.startHeartbeats()
	s.startSummaries()
	s.scheduleFault()
	s.startCallers()
	s.runUntil(startTime.Add(o.Duration))
	s.report.close(s)
	return s.report
}

// setPolicy sets the fields of the policy that differ from the defaults.
func (s *sim) setPolicy() {
	wait := latencyMaxWait
	s.policy.HedgeAfter = hedgeAfter
	if s.options.Policy.Objective == table.Cost {
		wait = costMaxWait
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
		e := &engine{sim: s, region: region, slowdown: 1}
		e.id = ident.Upstream(fmt.Sprintf("engine-%d-%d", region, i))
		if i >= count {
			e.kind = services
		}
		list = append(list, e)
	}
	return list
}

func (s *sim) newInstances(region int) []*instance {
	var list []*instance
	for i := range s.options.Instances {
		list = append(list, newInstance(s, region, i))
	}
	return list
}

// startReports makes every instance poll the load of every engine of its region, each
// pair with a random offset.
func (s *sim) startReports() {
	for region, engines := range s.engines {
		for _, e := range engines {
			for _, n := range s.instances[region] {
				s.every(s.randomOffset(reportPeriod), reportPeriod, func() { s.fetchReport(n, e) })
			}
			s.every(reportPeriod, reportPeriod, func() {
				e.tokensPerSecond = float64(e.generated) / reportPeriod.Seconds()
				e.generated = 0
			})
		}
	}
}

func (s *sim) fetchReport(n *instance, e *engine) {
	if e.down {
		return
	}
	lag := reportLag
	if s.options.Fault == LateReports {
		lag = lateReportLag
	}
	r := e.loadReport()
	s.after(lag, func() { n.upstreams[e.id].Observe(s.now, r) })
}

func (s *sim) randomOffset(period time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(period)))
}

// startHeartbeats makes every instance send its demand periodically to its peers in the
// region.
func (s *sim) startHeartbeats() {
	for _, instances := range s.instances {
		for _, n := range instances {
			n.resizeGates()
			s.every(s.randomOffset(heartbeatPeriod), heartbeatPeriod, func() { s.sendHeartbeats(n, instances) })
		}
	}
}

func (s *sim) sendHeartbeats(n *instance, instances []*instance) {
	var peers []ident.Instance
	for _, p := range instances {
		if p != n {
			peers = append(peers, p.id)
		}
	}
	claims := n.workspaceLimiter.PrepareHeartbeat(s.now, n.id, peers)
	demands := n.takeDemands()
	for _, p := range instances {
		if p == n || s.random.Float64() < heartbeatLossRate {
			continue
		}
		s.after(intraRegionDelay, func() { p.receiveHeartbeat(n.id, demands, claims) })
	}
	n.resizeGates()
}

// startSummaries sends the load of each region periodically to the instances of the
// other regions.
func (s *sim) startSummaries() {
	for from := range s.instances {
		s.every(s.randomOffset(summaryPeriod), summaryPeriod, func() {
			for k := range kindCount {
				total := load.Sum(s.now, s.instances[from][0].pools[k].list)
				s.after(summaryLag, func() { s.deliverSummary(from, k, total) })
			}
		})
	}
}

func (s *sim) deliverSummary(from int, k kind, total load.Total) {
	regionLoad := load.RegionLoad{Region: regionName(from), FreeSlots: total.SpareSlots(), Wait: total.Wait, AsOf: s.now}
	for to, instances := range s.instances {
		if to == from {
			continue
		}
		for _, n := range instances {
			n.pools[k].setRemoteLoad(regionLoad)
		}
	}
}

// cacheEvent sends a change of an engine's cache to the instances of its region.
func (s *sim) cacheEvent(e *engine, prefix uint64, stored bool) {
	if s.random.Float64() < cacheEventLossRate {
		return
	}
	s.after(cacheEventLag, func() {
		for _, n := range s.instances[e.region] {
			if stored {
				n.cache.Add(prefix, e.id)
			} else {
				n.cache.Remove(prefix, e.id)
			}
		}
	})
}

// publishListChange marks an engine as returned or leaving at the instances of its
// region, after the delay of the list.
func (s *sim) publishListChange(e *engine, listed bool) {
	s.after(listLag, func() {
		for _, n := range s.instances[e.region] {
			if listed {
				n.upstreams[e.id].MarkReturned(s.now)
			} else {
				n.upstreams[e.id].MarkLeaving()
			}
		}
	})
}

// remoteRegions returns an instance's initial state of the other regions, before the
// first summary.
func (s *sim) remoteRegions(own int) []route.RemoteRegion {
	var list []route.RemoteRegion
	if s.options.Policy.NoSpill {
		return nil
	}
	maxShare := latencySpillShare
	if s.options.Policy.Objective == table.Cost {
		maxShare = costSpillShare
	}
	for i := range s.options.Engines {
		if i == own {
			continue
		}
		list = append(list, route.RemoteRegion{
			Load:        load.RegionLoad{Region: regionName(i)},
			WaitPenalty: spillPenalty,
			MaxShare:    maxShare,
			Senders:     (len(s.options.Engines) - 1) * s.options.Instances,
		})
	}
	return list
}

// workspaceLimits returns the limits, which are the same for every workspace: a quarter
// of its region's slots.
func (s *sim) workspaceLimits(region int) share.Limits {
	if s.options.Policy.NoWorkspaceLimit {
		return share.Limits{}
	}
	return share.Limits{InFlight: float64(s.options.Engines[region]*batches[models].slots) / 4}
}
