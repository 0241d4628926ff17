package pool

import (
	"maps"
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// versionMemory is how long a version counts as in use after its last upstream has left
	// the list: streams that began there may be taken up for so long.
	versionMemory = time.Minute
	// unprovenTime is how long the listed version of an upstream doesn't count after the
	// upstream has ended: it may have come back with other software, which the list shows by
	// then.
	unprovenTime = 5 * time.Second
)

// VersionBound restricts a request to upstreams with one version of their software, since it
// goes on with a stream that began there. Its zero value restricts nothing.
type VersionBound struct {
	Bound   bool
	Version string
}

// allows reports whether the bound allows an upstream.
func (b VersionBound) allows(now time.Time, r *replica) bool {
	return !b.Bound || r.Version == b.Version && now.Sub(r.endedAt) >= unprovenTime
}

// versions holds which versions of each service are in use, in all regions. Its zero value
// holds none.
type versions struct {
	listed   map[ident.Upstream]serviceVersion
	services map[ident.Service]*serviceVersions
}

// serviceVersion is a version of the software of a service's upstreams.
type serviceVersion struct {
	service ident.Service
	version string
}

// serviceVersions holds the versions of one service.
type serviceVersions struct {
	// upstreams is the number of listed upstreams with each version; never 0.
	upstreams map[string]int
	// leftAt is when the last upstream with a version left the list.
	leftAt map[string]time.Time
}

// set records an upstream of the list.
func (v *versions) set(now time.Time, u Upstream) {
	current := serviceVersion{u.Service, u.Version}
	if v.listed[u.ID] == current {
		return
	}
	v.remove(now, u.ID)
	if v.listed == nil {
		v.listed = map[ident.Upstream]serviceVersion{}
		v.services = map[ident.Service]*serviceVersions{}
	}
	v.listed[u.ID] = current
	s := v.services[u.Service]
	if s == nil {
		s = &serviceVersions{upstreams: map[string]int{}, leftAt: map[string]time.Time{}}
		v.services[u.Service] = s
	}
	s.upstreams[u.Version]++
	delete(s.leftAt, u.Version)
}

// remove records that an upstream has left the list.
func (v *versions) remove(now time.Time, id ident.Upstream) {
	before, found := v.listed[id]
	if !found {
		return
	}
	delete(v.listed, id)
	s := v.services[before.service]
	s.upstreams[before.version]--
	if s.upstreams[before.version] == 0 {
		delete(s.upstreams, before.version)
		s.leftAt[before.version] = now
	}
}

// inUse returns the versions of a service that are listed or were so lately.
func (v *versions) inUse(now time.Time, service ident.Service) []string {
	s := v.services[service]
	if s == nil {
		return nil
	}
	list := slices.Collect(maps.Keys(s.upstreams))
	for version, at := range s.leftAt {
		if now.Sub(at) > versionMemory {
			delete(s.leftAt, version)
			continue
		}
		list = append(list, version)
	}
	return list
}

// SoleVersion returns the version of a service's software if only one is in use, in all
// regions, and was so for as long as streams may be taken up.
func (p *Pool) SoleVersion(now time.Time, service ident.Service) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.versions.inUse(now, service)
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// MarkEnded records that the upstream has ended: it takes no connections.
func (l *Lease) MarkEnded(now time.Time) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.replica.endedAt = now
}
