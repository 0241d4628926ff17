package order

import (
	"time"

	"arbutustrestle/core/ident"
)

// Event is something that an orderer has to know: List, Engine, Removed, Answered
// or Tick.
type Event interface {
	event()
}

// InstanceList is the published list of entries, as far as it concerns this region.
type InstanceList struct {
	// Revision is the platform's revision of the list; it is the fencing number.
	Revision ident.Revision
	// Live holds the live entries of the region, this one included.
	Live []ident.Instance
	// AsOf is when the read that returned or confirmed the list was started, on this
	// instance's clock. A list handed on by a peer carries that peer's age of it.
	AsOf time.Time
}

// EngineStatus is what is known of one engine of the region.
type EngineStatus struct {
	Upstream ident.Upstream
	// ChecksOrders says that the engine refuses an order with a lower fencing number than
	// the highest one that it has seen.
	ChecksOrders bool
	// Wanted holds the model@version names that the table wants loaded, sorted. None
	// means that no row speaks of the engine; it is then left as it is.
	Wanted []string
	// Loaded holds those that the engine reports, sorted.
	Loaded []string
	// HighestFence is the highest fencing number that the engine reports; zero from
	// one that keeps none.
	HighestFence ident.Revision
	// AsOf is when the report was asked for, on this instance's clock.
	AsOf time.Time
}

// Removed says that the region has no such engine any more.
type Removed struct {
	Upstream ident.Upstream
}

// Result says how one Send ended.
type Result struct {
	Upstream ident.Upstream
	// Fence is that of the Send.
	Fence ident.Revision
	// Accepted says that the engine took the order.
	Accepted bool
	// HighestFence is set when the engine refused the order for a higher number.
	HighestFence ident.Revision
}

// Tick lets time pass. It comes at least once a second.
type Tick struct{}

func (InstanceList) event() {}
func (EngineStatus) event() {}
func (Removed) event()      {}
func (Result) event()       {}
func (Tick) event()         {}

// Action is something to do: Send, Hold or Refresh.
type Action interface {
	action()
}

// Send tells to send an order, once.
type Send struct {
	Upstream ident.Upstream
	Fence    ident.Revision
	Wanted   []string
	// SendBy is the time after which the order must not be written any more. The
	// sender compares it with the clock as the last thing before it writes, and sets
	// it as the deadline of the connection.
	SendBy time.Time
}

// Hold tells that an order is due and why it isn't sent. It is given once for each
// reason in a row.
type Hold struct {
	Upstream ident.Upstream
	Reason   HoldReason
}

// Refresh tells to read the list of entries from the platform itself, now.
type Refresh struct{}

func (Send) action()    {}
func (Hold) action()    {}
func (Refresh) action() {}

// HoldReason says why an order that is due isn't sent.
type HoldReason uint8

// The reasons.
const (
	// NotHeld is due, or it is being sent.
	NotHeld HoldReason = iota
	// ListStale means that the list is too old for an engine that checks no orders.
	ListStale
	// Paused means that this process stood still, and that no list was read since.
	Paused
	// ReportStale means that the engine's report is too old.
	ReportStale
	// HigherFence means that the engine has seen a later list than this instance.
	HigherFence
	// TakingOver means that an earlier orderer may not have stopped yet.
	TakingOver
	// LoadLimit means that as many engines load as may do so at once.
	LoadLimit
	// Retrying means that the latest order failed, or has not had its effect in time.
	Retrying
)

var holdReasonNames = [...]string{"nothing", "list-stale", "paused", "report-stale", "higher-fence", "taking-over", "load-limit", "retrying"}

// String returns the kebab-case name.
func (r HoldReason) String() string {
	if int(r) < len(holdReasonNames) {
		return holdReasonNames[r]
	}
	return holdReasonNames[NotHeld]
}
