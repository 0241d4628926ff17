package table

import (
	"time"

	"arbutustrestle/core/ident"
)

// Class groups requests by what their callers wait for. Its zero value stands
// for every class and appears in rows only, never on a request.
type Class uint8

// The classes of requests.
const (
	// AnyClass in a traffic row covers each class that has no row of its own.
	AnyClass Class = iota
	// Quick is a short question that is of use only when answered at once.
	Quick
	// Plan is a long streamed answer.
	Plan
	// Session is a long exchange that has to finish even when it is slow.
	Session
	// ServiceCall is a call to a plain service.
	ServiceCall

	// ClassCount is the length of arrays indexed by Class.
	ClassCount
)

var classNames = [ClassCount]string{"any", "quick", "plan", "session", "service"}

// String returns the word used in the traffic sheet and the Request-Class header.
func (c Class) String() string {
	if c < ClassCount {
		return classNames[c]
	}
	return classNames[AnyClass]
}

// ParseClass reads what String writes, and reports whether it is a class.
func ParseClass(text string) (Class, bool) {
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return AnyClass, false
}

// PoolKind tells what the replicas of a pool are.
type PoolKind uint8

// The kinds of pools.
const (
	// Engine replicas run models.
	Engine PoolKind = iota
	// PlainService replicas answer the calls of one service.
	PlainService
)

// String returns the word used in the pools sheet.
func (k PoolKind) String() string {
	if k == PlainService {
		return "service"
	}
	return "engine"
}

// ZoneRow places an availability zone in a region.
type ZoneRow struct {
	Zone   ident.Zone
	Region ident.Region
}

// TrafficRow gives one version its weight among the versions that serve a model.
type TrafficRow struct {
	Model ident.Model
	// Class is AnyClass, Quick, Plan or Session.
	Class   Class
	Version ident.Version
	// Weight is at least 0; the weights of one model and class are not all 0.
	Weight int
}

// ShareRow limits what one region may send to another.
type ShareRow struct {
	From, To ident.Region
	// MaxPercent is the share of From's requests that may be sent to To, 0 to 100.
	MaxPercent int
	// Cost is added to the projected wait in To before it is compared with the
	// wait in From. It is at least 0.
	Cost time.Duration
}

// WorkspaceRow says where a workspace's data may be and how much it may use.
type WorkspaceRow struct {
	Workspace ident.Workspace
	// Home is the region that serves the workspace first. It is one of Regions, or
	// one of Zones lies in it.
	Home ident.Region
	// Regions are the regions that are allowed as a whole.
	Regions []ident.Region
	// Zones are the single availability zones that are allowed besides.
	Zones []ident.Zone
	// RequestsPerSecond over all instances; 0 means no limit.
	RequestsPerSecond float64
	// InFlight is the number of unanswered requests over all instances; 0 means no limit.
	InFlight int
	// TokensPerSecond over all instances; 0 means no limit.
	TokensPerSecond float64
}

// ModelVersion is one version of one model, written "model@version".
type ModelVersion struct {
	Model   ident.Model
	Version ident.Version
}

// PoolRow describes replicas that are alike.
type PoolRow struct {
	Pool string
	Kind PoolKind
	// Models is what an engine may be asked to load; empty for a plain service.
	Models []ModelVersion
	// Service is what a plain service answers; empty for an engine.
	Service ident.Service
	// Slots is the number of requests that one replica runs at a time, at least 1.
	Slots int
	// ChecksOrders tells that an engine refuses an order with an old fencing number.
	ChecksOrders bool
}

// CallRow says how the calls of a plain service may be treated.
type CallRow struct {
	Service ident.Service
	// Method is an HTTP method in upper case, or AnyMethod.
	Method string
	// Path begins with a slash. It covers itself and everything below it.
	Path string
	// Repeatable tells that the call may run more than once without harm.
	Repeatable bool
	// Timeout bounds one attempt.
	Timeout time.Duration
}

// AnyMethod in a calls row covers each method that has no row for the same path.
const AnyMethod = "any"

// WeightedVersion is a version with its weight.
type WeightedVersion struct {
	Version ident.Version
	// Weight is at least 1.
	Weight int
}
