package trial

import (
	"slices"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Report holds the results of one run, or the sum of several. The warm-up, which is the
// first quarter of a run, is excluded.
type Report struct {
	// Classes is indexed by table.Class.
	Classes [table.ClassCount]ClassReport
	// Offered counts new model requests. Tries counts the tries of callers for them.
	Offered int
	Tries   int
	// Retries counts the attempts of instances after the first.
	Retries int
	// RefusedAttempts counts the attempts that an engine refused.
	RefusedAttempts int
	// Forwarded counts the requests that were sent to another region.
	Forwarded int
	// GoodputTokens counts the tokens of the answers that were complete before their
	// deadline.
	GoodputTokens int
	// EngineTime is the time that engines spent in steps.
	EngineTime time.Duration
	// Capacity is the number of tokens that the engines could have generated.
	Capacity float64
	// DuplicateRuns counts the calls that may not be repeated but ran more than once.
	// FalseNotRun counts the tries that failed with the outcome NotRun although they
	// had run. Both must be zero.
	DuplicateRuns int
	FalseNotRun   int
	// HotWorkspace counts the requests of the most popular workspace of the first
	// region, OtherWorkspaces those of the other workspaces there.
	HotWorkspace    RequestCount
	OtherWorkspaces RequestCount
	// PeakToMeanTries is the largest number of tries in one second, divided by the
	// mean.
	PeakToMeanTries float64
	// Reasons counts the failures that callers received, by reason.
	Reasons map[result.Reason]int

	measuredFrom     time.Time
	measuredDuration time.Duration
	// triesPerSecond holds the number of tries by Unix second, of measured requests.
	triesPerSecond map[int64]int
}

// RequestCount counts requests and their answers.
type RequestCount struct {
	Offered  int
	Answered int
}

// AnsweredShare is the share of the requests that were answered.
func (c RequestCount) AnsweredShare() float64 {
	return float64(c.Answered) / float64(max(1, c.Offered))
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Offered int
	// Answered counts the answers that were complete before their deadline, Refused the
	// refusals that callers received, and Abandoned the requests that were never
	// answered.
	Answered  int
	Refused   int
	Abandoned int
	Tokens    int
	// Retries counts the attempts after the first.
	Retries int
	// FirstToken and ResponseTime are the times from the last try of the caller to the
	// first token and to the end of the answer. InterToken is the mean time between the
	// tokens of an answer.
	FirstToken   Durations
	ResponseTime Durations
	InterToken   Durations
	// FirstTokenSinceFirstTry is the time from the first try of the caller to the first
	// token, including refusals and pauses.
	FirstTokenSinceFirstTry Durations
}

// Durations is a sample of durations.
type Durations []time.Duration

// Quantile returns the duration that the given share of the sample, 0 to 1, doesn't
// exceed.
func (t Durations) Quantile(share float64) time.Duration {
	if len(t) == 0 {
		return 0
	}
	slices.Sort(t)
	return t[min(len(t)-1, int(share*float64(len(t))))]
}

func newReport(o Options) *Report {
	return &Report{measuredFrom: startTime.Add(o.Duration / 4), measuredDuration: o.Duration * 3 / 4, Reasons: map[result.Reason]int{}, triesPerSecond: map[int64]int{}}
}

// workspaceCount returns the counter for the request's workspace.
func (p *Report) workspaceCount(r *request) *RequestCount {
	switch {
	case r.region != 0 || r.kind() != models:
		return &RequestCount{}
	case r.inHotWorkspace:
		return &p.HotWorkspace
	default:
		return &p.OtherWorkspaces
	}
}

func (p *Report) class(r *request) *ClassReport {
	return &p.Classes[r.class]
}

func (p *Report) recordOffered(r *request) {
	if !r.measured {
		return
	}
	p.class(r).Offered++
	p.workspaceCount(r).Offered++
	if r.kind() == models {
		p.Offered++
	}
}

func (p *Report) recordTry(r *request) {
	if r.measured && r.kind() == models {
		p.Tries++
		p.triesPerSecond[r.lastTryAt.Unix()]++
	}
}

func (p *Report) recordRetry(r *request) {
	if !r.measured {
		return
	}
	p.class(r).Retries++
	if r.kind() == models {
		p.Retries++
	}
}

func (p *Report) recordRefusedAttempt(r *request) {
	if r.measured && r.kind() == models {
		p.RefusedAttempts++
	}
}

func (p *Report) recordForward(r *request) {
	if r.measured && r.kind() == models {
		p.Forwarded++
	}
}

func (p *Report) recordAbandoned(r *request) {
	if r.measured {
		p.class(r).Abandoned++
	}
}

// recordAnswer records the result of one try. runs is the number of times that replicas
// started to run the request in this try.
func (p *Report) recordAnswer(s *sim, r *request, f *result.Failure, runs int) {
	if !r.repeatable && r.runs > 1 {
		p.DuplicateRuns++
	}
	if f != nil && f.Outcome == result.NotRun && runs > 0 && !r.repeatable {
		p.FalseNotRun++
	}
	if s.now.Before(p.measuredFrom) {
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
	p.workspaceCount(r).Answered++
	c.Tokens += r.outputTokens
	c.FirstToken = append(c.FirstToken, r.firstTokenAt.Sub(r.lastTryAt))
	c.ResponseTime = append(c.ResponseTime, s.now.Sub(r.lastTryAt))
	c.FirstTokenSinceFirstTry = append(c.FirstTokenSinceFirstTry, r.firstTokenAt.Sub(r.firstTryAt))
	if r.outputTokens > 1 {
		c.InterToken = append(c.InterToken, s.now.Sub(r.firstTokenAt)/time.Duration(r.outputTokens-1))
	}
	if r.kind() == models {
		p.GoodputTokens += r.outputTokens
	}
}

// close adds the totals of the engines and computes the peak of tries.
func (p *Report) close(s *sim) {
	mean := 0.0
	for _, m := range modelMixes {
		mean += m.share * float64(m.outputTokens)
	}
	for _, engines := range s.engines {
		for _, e := range engines {
			if e.kind == models {
				p.EngineTime += e.busyTime
				p.Capacity += engineCapacity() * mean * p.measuredDuration.Seconds()
			}
		}
	}
	for _, tries := range p.triesPerSecond {
		p.PeakToMeanTries = max(p.PeakToMeanTries, float64(tries)*p.measuredDuration.Seconds()/float64(p.Tries))
	}
	// The steps before the measured part of the run are subtracted in proportion.
	p.EngineTime = p.EngineTime * 3 / 4
}

// Goodput is GoodputTokens as a share of the capacity.
func (p *Report) Goodput() float64 {
	return float64(p.GoodputTokens) / p.Capacity
}

// CostPer1000Tokens is the engine time for each thousand GoodputTokens.
func (p *Report) CostPer1000Tokens() time.Duration {
	if p.GoodputTokens == 0 {
		return 0
	}
	return p.EngineTime * 1000 / time.Duration(p.GoodputTokens)
}

// ForwardedShare is the share of the requests that were sent to another region.
func (p *Report) ForwardedShare() float64 {
	return float64(p.Forwarded) / float64(max(1, p.Offered))
}

// Add adds the results of another run.
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
