package proxy

import (
	"context"
	"slices"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/gossip"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/resume"
	"arbutustrestle/core/spec"
)

const (
	// originWait bounds the time for which a stream that a caller takes up waits to learn
	// where it began: a peer may just have sent it.
	originWait = 200 * time.Millisecond
	// originPollInterval is the time between two checks meanwhile.
	originPollInterval = 20 * time.Millisecond
	// unknownStreamRetryAfter is the Retry-After value if that isn't known: by then all peers
	// that can tell have sent a heartbeat.
	unknownStreamRetryAfter = 500 * time.Millisecond
)

// bindVersion binds a stream to the version whose event has just been passed on. If its upstream
// may have come back with other software before the stream began, it goes on nowhere, and that is
// recorded: else whoever takes it up would be sent to the version that the list names.
func (p *Proxy) bindVersion(call *Call) {
	if call.versionBound.Bound || !call.Route.Resumable {
		return
	}
	if call.upstreamUnproved || call.lease != nil && !call.lease.ProvesVersion(p.Clock.Now()) {
		call.versionBound = pool.VersionBound{Bound: true, Unknown: true}
		p.Metrics.Events.Add("streams-of-unknown-version", 1)
		p.recordOrigin(call, call.ID, gossip.UnprovedOrigin(call.Service))
		return
	}
	call.versionBound = pool.VersionBound{Bound: true, Version: call.upstreamVersion}
	p.recordOrigin(call, call.ID, gossip.StreamOrigin{Service: call.Service, Version: call.upstreamVersion})
}

// recordOrigin records where, and for which workspace, the stream began of which a request
// brought the first event. Peers are notified at once, since this instance may end, unless they
// can determine it themselves.
func (p *Proxy) recordOrigin(call *Call, requestID string, origin gossip.StreamOrigin) {
	ambiguous := !origin.IsProved() || p.Loop.Ambiguous(origin.Service)
	key := p.Streams.BegunIn(p.Clock.Now(), call.workspaceName(), requestID, origin, ambiguous)
	call.streams = append(call.streams, key)
	if ambiguous {
		p.Loop.AnnounceStream(key, origin)
	}
}

// endStreams records the end of the streams that a request has begun or taken up. One whose caller
// hasn't received all of it may be taken up elsewhere.
func (p *Proxy) endStreams(call *Call, whole bool) {
	for _, key := range call.streams {
		p.Streams.End(p.Clock.Now(), key, whole)
	}
}

// bindResumed binds a stream that a caller takes up to the service and version that began it.
// It refuses one whose beginning isn't known, was for another workspace, or was at a service
// that the route no longer leads to.
func (p *Proxy) bindResumed(ctx context.Context, call *Call) *result.Failure {
	origin, found := p.awaitOrigin(ctx, call)
	allowed := found && slices.ContainsFunc(call.Route.Targets, func(t spec.Target) bool { return t.Service == origin.Service })
	if !allowed {
		return refuse(result.StepRoute, result.StreamUnknown, p.retryAfter(unknownStreamRetryAfter, call.Deadline.Sub(p.Clock.Now())))
	}
	call.Service = origin.Service
	call.versionBound = pool.VersionBound{Bound: true, Version: origin.Version}
	if call.Resumes != "" {
		p.recordOrigin(call, call.Resumes, origin)
	}
	return nil
}

// awaitOrigin returns where a stream began: as it is recorded, or else as follows from the list.
// It waits a moment for a peer to tell it. One that began at an unproved version follows from the list
// once that shows the run of the upstream where it began.
func (p *Proxy) awaitOrigin(ctx context.Context, call *Call) (gossip.StreamOrigin, bool) {
	patience := call.Deadline.Sub(call.Arrived) / 4
	giveUp := call.Arrived.Add(min(originWait, patience))
	asked, confirmed := false, false
	for {
		recorded, ownership := p.recordedOrigin(call)
		if ownership != resume.UnknownStream && recorded.IsProved() {
			return recorded, ownership == resume.OwnStream
		}
		if ownership != resume.UnknownStream && !p.listShowsOrigin(call) {
			return gossip.StreamOrigin{}, false
		}
		if origin, sole := p.soleOrigin(call.Route); sole && confirmed {
			return origin, true
		} else if sole && !asked {
			// A peer may tell meanwhile that the stream began at an unproved version.
			asked = true
			confirmed = p.confirmList(ctx, call, patience)
			continue
		}
		if call.Resumes == "" || p.Clock.Now().After(giveUp) || !clock.Sleep(ctx, originPollInterval) {
			return gossip.StreamOrigin{}, false
		}
	}
}

// confirmList reports whether the list of upstreams that is held is as new as the request.
func (p *Proxy) confirmList(ctx context.Context, call *Call, patience time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return p.Loop.ConfirmList(ctx, call.Arrived)
}

// recordedOrigin returns where the stream that a caller takes up began, if that is recorded.
func (p *Proxy) recordedOrigin(call *Call) (gossip.StreamOrigin, resume.Ownership) {
	if call.Resumes == "" {
		return gossip.StreamOrigin{}, resume.UnknownStream
	}
	return p.Streams.LookupIn(call.workspaceName(), call.Resumes)
}

// listShowsOrigin reports whether the list shows the run of the upstream where a stream that a caller
// takes up began at an unproved version.
func (p *Proxy) listShowsOrigin(call *Call) bool {
	knownAt, known := p.Streams.KnownAt(call.workspaceName(), call.Resumes)
	return known && p.Pool.ListShowsSince(knownAt)
}

// soleOrigin returns where all streams of a route began that still last, if that is one service
// with one version of its software by the list that is held.
func (p *Proxy) soleOrigin(route *spec.Route) (gossip.StreamOrigin, bool) {
	now := p.Clock.Now()
	if len(route.Targets) != 1 || route.Moved(now) {
		return gossip.StreamOrigin{}, false
	}
	service := route.Targets[0].Service
	version, sole := p.Pool.SoleVersion(now, service, route.StreamLife())
	return gossip.StreamOrigin{Service: service, Version: version}, sole
}
