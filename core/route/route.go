// Package route decides where a request goes next: to an upstream of the own
// region, to another region, or nowhere. A decision reads an immutable View and
// the load that package load believes; it needs no I/O.
package route

import (
	"math/rand/v2"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// Residency tells where a workspace's data may be processed.
type Residency interface {
	// AllowsZone reports whether a zone of the own region is allowed.
	AllowsZone(ident.Zone) bool
	// AllowsRegion reports whether an entry in the region may be given the request.
	AllowsRegion(ident.Region) bool
}

// View is what a decision about one model (or service) and class reads. It is
// immutable once it is in use, but for the loads that its upstreams track.
type View struct {
	Region    ident.Region
	Objective table.Objective
	// SpillMargin is how much better another region must be before a request goes there,
	// so that two regions of like load don't exchange requests.
	SpillMargin time.Duration
	// Versions with a weight of zero get no traffic.
	Versions []Version
	// Remotes holds the other regions that serve the model.
	Remotes []RemoteRegion
	// SpillLimiter holds the share of requests sent to each remote; nil sends none away.
	SpillLimiter *SpillLimiter
	// PrefixIndex is what upstreams said of their caches; it may be nil.
	PrefixIndex *load.PrefixIndex
}

// Version is one version of the model and where it runs in the own region.
type Version struct {
	Version ident.Version
	// Weight is this version's part of the traffic, relative to the others'.
	Weight uint32
	// Candidates has one per upstream; all name this version.
	Candidates []Attempt
}

// NewVersion makes a version from its upstreams.
func NewVersion(version ident.Version, weight uint32, upstreams []*load.Upstream) Version {
	v := Version{Version: version, Weight: weight}
	v.Candidates = make([]Attempt, 0, len(upstreams))
	for _, u := range upstreams {
		v.Candidates = append(v.Candidates, Attempt{Upstream: u, Version: version})
	}
	return v
}

// RemoteRegion is another region as the own one sees it.
type RemoteRegion struct {
	Load load.RegionLoad
	// WaitPenalty is added to the wait there when waits are compared.
	WaitPenalty time.Duration
	// MaxShare is the part of the own requests, 0 to 1, that may be sent there.
	MaxShare float64
	// Senders is the number of entries in all regions that may send there; zero is one.
	Senders int
}

// Request is what a decision has to know of a request. The same value is used for
// all decisions about one request.
type Request struct {
	Residency Residency
	// Affinity is the session or the prompt prefix that should find its cache; empty
	// when there is none.
	Affinity string
	// PrefixHash is the hash under which cache events name the request's prompt prefix;
	// zero when there is none.
	PrefixHash uint64
	// Tried lists the upstreams that have had an attempt; they get no other one.
	Tried []ident.Upstream
	// Visited lists the regions that the request has passed, the own one included
	// once it was forwarded. A forwarded request is never forwarded again.
	Visited []ident.Region
	// MaxWait is the longest wait for a slot that still makes sense; zero is no bound.
	MaxWait time.Duration
	// QueueWait is the projected wait of a request in the queue of admission; zero for
	// one that isn't queued. Such a request is sent away or goes on waiting.
	QueueWait time.Duration
	// AdmissionFailure is why the own region doesn't admit the request; nil when it does. Such a
	// request is sent away or refused with it.
	AdmissionFailure *result.Failure

	// counted is set once the meter has counted the request, so that a Request that
	// is used for several decisions counts once.
	counted bool
}

// Decision is one of *Attempt, *Forward, *Refuse and *Wait.
type Decision interface {
	decision()
}

// Attempt sends the request to an upstream of the own region.
type Attempt struct {
	Upstream *load.Upstream
	Version  ident.Version
}

// Forward sends the request to an entry in another region.
type Forward struct {
	Region ident.Region
}

// Refuse gives the final answer.
type Refuse struct {
	Failure *result.Failure
}

// Wait leaves the request in the queue of admission.
type Wait struct{}

func (*Wait) decision()    {}
func (*Attempt) decision() {}
func (*Forward) decision() {}
func (*Refuse) decision()  {}

// Pick decides where a request goes next. The view's meter counts the decision.
func Pick(now time.Time, random *rand.Rand, v *View, r *Request) Decision {
	if v.SpillLimiter != nil && len(r.Visited) == 0 && !r.counted {
		v.SpillLimiter.earn(now, v.Remotes)
		r.counted = true
	}
	local := pickLocal(now, random, v, r)
	remote := pickRemote(now, random, v, r)
	if remote != nil && prefersRemote(v, r, local, remote) {
		v.SpillLimiter.spend(remote)
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

// refuse leaves RetryAfter to admission, which knows who else was told to come back.
func refuse(reason result.Reason) *Refuse {
	return &Refuse{Failure: &result.Failure{
		Outcome: result.NotRun,
		Step:    result.StepRoute,
		Reason:  reason,
	}}
}
