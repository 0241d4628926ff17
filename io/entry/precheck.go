package entry

import (
	"context"
	"net/url"
	"strings"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/reside"
	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

// notReadyRetry is the retry time sent by an instance that is not ready.
const notReadyRetry = 2 * time.Second

// readyFilter refuses requests before a table is active. After a pause of the process, it
// refuses them until the table is known to be no older than that of the peers.
type readyFilter struct {
	server *Server
}

// Apply refuses with NotReady.
func (f *readyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	// The view may have been read just before the pause was detected.
	starting := c.View.Table == nil || c.View.Phase == member.Starting
	stale := c.View.Resuming || f.server.ViewsCurrent != nil && !f.server.ViewsCurrent()
	if starting || stale {
		failure := notRun(result.StepIdentify, result.NotReady)
		failure.RetryAfter = notReadyRetry
		return failure
	}
	return next(ctx, c)
}

// drainFilter refuses new requests during a shutdown.
type drainFilter struct {
	server *Server
}

// Apply refuses with Draining. A keyed call passes, because only the records on this
// instance show whether it has run. The records refuse new keys themselves.
func (f *drainFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	retryAfter := time.Duration(f.server.inFlight.retryAfter.Load())
	if retryAfter > 0 && !c.keyed() {
		failure := notRun(result.StepIdentify, result.Draining)
		failure.RetryAfter = retryAfter
		return failure
	}
	return next(ctx, c)
}

// classifyFilter looks up the table's settings for the call.
type classifyFilter struct {
	server *Server
}

// Apply refuses a service call that no row of the table names.
func (f *classifyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	if c.Service == "" {
		c.Repeatable = true
		return next(ctx, c)
	}
	escaped, _, _ := strings.Cut(c.Path, "?")
	// The lookup uses the path as the service decodes it: /pages/%2e%2e/bookings is not a
	// page.
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return notRun(result.StepIdentify, result.UnknownCall)
	}
	call, found := c.View.Table.Call(c.Service, c.Method, path)
	if !found {
		return notRun(result.StepIdentify, result.UnknownCall)
	}
	c.Repeatable = call.Repeatable
	if latest := f.server.Clock.Now().Add(call.Timeout); c.Deadline.IsZero() || latest.Before(c.Deadline) {
		c.Deadline = latest
	}
	return next(ctx, c)
}

// residencyFilter refuses a request whose data is not allowed on this instance, before its
// body is read.
type residencyFilter struct {
	server *Server
}

// Apply refuses with the reason that package reside returns.
func (f *residencyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	place := reside.Place{Zone: f.server.Zone, Region: f.server.Region}
	verdict := reside.Check(c.View.Table, c.Workspace, place)
	if verdict != reside.Allowed {
		return notRun(result.StepResidency, verdict.Reason())
	}
	return next(ctx, c)
}

// residency checks for package route where the data of a request is allowed.
type residency struct {
	table     *table.Table
	workspace ident.Workspace
	region    ident.Region
}

// AllowsZone reports whether a zone of the region is allowed.
func (p residency) AllowsZone(zone ident.Zone) bool {
	place := reside.Place{Zone: zone, Region: p.region}
	return reside.Check(p.table, p.workspace, place) == reside.Allowed
}

// AllowsRegion reports whether at least one zone of a region is allowed.
func (p residency) AllowsRegion(region ident.Region) bool {
	return reside.AnyZoneAllowed(p.table, p.workspace, region)
}

// deadlineFilter sets the deadline of a request and cancels the request at the deadline.
type deadlineFilter struct {
	server *Server
}

// Apply refuses a request whose deadline has passed.
func (f *deadlineFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	now := f.server.Clock.Now()
	timeout := c.View.Table.Policy().Classes[c.Class].Timeout
	if latest := now.Add(timeout); c.Deadline.IsZero() || latest.Before(c.Deadline) {
		c.Deadline = latest
	}
	if !c.Deadline.After(now) {
		return notRun(result.StepDeadline, result.DeadlinePassed)
	}
	f.server.inFlight.extendDeadline(c.Deadline)
	ctx, stop := context.WithDeadline(ctx, c.Deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.server.inFlight.track(c, cancel)
	defer f.server.inFlight.untrack(c)
	return next(ctx, c)
}
