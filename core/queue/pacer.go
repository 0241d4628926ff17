package queue

import (
	"math"
	"time"

	"arbutustrestle/core/ident"
)

// Many entries see the same upstreams, and see what the others send there only in their
// next reports. Entries that all release a waiting request into the same free slot fill it
// many times over. An entry therefore releases a request for each one of its own that has
// made room. Room that others have made it uses only at random times, so rarely that all
// entries together release a few requests for each upstream with room between two reports.

const (
	// maxCredits bounds the releases for room that this entry's own requests have made.
	maxCredits = 4
	// creditLife is how long such room counts: after that, other entries will have used it.
	creditLife = 500 * time.Millisecond
	// releasesPerReport is the number of requests that all entries together release into an
	// upstream with room between two reports. One with room takes a few short prompts
	// before its wait is too long.
	releasesPerReport = 3
	// maxPaceStep bounds the time that one call of Advance counts, so that an entry that
	// was paused doesn't release at once what it would have released meanwhile.
	maxPaceStep = 100 * time.Millisecond
)

// Pacer decides when waiting requests may be offered an upstream. Its zero value is ready
// for use. It isn't safe for concurrent use.
type Pacer struct {
	services map[ident.Service]*pace
}

// pace is the state of one service. A request may be released without a credit once
// elapsed, in units of the mean time between two such releases, reaches interval, which is
// exponentially distributed with mean 1.
type pace struct {
	credits  float64
	freedAt  time.Time
	elapsed  float64
	interval float64
	updated  time.Time
}

// Contention describes how many entries compete for the upstreams of a service.
type Contention struct {
	// Entries is the number of entries, this one included, and Room the number of upstreams
	// that this one sees with room for a waiting request.
	Entries int
	Room    int
	// ReportAge is the mean age of the reports of the other entries, or the time that requests
	// take if that is shorter.
	ReportAge time.Duration
}

func (p *Pacer) service(name ident.Service) *pace {
	if p.services == nil {
		p.services = map[ident.Service]*pace{}
	}
	s := p.services[name]
	if s == nil {
		s = &pace{}
		p.services[name] = s
	}
	return s
}

// Freed records that a request of this entry has made room for a part of another one.
func (p *Pacer) Freed(now time.Time, service ident.Service, part float64) {
	s := p.service(service)
	if now.Sub(s.freedAt) > creditLife {
		s.credits = 0
	}
	s.credits = min(s.credits+part, maxCredits)
	s.freedAt = now
}

// Advance counts the time in which there was room.
func (p *Pacer) Advance(now time.Time, service ident.Service, c Contention) {
	s := p.service(service)
	passed := min(now.Sub(s.updated), maxPaceStep)
	s.updated = now
	if c.Entries <= 1 || c.Room > 0 && c.ReportAge <= 0 {
		s.elapsed = math.Inf(1)
		return
	}
	if c.Room <= 0 {
		return
	}
	s.elapsed += releasesPerReport * float64(passed) / float64(c.ReportAge) * float64(c.Room) / float64(c.Entries)
}

func (s *pace) hasCredit(now time.Time) bool {
	return s.credits >= 1 && now.Sub(s.freedAt) <= creditLife
}

// MayRelease reports whether a waiting request may be released now.
func (p *Pacer) MayRelease(now time.Time, service ident.Service) bool {
	s := p.service(service)
	return s.hasCredit(now) || s.elapsed >= s.interval
}

// HasCredit reports whether a waiting request may be released into room that this entry's own
// requests have made.
func (p *Pacer) HasCredit(now time.Time, service ident.Service) bool {
	return p.service(service).hasCredit(now)
}

// Released records the release of a waiting request. random is uniform in [0, 1).
func (p *Pacer) Released(now time.Time, service ident.Service, random float64) {
	s := p.service(service)
	if s.hasCredit(now) {
		s.credits--
		return
	}
	s.restart(now, random)
}

// Restart begins a random interval when the first request begins to wait. random is uniform
// in [0, 1).
func (p *Pacer) Restart(now time.Time, service ident.Service, random float64) {
	p.service(service).restart(now, random)
}

func (s *pace) restart(now time.Time, random float64) {
	s.elapsed = 0
	s.updated = now
	s.interval = -math.Log(1 - random)
}

// releaseRate is the rate at which requests leave the queue.
type releaseRate struct {
	count   float64
	updated time.Time
	since   time.Time
}

const (
	// rateSpan is the time constant with which the rate is averaged.
	rateSpan = time.Second
	// minReleases is the least average count from which a rate is reported.
	minReleases = 3
)

func (r *releaseRate) add(now time.Time) {
	r.count = r.count*math.Exp(-float64(now.Sub(r.updated))/float64(rateSpan)) + 1
	if r.updated.IsZero() || now.Sub(r.updated) > 2*rateSpan {
		r.count, r.since = 1, now
	}
	r.updated = now
}

// at returns the rate per second, and false if it isn't known.
func (r *releaseRate) at(now time.Time) (float64, bool) {
	if r == nil || r.count < minReleases || now.Sub(r.updated) > rateSpan {
		return 0, false
	}
	return r.count / rateSpan.Seconds() / max(0.3, 1-math.Exp(-float64(now.Sub(r.since))/float64(rateSpan))), true
}
