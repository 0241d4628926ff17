package pool

import (
	"math"
	"strconv"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
)

// Entries that choose by the same old word of each other all choose the same upstream,
// which then has a queue while others stand idle. What may have been sent since isn't
// known; each entry guesses it, of each upstream anew, from what it sends itself.

const (
	// paceTime is the time over which the pace of requests is averaged.
	paceTime = 2 * time.Second
	// paceStep is the weight of the newest request in the average of their work.
	paceStep = 0.05
	// fewOthers entries beside this one are better not guessed at: of several requests that
	// each sends between two words, only the first go to the same upstream. With five
	// others guesses made the mean wait longer by a tenth (TestHerd).
	fewOthers = 11
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
	return p.perMilli * fade(now.Sub(p.at), paceTime)
}

// fade returns what is left of a moving average after some time without samples.
func fade(since, over time.Duration) float64 {
	return math.Exp(-float64(since) / float64(over))
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
func (p *Pool) unknown(now time.Time, service ident.Service, takers []*replica) float64 {
	known := p.paces[service]
	others := float64(len(p.near) - 1)
	if known == nil || others <= fewOthers || p.wordAge <= 0 || len(takers) == 0 {
		return 0
	}
	hold := time.Duration(0)
	for _, r := range takers {
		hold += r.hold
	}
	age := min(p.wordAge, hold/time.Duration(len(takers)))
	arrived := known.now(now) * float64(age.Milliseconds()) * others / float64(len(takers))
	return arrived * known.work
}

// draw is one choice's draws. They come from hashes, so that they don't depend on the
// order in which upstreams are looked at.
type draw struct {
	key     string
	unknown float64
}

// newDraw begins the draws of a choice around an average.
func (p *Pool) newDraw(unknown float64) draw {
	if unknown <= 0 {
		return draw{}
	}
	p.draws++
	return draw{string(p.settings.Self) + strconv.FormatUint(p.draws, 36), unknown}
}

// guess returns what may be at an upstream beyond what is known.
func (d draw) guess(id ident.Upstream) float64 {
	if d.unknown <= 0 {
		return 0
	}
	part := float64(rank.Score(d.key, string(id))>>11) / (1 << 53)
	return 2 * d.unknown * part
}

// SetMeanLoadAge says how old what others have in flight is on average.
func (p *Pool) SetMeanLoadAge(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wordAge = age
}
