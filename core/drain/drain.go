// Package drain implements the graceful shutdown of an instance as a state machine,
// and tracks upstreams that are leaving. A planned stop interrupts no request: it
// lasts until the last request in flight has ended or reached its own deadline.
package drain

import (
	"cmp"
	"time"
)

// Phase is the phase of a shutdown. Phases advance in order, except that a repeated
// handover returns from Finishing to HandingOver and Abort leads to Exited.
type Phase uint8

// The phases in their order.
const (
	// Serving accepts all requests. It is the phase of a zero Drain.
	Serving Phase = iota
	// Announced still accepts new requests, from callers that were directed to this
	// instance before the announcement.
	Announced
	// Refusing accepts no new requests and waits for keyed calls to end.
	Refusing
	// HandingOver waits for a successor to confirm the dedup records.
	HandingOver
	// Finishing waits for the remaining requests.
	Finishing
	// Exited means that Exit was returned.
	Exited
)

var phaseNames = [...]string{"serving", "announced", "refusing", "handing-over", "finishing", "gone"}

// String returns the kebab-case name of the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return phaseNames[Exited]
}

// Limits holds the time limits of a shutdown. A zero field means its default.
type Limits struct {
	// AnnounceTime is how long new requests are still accepted after Stop. Default 3 s.
	AnnounceTime time.Duration
	// MaxKeyedWait is the maximum wait for keyed calls to end before the records are
	// handed over. Default 10 s.
	MaxKeyedWait time.Duration
	// HandoverTimeout is the maximum wait for a successor to confirm one handover.
	// Default 3 s.
	HandoverTimeout time.Duration
	// ReportAfter is the time after Stop at which requests still in flight are
	// reported. Default 60 s.
	ReportAfter time.Duration
	// OverdueGrace is the time after the last deadline at which requests still in
	// flight are considered stuck. Default 10 s.
	OverdueGrace time.Duration
	// RetryAfter is the delay sent to refused callers. Default 1 s.
	RetryAfter time.Duration
	// MaxHandoverAttempts is the maximum number of handover attempts in a row.
	// Default 3.
	MaxHandoverAttempts int
}

// Defaults of Limits.
const (
	defaultAnnounceTime        = 3 * time.Second
	defaultMaxKeyedWait        = 10 * time.Second
	defaultHandoverTimeout     = 3 * time.Second
	defaultReportAfter         = 60 * time.Second
	defaultOverdueGrace        = 10 * time.Second
	defaultRetryAfter          = time.Second
	defaultMaxHandoverAttempts = 3
)

// withDefaults replaces zero fields by their defaults.
func (l Limits) withDefaults() Limits {
	l.AnnounceTime = cmp.Or(l.AnnounceTime, defaultAnnounceTime)
	l.MaxKeyedWait = cmp.Or(l.MaxKeyedWait, defaultMaxKeyedWait)
	l.HandoverTimeout = cmp.Or(l.HandoverTimeout, defaultHandoverTimeout)
	l.ReportAfter = cmp.Or(l.ReportAfter, defaultReportAfter)
	l.OverdueGrace = cmp.Or(l.OverdueGrace, defaultOverdueGrace)
	l.RetryAfter = cmp.Or(l.RetryAfter, defaultRetryAfter)
	l.MaxHandoverAttempts = cmp.Or(l.MaxHandoverAttempts, defaultMaxHandoverAttempts)
	return l
}

// Drain is the state of one instance's shutdown. Its zero value is in phase Serving
// with the default limits. It ends even if the platform and all peers are
// unavailable. It is not safe for concurrent use.
type Drain struct {
	// Limits must not be changed after the first Step.
	Limits Limits

	phase    Phase
	inFlight InFlight
	// stoppedAt is the time of the first Stop; phaseStart is the start of the phase.
	stoppedAt  time.Time
	phaseStart time.Time
	// expedited is set by a second Stop.
	expedited bool
	// reported is set once Report was returned.
	reported bool
	// attempts counts the handover attempts and is at most maxAttempts; attemptStart
	// is the start of the latest one.
	attempts     int
	maxAttempts  int
	attemptStart time.Time
	// keyedRemained means that keyed calls were still running at the latest handover,
	// so that another handover follows when they have ended.
	keyedRemained bool
}

// Phase returns the current phase.
func (d *Drain) Phase() Phase {
	return d.phase
}

// AcceptsNew reports whether new requests are accepted.
func (d *Drain) AcceptsNew() bool {
	return d.phase <= Announced
}

// Step handles one event and returns the actions to perform. Every event advances
// time, so that an instance that was frozen catches up in one step.
func (d *Drain) Step(now time.Time, e Event) []Action {
	limits := d.Limits.withDefaults()
	if d.phase == Exited {
		return nil
	}
	var actions []Action
	switch e := e.(type) {
	case Stop:
		actions = d.stop(now)
	case Abort:
		d.phase = Exited
		return []Action{Exit{Cut: d.inFlight.Requests}}
	case InFlight:
		d.inFlight = e
	case HandoverResult:
		actions = d.endAttempt(now, e)
	case Tick:
	}
	for {
		before := d.phase
		actions = append(actions, d.advance(now, limits)...)
		if d.phase == before {
			return actions
		}
	}
}

// stop starts the shutdown, or shortens its waits if it has started.
func (d *Drain) stop(now time.Time) []Action {
	if d.phase != Serving {
		d.expedited = true
		return nil
	}
	d.stoppedAt = now
	d.setPhase(now, Announced)
	return []Action{Announce{}}
}

// setPhase starts a phase.
func (d *Drain) setPhase(now time.Time, p Phase) {
	d.phase = p
	d.phaseStart = now
}

// waitOver reports whether the phase has reached its time limit.
func (d *Drain) waitOver(now time.Time, limit time.Duration) bool {
	return d.expedited || now.Sub(d.phaseStart) >= limit
}

// advance makes at most one phase transition.
func (d *Drain) advance(now time.Time, l Limits) []Action {
	switch d.phase {
	case Announced:
		if !d.waitOver(now, l.AnnounceTime) {
			return nil
		}
		d.setPhase(now, Refusing)
		return []Action{RefuseNew{RetryAfter: l.RetryAfter}}
	case Refusing:
		if d.inFlight.Keyed > 0 && !d.waitOver(now, l.MaxKeyedWait) {
			return d.report(now, l)
		}
		return d.startHandover(now, l)
	case HandingOver:
		if now.Sub(d.attemptStart) < l.HandoverTimeout {
			return d.report(now, l)
		}
		return d.endAttempt(now, HandoverResult{Attempt: d.attempts})
	case Finishing:
		return append(d.report(now, l), d.finish(now, l)...)
	default:
		return nil
	}
}

// startHandover starts a series of handover attempts.
func (d *Drain) startHandover(now time.Time, l Limits) []Action {
	d.setPhase(now, HandingOver)
	d.maxAttempts = d.attempts + l.MaxHandoverAttempts
	if d.expedited {
		d.maxAttempts = d.attempts + 1
	}
	return d.startAttempt(now)
}

// startAttempt starts one handover attempt.
func (d *Drain) startAttempt(now time.Time) []Action {
	d.attempts++
	d.attemptStart = now
	d.keyedRemained = d.inFlight.Keyed > 0
	return []Action{HandOver{Attempt: d.attempts}}
}

// endAttempt ends a handover attempt and starts another one if it failed.
func (d *Drain) endAttempt(now time.Time, e HandoverResult) []Action {
	if d.phase != HandingOver || e.Attempt != d.attempts {
		return nil
	}
	if !e.Complete && d.attempts < d.maxAttempts && !d.expedited {
		return d.startAttempt(now)
	}
	// The outcome of calls whose records were not confirmed is unknown to later
	// callers; no call runs twice.
	d.setPhase(now, Finishing)
	return nil
}

// finish returns Exit if no request is left or all are stuck, and hands the records
// over again if keyed calls have ended since the latest handover.
func (d *Drain) finish(now time.Time, l Limits) []Action {
	if d.keyedRemained && d.inFlight.Keyed == 0 {
		return d.startHandover(now, l)
	}
	if d.inFlight.Requests > 0 && !d.inFlight.overdue(now, l.OverdueGrace) {
		return nil
	}
	d.setPhase(now, Exited)
	return []Action{Exit{Cut: d.inFlight.Requests}}
}

// overdue reports whether every request in flight has exceeded its own deadline by
// the grace period.
func (f InFlight) overdue(now time.Time, grace time.Duration) bool {
	return !f.LastDeadline.IsZero() && now.Sub(f.LastDeadline) >= grace
}

// report returns Report once, if requests are still in flight after ReportAfter.
func (d *Drain) report(now time.Time, l Limits) []Action {
	if d.reported || d.inFlight.Requests == 0 || now.Sub(d.stoppedAt) < l.ReportAfter {
		return nil
	}
	d.reported = true
	return []Action{Report{Requests: d.inFlight.Requests, LastDeadline: d.inFlight.LastDeadline}}
}
