package pool

import (
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

// serviceVersion is a version of the software of a service's upstreams.
type serviceVersion struct {
	service ident.Service
	version string
}

// versions holds which versions of each service are in use, in all regions. Its zero value
// holds none.
type versions struct {
	listed map[ident.Upstream]serviceVersion
	// leftAt is when an upstream with the version last left the list.
	leftAt map[serviceVersion]time.Time
}

func (v *versions) set(now time.Time, u Upstream) {
	if v.listed == nil {
		v.listed = map[ident.Upstream]serviceVersion{}
		v.leftAt = map[serviceVersion]time.Time{}
	}
	current := serviceVersion{u.Service, u.Version}
	if before, found := v.listed[u.ID]; found && before != current {
		v.leftAt[before] = now
	}
	v.listed[u.ID] = current
}

func (v *versions) remove(now time.Time, id ident.Upstream) {
	if before, found := v.listed[id]; found {
		v.leftAt[before] = now
		delete(v.listed, id)
	}
}

// inUse returns the versions of a service that are listed or were so lately.
func (v *versions) inUse(now time.Time, service ident.Service) []string {
	var list []string
	add := func(sv serviceVersion) {
		if sv.service == service && !slices.Contains(list, sv.version) {
			list = append(list, sv.version)
		}
	}
	for _, sv := range v.listed {
		add(sv)
	}
	for sv, at := range v.leftAt {
		if now.Sub(at) > versionMemory {
			delete(v.leftAt, sv)
			continue
		}
		add(sv)
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
