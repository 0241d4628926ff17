package trial

import (
	"slices"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Report is what one run, or several added up, showed. Requests that arrived before
// the run was warm are left out.
type Report struct {
	// Classes is indexed by table.Class.
	Classes [table.ClassCount]ClassReport
	// Offered counts new model requests; Tries how often callers asked for them.
	Offered int
	Tries   int
	// Retries counts the attempts after the first that entries made.
	Retries int
	// RefusedAttempts counts the attempts that an engine refused.
	RefusedAttempts int
	// Forwarded counts the requests that were sent to another region.
	Forwarded int
	// GoodputTokens counts the tokens of whole answers in time.
	GoodputTokens int
	// EngineTime is the time that engines spent in steps.
	EngineTime time.Duration
	// Capacity is the number of tokens that the engines could have generated.
	Capacity float64
	// DuplicateRuns counts the calls that may not be repeated and ran more than once;
	// FalseNotRun the tries that were said not to have run and did. Both must be zero.
	DuplicateRuns int
	FalseNotRun   int
	// HotWorkspace counts the requests of the most popular workspace of the first region, Rest
	// those of the region's others.
	HotWorkspace    RequestCount
	OtherWorkspaces RequestCount
	// PeakToMeanTries is the largest number of tries in one second, divided by the mean.
	PeakToMeanTries float64
	// Reasons counts the failures that callers were told.
	Reasons map[result.Reason]int

	warm   time.Time
	length time.Duration
	// tries counts the tries of each second since the run was warm.
	tries map[int64]int
}

// RequestCount counts requests.
type RequestCount struct {
	Offered  int
	Answered int
}

// AnsweredShare is the part that was answered.
func (c RequestCount) AnsweredShare() float64 {
	return float64(c.Answered) / float64(max(1, c.Offered))
}

// ClassReport is the part of a report about one class.
type ClassReport struct {
	Offered int
	// Answered counts whole answers in time, Refused the refusals that callers were
	// told, and GaveUp the requests that never got an answer.
	Answered  int
	Refused   int
	Abandoned int
	Tokens    int
	// Retries counts the attempts after the first.
	Retries int
	// FirstToken, Whole and Between are the times to the first token and to the end, and
	// the mean time between tokens, of each answer since the caller last asked.
	FirstToken   Durations
	ResponseTime Durations
	InterToken   Durations
	// FirstTokenSinceFirstTry is the time to the first token since the caller first asked, refusals and
	// pauses included.
	FirstTokenSinceFirstTry Durations
}

// Durations is a sample of times.
type Durations []time.Duration

// Quantile returns the time that a part of the sample, 0 to 1, doesn't exceed.
func (t Durations) Quantile(part float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	slices.Sort(t)
	return t[min(len(t)-1, int(part*float64(len(t))))]
}

func newReport(o Options) *Report {
	return &Report{warm: begin.Add(o.Duration / 4), length: o.Duration * 3 / 4, Reasons: map[result.Reason]int{}, tries: map[int64]int{}}
}

// count returns what the request counts as besides its class.
func (p *Report) count(r *request) *RequestCount {
	switch {
	case r.region != 0 || r.kind() != models:
		return &RequestCount{}
	case r.hot:
		return &p.HotWorkspace
	default:
		return &p.OtherWorkspaces
	}
}

func (p *Report) class(r *request) *ClassReport {
	return &p.Classes[r.class]
}

func (p *Report) offered(r *request) {
	if !r.measured {
		return
	}
	p.class(r).Offered++
	p.count(r).Offered++
	if r.kind() == models {
		p.Offered++
	}
}

func (p *Report) asked(r *request) {
	if r.measured && r.kind() == models {
		p.Tries++
		p.tries[r.asked.Unix()]++
	}
}

func (p *Report) retried(r *request) {
	if !r.measured {
		return
	}
	p.class(r).Retries++
	if r.kind() == models {
		p.Retries++
	}
}

func (p *Report) bounced(r *request) {
	if r.measured && r.kind() == models {
		p.RefusedAttempts++
	}
}

func (p *Report) forwarded(r *request) {
	if r.measured && r.kind() == models {
		p.Forwarded++
	}
}

func (p *Report) gaveUp(r *request) {
	if r.measured {
		p.class(r).Abandoned++
	}
}

// answered notes the final answer of one try, which ran so many times.
func (p *Report) answered(s *sim, r *request, f *result.Failure, runs int) {
	if !r.repeatable && r.runs > 1 {
		p.DuplicateRuns++
	}
	if f != nil && f.Outcome == result.NotRun && runs > 0 && !r.repeatable {
		p.FalseNotRun++
	}
	if s.now.Before(p.warm) {
		return
	}
	c := p.class(r)
	if f != nil {
		p.Reasons[f.Reason]++
		if f.Outcome == result.NotRun {
			c.Refused++
		}
		return
	}
	c.Answered++
	p.count(r).Answered++
	c.Tokens += r.tokens
	c.FirstToken = append(c.FirstToken, r.firstAt.Sub(r.asked))
	c.ResponseTime = append(c.ResponseTime, s.now.Sub(r.asked))
	c.FirstTokenSinceFirstTry = append(c.FirstTokenSinceFirstTry, r.firstAt.Sub(r.began))
	if r.tokens > 1 {
		c.InterToken = append(c.InterToken, s.now.Sub(r.firstAt)/time.Duration(r.tokens-1))
	}
	if r.kind() == models {
		p.GoodputTokens += r.tokens
	}
}

// close takes in what the engines counted.
func (p *Report) close(s *sim) {
	mean := 0.0
	for _, m := range mixes {
		mean += m.part * float64(m.tokens)
	}
	for _, engines := range s.engines {
		for _, e := range engines {
			if e.kind == models {
				p.EngineTime += e.busy
				p.Capacity += capacity() * mean * p.length.Seconds()
			}
		}
	}
	for _, tries := range p.tries {
		p.PeakToMeanTries = max(p.PeakToMeanTries, float64(tries)*p.length.Seconds()/float64(p.Tries))
	}
	// Steps before the run was warm are left out in proportion.
	p.EngineTime = p.EngineTime * 3 / 4
}

// Goodput is the tokens of good answers as a part of the capacity.
func (p *Report) Goodput() float64 {
	return float64(p.GoodputTokens) / p.Capacity
}

// CostPer1000Tokens is the engine time for a thousand tokens of good answers.
func (p *Report) CostPer1000Tokens() time.Duration {
	if p.GoodputTokens == 0 {
		return 0
	}
	return p.EngineTime * 1000 / time.Duration(p.GoodputTokens)
}

// ForwardedShare is the part of the requests that was sent to another region.
func (p *Report) ForwardedShare() float64 {
	return float64(p.Forwarded) / float64(max(1, p.Offered))
}

// Add adds another run to the report.
func (p *Report) Add(o *Report) {
	for i := range p.Classes {
		p.Classes[i].add(&o.Classes[i])
	}
	p.Offered += o.Offered
	p.Tries += o.Tries
	p.Retries += o.Retries
	p.Forwarded += o.Forwarded
	p.RefusedAttempts += o.RefusedAttempts
	p.GoodputTokens += o.GoodputTokens
	p.EngineTime += o.EngineTime
	p.Capacity += o.Capacity
	p.HotWorkspace.add(o.HotWorkspace)
	p.OtherWorkspaces.add(o.OtherWorkspaces)
	p.PeakToMeanTries = max(p.PeakToMeanTries, o.PeakToMeanTries)
	p.DuplicateRuns += o.DuplicateRuns
	p.FalseNotRun += o.FalseNotRun
	for reason, count := range o.Reasons {
		p.Reasons[reason] += count
	}
}

func (c *RequestCount) add(o RequestCount) {
	c.Offered += o.Offered
	c.Answered += o.Answered
}

func (c *ClassReport) add(o *ClassReport) {
	c.Offered += o.Offered
	c.Answered += o.Answered
	c.Refused += o.Refused
	c.Abandoned += o.Abandoned
	c.Tokens += o.Tokens
	c.Retries += o.Retries
	c.FirstToken = append(c.FirstToken, o.FirstToken...)
	c.ResponseTime = append(c.ResponseTime, o.ResponseTime...)
	c.InterToken = append(c.InterToken, o.InterToken...)
	c.FirstTokenSinceFirstTry = append(c.FirstTokenSinceFirstTry, o.FirstTokenSinceFirstTry...)
}
