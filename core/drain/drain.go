// Package drain holds the graceful shutdown of an entry instance as an explicit
// state, and the tracking of upstreams that are leaving. A planned stop cuts off
// no request: it lasts until the last request in flight has ended by itself or
// has met its own deadline.
package drain

import (
	"cmp"
	"time"
)

// Phase is how far the shutdown is. Phases never go back.
type Phase uint8

// The phases in their order.
const (
	// Serving takes all work. It is the phase of a zero Drain.
	Serving Phase = iota
	// Announced still takes new work, of callers that were told of this instance
	// just before.
	Announced
	// Refusing takes no new work and waits for keyed calls to end.
	Refusing
	// HandingOver waits for a successor to confirm the dedup records.
	HandingOver
	// Finishing waits for the remaining requests.
	Finishing
	// Exited means that Exit was given.
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

// Limits holds the waits of a shutdown. A zero field stands for its default.
type Limits struct {
	// AnnounceTime is how long new work is still taken after Stop. Default 3 s.
	AnnounceTime time.Duration
	// MaxKeyedWait is the longest wait for keyed calls to end before the records are
	// handed over. Default 10 s.
	MaxKeyedWait time.Duration
	// HandoverTimeout is the longest wait for a successor to confirm. Default 3 s.
	HandoverTimeout time.Duration
	// ReportAfter is how long after Stop the requests still in flight are reported.
	// Default 60 s.
	ReportAfter time.Duration
	// OverdueGrace is how long past the last deadline a request may still be counted
	// before it is taken for stuck. Default 10 s.
	OverdueGrace time.Duration
	// RetryAfter is what refused callers are told. Default 1 s.
	RetryAfter time.Duration
	// MaxHandoverAttempts bounds the handovers that are tried. Default 3.
	MaxHandoverAttempts int
}

// Defaults of Limits.
const (
	defaultAnnounce   = 3 * time.Second
	defaultKeyed      = 10 * time.Second
	defaultHandOver   = 3 * time.Second
	defaultExpected   = 60 * time.Second
	defaultOverdue    = 10 * time.Second
	defaultRetryAfter = time.Second
	defaultAttempts   = 3
)

// withDefaults replaces zero fields.
func (l Limits) withDefaults() Limits {
	l.AnnounceTime = cmp.Or(l.AnnounceTime, defaultAnnounce)
	l.MaxKeyedWait = cmp.Or(l.MaxKeyedWait, defaultKeyed)
	l.HandoverTimeout = cmp.Or(l.HandoverTimeout, defaultHandOver)
	l.ReportAfter = cmp.Or(l.ReportAfter, defaultExpected)
	l.OverdueGrace = cmp.Or(l.OverdueGrace, defaultOverdue)
	l.RetryAfter = cmp.Or(l.RetryAfter, defaultRetryAfter)
	l.MaxHandoverAttempts = cmp.Or(l.MaxHandoverAttempts, defaultAttempts)
	return l
}

// Drain is the shutdown of one instance. Its zero value serves, with the default
// limits. It needs neither the platform nor a peer to come to its end. It is not
// safe for concurrent use.
type Drain struct {
	// Limits is not changed after the first Step.
	Limits Limits

	phase  Phase
	flight InFlight
	// stopped is when Stop came; entered is when the phase began.
	stopped time.Time
	entered time.Time
	// hurried is set by a second Stop.
	hurried bool
	// reported is set once Report was given.
	reported bool
	// attempts counts the handovers, and doesn't exceed allowed; attempted is when
	// the latest began.
	attempts  int
	allowed   int
	attempted time.Time
	// partial says that keyed calls still ran at the latest handover, so that a
	// second one follows when they have ended.
	partial bool
}

// Phase returns how far the shutdown is.
func (d *Drain) Phase() Phase {
	return d.phase
}

// AcceptsNew reports whether new requests are taken.
func (d *Drain) AcceptsNew() bool {
	return d.phase <= Announced
}

// Step takes in one event and returns what to do. Time passes with every event,
// so that an instance that was frozen catches up in one step.
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
		return []Action{Exit{Cut: d.flight.Requests}}
	case InFlight:
		d.flight = e
	case HandoverResult:
		actions = d.handedOver(now, e)
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

// stop begins the shutdown, or hurries it on.
func (d *Drain) stop(now time.Time) []Action {
	if d.phase != Serving {
		d.hurried = true
		return nil
	}
	d.stopped = now
	d.enter(now, Announced)
	return []Action{Announce{}}
}

// enter begins a phase.
func (d *Drain) enter(now time.Time, p Phase) {
	d.phase = p
	d.entered = now
}

// waited reports whether the phase has lasted for its longest time.
func (d *Drain) waited(now time.Time, limit time.Duration) bool {
	return d.hurried || now.Sub(d.entered) >= limit
}

// advance moves on by at most one phase.
func (d *Drain) advance(now time.Time, l Limits) []Action {
	switch d.phase {
	case Announced:
		if !d.waited(now, l.AnnounceTime) {
			return nil
		}
		d.enter(now, Refusing)
		return []Action{RefuseNew{RetryAfter: l.RetryAfter}}
	case Refusing:
		if d.flight.Keyed > 0 && !d.waited(now, l.MaxKeyedWait) {
			return d.report(now, l)
		}
		return d.startHandOver(now, l)
	case HandingOver:
		if now.Sub(d.attempted) < l.HandoverTimeout {
			return d.report(now, l)
		}
		return d.handedOver(now, HandoverResult{Attempt: d.attempts})
	case Finishing:
		return append(d.report(now, l), d.finish(now, l)...)
	default:
		return nil
	}
}

// startHandOver begins a round of attempts.
func (d *Drain) startHandOver(now time.Time, l Limits) []Action {
	d.enter(now, HandingOver)
	d.allowed = d.attempts + l.MaxHandoverAttempts
	if d.hurried {
		d.allowed = d.attempts + 1
	}
	return d.handOver(now)
}

// handOver starts one attempt.
func (d *Drain) handOver(now time.Time) []Action {
	d.attempts++
	d.attempted = now
	d.partial = d.flight.Keyed > 0
	return []Action{HandOver{Attempt: d.attempts}}
}

// handedOver ends one attempt, and starts another one when it failed.
func (d *Drain) handedOver(now time.Time, e HandoverResult) []Action {
	if d.phase != HandingOver || e.Attempt != d.attempts {
		return nil
	}
	if !e.Complete && d.attempts < d.allowed && !d.hurried {
		return d.handOver(now)
	}
	// What has not been confirmed is unknown to later callers; nothing runs twice.
	d.enter(now, Finishing)
	return nil
}

// finish ends the process when nothing is left, and hands the records over again
// when keyed calls have ended since.
func (d *Drain) finish(now time.Time, l Limits) []Action {
	if d.partial && d.flight.Keyed == 0 {
		return d.startHandOver(now, l)
	}
	if d.flight.Requests > 0 && !d.flight.overdue(now, l.OverdueGrace) {
		return nil
	}
	d.enter(now, Exited)
	return []Action{Exit{Cut: d.flight.Requests}}
}

// overdue reports whether every request in flight is past its own deadline by the
// given time.
func (f InFlight) overdue(now time.Time, by time.Duration) bool {
	return !f.LastDeadline.IsZero() && now.Sub(f.LastDeadline) >= by
}

// report tells once that requests outlast the expected time.
func (d *Drain) report(now time.Time, l Limits) []Action {
	if d.reported || d.flight.Requests == 0 || now.Sub(d.stopped) < l.ReportAfter {
		return nil
	}
	d.reported = true
	return []Action{Report{Requests: d.flight.Requests, LastDeadline: d.flight.LastDeadline}}
}
