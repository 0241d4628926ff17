// Package node implements the control state of one entry instance: its membership,
// the published values that it holds, its orders and its shutdown, combined into one
// state machine. A program that embeds the system passes events to Node.Step and
// carries out the returned actions.
package node

import (
	"maps"
	"slices"
	"strings"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/list"
	"arbutustrestle/core/load"
	"arbutustrestle/core/member"
	"arbutustrestle/core/reside"
	"arbutustrestle/core/route"
	"arbutustrestle/core/table"
)

// Upstream is a listed upstream with the estimate of its load.
type Upstream struct {
	list.Upstream
	// Load is shared by all views: the same upstream has the same Load in each.
	Load *load.Upstream
}

// View is the snapshot that requests are decided on. It is immutable except for the
// loads and limiters that it points to, which are safe for concurrent use.
type View struct {
	// Self, Zone and Region are constant while the process runs.
	Self   ident.Incarnation
	Zone   ident.Zone
	Region ident.Region
	Phase  member.Phase
	// Resuming is true from a pause of this process until its table is at least as new
	// as those of its peers, or until the peers have had the time to report theirs.
	Resuming bool
	// Table is nil until a table is active.
	Table *table.Table
	// ListRevision is that of the active list of upstreams; zero if none is active.
	ListRevision ident.Revision
	// Members is never nil.
	Members *member.View

	upstreams     map[ident.Upstream]*Upstream
	spareSlots    map[ident.Region]float64
	models        map[modelClass]*route.View
	services      map[ident.Service]*route.View
	groups        map[string]*UpstreamGroup
	modelGroups   map[ident.Model]*UpstreamGroup
	serviceGroups map[ident.Service]*UpstreamGroup
}

// UpstreamGroup is a set of upstreams that share capacity: those of the pools that
// serve the same models or the same plain service.
type UpstreamGroup struct {
	// Name joins the names of the pools, such as "small+large".
	Name      string
	Upstreams []*load.Upstream
}

type modelClass struct {
	model ident.Model
	class table.Class
}

// Upstream returns a listed upstream of the own region.
func (v *View) Upstream(id ident.Upstream) (*Upstream, bool) {
	u, found := v.upstreams[id]
	return u, found
}

// UpstreamCount returns the number of listed upstreams of the own region.
func (v *View) UpstreamCount() int {
	return len(v.upstreams)
}

// ModelRoutes returns the routing view for the requests of a class for a model. It
// returns false for a model that no row of the table serves.
func (v *View) ModelRoutes(model ident.Model, class table.Class) (*route.View, bool) {
	r, found := v.models[modelClass{model, class}]
	return r, found
}

// ServiceRoutes returns the routing view for the calls of a plain service. It returns
// false for a service that no row of the table names.
func (v *View) ServiceRoutes(service ident.Service) (*route.View, bool) {
	r, found := v.services[service]
	return r, found
}

// ModelGroup returns the upstreams whose capacity the requests for a model use.
func (v *View) ModelGroup(model ident.Model) (*UpstreamGroup, bool) {
	g, found := v.modelGroups[model]
	return g, found
}

// ServiceGroup returns the upstreams whose capacity the calls of a plain service use.
func (v *View) ServiceGroup(service ident.Service) (*UpstreamGroup, bool) {
	g, found := v.serviceGroups[service]
	return g, found
}

// Groups returns all groups, by name.
func (v *View) Groups() map[string]*UpstreamGroup {
	return v.groups
}

// routeBuilder builds the routing views and groups of a view from its table and the
// upstreams of the own region.
type routeBuilder struct {
	view        *View
	remotes     func(model ident.Model, service ident.Service) []route.RemoteRegion
	limiters    *spillLimiters
	prefixIndex *load.PrefixIndex
	// byPool holds the upstreams of each pool.
	byPool map[string][]*load.Upstream
}

func (r *routeBuilder) build() {
	t := r.view.Table
	r.view.models = map[modelClass]*route.View{}
	r.view.services = map[ident.Service]*route.View{}
	r.view.groups = map[string]*UpstreamGroup{}
	r.view.modelGroups = map[ident.Model]*UpstreamGroup{}
	r.view.serviceGroups = map[ident.Service]*UpstreamGroup{}
	if t == nil {
		return
	}
	r.groupByPool()
	for _, p := range t.Pools() {
		for _, m := range p.Models {
			r.addModel(t, m.Model)
		}
		if p.Service != "" {
			r.addService(t, p.Service)
		}
	}
}

// groupByPool fills byPool. The upstreams of a pool are sorted by name, so that two
// views of the same lists choose the same upstreams.
func (r *routeBuilder) groupByPool() {
	r.byPool = map[string][]*load.Upstream{}
	names := slices.Sorted(maps.Keys(r.view.upstreams))
	for _, name := range names {
		u := r.view.upstreams[name]
		r.byPool[u.Pool] = append(r.byPool[u.Pool], u.Load)
	}
}

// addModel adds the routing views of a model, one for each class, and its group.
func (r *routeBuilder) addModel(t *table.Table, model ident.Model) {
	if r.view.modelGroups[model] != nil {
		return
	}
	var pools []string
	for _, class := range []table.Class{table.Quick, table.Plan, table.Session} {
		view := r.newRouteView(t, model, "")
		for _, w := range t.Versions(model, class) {
			served := poolNames(t.PoolsOfModel(model, w.Version))
			pools = append(pools, served...)
			view.Versions = append(view.Versions, route.NewVersion(w.Version, uint32(w.Weight), r.upstreamsOf(served)))
		}
		if len(view.Versions) > 0 {
			r.view.models[modelClass{model, class}] = view
		}
	}
	r.view.modelGroups[model] = r.group(pools)
}

// addService adds the routing view and the group of a plain service.
func (r *routeBuilder) addService(t *table.Table, service ident.Service) {
	if r.view.serviceGroups[service] != nil {
		return
	}
	pools := poolNames(t.PoolsOfService(service))
	view := r.newRouteView(t, "", service)
	view.Versions = []route.Version{route.NewVersion("", 1, r.upstreamsOf(pools))}
	r.view.services[service] = view
	r.view.serviceGroups[service] = r.group(pools)
}

func poolNames(pools []*table.PoolRow) []string {
	names := make([]string, 0, len(pools))
	for _, p := range pools {
		names = append(names, p.Pool)
	}
	return names
}

func (r *routeBuilder) upstreamsOf(pools []string) []*load.Upstream {
	var upstreams []*load.Upstream
	for _, pool := range pools {
		upstreams = append(upstreams, r.byPool[pool]...)
	}
	return upstreams
}

func (r *routeBuilder) group(pools []string) *UpstreamGroup {
	slices.Sort(pools)
	pools = slices.Compact(pools)
	name := strings.Join(pools, "+")
	if r.view.groups[name] == nil {
		r.view.groups[name] = &UpstreamGroup{Name: name, Upstreams: r.upstreamsOf(pools)}
	}
	return r.view.groups[name]
}

func (r *routeBuilder) newRouteView(t *table.Table, model ident.Model, service ident.Service) *route.View {
	return &route.View{
		Region:       r.view.Region,
		Objective:    t.Policy().Objective,
		SpillMargin:  t.Policy().SpillMargin,
		Remotes:      r.remotes(model, service),
		SpillLimiter: r.limiters.get(model, service),
		PrefixIndex:  r.prefixIndex,
	}
}

// spillLimiters holds the limiter of the share of spilled requests for each model and
// service. The limiters are kept across views.
type spillLimiters struct {
	byModel   map[ident.Model]*route.SpillLimiter
	byService map[ident.Service]*route.SpillLimiter
}

func (l *spillLimiters) get(model ident.Model, service ident.Service) *route.SpillLimiter {
	if service != "" {
		return findLimiter(&l.byService, service)
	}
	return findLimiter(&l.byModel, model)
}

func findLimiter[Name comparable](all *map[Name]*route.SpillLimiter, name Name) *route.SpillLimiter {
	if *all == nil {
		*all = map[Name]*route.SpillLimiter{}
	}
	if (*all)[name] == nil {
		(*all)[name] = &route.SpillLimiter{}
	}
	return (*all)[name]
}

// Allows reports whether the data of a workspace may be held at this instance.
func (v *View) Allows(workspace ident.Workspace) bool {
	place := reside.Place{Zone: v.Zone, Region: v.Region}
	return reside.Check(v.Table, workspace, place) == reside.Allowed
}
