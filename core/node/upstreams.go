package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"arbutustrestle/core/drain"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/list"
	"arbutustrestle/core/load"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/table"
)

// upstreamSet is the state of the listed upstreams of the own region.
type upstreamSet struct {
	byID map[ident.Upstream]*Upstream
	// revision is that of the active list.
	revision ident.Revision
	// reports holds the latest report of each upstream that this instance polls for
	// its region.
	reports map[ident.Upstream]load.Report
	// pollSent holds the time of the poll of each upstream whose answer is pending.
	pollSent map[ident.Upstream]time.Time
	// hadList is true once a list was activated. An upstream that is added later is
	// new, and its caches are cold.
	hadList bool
	// tracker decides from several sources whether an upstream is leaving and receives
	// no new work.
	tracker drain.UpstreamTracker
	// stopped holds the upstreams that receive no new work.
	stopped map[ident.Upstream]struct{}
}

// pollTimeout is the time after which an upstream that hasn't answered is polled
// again.
const pollTimeout = 5 * time.Second

// activate replaces the list of upstreams. An upstream keeps its load across lists
// unless its address has changed, which means that it is another process.
func (p *upstreamSet) activate(now time.Time, rows []list.Upstream) {
	byID := make(map[ident.Upstream]*Upstream, len(rows))
	for _, row := range rows {
		byID[row.ID] = p.update(now, row)
	}
	for id := range p.byID {
		if byID[id] == nil {
			p.tracker.Observe(drain.Delisted{Upstream: id})
			delete(p.stopped, id)
		}
	}
	p.byID = byID
	p.hadList = true
	for _, row := range rows {
		p.applyObservation(now, row.ID, drain.Listed{Upstream: row.ID, Leaving: row.Leaving})
	}
	maps.DeleteFunc(p.reports, func(id ident.Upstream, _ load.Report) bool { return byID[id] == nil })
	maps.DeleteFunc(p.pollSent, func(id ident.Upstream, _ time.Time) bool { return byID[id] == nil })
}

func (p *upstreamSet) update(now time.Time, row list.Upstream) *Upstream {
	old := p.byID[row.ID]
	if old != nil && old.Address == row.Address {
		return &Upstream{Upstream: row, Load: old.Load}
	}
	u := &Upstream{Upstream: row, Load: &load.Upstream{ID: row.ID, Zone: row.Zone}}
	if p.hadList {
		u.Load.MarkReturned(now)
	}
	return u
}

// applyObservation processes evidence of whether an upstream is leaving. It stops new
// work for a leaving upstream, and readmits one that has returned as an upstream with
// cold caches.
func (p *upstreamSet) applyObservation(now time.Time, id ident.Upstream, observation drain.Observation) {
	p.tracker.Observe(observation)
	u := p.byID[id]
	if u == nil {
		return
	}
	_, stopped := p.stopped[id]
	accepting := p.tracker.Exclusion(id) == drain.NotExcluded
	// The header of an answer stops new work immediately. The next report confirms or
	// retracts it.
	report, isReport := observation.(drain.SelfReport)
	retracted := isReport && !report.Leaving && u.Load.Leaving()
	switch {
	case accepting && (stopped || retracted):
		delete(p.stopped, id)
		u.Load.MarkReturned(now)
	case !accepting:
		if p.stopped == nil {
			p.stopped = map[ident.Upstream]struct{}{}
		}
		p.stopped[id] = struct{}{}
		u.Load.MarkLeaving()
	}
}

// configured returns the upstreams for a view, after setting the load parameters of
// each from the table and the membership.
func (p *upstreamSet) configured(t *table.Table, instances int) map[ident.Upstream]*Upstream {
	for _, u := range p.byID {
		u.Load.Configure(loadSettings(t, u.Pool, instances))
	}
	return maps.Clone(p.byID)
}

func loadSettings(t *table.Table, pool string, instances int) load.Settings {
	s := load.Settings{Instances: instances}
	if t == nil {
		return s
	}
	s.MaxReportAge = t.Policy().LoadFreshness
	s.RampUp = t.Policy().RampUp
	if s.RampUp == 0 {
		s.RampUp = noRamp
	}
	if row, found := t.Pool(pool); found {
		s.Slots = row.Slots
	}
	return s
}

// noRamp is the value of load.Settings.RampUp for no ramp-up.
const noRamp = -1

// pollsDue returns the upstreams that this instance has to poll now. Each upstream is
// polled on behalf of the whole region by the alive instance that ranks first for it
// in rendezvous hashing.
func (p *upstreamSet) pollsDue(now time.Time, self ident.Instance, alive []ident.Instance) []*Upstream {
	if p.pollSent == nil {
		p.pollSent = map[ident.Upstream]time.Time{}
	}
	var polls []*Upstream
	for id, u := range p.byID {
		poller, _ := rank.First("load "+string(id), alive)
		if poller != self {
			delete(p.reports, id)
			continue
		}
		if sent, pending := p.pollSent[id]; pending && now.Sub(sent) < pollTimeout {
			continue
		}
		p.pollSent[id] = now
		polls = append(polls, u)
	}
	slices.SortFunc(polls, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return polls
}

func (p *upstreamSet) pollEnded(id ident.Upstream) {
	delete(p.pollSent, id)
	delete(p.reports, id)
}

// pollFailed records a poll that received no answer.
func (p *upstreamSet) pollFailed(now time.Time, id ident.Upstream) {
	p.pollEnded(id)
	if p.byID[id] != nil {
		p.applyObservation(now, id, drain.Unreachable{Upstream: id})
	}
}

// observe applies a report that this instance polled (own) or received from a peer.
func (p *upstreamSet) observe(now time.Time, l UpstreamLoad, own bool) {
	_, pending := p.pollSent[l.Upstream]
	if own {
		p.pollEnded(l.Upstream)
	}
	u, found := p.byID[l.Upstream]
	if !found {
		return
	}
	u.Load.Observe(now, l.Report)
	p.applyObservation(now, l.Upstream, drain.SelfReport{Upstream: l.Upstream, Leaving: l.Report.Leaving, AsOf: l.Report.AsOf})
	// A report that was polled for an order is not forwarded to the region: another
	// instance may be responsible for polling this upstream.
	if !own || !pending {
		return
	}
	if p.reports == nil {
		p.reports = map[ident.Upstream]load.Report{}
	}
	p.reports[l.Upstream] = l.Report
}

// ownReports returns the reports that this instance polled, for the other instances
// of the region.
func (p *upstreamSet) ownReports() []UpstreamLoad {
	reports := make([]UpstreamLoad, 0, len(p.reports))
	for id, report := range p.reports {
		reports = append(reports, UpstreamLoad{Upstream: id, Report: report})
	}
	slices.SortFunc(reports, func(a, b UpstreamLoad) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return reports
}
