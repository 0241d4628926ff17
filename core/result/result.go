// Package result defines how an attempt or a whole request ended: its outcome, the
// step and the reason.
package result

import (
	"fmt"
	"time"
)

// Outcome states whether the call of an ended attempt ran. Its zero value is
// Unknown, so an outcome that was never set makes no unproven claim.
type Outcome uint8

const (
	// Unknown means that the call may have run, partly or completely.
	Unknown Outcome = iota
	// Done means that the complete answer was delivered to the caller or was
	// available to it.
	Done
	// NotRun means that provably no part of the call ran.
	NotRun
)

// String returns the text that callers receive: "unknown", "done" or "not-run".
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

// ParseOutcome parses the text that String returns. Any other text is Unknown.
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

// Step is the stage of the request path at which a request or an attempt ended.
type Step uint8

// The steps in the order in which a request passes through them.
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

// ParseStep parses the name that String returns. Any other text is StepNone.
func ParseStep(text string) Step {
	for i, name := range stepNames {
		if name == text {
			return Step(i)
		}
	}
	return StepNone
}

// Reason states why a request was refused, retried or abandoned. Each reason has a
// counter.
type Reason uint8

// The reasons, grouped by the step that sets them.
const (
	ReasonNone Reason = iota

	// Identify: the request itself is invalid.
	BadRequest
	UnknownWorkspace
	UnknownModel
	UnknownCall
	BodyTooLarge
	BodyTooSlow
	// Unauthorized means that the request has no key of a workspace.
	Unauthorized

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
	PoisonedPrompt
	PoisonedRequest
	Draining
	NotReady

	// Route and forward.
	NoUpstream
	StreamUnknown
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
	UpstreamChanged
	// AnswerMemory means that there was no memory for an answer while others held it.
	AnswerMemory

	// InternalError is a fault of this program, at any step.
	InternalError

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none",
	"bad-request", "unknown-workspace", "unknown-model", "unknown-call", "body-too-large", "body-too-slow", "unauthorized",
	"place-forbidden", "no-place-allowed",
	"deadline-passed", "caller-gone",
	"key-required", "key-malformed", "key-expired", "key-reused", "owner-gone", "owner-unreachable", "records-full", "answer-not-kept",
	"class-full", "workspace-limit", "overloaded", "poisoned-prompt", "poisoned-request", "draining", "not-ready",
	"no-upstream", "stream-unknown", "hop-limit", "older-table", "peer-unreachable", "peer-refused",
	"connect-failed", "upstream-refused", "upstream-failed", "upstream-leaving", "first-byte-timeout", "idle-timeout",
	"answer-too-large", "answer-cut", "answer-mismatch", "retry-budget", "upstream-status",
	"upstream-changed", "answer-memory",
	"internal-error",
}

// String returns the kebab-case name of the reason, as used in counters, logs
// and answers.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return reasonNames[ReasonNone]
}

// ParseReason parses the name that String returns. Any other text is ReasonNone.
func ParseReason(text string) Reason {
	for i, name := range reasonNames {
		if name == text {
			return Reason(i)
		}
	}
	return ReasonNone
}

// Reasons returns all reasons except ReasonNone, in order.
func Reasons() []Reason {
	list := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		list = append(list, r)
	}
	return list
}

// Failure is the error of a request or an attempt that did not receive a complete
// answer.
type Failure struct {
	// Outcome is never Done.
	Outcome Outcome
	Step    Step
	Reason  Reason
	// Peer is the id of the instance or upstream at which the failure occurred. It
	// is empty for a failure in this process.
	Peer string
	// RetryAfter is the delay after which the caller may retry; zero when a retry
	// is pointless.
	RetryAfter time.Duration
	// Cause may be nil. It never contains data of a workspace.
	Cause error
}

// Error returns the step, the reason, the outcome, the peer and the cause.
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
