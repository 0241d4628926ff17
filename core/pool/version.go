package pool

import (
	"maps"
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

const (
	// versionMemory is how long a version counts as in use after its last upstream has left
	// the list: streams that began there may be taken up for so long.
	versionMemory = time.Minute
	// unprovenTime is how long the list must have been followed after an upstream has ended, or
	// has come back, until the listed version counts again: it may have other software, which
	// the list shows by then.
	unprovenTime = 5 * time.Second
	// maxUnseen is how long the list may have gone unread without a version having come and
	// gone unseen: an upstream's entry stays in the list for longer.
	maxUnseen = 2 * time.Second
)

// VersionBound restricts a request to upstreams with one version of their software, since it
// goes on with a stream that began there. Its zero value restricts nothing.
type VersionBound struct {
	Bound   bool
	Version string
	// Proved is set for a request that begins a stream which may go on later: the version of its
	// upstream must be the listed one.
	Proved bool
	// Unknown is set, with Bound, if the version that began the stream isn't proved: it goes on
	// nowhere.
	Unknown bool
}

// allowsVersion reports whether a bound allows an upstream.
func (p *Pool) allowsVersion(now time.Time, b VersionBound, r *replica) bool {
	if b.Unknown || b.Bound && r.Version != b.Version {
		return false
	}
	return !b.Bound && !b.Proved || p.versionProved(now, r)
}

// versionProved reports whether the listed version is that of the software at the address: the
// run that the list describes is not known to have ended, here or by a peer, or the list would
// show a run that has followed. While the list isn't heard of it shows nothing.
func (p *Pool) versionProved(now time.Time, r *replica) bool {
	ended := latest(r.endedAt, r.end.at)
	if ended.IsZero() {
		return true
	}
	if r.end.isOpen(now) {
		return false
	}
	return p.listShowsSince(ended)
}

// listShowsSince reports whether the list shows each upstream that has started by a time.
func (p *Pool) listShowsSince(at time.Time) bool {
	return p.listHeardAt.Sub(latest(at, p.listHeardSince)) >= unprovenTime
}

// ListShowsSince reports whether the list shows each upstream that has started by a time.
func (p *Pool) ListShowsSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listShowsSince(at)
}

// MarkListHeard records that all changes of the list up to a time are held.
func (p *Pool) MarkListHeard(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !at.After(p.listHeardAt) {
		return
	}
	if at.Sub(p.listHeardAt) > maxUnseen {
		p.listHeardSince = at
	}
	p.listHeardAt = at
}

// versions holds which versions of each service are in use, in all regions. Its zero value
// holds none.
type versions struct {
	listed   map[ident.Upstream]serviceVersion
	services map[ident.Service]*serviceVersions
	// followedSince is the time since which each version that was listed is held, seen here
	// or told by a peer; zero while the list hasn't been read.
	followedSince time.Time
	// told is what a peer told at toldAt, before the list was read.
	told   gossip.VersionHistory
	toldAt time.Time
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

// service returns the versions of a service, and adds the service if it isn't held.
func (v *versions) service(name ident.Service) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{upstreams: map[string]int{}, leftAt: map[string]time.Time{}}
		if v.services == nil {
			v.services = map[ident.Service]*serviceVersions{}
		}
		v.services[name] = s
	}
	return s
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
	}
	v.listed[u.ID] = current
	s := v.service(u.Service)
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

// learn takes over what a peer has seen of the list. A version that isn't listed here counts
// as in use: the peer may hold a newer list.
func (v *versions) learn(now time.Time, h gossip.VersionHistory) {
	for _, use := range h.InUse {
		s := v.service(use.Service)
		if s.upstreams[use.Version] > 0 {
			continue
		}
		if at := now.Add(-use.SinceListed); at.After(s.leftAt[use.Version]) {
			s.leftAt[use.Version] = at
		}
	}
	if since := now.Add(-h.Followed); since.Before(v.followedSince) {
		v.followedSince = since
	}
}

// MarkListRead records that the list has been read as a whole, after it was last known to be
// complete at the given time; zero if it never was. Versions that came and went between the
// two aren't known.
func (p *Pool) MarkListRead(now, completeAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := &p.versions
	if !v.followedSince.IsZero() && now.Sub(completeAt) <= maxUnseen {
		return
	}
	v.followedSince = now
	if now.Sub(v.toldAt) <= maxUnseen {
		v.learn(now, v.told)
	}
}

// LearnVersions takes over what a peer has seen of the list.
func (p *Pool) LearnVersions(now time.Time, h gossip.VersionHistory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := &p.versions
	if v.followedSince.IsZero() {
		if v.toldAt.IsZero() || h.Followed >= v.told.Followed {
			v.told, v.toldAt = h, now
		}
		return
	}
	v.learn(now, h)
}

// VersionHistory returns what this instance has seen of the list.
func (p *Pool) VersionHistory(now time.Time) gossip.VersionHistory {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := &p.versions
	if v.followedSince.IsZero() {
		return gossip.VersionHistory{}
	}
	h := gossip.VersionHistory{Followed: min(now.Sub(v.followedSince), versionMemory)}
	for name, s := range v.services {
		for _, version := range v.inUse(now, name) {
			use := gossip.VersionUse{Service: name, Version: version}
			if s.upstreams[version] == 0 {
				use.SinceListed = now.Sub(s.leftAt[version])
			}
			h.InUse = append(h.InUse, use)
		}
	}
	return h
}

// SoleVersion returns the version of a service's software if only one is in use, in all
// regions, and was so for as long as the streams last that may be taken up. That is by the list
// that is held, which may be old.
func (p *Pool) SoleVersion(now time.Time, service ident.Service, streamLife time.Duration) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := &p.versions
	if p.isHeld(now) || v.followedSince.IsZero() || now.Sub(v.followedSince) < min(streamLife, versionMemory) {
		return "", false
	}
	list := v.inUse(now, service)
	if len(list) != 1 || p.mayHaveNewVersion(now, service) {
		return "", false
	}
	return list[0], true
}

// ProvesVersion reports whether the request's upstream has the version with which it was chosen:
// its run isn't known to have ended, nor to have been followed by one with another version.
func (l *Lease) ProvesVersion(now time.Time) bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	current := l.pool.replicas[l.replica.ID]
	return l.pool.versionProved(now, l.replica) && (current == nil || current.Version == l.replica.Version)
}

// mayHaveNewVersion reports whether an upstream of a service has come back, maybe with other
// software than the list shows.
func (p *Pool) mayHaveNewVersion(now time.Time, service ident.Service) bool {
	for _, r := range p.replicas {
		if r.Service == service && r.end.returned && !p.versionProved(now, r) {
			return true
		}
	}
	return false
}
