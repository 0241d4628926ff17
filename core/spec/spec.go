// Package spec holds what operators set for a gateway that routes by host and path:
// routes, services and limits. A Config never changes once it is made.
package spec

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"arbutustrestle/core/ident"
)

// RequestKind says what may be repeated.
type RequestKind uint8

const (
	// Unsafe requests run at most once; it is the zero value, so that an unknown kind
	// is never repeated.
	Unsafe RequestKind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events. They run at most once
	// unless their route is resumable.
	Stream
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the kebab-case name of the kind.
func (k RequestKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Target is a service that takes a part of a route's requests.
type Target struct {
	Service ident.Service
	// Weight is positive.
	Weight float64
}

// Route is one row of the routing table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Targets has at least one element.
	Targets []Target
	// Timeout is the longest time that a request is kept waiting; zero is none.
	Timeout time.Duration
	// LatencyObjective is the time to the answer, or to the first event of a stream, within
	// which it is of full use.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between two events of a stream that is on time.
	EventGapObjective time.Duration
	// Priority is the rank; zero is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that one request may be sent to; at least one.
	MaxAttempts int
	// Affinity is set where requests name the shared parts of their prompts.
	Affinity bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// HomeRegions are the regions where requests may be served; empty means all.
	HomeRegions []ident.Region
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Allows reports whether requests may be served in a region.
func (r *Route) Allows(region ident.Region) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// PickService returns the service for a number drawn evenly from 0 up to 1.
func (r *Route) PickService(draw float64) ident.Service {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * total
	for _, t := range r.Targets {
		left -= t.Weight
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is what operators say of a group of alike upstreams.
type Service struct {
	Name ident.Service
	// HealthPath is the path of health checks.
	HealthPath string
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
	// WarmupRate is the requests a second that a cold upstream bears, from all
	// entries together; zero means that it isn't bounded.
	WarmupRate float64
	// MaxConns bounds the connections to one upstream from all entries together.
	MaxConns int
	// Engine is set for model engines.
	Engine bool
	// Slots is the number of requests that an engine serves at once; zero if unknown.
	Slots int
}

// Limits bounds what a caller may send. A zero field sets no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of everything that operators set.
type Config struct {
	Version  uint64
	Services map[ident.Service]Service
	Limits   Limits
	// hosts holds the routes of each host, longest prefix first.
	hosts  map[string][]*Route
	routes []*Route
}

// New returns a config of the given routes and services.
func New(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Services: make(map[ident.Service]Service, len(services)),
		Limits:   limits,
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		r.MaxAttempts = max(1, r.MaxAttempts)
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
		c.routes = append(c.routes, r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Routes returns all routes. The slice must not be changed.
func (c *Config) Routes() []*Route {
	return c.routes
}

// Match returns the route of the host with the longest prefix that begins the path.
// A port in the host is ignored.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HomeRegions returns the regions in which every route of a host may be served, and false
// when its routes set no bound.
func (c *Config) HomeRegions(host string) ([]ident.Region, bool) {
	var homes []ident.Region
	bound := false
	for _, r := range c.hosts[hostName(host)] {
		if len(r.HomeRegions) == 0 {
			continue
		}
		if !bound {
			homes = slices.Clone(r.HomeRegions)
			bound = true
			continue
		}
		homes = slices.DeleteFunc(homes, func(h ident.Region) bool { return !slices.Contains(r.HomeRegions, h) })
	}
	return homes, bound
}

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
