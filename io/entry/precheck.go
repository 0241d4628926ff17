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

// notReadyRetry is when a caller may come back to a starting instance.
const notReadyRetry = 2 * time.Second

// readyFilter refuses requests before a table is in force, and after the process
// stood still until the table is known to be no older than the peers'.
type readyFilter struct {
	core *Server
}

// Apply refuses with NotReady.
func (f *readyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	// The view may have been taken just before the pause showed.
	starting := c.View.Table == nil || c.View.Phase == member.Starting
	asleep := c.View.Resuming || f.core.ViewsCurrent != nil && !f.core.ViewsCurrent()
	if starting || asleep {
		failure := refuse(result.StepIdentify, result.NotReady)
		failure.RetryAfter = notReadyRetry
		return failure
	}
	return next(ctx, c)
}

// drainFilter refuses new requests during a shutdown.
type drainFilter struct {
	core *Server
}

// Apply refuses with Draining. A keyed call still passes, because only the records
// here can tell whether it has run; they refuse new keys themselves.
func (f *drainFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	retryAfter := time.Duration(f.core.flight.retryAfter.Load())
	if retryAfter > 0 && !c.keyed() {
		failure := refuse(result.StepIdentify, result.Draining)
		failure.RetryAfter = retryAfter
		return failure
	}
	return next(ctx, c)
}

// classifyFilter looks up what the table says of the request.
type classifyFilter struct {
	core *Server
}

// Apply refuses what no row of the table names.
func (f *classifyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	if c.Service == "" {
		c.Repeatable = true
		return next(ctx, c)
	}
	escaped, _, _ := strings.Cut(c.Path, "?")
	// The table is asked for the path as the service reads it: /pages/%2e%2e/bookings
	// is not a page.
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return refuse(result.StepIdentify, result.UnknownCall)
	}
	call, found := c.View.Table.Call(c.Service, c.Method, path)
	if !found {
		return refuse(result.StepIdentify, result.UnknownCall)
	}
	c.Repeatable = call.Repeatable
	if latest := f.core.Clock.Now().Add(call.Timeout); c.Deadline.IsZero() || latest.Before(c.Deadline) {
		c.Deadline = latest
	}
	return next(ctx, c)
}

// residencyFilter refuses a request whose data may not be here, before its body is
// read.
type residencyFilter struct {
	core *Server
}

// Apply refuses with the reason that package reside gives.
func (f *residencyFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	place := reside.Place{Zone: f.core.Zone, Region: f.core.Region}
	verdict := reside.Check(c.View.Table, c.Workspace, place)
	if verdict != reside.Allowed {
		return refuse(result.StepResidency, verdict.Reason())
	}
	return next(ctx, c)
}

// places answers the routing's questions about where a request's data may be.
type places struct {
	table     *table.Table
	workspace ident.Workspace
	region    ident.Region
}

// AllowsZone reports whether a zone of the own region is allowed.
func (p places) AllowsZone(zone ident.Zone) bool {
	place := reside.Place{Zone: zone, Region: p.region}
	return reside.Check(p.table, p.workspace, place) == reside.Allowed
}

// AllowsRegion reports whether some zone of a region is allowed.
func (p places) AllowsRegion(region ident.Region) bool {
	return reside.AnyZoneAllowed(p.table, p.workspace, region)
}

// deadlineFilter gives a request its deadline, and ends it when that passes.
type deadlineFilter struct {
	core *Server
}

// Apply refuses a request that came too late.
func (f *deadlineFilter) Apply(ctx context.Context, c *Call, next Next) *result.Failure {
	now := f.core.Clock.Now()
	timeout := c.View.Table.Policy().Classes[c.Class].Timeout
	if latest := now.Add(timeout); c.Deadline.IsZero() || latest.Before(c.Deadline) {
		c.Deadline = latest
	}
	if !c.Deadline.After(now) {
		return refuse(result.StepDeadline, result.DeadlinePassed)
	}
	f.core.flight.until(c.Deadline)
	ctx, stop := context.WithDeadline(ctx, c.Deadline)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.core.flight.run(c, cancel)
	defer f.core.flight.forget(c)
	return next(ctx, c)
}
