package prefix

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant with which requests are counted. An instance of 68
	// sees a prefix that the region is sent every 5 s only once in 6 minutes; what it then
	// goes by is how often prompts with the same first parts repeat.
	demandWindow = time.Minute
	// maxCounted bounds the sections that are counted: 4,096 take some 400 KB.
	maxCounted = 4096
	// minDemandAge bounds the rates of an instance that has just started.
	minDemandAge = time.Second
	// minCount is the decayed count below which a section is forgotten when there are too
	// many.
	minCount = 0.05
)

// Demand counts how often this instance is sent each section of prompts of one service.
// Its zero value has counted nothing.
type Demand struct {
	since    time.Time
	sections map[uint64]*section
	// root is the section before the first part.
	root section
	// trust scales the demand of peers by what answers show; 0 means 1.
	trust float64
}

// section counts the requests whose prompts begin with one leading section.
type section struct {
	count   float64
	updated time.Time
	// repeats is the sum of the counts that sections after this one had when requests for
	// them arrived, and seconds the sum of the times over which they were counted.
	repeats float64
	seconds float64
	// overflow is the fraction of these requests that didn't go to the first upstream in
	// the ranking for their prefix.
	overflow float64
}

// at returns the count as of now.
func (s *section) at(now time.Time) float64 {
	return s.count * math.Exp(-float64(now.Sub(s.updated))/float64(demandWindow))
}

// maxSampled is the sum of times, in seconds, from which on earlier requests lose weight: some
// 500 requests, once the instance has run for a while.
const maxSampled = 500 * 60

// sample adds the count that the next section of a request had when the request arrived.
func (s *section) sample(count, seconds float64) {
	keep := min(1, maxSampled/(s.seconds+seconds))
	s.repeats = keep * (s.repeats + count)
	s.seconds = keep * (s.seconds + seconds)
}

// priorRate is the rate per second at which a region is assumed to be sent prompts with a
// section while few requests have shown it.
const priorRate = 1.0 / 6

// meanRate returns the mean rate of the sections after this one, as requests see it at one of
// the given number of instances.
func (s *section) meanRate(instances float64) float64 {
	window := demandWindow.Seconds()
	return (s.repeats + priorRate/instances*window) / (s.seconds + window)
}

// Add counts a request.
func (d *Demand) Add(now time.Time, p *Prompt) {
	if d.sections == nil {
		d.sections = map[uint64]*section{}
		d.since = now
	}
	seconds := d.seconds(now)
	parent := &d.root
	for _, l := range p.links[:p.shared] {
		s := d.sections[l.key]
		if s == nil {
			s = &section{}
			d.sections[l.key] = s
		}
		count := s.at(now)
		parent.sample(count, seconds)
		s.count, s.updated = count+1, now
		parent = s
	}
	if len(d.sections) > maxCounted {
		d.forget(now)
	}
}

// forget removes the sections with the least demand.
func (d *Demand) forget(now time.Time) {
	for limit := minCount; len(d.sections) > maxCounted*3/4; limit *= 2 {
		for key, s := range d.sections {
			if s.at(now) < limit {
				delete(d.sections, key)
			}
		}
	}
}

// Rates returns, for each shared section of a prompt, the requests per second that this
// instance, one of the given number in its region, expects to be sent. A section that it has
// seen seldom is assumed to be as frequent as those that follow the same parts are on average:
// the count c of a section
// whose kind has the mean m when a request arrives is estimated as m(1+c)/(1+m), the mean
// of a gamma distribution of shape 1. It isn't below c-1: popularity often has a longer tail.
func (d *Demand) Rates(now time.Time, p *Prompt, instances float64) [maxLinks]float64 {
	var rates [maxLinks]float64
	seconds := d.seconds(now)
	for i := range p.shared {
		mean := d.meanRateAfter(p.parent(i), instances) * seconds
		count := 0.0
		if s := d.sections[p.links[i].key]; s != nil {
			count = s.at(now)
		}
		rates[i] = max(mean*(1+count)/(1+mean), count-1) / seconds
	}
	return rates
}

// seconds returns what counts add up over: the integral of their decay since the first
// request.
func (d *Demand) seconds(now time.Time) float64 {
	if d.since.IsZero() {
		return demandWindow.Seconds()
	}
	age := max(now.Sub(d.since), minDemandAge)
	return demandWindow.Seconds() * (1 - math.Exp(-float64(age)/float64(demandWindow)))
}

func (d *Demand) meanRateAfter(key uint64, instances float64) float64 {
	if key == 0 {
		return d.root.meanRate(instances)
	}
	if s := d.sections[key]; s != nil {
		return s.meanRate(instances)
	}
	return (&section{}).meanRate(instances)
}

// overflowWeight is the weight of the newest request in the overflow.
const overflowWeight = 0.02

// Placed records the rank, from 1, of the upstream that a request was sent to in the ranking for
// its prefix; 0 if it isn't among the first ranks.
func (d *Demand) Placed(p *Prompt, rank int) {
	s := d.kind(p)
	if s == nil {
		return
	}
	passed := 0.0
	if rank != 1 {
		passed = 1
	}
	s.overflow += overflowWeight * (passed - s.overflow)
}

// Overflow returns the fraction of the requests with the same first parts that didn't go to
// the first upstream in the ranking for their prefix.
func (d *Demand) Overflow(p *Prompt) float64 {
	if s := d.kind(p); s != nil {
		return s.overflow
	}
	return 0
}

// kind returns the section before the last shared part: what prompts of one kind have in
// common.
func (d *Demand) kind(p *Prompt) *section {
	if p.shared < 2 {
		return &d.root
	}
	return d.sections[p.links[p.shared-2].key]
}

const (
	trustWeight = 0.02
	maxTrust    = 4
)

// Trust returns the factor by which the demand of peers is to be multiplied, as learned from
// answers to prompts whose prefix was expected to be held mainly because peers sent it.
func (d *Demand) Trust() float64 {
	if d.trust == 0 {
		return 1
	}
	return d.trust
}

// Correct adapts Trust to an answer: expected is the likelihood that the prefix was held,
// and found the one that follows from the time to the first event.
func (d *Demand) Correct(expected, found float64) {
	d.trust = min(max(d.Trust()*(1+trustWeight*(found-expected)), 1.0/maxTrust), maxTrust)
}
