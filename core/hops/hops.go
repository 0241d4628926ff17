// Package hops limits the path of a request between instances: it visits no instance
// twice, and no more instances than the hop limit, and no instance decides on it by an
// older table than the sender's. Each hop decides from the request's via list and from
// its own state alone, so that the limits hold even if the instances have different
// views.
package hops

import (
	"slices"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Via lists the instances and regions that a request has passed through, oldest first.
// Its zero value stands for a request that comes directly from a caller. It is
// immutable.
type Via struct {
	Instances []ident.Instance
	Regions   []ident.Region
}

// Forwarded reports whether the request came from another instance.
func (v Via) Forwarded() bool {
	return len(v.Instances) > 0
}

// Append returns the list that a request carries after an instance forwards it.
func (v Via) Append(self ident.Instance, region ident.Region) Via {
	return Via{
		Instances: append(slices.Clone(v.Instances), self),
		Regions:   append(slices.Clone(v.Regions), region),
	}
}

// LocalState is the state of an instance at which a forwarded request arrives.
type LocalState struct {
	Instance ident.Instance
	// TableRevision is the revision of the active table; zero if there is none.
	TableRevision ident.Revision
	// MaxHops is the table's limit on the number of forwards.
	MaxHops int
}

// CheckArrival decides whether an instance accepts a forwarded request whose sender
// used a table of the given revision. It returns nil, or a failure with the outcome
// NotRun and one of the reasons HopLimit, NotReady and OlderTable.
func (v Via) CheckArrival(local LocalState, senderRevision ident.Revision) *result.Failure {
	switch {
	case local.TableRevision == 0:
		return refuse(result.NotReady)
	case slices.Contains(v.Instances, local.Instance) || len(v.Instances) > local.MaxHops:
		return refuse(result.HopLimit)
	case senderRevision > local.TableRevision:
		return refuse(result.OlderTable)
	default:
		return nil
	}
}

func refuse(reason result.Reason) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: result.StepForward, Reason: reason}
}
