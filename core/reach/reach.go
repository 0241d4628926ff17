// Package reach decides whether this instance reaches the upstreams of a service, and whether
// other instances of its region do. It compares the instance's own attempts with what its peers
// report. It has no network access and is passed the time.
package reach

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// minFailures is the number of failures in a row, at minUpstreams or more upstreams,
	// from which a service may count as cut off. A single upstream needs soleFailures.
	minFailures  = 3
	minUpstreams = 2
	soleFailures = 6
	// evidenceAge is how long a failure counts.
	evidenceAge = 5 * time.Second
	// minOverdue is the least time without a first byte after which an attempt counts as
	// a failure. Longer silences of healthy upstreams are common only where a long first byte
	// is projected, which overdueFactor allows for.
	minOverdue    = time.Second
	overdueFactor = 2
	// checkInterval is the time between two checks of a service that is suspected or cut
	// off, and between two probes.
	checkInterval = 500 * time.Millisecond
	// minCutTime is the least time for which a service counts as cut off.
	minCutTime = 2 * time.Second
	// probesToReturn is the number of probes in a row that must be answered before the
	// instance uses the upstreams itself again. Where no request may serve as a probe,
	// checksToReturn opened connections in a row have to do, unless a probe of another
	// service has failed in the last probeFailureAge: connections may open and be reset then.
	probesToReturn  = 3
	checksToReturn  = 12
	probeFailureAge = 10 * time.Second
	// recurrenceTime is how long after a cut one failure is enough to count as cut off again.
	recurrenceTime = 20 * time.Second
	// maxCheckGap is the time between two calls of DueChecks beyond which the process counts as
	// paused.
	maxCheckGap = 500 * time.Millisecond
	// maxPending is how long an attempt is awaited: longer than any request may take to begin.
	maxPending = 2 * time.Minute
)

// Detector holds the evidence of one instance. It is safe for concurrent use; its zero
// value counts no service as cut off.
type Detector struct {
	mu       sync.Mutex
	services map[ident.Service]*service
	peers    map[ident.Service][]peerReach
	// probeFailedAt is when a probe of any service last failed.
	probeFailedAt time.Time
	// dueChecksAt is when DueChecks was last called.
	dueChecksAt time.Time
}

// service is the evidence on one service.
type service struct {
	// answers and dials are the results of requests and of opened connections. They are
	// kept apart, since kept connections may be answered while no new one opens.
	answers, dials streak
	// pending holds the attempts without a first byte.
	pending map[*Attempt]struct{}
	// reached is when each upstream last sent anything.
	reached map[ident.Upstream]time.Time

	// cutAt is when the service was found cut off; zero if it isn't. returnedAt is when it
	// last ceased to be.
	cutAt, returnedAt time.Time
	// checkedAt and probedAt are when the last check and the last probe began.
	checkedAt, probedAt time.Time
	// checksPassed and probesPassed count successes in a row while the service is cut off.
	checksPassed, probesPassed int
}

// Attempt is an attempt at an upstream whose first byte is awaited. Its methods may be
// called on a nil Attempt.
type Attempt struct {
	detector  *Detector
	service   ident.Service
	upstream  ident.Upstream
	began     time.Time
	overdueAt time.Time
	probe     bool
	// recordedAt is when the last byte was recorded.
	recordedAt time.Time
	ended      bool
}

// Begin records that a request is sent to an upstream, which is projected to send its first
// byte after the given time. A probe is an attempt that Choose permitted as one.
func (d *Detector) Begin(now time.Time, s ident.Service, u ident.Upstream, firstByte time.Duration, probe bool) *Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := &Attempt{detector: d, service: s, upstream: u, began: now, probe: probe}
	a.overdueAt = now.Add(max(minOverdue, overdueFactor*firstByte))
	d.service(s).pending[a] = struct{}{}
	return a
}

// recordInterval is the least time between two recorded arrivals of one answer.
const recordInterval = 100 * time.Millisecond

// Received records that the upstream has sent something: an answer, a part of one, or a
// refusal.
func (a *Attempt) Received(now time.Time) {
	if a == nil || now.Sub(a.recordedAt) < recordInterval {
		return
	}
	first := a.recordedAt.IsZero()
	a.recordedAt = now
	d := a.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(a.service)
	delete(s.pending, a)
	s.reached[a.upstream] = now
	s.answers.succeed(a.began)
	if a.probe && first && !s.cutAt.IsZero() {
		s.probesPassed++
		d.probeFailedAt = time.Time{}
	}
}

// Failed records that the attempt ended without a first byte for a reason that may be the
// network: its connection was reset, or it waited too long.
func (a *Attempt) Failed(now time.Time) { a.end(now, true) }

// ReachedSince reports whether an upstream of any service has answered, or accepted a connection,
// that was begun after this attempt was.
func (a *Attempt) ReachedSince() bool {
	if a == nil {
		return false
	}
	d := a.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if s.answers.successAt.After(a.began) || s.dials.successAt.After(a.began) {
			return true
		}
	}
	return false
}

// Abandoned records that the attempt ended for another reason. One that was overdue counts
// as a failure all the same.
func (a *Attempt) Abandoned(now time.Time) { a.end(now, false) }

func (a *Attempt) end(now time.Time, failed bool) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	d := a.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(a.service)
	_, waiting := s.pending[a]
	delete(s.pending, a)
	if !waiting || !failed && now.Before(a.overdueAt) {
		return
	}
	s.answers.fail(now, a.began, a.upstream)
	s.probesPassed = 0
	if a.probe {
		d.probeFailedAt = now
	}
}

// Dialed records that opening a connection to an upstream succeeded or failed. began is when
// it was begun.
func (d *Detector) Dialed(now, began time.Time, svc ident.Service, u ident.Upstream, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(svc)
	if ok {
		s.dials.succeed(began)
		if !s.cutAt.IsZero() {
			s.checksPassed++
		}
		return
	}
	s.dials.fail(now, began, u)
	s.checksPassed = 0
	s.probesPassed = 0
}

func (d *Detector) service(name ident.Service) *service {
	s := d.services[name]
	if s == nil {
		if d.services == nil {
			d.services = map[ident.Service]*service{}
		}
		s = &service{pending: map[*Attempt]struct{}{}, reached: map[ident.Upstream]time.Time{}}
		d.services[name] = s
	}
	return s
}

// streak holds the failures since the last success. Failures of attempts that were begun
// before the last success don't count: attempts are ordered by when they began.
type streak struct {
	// since is the beginning of the first attempt that failed; zero if there is none.
	since     time.Time
	failures  []failure
	successAt time.Time
}

type failure struct {
	at       time.Time
	upstream ident.Upstream
}

// maxFailures bounds the failures that are kept.
const maxFailures = 32

func (s *streak) succeed(began time.Time) {
	if began.After(s.successAt) {
		s.successAt = began
	}
	s.since = time.Time{}
	s.failures = s.failures[:0]
}

func (s *streak) fail(now, began time.Time, u ident.Upstream) {
	if began.Before(s.successAt) {
		return
	}
	s.forget(now)
	if s.since.IsZero() || began.Before(s.since) {
		s.since = began
	}
	if len(s.failures) < maxFailures {
		s.failures = append(s.failures, failure{now, u})
	}
}

// forget removes the failures that no longer count.
func (s *streak) forget(now time.Time) {
	kept := s.failures[:0]
	for _, f := range s.failures {
		if now.Sub(f.at) <= evidenceAge {
			kept = append(kept, f)
		}
	}
	s.failures = kept
	if len(kept) == 0 {
		s.since = time.Time{}
	}
}
