// Package result says how an attempt, and with it a request, ended.
package result

import (
	"fmt"
	"time"
)

// Outcome is what is known about an attempt that has ended. Its zero value is
// Unknown, so that a forgotten outcome never claims more than is known.
type Outcome uint8

const (
	// Unknown means that the call may have run, in part or in whole.
	Unknown Outcome = iota
	// Done means that the caller has, or had at hand, the whole answer.
	Done
	// NotRun means that it is proved that no part of the call ran.
	NotRun
)

// String returns the form that callers see: "unknown", "done" or "not-run".
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// ParseOutcome reads what String writes; anything else is Unknown.
func ParseOutcome(text string) Outcome {
	switch text {
	case "done":
		return Done
	case "not-run":
		return NotRun
	default:
		return Unknown
	}
}

// Step is the part of the request path at which something ended.
type Step uint8

// The steps in the order in which a request meets them.
const (
	StepNone Step = iota
	StepIdentify
	StepResidency
	StepDeadline
	StepDedup
	StepAdmit
	StepRoute
	StepForward
	StepAttempt
	StepStream
)

var stepNames = [...]string{"none", "identify", "residency", "deadline", "dedup", "admit", "route", "forward", "attempt", "stream"}

// String returns the kebab-case name of the step.
func (s Step) String() string {
	if int(s) < len(stepNames) {
		return stepNames[s]
	}
	return "none"
}

// ParseStep reads what String writes; anything else is StepNone.
func ParseStep(text string) Step {
	for i, name := range stepNames {
		if name == text {
			return Step(i)
		}
	}
	return StepNone
}

// Reason says why a request was refused, retried or given up. Each has a counter.
type Reason uint8

// The reasons, grouped by the step that gives them.
const (
	ReasonNone Reason = iota

	// Identify: the request itself is at fault.
	BadRequest
	UnknownWorkspace
	UnknownModel
	UnknownCall
	BodyTooLarge
	BodyTooSlow

	// Residency.
	PlaceForbidden
	NoPlaceAllowed

	// Deadline.
	DeadlinePassed
	CallerGone

	// Dedup.
	KeyRequired
	KeyMalformed
	KeyExpired
	KeyReused
	OwnerGone
	OwnerUnreachable
	RecordsFull
	AnswerNotKept

	// Admit.
	ClassFull
	WorkspaceLimit
	Overloaded
	Draining
	NotReady

	// Route and forward.
	NoUpstream
	HopLimit
	OlderTable
	PeerUnreachable
	PeerRefused

	// Attempt and stream.
	ConnectFailed
	UpstreamRefused
	UpstreamFailed
	UpstreamLeaving
	FirstByteTimeout
	IdleTimeout
	AnswerTooLarge
	AnswerCut
	AnswerMismatch
	RetryBudget
	UpstreamStatus

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none",
	"bad-request", "unknown-workspace", "unknown-model", "unknown-call", "body-too-large", "body-too-slow",
	"place-forbidden", "no-place-allowed",
	"deadline-passed", "caller-gone",
	"key-required", "key-malformed", "key-expired", "key-reused", "owner-gone", "owner-unreachable", "records-full", "answer-not-kept",
	"class-full", "workspace-limit", "overloaded", "draining", "not-ready",
	"no-upstream", "hop-limit", "older-table", "peer-unreachable", "peer-refused",
	"connect-failed", "upstream-refused", "upstream-failed", "upstream-leaving", "first-byte-timeout", "idle-timeout",
	"answer-too-large", "answer-cut", "answer-mismatch", "retry-budget", "upstream-status",
}

// String returns the kebab-case name of the reason, as used in counters, logs
// and answers.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return reasonNames[ReasonNone]
}

// ParseReason reads what String writes; anything else is ReasonNone.
func ParseReason(text string) Reason {
	for i, name := range reasonNames {
		if name == text {
			return Reason(i)
		}
	}
	return ReasonNone
}

// Reasons returns every reason but ReasonNone, in order.
func Reasons() []Reason {
	list := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		list = append(list, r)
	}
	return list
}

// Failure is the error with which a request or an attempt ends when it is not
// answered in whole.
type Failure struct {
	// Outcome is never Done.
	Outcome Outcome
	Step    Step
	Reason  Reason
	// Peer is the id of the instance or upstream at which it arose; empty when it
	// arose here.
	Peer string
	// RetryAfter is when the caller may come back; zero when coming back is of no use.
	RetryAfter time.Duration
	// Cause may be nil. It never holds a workspace's data.
	Cause error
}

// Error gives the step, the peer and the reason, then the cause.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", f.Step, f.Reason, f.Outcome)
	if f.Peer != "" {
		text += " at " + f.Peer
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}
