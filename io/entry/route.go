package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/load"
	"arbutustrestle/core/node"
	"arbutustrestle/core/result"
	"arbutustrestle/core/retry"
	"arbutustrestle/core/route"
	"arbutustrestle/io/invoke"
)

// routeFilter chooses where a request goes, makes the attempts, and retries out of
// the budget. It is the last filter.
type routeFilter struct {
	core      *Server
	forwarder *forwarder
}

// progress is what a request has been through in the routeFilter.
type progress struct {
	call     *Call
	request  route.Request
	attempts int
	// unknown is the first failure after which the request may have run; nil as long
	// as there is none.
	unknown *result.Failure
}

// known returns the failure to end the request with. What an earlier attempt left
// unknown stays unknown, whatever is known of the last one.
func (j *progress) known(last *result.Failure) *result.Failure {
	if last == nil || last.Outcome != result.NotRun || j.unknown == nil {
		return last
	}
	failure := *j.unknown
	failure.RetryAfter = last.RetryAfter
	return &failure
}

// Apply attempts the request until it is answered or may not be tried again.
func (f *routeFilter) Apply(ctx context.Context, c *Call, _ Next) *result.Failure {
	f.core.RetryBudget.AddRequest(f.core.Clock.Now())
	j := &progress{call: c}
	for {
		failure, final := f.try(ctx, j)
		if failure == nil || final {
			return j.known(failure)
		}
		if failure.Outcome == result.Unknown && j.unknown == nil {
			j.unknown = failure
		}
		j.attempts++
		again, stop := f.decide(j, failure)
		if stop != nil {
			return j.known(stop)
		}
		f.core.Metrics.CountRetry(failure)
		if !clock.Sleep(ctx, again) {
			return j.known(failure)
		}
	}
}

func (f *routeFilter) decide(j *progress, failure *result.Failure) (time.Duration, *result.Failure) {
	call := retry.Call{
		Repeatable: j.call.Repeatable,
		Streamed:   j.call.HeadSent,
		Attempts:   j.attempts,
		Deadline:   j.call.Deadline,
	}
	var decision retry.Decision
	f.core.Random.With(func(source *rand.Rand) {
		decision = f.core.RetryBudget.Decide(f.core.Clock.Now(), source, call, failure)
	})
	switch d := decision.(type) {
	case retry.Again:
		return d.After, nil
	case retry.Stop:
		return 0, d.Failure
	default:
		return 0, failure
	}
}

// try makes one attempt or forward on the state in force now: the table may have
// changed while the request waited. A final failure is not to be retried.
func (f *routeFilter) try(ctx context.Context, j *progress) (failure *result.Failure, final bool) {
	c := j.call
	c.View = f.core.Views.View()
	if !c.View.Allows(c.Workspace) {
		return refuse(result.StepRoute, result.PlaceForbidden), true
	}
	view, found := f.view(c)
	if !found {
		return refuse(result.StepRoute, result.NoUpstream), true
	}
	f.prepare(j)
	var decision route.Decision
	f.core.Random.With(func(source *rand.Rand) {
		decision = route.Pick(f.core.Clock.Now(), source, view, &j.request)
	})
	switch d := decision.(type) {
	case *route.Attempt:
		return f.attempt(ctx, j, d), false
	case *route.Forward:
		defer view.SpillLimiter.Release(d.Region)
		return f.forward(ctx, j, d.Region), false
	case *route.Refuse:
		return f.core.Gates.comeBack(c, d.Failure), true
	default:
		return refuse(result.StepRoute, result.NoUpstream), true
	}
}

func (f *routeFilter) view(c *Call) (*route.View, bool) {
	if c.Service != "" {
		return c.View.ServiceRoutes(c.Service)
	}
	return c.View.ModelRoutes(c.Model, c.Class)
}

// prepare fills in what the choice reads. A keyed call stays in the region of its
// key's owner, and so does a request that was forwarded.
func (f *routeFilter) prepare(j *progress) {
	c := j.call
	r := &j.request
	r.Residency = places{table: c.View.Table, workspace: c.Workspace, region: f.core.Region}
	r.Affinity = c.prompt.Affinity
	r.PrefixHash = c.prompt.Prefix
	r.MaxWait = max(1, c.View.Table.Policy().Classes[c.Class].MaxWait-c.waited)
	r.AdmissionFailure = c.full
	if len(r.Visited) == 0 && (c.Via.Forwarded() || c.keyed()) {
		r.Visited = append(r.Visited, c.Via.Regions...)
		r.Visited = append(r.Visited, f.core.Region)
	}
}

// allowed reports whether the table in force lets a request's data be here and in
// the zone of an upstream.
func (f *routeFilter) allowed(c *Call, zone ident.Zone) bool {
	v := f.core.Views.View()
	at := places{table: v.Table, workspace: c.Workspace, region: f.core.Region}
	return v.Allows(c.Workspace) && at.AllowsZone(zone)
}

func (f *routeFilter) describe(c *Call, u *node.Upstream, version ident.Version) *invoke.Attempt {
	a := &invoke.Attempt{
		RequestID:   c.ID,
		Upstream:    u.ID,
		Address:     u.Address,
		Method:      c.Method,
		Path:        c.Path,
		Header:      forwardedHeader(c.Header),
		Body:        c.Body,
		Repeatable:  c.Repeatable,
		Streamed:    c.Service == "",
		IdleTimeout: c.View.Table.Policy().IdleTimeout,
	}
	if c.Service == "" {
		priority := c.View.Table.Policy().Classes[c.Class].Priority
		a.Body = completionBody(c.Body, version, priority)
	} else if c.Key != "" {
		a.Header.Set(headerKey, c.Key)
	}
	return a
}

// learn passes on what an attempt showed of its upstream.
func (f *routeFilter) learn(u *load.Upstream, started time.Time, report invoke.Report, failure *result.Failure) {
	now := f.core.Clock.Now()
	if !report.HeadSent {
		f.observe(u, report.LoadHeader)
	}
	if report.Leaving {
		u.MarkLeaving()
	}
	u.End(now, endingOf(failure), now.Sub(started), report.Frames)
}

// observe takes in a load header that has just arrived.
func (f *routeFilter) observe(u *load.Upstream, header string) {
	now := f.core.Clock.Now()
	if l, ok := parseLoad(header, now); ok {
		u.Observe(now, l)
	}
}

func endingOf(failure *result.Failure) load.AttemptResult {
	if failure == nil {
		return load.Answered
	}
	switch failure.Reason {
	case result.CallerGone, result.DeadlinePassed:
		return load.Cancelled
	case result.UpstreamRefused, result.UpstreamLeaving:
		return load.Refused
	default:
		return load.Failed
	}
}

// parseLoad reads a load header such as "running=3 waiting=1 slots=8".
func parseLoad(text string, now time.Time) (load.Report, bool) {
	report := load.Report{AsOf: now}
	if text == "" {
		return report, false
	}
	n, err := fmt.Sscanf(strings.TrimSpace(text), "running=%d waiting=%d slots=%d", &report.Running, &report.Waiting, &report.Slots)
	return report, err == nil && n == 3 && report.Running >= 0 && report.Waiting >= 0 && report.Slots > 0
}

// forward sends the request to an entry of another region. When that entry did not
// take it, the request stays here.
func (f *routeFilter) forward(ctx context.Context, j *progress, region ident.Region) *result.Failure {
	j.request.Visited = append(j.request.Visited, f.core.Region, region)
	t, found := f.contact(j.call, region)
	if !found {
		return refuse(result.StepForward, result.PeerUnreachable)
	}
	return f.forwarder.forward(ctx, j.call, t)
}

// contact draws one of the region's entries in a zone that is allowed.
func (f *routeFilter) contact(c *Call, region ident.Region) (target, bool) {
	known, found := c.View.Members.Region(region)
	if !found {
		return target{}, false
	}
	at := places{table: c.View.Table, workspace: c.Workspace, region: region}
	var targets []target
	for _, contact := range known.Contacts {
		if !at.AllowsZone(contact.Zone) {
			continue
		}
		targets = append(targets, target{
			instance: contact.Incarnation.Instance,
			address:  contact.Peer,
		})
	}
	if len(targets) == 0 {
		return target{}, false
	}
	return targets[f.core.Random.Uint64()%uint64(len(targets))], true
}
