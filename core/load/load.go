// Package load holds what one entry instance believes of the load of each
// upstream of its region: late reports, load headers on answers, its own
// requests in flight, recent failures and how warm the upstream is. From these
// it projects how long a further request would wait there.
//
// An Upstream is safe for concurrent use. All its methods take the time, so that
// they give the same results under a virtual clock.
package load

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// defaultSlots is assumed of an upstream whose slots nobody has told.
	defaultSlots = 8
	// defaultHold is assumed as the time for which a request holds a slot until
	// one has been observed.
	defaultHold = 5 * time.Second
	// nominalTokens is the length of the answer for which upstreams' paces are
	// compared.
	nominalTokens = 100
	// targetFirst and targetBetween are the times to the first token and between
	// tokens above which an upstream counts as slow.
	targetFirst   = 1900 * time.Millisecond
	targetBetween = 69 * time.Millisecond
	// smoothing is the weight of a new observation in the moving averages.
	smoothing = 0.2
	// refusedHold is the first pause after an upstream refused a request.
	refusedHold = 250 * time.Millisecond
	// failedHold is the first pause after a connection or an answer failed.
	failedHold = time.Second
	// failuresToHold is the number of failed answers in a row that begin a pause.
	failuresToHold = 3
	// maxDoublings keeps the pauses from overflowing.
	maxDoublings = 8
	// probeGap is the time between two probes of an upstream after a pause.
	probeGap = time.Second
	// maxHold is the longest pause after failures in a row.
	maxHold = 15 * time.Second
	// rampStart is the share of its slots that a returned upstream starts with.
	rampStart = 0.15
	// rampAfter is the shortest absence after which an upstream counts as cold.
	rampAfter = 5 * time.Second
)

// Settings holds what is known of an upstream besides its load. Zero fields stand
// for the defaults.
type Settings struct {
	// Slots is how many requests run at once, until a report says otherwise.
	Slots int
	// Instances is how many entry instances send to the upstream. Each request that
	// this one sent after the last report stands for as many of theirs.
	Instances int
	// MaxReportAge is the age up to which a report of load is believed.
	MaxReportAge time.Duration
	// RampUp is how long a returned upstream takes to get its whole share; negative
	// for no ramp.
	RampUp time.Duration
}

const (
	defaultFreshness = 3 * time.Second
	defaultRampUp    = 10 * time.Second
)

// Report is what an upstream says of its own load.
type Report struct {
	Running int
	Waiting int
	// Slots is the number of requests that run at once; zero when it isn't told.
	Slots int
	// TokensPerSecond is summed over all running requests; zero when it isn't told.
	TokensPerSecond float64
	// AsOf is the time of the local clock at which the figures were true. A caller
	// that can't trust the upstream's clock passes the time at which it asked.
	AsOf    time.Time
	Leaving bool
}

// AttemptResult says how an attempt at an upstream ended.
type AttemptResult uint8

// The endings of an attempt.
const (
	// Cancelled says nothing about the upstream: the caller went away.
	Cancelled AttemptResult = iota
	// Answered is a whole answer.
	Answered
	// Refused is a refusal before anything ran.
	Refused
	// Failed is a connection that failed, or an answer that broke off or stalled.
	Failed
)

// Upstream is one replica as this entry instance sees it. Its zero value, with an
// ID, is a warm upstream of unknown load.
type Upstream struct {
	ID   ident.Upstream
	Zone ident.Zone

	mu       sync.Mutex
	settings Settings
	// report is the last one believed; its AsOf never decreases.
	report Report
	// leaving is never reset by a report: only Return does that.
	leaving bool
	own     history
	// hold, first and pace are moving averages: of the time in a slot, of the time
	// to the first token outside the queue, and of the time between tokens.
	hold  time.Duration
	first time.Duration
	pace  time.Duration
	// failures counts the failures since the last answer.
	failures int
	// held is when the pause after failures ends, or when the next probe after it may
	// be sent; zero for an upstream that has answered since.
	held time.Time
	// pausedUntil is when the last pause ends.
	pausedUntil time.Time
	// failing is when the first of the failures in a row happened.
	failing time.Time
	// returned is when the ramp began; zero for an upstream that is warm.
	returned time.Time
}

// Configure sets what is known of the upstream besides its load.
func (u *Upstream) Configure(s Settings) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settings = s
}

// Begin notes that an attempt was sent. The first one after a pause is a probe, and
// holds off the others until it is answered.
func (u *Upstream) Begin(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.own.add(now, 1)
	if !u.held.IsZero() && !now.Before(u.held) {
		u.held = now.Add(probeGap)
	}
}

// ObserveFirstToken notes the time that the first token of an answer took, queueing
// included.
func (u *Upstream) ObserveFirstToken(now time.Time, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.first = average(u.first, max(0, took-u.queue(now)))
	u.succeeded(now)
}

// End notes that an attempt ended. The time it took and the tokens of its answer
// are used only when it was answered.
func (u *Upstream) End(now time.Time, ending AttemptResult, took time.Duration, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.own.add(now, -1)
	switch ending {
	case Answered:
		u.answered(now, took, tokens)
	case Refused:
		u.failed(now, refusedHold)
	case Failed:
		u.failed(now, failedHold)
	}
}

func (u *Upstream) answered(now time.Time, took time.Duration, tokens int) {
	u.succeeded(now)
	u.hold = average(u.hold, took)
	if tokens > 1 {
		u.pace = average(u.pace, max(0, took-u.first)/time.Duration(tokens))
	}
}

// succeeded ends the pauses. An upstream that failed for long comes back cold.
func (u *Upstream) succeeded(now time.Time) {
	if !u.held.IsZero() && now.Sub(u.failing) >= rampAfter {
		u.returned = now
	}
	u.failures = 0
	u.held = time.Time{}
}

// failed lengthens the pause with each failure in a row: 1, 2, 4 … times first.
// One or two failed answers begin none: they may be the request's own fault.
func (u *Upstream) failed(now time.Time, first time.Duration) {
	if u.failures == 0 {
		u.failing = now
	}
	if first == failedHold && u.failures+1 < failuresToHold {
		u.failures++
		return
	}
	if now.Before(u.pausedUntil) {
		// Attempts that were already under way when the pause began add nothing.
		return
	}
	pause := maxHold
	if u.failures < maxDoublings {
		pause = min(maxHold, first<<u.failures)
	}
	u.failures++
	u.pausedUntil = now.Add(pause)
	u.held = u.pausedUntil
}

// Observe takes in a report. One that is older than the last believed is ignored,
// but for its word that the upstream is leaving.
func (u *Upstream) Observe(now time.Time, r Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	// A report from before the upstream's return tells of the run that has ended.
	u.leaving = u.leaving || (r.Leaving && !r.AsOf.Before(u.returned))
	if r.AsOf.After(now) {
		r.AsOf = now
	}
	if r.AsOf.Before(u.report.AsOf) {
		return
	}
	if r.Slots == 0 {
		r.Slots = u.report.Slots
	}
	u.report = r
	if bucket(r.AsOf) == bucket(now) {
		u.own.reset(now)
	}
	if r.Running > 0 && r.TokensPerSecond > 0 {
		seconds := float64(r.Running) / r.TokensPerSecond
		u.pace = average(u.pace, time.Duration(seconds*float64(time.Second)))
	}
}

// MarkLeaving notes that the upstream takes no new work: the list or an answer said so.
func (u *Upstream) MarkLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Leaving reports whether the upstream takes no new work since it is leaving.
func (u *Upstream) Leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

// MarkReturned notes that the upstream is back, or new, with cold caches, and begins
// its ramp.
func (u *Upstream) MarkReturned(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = false
	u.failures = 0
	u.held = time.Time{}
	u.returned = now
}

// average moves a moving average towards an observation; zero is no average yet.
func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(smoothing*float64(observed-old))
}
