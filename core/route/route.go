// Package route decides where a request goes next: to an upstream of the local region,
// to another region, or nowhere. A decision reads an immutable View and the load
// estimates of package load; it performs no I/O.
package route

import (
	"math/rand/v2"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Residency defines where a workspace's data may be processed.
type Residency interface {
	// AllowsZone reports whether a zone of the local region is allowed.
	AllowsZone(ident.Zone) bool
	// AllowsRegion reports whether the request may be forwarded to an instance in the
	// region.
	AllowsRegion(ident.Region) bool
}

// View is the input of the decisions about one model (or service) and class. It is
// immutable once it is in use, except for the loads that its upstreams track.
type View struct {
	Region    ident.Region
	Objective table.Objective
	// SpillMargin is how much shorter the wait in another region must be before a
	// request is sent there. It keeps two regions of similar load from exchanging
	// requests.
	SpillMargin time.Duration
	// Versions with a weight of zero receive no traffic.
	Versions []Version
	// Remotes holds the other regions that serve the model.
	Remotes []RemoteRegion
	// SpillLimiter limits the requests sent to each remote region; nil disables
	// spilling.
	SpillLimiter *SpillLimiter
	// PrefixIndex records which upstreams have cached a prompt prefix; it may be nil.
	PrefixIndex *load.PrefixIndex
}

// Version is one version of the model with its upstreams in the local region.
type Version struct {
	Version ident.Version
	// Weight is this version's part of the traffic, relative to the other versions.
	Weight uint32
	// Candidates has one attempt per upstream; all have this version.
	Candidates []Attempt
}

// NewVersion returns a version with one candidate per upstream.
func NewVersion(version ident.Version, weight uint32, upstreams []*load.Upstream) Version {
	v := Version{Version: version, Weight: weight}
	v.Candidates = make([]Attempt, 0, len(upstreams))
	for _, u := range upstreams {
		v.Candidates = append(v.Candidates, Attempt{Upstream: u, Version: version})
	}
	return v
}

// RemoteRegion is another region as the local one sees it.
type RemoteRegion struct {
	Load load.RegionLoad
	// WaitPenalty is added to the region's wait when waits are compared.
	WaitPenalty time.Duration
	// MaxShare is the part of the local requests, 0 to 1, that may be sent to the
	// region.
	MaxShare float64
	// Senders is the number of instances in all regions that may send to the region;
	// zero means one.
	Senders int
}

// Request holds the properties of a request that decisions depend on. The same value is
// used for all decisions about one request.
type Request struct {
	Residency Residency
	// Affinity is the session or the prompt prefix whose requests should reach the same
	// upstream, for its cache; empty if there is none.
	Affinity string
	// PrefixHash is the hash that identifies the request's prompt prefix in cache
	// events; zero if there is none.
	PrefixHash uint64
	// Tried lists the upstreams that have had an attempt; none of them gets a second
	// one.
	Tried []ident.Upstream
	// Visited lists the regions that the request has passed through, including the
	// local one after a forward. A forwarded request is never forwarded again.
	Visited []ident.Region
	// MaxWait is the longest acceptable wait for a slot; zero means no limit.
	MaxWait time.Duration
	// QueueWait is the projected wait of a request in the admission queue; zero for a
	// request that isn't queued. A queued request is sent to another region or keeps
	// waiting.
	QueueWait time.Duration
	// AdmissionFailure is the reason why the local region doesn't admit the request;
	// nil if it does. A request that isn't admitted is sent to another region or
	// refused with this failure.
	AdmissionFailure *result.Failure

	// counted is set once the spill limiter has counted the request, so that a Request
	// that is used for several decisions counts once.
	counted bool
}

// Decision is one of *Attempt, *Forward, *Refuse and *Wait.
type Decision interface {
	decision()
}

// Attempt sends the request to an upstream of the local region.
type Attempt struct {
	Upstream *load.Upstream
	Version  ident.Version
}

// Forward sends the request to an instance in another region.
type Forward struct {
	Region ident.Region
}

// Refuse ends the request with a failure.
type Refuse struct {
	Failure *result.Failure
}

// Wait leaves the request in the admission queue.
type Wait struct{}

func (*Wait) decision()    {}
func (*Attempt) decision() {}
func (*Forward) decision() {}
func (*Refuse) decision()  {}

// Pick decides where a request goes next. It records the decision in the view's spill
// limiter.
func Pick(now time.Time, random *rand.Rand, v *View, r *Request) Decision {
	if v.SpillLimiter != nil && len(r.Visited) == 0 && !r.counted {
		v.SpillLimiter.addRequest(now, v.Remotes)
		r.counted = true
	}
	local := pickLocal(now, random, v, r)
	remote := pickRemote(now, random, v, r)
	if remote != nil && prefersRemote(v, r, local, remote) {
		v.SpillLimiter.recordSpill(remote)
		return &Forward{Region: remote.Load.Region}
	}
	if r.AdmissionFailure != nil {
		return &Refuse{Failure: r.AdmissionFailure}
	}
	if r.QueueWait > 0 {
		return &Wait{}
	}
	if local.attempt == nil {
		return refuse(result.NoUpstream)
	}
	if r.MaxWait > 0 && local.wait > r.MaxWait {
		return refuse(result.Overloaded)
	}
	return local.attempt
}

// refuse leaves RetryAfter to admission, which tracks when other refused callers retry.
func refuse(reason result.Reason) *Refuse {
	return &Refuse{Failure: &result.Failure{
		Outcome: result.NotRun,
		Step:    result.StepRoute,
		Reason:  reason,
	}}
}
