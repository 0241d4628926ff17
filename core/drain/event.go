package drain

import "time"

// Event is an input of a Drain: Stop, Abort, InFlight, HandoverResult or Tick.
type Event interface {
	event()
}

// Stop requests a graceful shutdown, by signal or by an operator's command. A
// second Stop ends the announcement and the wait for keyed calls, limits the
// handover to one attempt, and still interrupts no request.
type Stop struct{}

// Abort requests an immediate end, regardless of requests in flight.
type Abort struct{}

// InFlight describes the requests in flight in this instance. It is sent whenever
// they change during the drain.
type InFlight struct {
	// Requests counts the requests in flight, keyed ones included.
	Requests int
	// Keyed counts the running keyed calls that this instance owns.
	Keyed int
	// LastDeadline is the latest deadline of the requests; zero if there are none.
	LastDeadline time.Time
}

// HandoverResult is the result of a HandOver. It is ignored for all but the latest
// attempt.
type HandoverResult struct {
	// Attempt is the attempt number of the HandOver.
	Attempt int
	// Complete means that a successor confirmed all records.
	Complete bool
}

// Tick advances time.
type Tick struct{}

func (Stop) event()           {}
func (Abort) event()          {}
func (InFlight) event()       {}
func (HandoverResult) event() {}
func (Tick) event()           {}

// Action is an output of a Drain: Announce, RefuseNew, HandOver, Report or Exit.
type Action interface {
	action()
}

// Announce requests that this instance is no longer returned to callers that look
// up an instance, and that the peers are notified that it is leaving.
type Announce struct{}

// RefuseNew requests that new requests are refused as not run.
type RefuseNew struct {
	// RetryAfter is the delay after which the caller may try another instance.
	RetryAfter time.Duration
}

// HandOver requests that the dedup records are exported to a successor.
type HandOver struct {
	// Attempt counts from 1 over the whole shutdown. A later attempt uses another
	// successor if there is one.
	Attempt int
}

// Report requests that the requests in flight longer than expected are logged.
type Report struct {
	Requests     int
	LastDeadline time.Time
}

// Exit requests that all connections are closed and the process ends.
type Exit struct {
	// Cut counts the interrupted requests. It is 0 unless the drain was aborted or a
	// request exceeded its own deadline.
	Cut int
}

func (Announce) action()  {}
func (RefuseNew) action() {}
func (HandOver) action()  {}
func (Report) action()    {}
func (Exit) action()      {}
