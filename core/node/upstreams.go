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

// upstreams holds the listed upstreams of the own region.
type upstreams struct {
	byID map[ident.Upstream]*Upstream
	// own holds the reports that this instance has polled, by upstream.
	own map[ident.Upstream]load.Report
	// asked holds when an upstream was polled that has not answered yet.
	asked map[ident.Upstream]time.Time
	// known is true once a list was taken: an upstream that comes later is new, and
	// its caches are cold.
	known bool
	// leaving weighs the signs that an upstream takes no new work.
	leaving drain.UpstreamTracker
	// stopped holds the upstreams that get no new work.
	stopped map[ident.Upstream]struct{}
}

// pollTimeout is after how long an upstream that hasn't answered is polled again.
const pollTimeout = 5 * time.Second

// take brings a list in force. An upstream keeps its load across lists, unless its
// address changed: then it is another process.
func (p *upstreams) take(now time.Time, rows []list.Upstream) {
	fresh := make(map[ident.Upstream]*Upstream, len(rows))
	for _, row := range rows {
		fresh[row.ID] = p.update(now, row)
	}
	for id := range p.byID {
		if fresh[id] == nil {
			p.leaving.Observe(drain.Delisted{Upstream: id})
			delete(p.stopped, id)
		}
	}
	p.byID = fresh
	p.known = true
	for _, row := range rows {
		p.sign(now, row.ID, drain.Listed{Upstream: row.ID, Leaving: row.Leaving})
	}
	maps.DeleteFunc(p.own, func(id ident.Upstream, _ load.Report) bool { return fresh[id] == nil })
	maps.DeleteFunc(p.asked, func(id ident.Upstream, _ time.Time) bool { return fresh[id] == nil })
}

func (p *upstreams) update(now time.Time, row list.Upstream) *Upstream {
	old := p.byID[row.ID]
	if old != nil && old.Address == row.Address {
		return &Upstream{Upstream: row, Load: old.Load}
	}
	u := &Upstream{Upstream: row, Load: &load.Upstream{ID: row.ID, Zone: row.Zone}}
	if p.known {
		u.Load.MarkReturned(now)
	}
	return u
}

// sign takes in a sign of an upstream and stops its new work, or lets it return
// with cold caches.
func (p *upstreams) sign(now time.Time, id ident.Upstream, s drain.Observation) {
	p.leaving.Observe(s)
	u := p.byID[id]
	if u == nil {
		return
	}
	_, stopped := p.stopped[id]
	takes := p.leaving.Exclusion(id) == drain.NotExcluded
	// An answer's header stops new work at once; the next report confirms it, or not.
	word, told := s.(drain.SelfReport)
	takenBack := told && !word.Leaving && u.Load.Leaving()
	switch {
	case takes && (stopped || takenBack):
		delete(p.stopped, id)
		u.Load.MarkReturned(now)
	case !takes:
		if p.stopped == nil {
			p.stopped = map[ident.Upstream]struct{}{}
		}
		p.stopped[id] = struct{}{}
		u.Load.MarkLeaving()
	}
}

// listed returns the upstreams for a view, after telling each what the table and
// the membership say of it.
func (p *upstreams) listed(t *table.Table, entries int) map[ident.Upstream]*Upstream {
	for _, u := range p.byID {
		u.Load.Configure(settingsOf(t, u.Pool, entries))
	}
	return maps.Clone(p.byID)
}

func settingsOf(t *table.Table, pool string, entries int) load.Settings {
	s := load.Settings{Instances: entries}
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

// noRamp is how load.Settings spells a ramp-up of no length.
const noRamp = -1

// due returns the upstreams that this instance is to poll now: each is polled for
// the whole region by the alive entry that ranks first for it.
func (p *upstreams) due(now time.Time, self ident.Instance, alive []ident.Instance) []*Upstream {
	if p.asked == nil {
		p.asked = map[ident.Upstream]time.Time{}
	}
	var due []*Upstream
	for id, u := range p.byID {
		first, _ := rank.First("load "+string(id), alive)
		if first != self {
			delete(p.own, id)
			continue
		}
		if asked, waits := p.asked[id]; waits && now.Sub(asked) < pollTimeout {
			continue
		}
		p.asked[id] = now
		due = append(due, u)
	}
	slices.SortFunc(due, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

func (p *upstreams) polled(id ident.Upstream) {
	delete(p.asked, id)
	delete(p.own, id)
}

// failed notes a poll that brought no answer.
func (p *upstreams) failed(now time.Time, id ident.Upstream) {
	p.polled(id)
	if p.byID[id] != nil {
		p.sign(now, id, drain.Unreachable{Upstream: id})
	}
}

// observe takes in a report that was polled here, or heard from a peer.
func (p *upstreams) observe(now time.Time, l UpstreamLoad, own bool) {
	_, waits := p.asked[l.Upstream]
	if own {
		p.polled(l.Upstream)
	}
	u, found := p.byID[l.Upstream]
	if !found {
		return
	}
	u.Load.Observe(now, l.Report)
	p.sign(now, l.Upstream, drain.SelfReport{Upstream: l.Upstream, Leaving: l.Report.Leaving, AsOf: l.Report.AsOf})
	// A report that was read for an order is not this instance's to hand on.
	if !own || !waits {
		return
	}
	if p.own == nil {
		p.own = map[ident.Upstream]load.Report{}
	}
	p.own[l.Upstream] = l.Report
}

// ownReports returns what was polled here, for the region's other entries.
func (p *upstreams) ownReports() []UpstreamLoad {
	reports := make([]UpstreamLoad, 0, len(p.own))
	for id, report := range p.own {
		reports = append(reports, UpstreamLoad{Upstream: id, Report: report})
	}
	slices.SortFunc(reports, func(a, b UpstreamLoad) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return reports
}
