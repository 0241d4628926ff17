package engine

import (
	"math"
	"time"
)

const (
	// minFirstTokens is the length of the shortest prompt that the prompt rate is learned
	// from: the time of a shorter one is mostly transit.
	minFirstTokens = 1000
	// maxBusy is the part of its time for which an engine reads prompts from which on the time
	// to a first event says little of the prompt rate: other prompts are read before and
	// between the steps of the first event.
	maxBusy = 0.1
	// firstOverhead is the part of the time to the first event that is neither reading nor
	// a step: the transit and the making of the event.
	firstOverhead = 8 * time.Millisecond
	// paceDecay is the time constant of the recent pace of running streams, and the age at
	// which it no longer predicts much.
	paceDecay = 700 * time.Millisecond
	// meanWeight is the weight of one observation in the mean of the service.
	meanWeight = 0.02
	// maxMeanError is the factor by which the mean may differ from what was configured.
	maxMeanError = 3
	// speedReportMaxAge is the age from which on an observation isn't reported to peers.
	speedReportMaxAge = 4 * time.Second
)

// Mean holds the mean speed of the engines of one service.
type Mean struct {
	// Rate is the number of prompt tokens read in a millisecond, and Step the time of a
	// step in milliseconds while no prompt is read.
	Rate float64
	Step float64
	// rate and step are what was configured.
	rate float64
	step float64
}

// DefaultStep is the time of a step that is assumed at first, in milliseconds.
const DefaultStep = 5

// NewMean returns the mean that holds before the first observation.
func NewMean(rate float64) *Mean {
	return &Mean{Rate: rate, Step: DefaultStep, rate: rate, step: DefaultStep}
}

// adjustMean returns the mean after an estimate at one upstream, given as the logarithm of its
// ratio to the mean. All upstreams count alike, however many requests they get.
func adjustMean(mean, configured, deviation, busy float64) float64 {
	value := mean * math.Exp(deviation*meanWeight*max(1-busy, 0))
	return min(max(value, configured/maxMeanError), configured*maxMeanError)
}

// Speed is the learned speed of one run of an upstream. Its zero value has the mean speed of
// the service. It isn't safe for concurrent use.
type Speed struct {
	rate window
	step window
	// ownRate and ownStep are this instance's last observations.
	ownRate sample
	ownStep sample
	// pace is the recent time between two tokens of a running stream, in milliseconds,
	// with all that happens between them.
	pace sample
	// cached is current until cachedUntil.
	cached      Estimate
	cachedUntil time.Time
}

// Estimate is the speed of an upstream as of a moment.
type Estimate struct {
	// Rate is the number of prompt tokens read in a millisecond.
	Rate float64
	// Step is the time of a step while no prompt is read, in milliseconds.
	Step float64
	// Pace is the recent time between two tokens of a running stream, in milliseconds; it
	// counts with PaceWeight, 0 to 1.
	Pace       float64
	PaceWeight float64
}

// ObserveFirst records the time to the first event of a request that had no known prompts
// to wait for. tokens is the length of the prompt that had to be read, stride the number of
// tokens in an event, and busy the part of its time for which an engine reads prompts.
func (s *Speed) ObserveFirst(now time.Time, m *Mean, tokens, stride int, busy float64, took time.Duration) {
	if tokens < minFirstTokens || busy > maxBusy {
		return
	}
	steps := float64(max(1, stride)) + math.Ceil(float64(tokens)/ChunkTokens)
	reading := millis(took-firstOverhead) - steps*s.Estimate(now, m).Step
	// A time that the steps alone explain says that the rate is high, not how high.
	rate := float64(tokens) / max(reading, float64(tokens)/(m.Rate*5))
	s.ownRate = sample{now, rate}
	s.addRate(now, m, rate, busy)
}

func (s *Speed) addRate(at time.Time, m *Mean, rate, busy float64) {
	if s.rate.add(at, 1/rate, 1/m.Rate, busy) {
		s.cachedUntil = time.Time{}
		if s.rate.contributes(at) {
			m.Rate = adjustMean(m.Rate, m.rate, -s.rate.longTerm, busy)
		}
	}
}

// ObserveEvents records the time that a running stream took for a number of tokens. busy is
// the part of its time for which an engine reads prompts.
func (s *Speed) ObserveEvents(now time.Time, m *Mean, tokens int, busy float64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	step := millis(took) / float64(tokens)
	if age := now.Sub(s.ownStep.at); age > paceDecay {
		s.ownStep = sample{now, step}
	} else {
		weight := max(0.2, 1-decay(age, paceDecay))
		s.ownStep = sample{now, s.ownStep.value + weight*(step-s.ownStep.value)}
	}
	s.addStep(now, m, step, busy)
}

func (s *Speed) addStep(at time.Time, m *Mean, step, busy float64) {
	if !s.step.add(at, step, m.Step, busy) {
		return
	}
	s.cachedUntil = time.Time{}
	if s.step.contributes(at) {
		m.Step = adjustMean(m.Step, m.step, s.step.longTerm, busy)
	}
	s.pace = sample{s.step.newest, s.step.recent(paceDecay)}
}

// Report is what an instance tells its peers of the speed that it observed at an upstream.
// Its zero value tells nothing.
type Report struct {
	// Rate is in prompt tokens per millisecond, Step in milliseconds; zero if not observed.
	Rate    float64
	RateAge time.Duration
	Step    float64
	StepAge time.Duration
}

// Report returns the last own observations.
func (s *Speed) Report(now time.Time) Report {
	var r Report
	if age := now.Sub(s.ownRate.at); age <= speedReportMaxAge {
		r.Rate, r.RateAge = s.ownRate.value, age
	}
	if age := now.Sub(s.ownStep.at); age <= speedReportMaxAge {
		r.Step, r.StepAge = s.ownStep.value, age
	}
	return r
}

// Merge records the observations of a peer.
func (s *Speed) Merge(now time.Time, m *Mean, busy float64, r Report) {
	if r.Rate > 0 {
		s.addRate(now.Add(-r.RateAge), m, r.Rate, busy)
	}
	if r.Step > 0 {
		s.addStep(now.Add(-r.StepAge), m, r.Step, busy)
	}
}

// estimateLifetime is how long an estimate is used without being computed again.
const estimateLifetime = 20 * time.Millisecond

// Estimate returns the speed as of now. Where no prompt rate was observed, the upstream reads
// prompts as fast as it makes steps, compared with the mean.
func (s *Speed) Estimate(now time.Time, m *Mean) Estimate {
	if now.Before(s.cachedUntil) && !now.Before(s.cachedUntil.Add(-estimateLifetime)) {
		return s.cached
	}
	step := s.step.deviation(now)
	reading := s.rate.deviation(now)
	switch {
	case s.rate.count == 0:
		reading = step
	case s.step.count > 0:
		// An engine that makes slow steps reads slowly, and both are seen with errors.
		reading = (reading + step) / 2
	}
	paceWeight := 0.0
	if s.pace.value > 0 {
		paceWeight = decay(max(0, now.Sub(s.pace.at)), paceDecay)
		// No token takes longer than a chunk and a step.
		least := bounded(math.Log(s.pace.value/(m.Step+ChunkTokens/m.Rate))) * paceWeight
		step, reading = max(step, least), max(reading, least)
	}
	s.cached = Estimate{
		Rate:       m.Rate * math.Exp(-reading),
		Step:       m.Step * math.Exp(step),
		Pace:       s.pace.value,
		PaceWeight: paceWeight,
	}
	s.cachedUntil = now.Add(estimateLifetime)
	return s.cached
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
