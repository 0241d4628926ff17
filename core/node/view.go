// Package node is the control state of one entry instance: its membership, the
// published values that it holds, its orders and its shutdown, composed behind one
// Step. A program that embeds the system drives it with events and carries out
// its actions.
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

// Upstream is a listed upstream with what is believed of its load.
type Upstream struct {
	list.Upstream
	// Load outlives the view: the same upstream has the same Load in all views.
	Load *load.Upstream
}

// View is what requests are decided on. It is immutable, but for the loads and
// meters that it points to, which are safe for concurrent use.
type View struct {
	// Self, Zone and Region do not change while the process runs.
	Self   ident.Incarnation
	Zone   ident.Zone
	Region ident.Region
	Phase  member.Phase
	// Resuming is set from a pause of this process until its table is known to be no
	// older than its peers', or they have had the time to say so.
	Resuming bool
	// Table is nil until one is in force.
	Table *table.Table
	// Members is never nil.
	Members *member.View

	upstreams map[ident.Upstream]*Upstream
	models    map[modelClass]*route.View
	services  map[ident.Service]*route.View
	groups    map[string]*UpstreamGroup
	modelIn   map[ident.Model]*UpstreamGroup
	serviceIn map[ident.Service]*UpstreamGroup
}

// UpstreamGroup is the upstreams that share capacity: those of the pools that serve the
// same models, or the same plain service.
type UpstreamGroup struct {
	// Name is made of the pools' names, such as "small+large".
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

// ModelRoutes returns where the requests of a class for a model can go. It reports false
// for a model that no row of the table serves.
func (v *View) ModelRoutes(model ident.Model, class table.Class) (*route.View, bool) {
	r, found := v.models[modelClass{model, class}]
	return r, found
}

// ServiceRoutes returns where the calls of a plain service can go. It reports false for
// a service that no row of the table names.
func (v *View) ServiceRoutes(service ident.Service) (*route.View, bool) {
	r, found := v.services[service]
	return r, found
}

// ModelGroup returns the upstreams whose capacity a model's requests use.
func (v *View) ModelGroup(model ident.Model) (*UpstreamGroup, bool) {
	g, found := v.modelIn[model]
	return g, found
}

// ServiceGroup returns the upstreams whose capacity a plain service's calls use.
func (v *View) ServiceGroup(service ident.Service) (*UpstreamGroup, bool) {
	g, found := v.serviceIn[service]
	return g, found
}

// Groups returns all groups, by name.
func (v *View) Groups() map[string]*UpstreamGroup {
	return v.groups
}

// routes builds the routing views of a table for the upstreams of the own region.
type routes struct {
	view    *View
	remotes func(model ident.Model, service ident.Service) []route.RemoteRegion
	meters  *meters
	cache   *load.PrefixIndex
	// byPool holds the upstreams of each pool.
	byPool map[string][]*load.Upstream
}

func (r *routes) build() {
	t := r.view.Table
	r.view.models = map[modelClass]*route.View{}
	r.view.services = map[ident.Service]*route.View{}
	r.view.groups = map[string]*UpstreamGroup{}
	r.view.modelIn = map[ident.Model]*UpstreamGroup{}
	r.view.serviceIn = map[ident.Service]*UpstreamGroup{}
	if t == nil {
		return
	}
	r.sortUpstreams()
	for _, p := range t.Pools() {
		for _, m := range p.Models {
			r.addModel(t, m.Model)
		}
		if p.Service != "" {
			r.addService(t, p.Service)
		}
	}
}

// sortUpstreams fills byPool. Each pool's upstreams are in the order of their
// names, so that two views of the same lists choose alike.
func (r *routes) sortUpstreams() {
	r.byPool = map[string][]*load.Upstream{}
	names := slices.Sorted(maps.Keys(r.view.upstreams))
	for _, name := range names {
		u := r.view.upstreams[name]
		r.byPool[u.Pool] = append(r.byPool[u.Pool], u.Load)
	}
}

// addModel makes the views of a model, one for each class, and its group.
func (r *routes) addModel(t *table.Table, model ident.Model) {
	if r.view.modelIn[model] != nil {
		return
	}
	var pools []string
	for _, class := range []table.Class{table.Quick, table.Plan, table.Session} {
		view := r.newView(t, model, "")
		for _, w := range t.Versions(model, class) {
			served := poolNames(t.PoolsOfModel(model, w.Version))
			pools = append(pools, served...)
			view.Versions = append(view.Versions, route.NewVersion(w.Version, uint32(w.Weight), r.upstreamsOf(served)))
		}
		if len(view.Versions) > 0 {
			r.view.models[modelClass{model, class}] = view
		}
	}
	r.view.modelIn[model] = r.group(pools)
}

// addService makes the view and the group of a plain service.
func (r *routes) addService(t *table.Table, service ident.Service) {
	if r.view.serviceIn[service] != nil {
		return
	}
	pools := poolNames(t.PoolsOfService(service))
	view := r.newView(t, "", service)
	view.Versions = []route.Version{route.NewVersion("", 1, r.upstreamsOf(pools))}
	r.view.services[service] = view
	r.view.serviceIn[service] = r.group(pools)
}

func poolNames(pools []*table.PoolRow) []string {
	names := make([]string, 0, len(pools))
	for _, p := range pools {
		names = append(names, p.Pool)
	}
	return names
}

func (r *routes) upstreamsOf(pools []string) []*load.Upstream {
	var upstreams []*load.Upstream
	for _, pool := range pools {
		upstreams = append(upstreams, r.byPool[pool]...)
	}
	return upstreams
}

func (r *routes) group(pools []string) *UpstreamGroup {
	slices.Sort(pools)
	pools = slices.Compact(pools)
	name := strings.Join(pools, "+")
	if r.view.groups[name] == nil {
		r.view.groups[name] = &UpstreamGroup{Name: name, Upstreams: r.upstreamsOf(pools)}
	}
	return r.view.groups[name]
}

func (r *routes) newView(t *table.Table, model ident.Model, service ident.Service) *route.View {
	return &route.View{
		Region:       r.view.Region,
		Objective:    t.Policy().Objective,
		SpillMargin:  t.Policy().SpillMargin,
		Remotes:      r.remotes(model, service),
		SpillLimiter: r.meters.get(model, service),
		PrefixIndex:  r.cache,
	}
}

// meters keeps the share of requests sent away for each model and service, across
// views.
type meters struct {
	byModel   map[ident.Model]*route.SpillLimiter
	byService map[ident.Service]*route.SpillLimiter
}

func (m *meters) get(model ident.Model, service ident.Service) *route.SpillLimiter {
	if service != "" {
		return findMeter(&m.byService, service)
	}
	return findMeter(&m.byModel, model)
}

func findMeter[Name comparable](all *map[Name]*route.SpillLimiter, name Name) *route.SpillLimiter {
	if *all == nil {
		*all = map[Name]*route.SpillLimiter{}
	}
	if (*all)[name] == nil {
		(*all)[name] = &route.SpillLimiter{}
	}
	return (*all)[name]
}

// Allows reports whether the data of a workspace may be at this instance.
func (v *View) Allows(workspace ident.Workspace) bool {
	place := reside.Place{Zone: v.Zone, Region: v.Region}
	return reside.Check(v.Table, workspace, place) == reside.Allowed
}
