package pool

import (
	"math"
	"math/rand/v2"
	"time"

	"arbutustrestle/core/ident"
)

// Entries that choose by the same old word of each other all choose the same upstream,
// which then has a queue while others stand idle. What may have been sent since isn't
// known; each entry guesses it, of each upstream anew, from what it sends itself.

const (
	// paceTime is the time over which the pace of requests is averaged.
	paceTime = 2 * time.Second
	// paceStep is the weight of the newest request in the average of their work.
	paceStep = 0.05
	// fewUnknown requests at each upstream are better left out than guessed: with half a
	// request at each, in a region of six entries, guesses made the mean wait longer by a
	// tenth (TestHerd).
	fewUnknown = 0.5
)

// pace is how fast this entry sends requests for a service, and how much work each is.
type pace struct {
	// perMilli decays; it is the number of requests in a millisecond.
	perMilli float64
	at       time.Time
	// work is what one request adds to the cost of an upstream, in milliseconds.
	work float64
}

// now returns the requests in a millisecond.
func (p *pace) now(now time.Time) float64 {
	return p.perMilli * math.Exp(-float64(now.Sub(p.at))/float64(paceTime))
}

// note takes in one request.
func (p *pace) note(now time.Time, work float64) {
	p.perMilli = p.now(now) + float64(time.Millisecond)/float64(paceTime)
	p.at = now
	p.work += paceStep * (work - p.work)
}

// sent notes a request for the pace of its service.
func (p *Pool) sent(now time.Time, service ident.Service, uncached int) {
	if p.paces == nil {
		p.paces = map[ident.Service]*pace{}
	}
	known := p.paces[service]
	if known == nil {
		known = &pace{at: now}
		p.paces[service] = known
	}
	known.note(now, float64(uncached)/p.rate+runningCost)
}

// unknown returns the cost that requests of other entries add to each upstream of a
// service on average, in milliseconds, and that this entry has not heard of: 100
// requests a second from each of 10 others, heard of after half a second on average,
// are 10 at each of 50 upstreams. What has ended since counts no more.
func (p *Pool) unknown(now time.Time, service ident.Service) float64 {
	known := p.paces[service]
	others := float64(len(p.near) - 1)
	if known == nil || others <= 0 || p.wordAge <= 0 {
		return 0
	}
	upstreams := 0
	hold := time.Duration(0)
	for _, r := range p.replicas {
		if r.Service == service && p.usable(now, r) {
			upstreams++
			hold += r.hold
		}
	}
	if upstreams == 0 {
		return 0
	}
	age := min(p.wordAge, hold/time.Duration(upstreams))
	arrived := known.now(now) * float64(age.Milliseconds()) * others / float64(upstreams)
	return max(0, arrived-fewUnknown) * known.work
}

// guess draws what may be there beyond what is known, around the average.
func guess(unknown float64) float64 {
	return 2 * unknown * rand.Float64()
}

// SetWordAge says how old what others have in flight is on average.
func (p *Pool) SetWordAge(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wordAge = age
}
