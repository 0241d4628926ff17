package drain

import "time"

// Event is something that the drain has to know: Stop, Abort, Flight, HandedOver
// or Tick.
type Event interface {
	event()
}

// Stop asks for a graceful shutdown, by signal or by an operator's command. A
// second one ends the waits of the announcement and for keyed calls, leaves the
// handover one attempt, and still cuts off nothing.
type Stop struct{}

// Abort asks to end at once, whatever is in flight.
type Abort struct{}

// InFlight says what runs in this instance. It is sent whenever it changes while
// the instance drains.
type InFlight struct {
	// Requests counts the requests in flight, keyed ones included.
	Requests int
	// Keyed counts the keyed calls that this instance owns and that still run.
	Keyed int
	// LastDeadline is the latest deadline among them; zero when there are none.
	LastDeadline time.Time
}

// HandoverResult says how a HandOver ended. It is without effect for any attempt but
// the latest.
type HandoverResult struct {
	// Attempt is that of the HandOver.
	Attempt int
	// Complete says that a successor confirmed all records.
	Complete bool
}

// Tick lets time pass.
type Tick struct{}

func (Stop) event()           {}
func (Abort) event()          {}
func (InFlight) event()       {}
func (HandoverResult) event() {}
func (Tick) event()           {}

// Action is something to do: Announce, RefuseNew, HandOver, Report or Exit.
type Action interface {
	action()
}

// Announce tells to leave the answers to "which entry" and to tell the peers that
// this instance is leaving.
type Announce struct{}

// RefuseNew tells to refuse new requests as not run.
type RefuseNew struct {
	// RetryAfter is when the caller may try another instance.
	RetryAfter time.Duration
}

// HandOver tells to export the dedup records to a successor.
type HandOver struct {
	// Attempt counts from one over the whole shutdown; a later attempt goes to
	// another successor where there is one.
	Attempt int
}

// Report tells to log the requests that outlast the expected time.
type Report struct {
	Requests     int
	LastDeadline time.Time
}

// Exit tells to close everything and to end the process.
type Exit struct {
	// Cut counts the requests that are cut off: none, unless the drain was aborted
	// or a request outlived its own deadline.
	Cut int
}

func (Announce) action()  {}
func (RefuseNew) action() {}
func (HandOver) action()  {}
func (Report) action()    {}
func (Exit) action()      {}
