// Package load estimates the load of each upstream of the local region, from the view
// of one instance: from late reports, load headers on responses, the instance's own
// requests in flight, recent failures and the warm-up of the upstream. From these it
// projects how long a further request would wait there.
//
// An Upstream is safe for concurrent use. All its methods take the time, so that they
// give the same results under a virtual clock.
package load

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

const (
	// defaultSlots is assumed for an upstream that has not reported its slots.
	defaultSlots = 8
	// defaultSlotTime is the assumed time for which a request holds a slot, until one
	// has been observed.
	defaultSlotTime = 5 * time.Second
	// nominalTokens is the response length for which the speeds of upstreams are
	// compared.
	nominalTokens = 100
	// targetFirstToken and targetTokenGap are the times to the first token and between
	// tokens above which an upstream counts as slow.
	targetFirstToken = 1900 * time.Millisecond
	targetTokenGap   = 69 * time.Millisecond
	// smoothing is the weight of a new observation in the moving averages.
	smoothing = 0.2
	// firstRefusedPause is the first pause after an upstream refused a request.
	firstRefusedPause = 250 * time.Millisecond
	// firstFailedPause is the first pause after a connection or a response failed.
	firstFailedPause = time.Second
	// failuresToPause is the number of failed attempts in a row that start a pause.
	failuresToPause = 3
	// maxDoublings prevents an overflow when the pause is doubled.
	maxDoublings = 8
	// probeInterval is the time between two probes of an upstream after a pause.
	probeInterval = time.Second
	// maxPause is the longest pause after failures in a row.
	maxPause = 15 * time.Second
	// rampStart is the share of its slots with which a returned upstream starts.
	rampStart = 0.15
	// coldAfter is the shortest absence after which an upstream counts as cold.
	coldAfter = 5 * time.Second
)

// Settings holds the properties of an upstream other than its load. Zero fields stand
// for the defaults.
type Settings struct {
	// Slots is the number of requests that run at once, until a report gives another
	// number.
	Slots int
	// Instances is the number of instances that send to the upstream. Each request that
	// this instance has sent since the last report is assumed to stand for one from
	// each of them.
	Instances int
	// MaxReportAge is the age up to which a load report is used.
	MaxReportAge time.Duration
	// RampUp is the time until a returned upstream gets its whole share; negative for
	// no ramp.
	RampUp time.Duration
}

const (
	defaultMaxReportAge = 3 * time.Second
	defaultRampUp       = 10 * time.Second
)

// Report is the load that an upstream reports.
type Report struct {
	Running int
	Waiting int
	// Slots is the number of requests that run at once; zero if it isn't reported.
	Slots int
	// TokensPerSecond is summed over all running requests; zero if it isn't reported.
	TokensPerSecond float64
	// AsOf is the local time at which the figures were measured. A caller that can't
	// trust the upstream's clock passes the time at which it sent its query.
	AsOf    time.Time
	Leaving bool
}

// AttemptResult is the result of an attempt at an upstream.
type AttemptResult uint8

// The results of an attempt.
const (
	// Cancelled means that the caller disconnected; it carries no information about the
	// upstream.
	Cancelled AttemptResult = iota
	// Answered means a complete response.
	Answered
	// Refused means that the upstream refused the request before anything ran.
	Refused
	// Failed means a failed connection, or a response that was cut off or stalled.
	Failed
)

// Upstream tracks the load of one replica, as this instance estimates it. Its zero
// value, with an ID, is a warm upstream of unknown load.
type Upstream struct {
	ID   ident.Upstream
	Zone ident.Zone

	mu       sync.Mutex
	settings Settings
	// report is the last one accepted; its AsOf never decreases.
	report Report
	// leaving is never reset by a report: only MarkReturned does that.
	leaving  bool
	requests history
	// slotTime, firstToken and tokenGap are moving averages: of the time in a slot, of
	// the time to the first token without queueing, and of the time between tokens.
	slotTime   time.Duration
	firstToken time.Duration
	tokenGap   time.Duration
	// failures counts the failures since the last success.
	failures int
	// nextAttempt is when the pause after failures ends, or when the next probe after
	// the pause may be sent; zero for an upstream that has succeeded since.
	nextAttempt time.Time
	// pausedUntil is when the last pause ends.
	pausedUntil time.Time
	// firstFailure is the time of the first of the failures in a row.
	firstFailure time.Time
	// returnedAt is when the ramp began; zero for an upstream that is warm.
	returnedAt time.Time
}

// Configure sets the properties of the upstream other than its load.
func (u *Upstream) Configure(s Settings) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settings = s
}

// Begin records that an attempt was sent. The first one after a pause is a probe, and
// blocks further attempts until it succeeds or probeInterval has passed.
func (u *Upstream) Begin(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests.add(now, 1)
	if !u.nextAttempt.IsZero() && !now.Before(u.nextAttempt) {
		u.nextAttempt = now.Add(probeInterval)
	}
}

// ObserveFirstToken records the time to the first token of a response, queueing
// included.
func (u *Upstream) ObserveFirstToken(now time.Time, elapsed time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.firstToken = movingAverage(u.firstToken, max(0, elapsed-u.queueWait(now)))
	u.succeeded(now)
}

// End records the end of an attempt. Its duration and the number of tokens are used
// only if the result is Answered.
func (u *Upstream) End(now time.Time, result AttemptResult, elapsed time.Duration, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests.add(now, -1)
	switch result {
	case Answered:
		u.answered(now, elapsed, tokens)
	case Refused:
		u.failed(now, firstRefusedPause)
	case Failed:
		u.failed(now, firstFailedPause)
	}
}

func (u *Upstream) answered(now time.Time, elapsed time.Duration, tokens int) {
	u.succeeded(now)
	u.slotTime = movingAverage(u.slotTime, elapsed)
	if tokens > 1 {
		u.tokenGap = movingAverage(u.tokenGap, max(0, elapsed-u.firstToken)/time.Duration(tokens))
	}
}

// succeeded ends the pauses. An upstream that had failed for at least coldAfter starts
// cold.
func (u *Upstream) succeeded(now time.Time) {
	if !u.nextAttempt.IsZero() && now.Sub(u.firstFailure) >= coldAfter {
		u.returnedAt = now
	}
	u.failures = 0
	u.nextAttempt = time.Time{}
}

// failed doubles the pause with each failure in a row: 1, 2, 4 … times firstPause. One
// or two attempts with the result Failed don't start a pause: the request itself may be
// the cause.
func (u *Upstream) failed(now time.Time, firstPause time.Duration) {
	if u.failures == 0 {
		u.firstFailure = now
	}
	if firstPause == firstFailedPause && u.failures+1 < failuresToPause {
		u.failures++
		return
	}
	if now.Before(u.pausedUntil) {
		// Attempts that were already in flight when the pause began don't extend it.
		return
	}
	pause := maxPause
	if u.failures < maxDoublings {
		pause = min(maxPause, firstPause<<u.failures)
	}
	u.failures++
	u.pausedUntil = now.Add(pause)
	u.nextAttempt = u.pausedUntil
}

// Observe applies a report. A report older than the last accepted one is ignored,
// except for its Leaving flag.
func (u *Upstream) Observe(now time.Time, r Report) {
	u.mu.Lock()
	defer u.mu.Unlock()
	// A report from before the upstream's return describes the process that has ended.
	u.leaving = u.leaving || (r.Leaving && !r.AsOf.Before(u.returnedAt))
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
		u.requests.reset(now)
	}
	if r.Running > 0 && r.TokensPerSecond > 0 {
		seconds := float64(r.Running) / r.TokensPerSecond
		u.tokenGap = movingAverage(u.tokenGap, time.Duration(seconds*float64(time.Second)))
	}
}

// MarkLeaving records that the upstream accepts no new requests, as reported by the
// list or by a response.
func (u *Upstream) MarkLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Leaving reports whether the upstream accepts no new requests because it is leaving.
func (u *Upstream) Leaving() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leaving
}

// MarkReturned records that the upstream is back, or new, with cold caches, and starts
// its ramp.
func (u *Upstream) MarkReturned(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = false
	u.failures = 0
	u.nextAttempt = time.Time{}
	u.returnedAt = now
}

// movingAverage moves a moving average towards an observation; a zero average is
// replaced by it.
func movingAverage(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(smoothing*float64(observed-old))
}
