package table

import (
	"time"

	"arbutustrestle/core/ident"
)

// Class groups requests by the kind of answer that their callers expect. Its zero
// value matches every class and appears only in rows, never on a request.
type Class uint8

// The classes of requests.
const (
	// AnyClass in a traffic row covers each class without a row of its own.
	AnyClass Class = iota
	// Quick is a short request whose answer is useful only if it is immediate.
	Quick
	// Plan is a request with a long streamed answer.
	Plan
	// Session is a long exchange that must finish even if it is slow.
	Session
	// ServiceCall is a call to a plain service.
	ServiceCall

	// ClassCount is the length of arrays indexed by Class.
	ClassCount
)

var classNames = [ClassCount]string{"any", "quick", "plan", "session", "service"}

// String returns the value used in the traffic sheet and the Request-Class header.
func (c Class) String() string {
	if c < ClassCount {
		return classNames[c]
	}
	return classNames[AnyClass]
}

// ParseClass parses the output of String and reports whether text is a class.
func ParseClass(text string) (Class, bool) {
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return AnyClass, false
}

// PoolKind is the kind of replicas in a pool.
type PoolKind uint8

// The kinds of pools.
const (
	// Engine replicas run models.
	Engine PoolKind = iota
	// PlainService replicas handle the calls of one service.
	PlainService
)

// String returns the value used in the pools sheet.
func (k PoolKind) String() string {
	if k == PlainService {
		return "service"
	}
	return "engine"
}

// ZoneRow assigns an availability zone to a region.
type ZoneRow struct {
	Zone   ident.Zone
	Region ident.Region
}

// TrafficRow sets the weight of one version among the versions that serve a model.
type TrafficRow struct {
	Model ident.Model
	// Class is AnyClass, Quick, Plan or Session.
	Class   Class
	Version ident.Version
	// Weight is at least 0; at least one weight of a model and class is above 0.
	Weight int
}

// ShareRow limits the traffic that one region may send to another.
type ShareRow struct {
	From, To ident.Region
	// MaxPercent is the maximum percentage of From's requests sent to To, 0 to 100.
	MaxPercent int
	// Cost is added to the projected wait in To before it is compared with the
	// wait in From. It is at least 0.
	Cost time.Duration
}

// WorkspaceRow defines where the data of a workspace may be and its usage limits.
type WorkspaceRow struct {
	Workspace ident.Workspace
	// Home is the preferred region of the workspace. It is one of Regions or contains
	// one of Zones.
	Home ident.Region
	// Regions holds the regions in which all zones are allowed.
	Regions []ident.Region
	// Zones holds the availability zones allowed in addition to Regions.
	Zones []ident.Zone
	// RequestsPerSecond is the limit over all instances; 0 means no limit.
	RequestsPerSecond float64
	// InFlight is the maximum number of requests in flight over all instances; 0
	// means no limit.
	InFlight int
	// TokensPerSecond is the limit over all instances; 0 means no limit.
	TokensPerSecond float64
}

// ModelVersion is one version of one model, written "model@version".
type ModelVersion struct {
	Model   ident.Model
	Version ident.Version
}

// PoolRow describes a pool of identical replicas.
type PoolRow struct {
	Pool string
	Kind PoolKind
	// Models lists the model versions that an engine may be ordered to load; empty
	// for a plain service.
	Models []ModelVersion
	// Service is the plain service that the replicas run; empty for an engine.
	Service ident.Service
	// Slots is the number of concurrent requests of one replica, at least 1.
	Slots int
	// ChecksOrders means that the engine refuses orders with an old fencing number.
	ChecksOrders bool
}

// CallRow defines how matching calls of a plain service may be treated.
type CallRow struct {
	Service ident.Service
	// Method is an HTTP method in upper case, or AnyMethod.
	Method string
	// Path begins with a slash. It covers itself and all paths below it.
	Path string
	// Repeatable means that the call is idempotent: running it more than once does no
	// harm.
	Repeatable bool
	// Timeout applies to each attempt.
	Timeout time.Duration
}

// AnyMethod in a calls row covers each method without a row for the same path.
const AnyMethod = "any"

// WeightedVersion is a version with its weight.
type WeightedVersion struct {
	Version ident.Version
	// Weight is at least 1.
	Weight int
}
