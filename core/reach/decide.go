package reach

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

const (
	// ReportWindow is the time before a report in which an upstream must have sent
	// something to count as reached.
	ReportWindow = time.Second
	// maxReportAge is the age from which on a peer's report says nothing.
	maxReportAge = 3 * time.Second
)

// Use is how a request may reach a service. It is one of Direct, Probe, ByPeer and Elsewhere.
type Use interface{ use() }

// Direct means that the instance uses the upstreams itself.
type Direct struct{}

// Probe means that this request may be sent to an upstream to find out whether it is reached
// again. It is passed to Begin as a probe.
type Probe struct{}

// ByPeer means that the request is handed to one of the peers, which reach the service.
type ByPeer struct {
	Peers []ident.Instance
}

// Elsewhere means that neither this instance nor, as far as is known, any other one of the region
// reaches the service. Whether all are cut off or all upstreams have ended, another region serves
// better, if one does; if none does, the instance uses the upstreams itself.
type Elsewhere struct{}

func (Direct) use()    {}
func (Probe) use()     {}
func (ByPeer) use()    {}
func (Elsewhere) use() {}

// peerReach is what a peer of the region said of a service.
type peerReach struct {
	peer    ident.Instance
	at      time.Time
	reached int
	cutOff  bool
}

// reaches reports whether the peer has reached an upstream of the service lately.
func (p *peerReach) reaches(now time.Time) bool {
	return p.reached > 0 && !p.cutOff && now.Sub(p.at) <= maxReportAge
}

// SetPeers replaces the reports of the peers by those of the alive instances of the own
// region that accept requests.
func (d *Detector) SetPeers(reports []gossip.PeerReach) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = map[ident.Service][]peerReach{}
	for _, r := range reports {
		for name := range d.services {
			for _, s := range r.Services {
				if s.Key == gossip.KeyOfService(name) {
					d.peers[name] = append(d.peers[name], peerReach{r.Peer, r.At, s.Reached, s.CutOff})
				}
			}
		}
	}
}

// Choose returns how a request reaches a service. repeatable is set for a request that may
// serve as a probe: it may run twice, and further attempts are left.
func (d *Detector) Choose(now time.Time, name ident.Service, repeatable bool) Use {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	switch {
	case s == nil:
		return Direct{}
	case !d.update(now, name, s) && !d.noneOpens(now, s):
		return Direct{}
	case s.cutAt.IsZero():
		return Elsewhere{}
	}
	if repeatable && s.checksPassed > 0 && now.Sub(s.probedAt) >= checkInterval {
		s.probedAt = now
		return Probe{}
	}
	return d.byPeer(now, name)
}

// Retry returns how a further attempt of a request reaches a service after no connection to
// an upstream could be opened: by a peer, if connections to several upstreams failed in a row.
func (d *Detector) Retry(now time.Time, name ident.Service) Use {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	if s == nil {
		return Direct{}
	}
	s.dials.forget(now)
	if s.cutAt.IsZero() && distinct(s.dials.failures) < minUpstreams {
		return Direct{}
	}
	return d.byPeer(now, name)
}

// byPeer returns the peers that reach a service.
func (d *Detector) byPeer(now time.Time, name ident.Service) Use {
	var peers []ident.Instance
	for _, p := range d.peers[name] {
		if p.reaches(now) {
			peers = append(peers, p.peer)
		}
	}
	if len(peers) == 0 {
		return Elsewhere{}
	}
	return ByPeer{peers}
}

// Unreached reports whether the instance doesn't reach a service, whether others do or not.
func (d *Detector) Unreached(now time.Time, name ident.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	return s != nil && (d.update(now, name, s) || d.noneOpens(now, s))
}

// CutOff reports whether the instance counts as cut off from a service that peers reach.
func (d *Detector) CutOff(now time.Time, name ident.Service) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[name]
	return s != nil && d.update(now, name, s)
}

// update decides anew whether a service is cut off.
func (d *Detector) update(now time.Time, name ident.Service, s *service) bool {
	switch {
	case s.cutAt.IsZero() && d.paused(now):
		// DueChecks allows for the pause first.
	case s.cutAt.IsZero():
		if since, found := d.evidence(now, s); found && d.peerReachedSince(now, name, since) {
			s.cutAt = now
			s.checksPassed, s.probesPassed = 0, 0
		}
	case now.Sub(s.cutAt) >= minCutTime && (s.probesPassed >= probesToReturn || s.checksPassed >= checksToReturn && d.checksSuffice(now, s)):
		s.cutAt = time.Time{}
		s.returnedAt = now
		s.answers, s.dials = streak{successAt: now}, streak{successAt: now}
	}
	return !s.cutAt.IsZero()
}

// noneOpens reports whether enough connections in a row didn't open, at all upstreams that were
// tried, and nothing that was sent since was answered. No peer need confirm that: upstreams that
// are only slow accept connections.
func (d *Detector) noneOpens(now time.Time, s *service) bool {
	s.dials.forget(now)
	return !d.paused(now) && enough(s.dials.failures, d.failuresNeeded(now, s)) && s.answers.successAt.Before(s.dials.since)
}

// checksSuffice reports whether opened connections show that a service is reached: no probe of
// any service failed lately, and none of this one waits for its answer.
func (d *Detector) checksSuffice(now time.Time, s *service) bool {
	if !d.probeFailedAt.IsZero() && now.Sub(d.probeFailedAt) <= probeFailureAge {
		return false
	}
	for a := range s.pending {
		if a.probe {
			return false
		}
	}
	return true
}

// evidence reports whether enough attempts have failed in a row, and when the first of them
// began.
func (d *Detector) evidence(now time.Time, s *service) (time.Time, bool) {
	answers := s.overdue(now)
	s.dials.forget(now)
	need := d.failuresNeeded(now, s)
	for _, k := range []streak{answers, s.dials} {
		if enough(k.failures, need) {
			return k.since, true
		}
	}
	// Requests that hang and connections that don't open are evidence together, unless
	// either one has succeeded since.
	both := streak{since: answers.since, failures: slices.Concat(answers.failures, s.dials.failures)}
	if both.since.IsZero() || !s.dials.since.IsZero() && s.dials.since.Before(both.since) {
		both.since = s.dials.since
	}
	if !answers.since.IsZero() && !s.dials.since.IsZero() && enough(both.failures, need) {
		return both.since, true
	}
	return time.Time{}, false
}

// overdue returns the failures of requests, with the attempts that are overdue.
func (s *service) overdue(now time.Time) streak {
	s.answers.forget(now)
	k := s.answers
	k.failures = slices.Clone(k.failures)
	for a := range s.pending {
		if !now.Before(a.overdueAt) {
			k.fail(now, a.began, a.upstream)
		}
	}
	return k
}

// failuresNeeded is one for a service that was cut off lately, or while another one isn't reached.
func (d *Detector) failuresNeeded(now time.Time, s *service) int {
	if !s.returnedAt.IsZero() && now.Sub(s.returnedAt) <= recurrenceTime {
		return 1
	}
	for _, other := range d.services {
		if other != s && (!other.cutAt.IsZero() || enough(other.dials.failures, minFailures)) {
			return 1
		}
	}
	return minFailures
}

func enough(failures []failure, need int) bool {
	if need == 1 {
		return len(failures) > 0
	}
	return len(failures) >= need && distinct(failures) >= minUpstreams || len(failures) >= soleFailures
}

func distinct(failures []failure) int {
	var seen []ident.Upstream
	for _, f := range failures {
		if !slices.Contains(seen, f.upstream) {
			seen = append(seen, f.upstream)
		}
	}
	return len(seen)
}

// peerReachedSince reports whether a peer has reached the service after a time. A report tells
// of the ReportWindow before it, so that an older one says nothing of upstreams that have all
// ended since.
func (d *Detector) peerReachedSince(now time.Time, name ident.Service, since time.Time) bool {
	return slices.ContainsFunc(d.peers[name], func(p peerReach) bool {
		return p.reaches(now) && !p.at.Add(-ReportWindow).Before(since)
	})
}

// DueChecks returns the services for which connections should be opened now to find out
// whether their upstreams are reached: those of which an attempt failed or is overdue, and
// those that are cut off.
func (d *Detector) DueChecks(now time.Time) []ident.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.compensatePause(now)
	var due []ident.Service
	for name, s := range d.services {
		cut := d.update(now, name, s)
		if now.Sub(s.checkedAt) < checkInterval {
			continue
		}
		if cut || len(s.overdue(now).failures) > 0 || len(s.dials.failures) > 0 {
			s.checkedAt = now
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// compensatePause makes attempts overdue later by the time for which this process was paused:
// their upstreams were not silent. It forgets attempts that nobody ended.
func (d *Detector) compensatePause(now time.Time) {
	gap, paused := now.Sub(d.dueChecksAt), d.paused(now)
	d.dueChecksAt = now
	for _, s := range d.services {
		for a := range s.pending {
			if paused {
				a.overdueAt = a.overdueAt.Add(gap)
			}
			if now.Sub(a.began) > maxPending {
				delete(s.pending, a)
			}
		}
	}
}

// paused reports whether this process seems to have been paused until now.
func (d *Detector) paused(now time.Time) bool {
	return !d.dueChecksAt.IsZero() && now.Sub(d.dueChecksAt) > maxCheckGap
}

// Report returns what this instance tells its peers: how many upstreams of each service it has
// reached lately, and whether it is cut off. Services without any attempts are left out.
func (d *Detector) Report(now time.Time) []gossip.ServiceReach {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []gossip.ServiceReach
	for name, s := range d.services {
		r := gossip.ServiceReach{Key: gossip.KeyOfService(name), CutOff: d.update(now, name, s) || d.noneOpens(now, s)}
		for u, at := range s.reached {
			if now.Sub(at) <= ReportWindow {
				r.Reached++
			} else if now.Sub(at) > evidenceAge {
				delete(s.reached, u)
			}
		}
		if r.CutOff || r.Reached > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b gossip.ServiceReach) int { return int(int64(a.Key) - int64(b.Key)) })
	return list
}

// CutServices returns the services that the instance is cut off from, and those to which no
// connection opens for other reasons as far as is known, both sorted.
func (d *Detector) CutServices(now time.Time) (cut, closed []ident.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.services {
		switch {
		case d.update(now, name, s):
			cut = append(cut, name)
		case d.noneOpens(now, s):
			closed = append(closed, name)
		}
	}
	slices.Sort(cut)
	slices.Sort(closed)
	return cut, closed
}
