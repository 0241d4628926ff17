package order

import (
	"time"

	"arbutustrestle/core/ident"
)

// Event is an input of an Orderer: InstanceList, EngineStatus, Removed, Result or
// Tick.
type Event interface {
	event()
}

// InstanceList is the part of the published list of instances that concerns this
// region.
type InstanceList struct {
	// Revision is the platform's revision of the list, used as the fencing number.
	Revision ident.Revision
	// Live holds the live instances of the region, including this one.
	Live []ident.Instance
	// AsOf is the start of the read that returned or confirmed the list, by this
	// instance's clock. For a list forwarded by a peer it includes the age of the list
	// at that peer.
	AsOf time.Time
}

// EngineStatus is the latest information about one engine of the region.
type EngineStatus struct {
	Upstream ident.Upstream
	// ChecksOrders means that the engine refuses an order whose fencing number is lower
	// than the highest one that it has received.
	ChecksOrders bool
	// Wanted holds the sorted model@version names that the table assigns to the
	// engine. If it is empty, the table has no row for the engine, which is then left
	// unchanged.
	Wanted []string
	// Loaded holds the sorted model@version names that the engine reports.
	Loaded []string
	// HighestFence is the highest fencing number that the engine reports; zero if it
	// stores none.
	HighestFence ident.Revision
	// AsOf is when the report was requested, by this instance's clock.
	AsOf time.Time
}

// Removed means that the engine is no longer in the region.
type Removed struct {
	Upstream ident.Upstream
}

// Result is the result of one Send.
type Result struct {
	Upstream ident.Upstream
	// Fence is the fencing number of the Send.
	Fence ident.Revision
	// Accepted means that the engine accepted the order.
	Accepted bool
	// HighestFence is set if the engine refused the order because it has received a
	// higher fencing number.
	HighestFence ident.Revision
}

// Tick advances time. It must be sent at least once a second.
type Tick struct{}

func (InstanceList) event() {}
func (EngineStatus) event() {}
func (Removed) event()      {}
func (Result) event()       {}
func (Tick) event()         {}

// Action is an output of an Orderer: Send, Hold or Refresh.
type Action interface {
	action()
}

// Send requests that an order be sent once.
type Send struct {
	Upstream ident.Upstream
	Fence    ident.Revision
	Wanted   []string
	// SendBy is the time after which the order must not be written. The sender
	// compares it with the clock immediately before the write and sets it as the
	// deadline of the connection.
	SendBy time.Time
}

// Hold reports that an order is due and the reason why it is not sent. It is
// returned once while the reason stays the same.
type Hold struct {
	Upstream ident.Upstream
	Reason   HoldReason
}

// Refresh requests an immediate read of the list of instances from the platform
// itself, not from a peer.
type Refresh struct{}

func (Send) action()    {}
func (Hold) action()    {}
func (Refresh) action() {}

// HoldReason is the reason why an order that is due is not sent.
type HoldReason uint8

// The reasons.
const (
	// NotHeld means that no order is due or that it is being sent.
	NotHeld HoldReason = iota
	// ListStale means that the list is too old to order an engine that does not check
	// fencing numbers.
	ListStale
	// Paused means that this process was paused and has not read the list since.
	Paused
	// ReportStale means that the engine's report is too old.
	ReportStale
	// HigherFence means that the engine has received an order based on a later list
	// than this instance has.
	HigherFence
	// TakingOver means that a previous orderer may still send orders.
	TakingOver
	// LoadLimit means that Limits.MaxLoads engines are loading.
	LoadLimit
	// Retrying means that the latest order failed or took no effect in time, and that
	// RetryDelay has not passed.
	Retrying
)

var holdReasonNames = [...]string{"nothing", "list-stale", "paused", "report-stale", "higher-fence", "taking-over", "load-limit", "retrying"}

// String returns the kebab-case name of the reason.
func (r HoldReason) String() string {
	if int(r) < len(holdReasonNames) {
		return holdReasonNames[r]
	}
	return holdReasonNames[NotHeld]
}
