// Package hops bounds the way of a request between entry instances: it passes no
// instance twice, no more instances than its bound, and is not decided on an older
// table than the one that it was sent by. Each hop decides from what the request
// carries and from its own state alone, so that the bound holds whatever the
// instances believe of each other.
package hops

import (
	"slices"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// Via says where a request has been, oldest first. Its zero value is that of a
// caller's own request. It is immutable.
type Via struct {
	Instances []ident.Instance
	Regions   []ident.Region
}

// Forwarded reports whether the request came from another instance.
func (v Via) Forwarded() bool {
	return len(v.Instances) > 0
}

// Append returns the list that a request carries when an instance sends it on.
func (v Via) Append(self ident.Instance, region ident.Region) Via {
	return Via{
		Instances: append(slices.Clone(v.Instances), self),
		Regions:   append(slices.Clone(v.Regions), region),
	}
}

// LocalState is what an instance knows when a forwarded request arrives.
type LocalState struct {
	Instance ident.Instance
	// TableRevision is the revision in force; zero when there is none.
	TableRevision ident.Revision
	// MaxHops is the table's bound of forwards.
	MaxHops int
}

// CheckArrival decides whether an instance takes a forwarded request that was sent by a
// table of the given revision. It returns nil, or a failure with the outcome NotRun
// and one of the reasons HopLimit, NotReady and OlderTable.
func (v Via) CheckArrival(here LocalState, sentBy ident.Revision) *result.Failure {
	switch {
	case here.TableRevision == 0:
		return refuse(result.NotReady)
	case slices.Contains(v.Instances, here.Instance) || len(v.Instances) > here.MaxHops:
		return refuse(result.HopLimit)
	case sentBy > here.TableRevision:
		return refuse(result.OlderTable)
	default:
		return nil
	}
}

func refuse(reason result.Reason) *result.Failure {
	return &result.Failure{Outcome: result.NotRun, Step: result.StepForward, Reason: reason}
}
