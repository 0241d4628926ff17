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

// routeFilter chooses an upstream or a region for a request, makes the attempts, and
// retries within the retry budget. It is the last filter.
type routeFilter struct {
	server    *Server
	forwarder *forwarder
}

// progress holds the state of a request in the routeFilter over its attempts.
type progress struct {
	call     *Call
	request  route.Request
	attempts int
	// firstUnknown is the first failure after which the request may have run; nil if there
	// is none.
	firstUnknown *result.Failure
}

// finalFailure returns the failure that ends the request. If an earlier attempt may have
// run, the outcome is unknown, even if the last attempt has not run.
func (p *progress) finalFailure(last *result.Failure) *result.Failure {
	if last == nil || last.Outcome != result.NotRun || p.firstUnknown == nil {
		return last
	}
	failure := *p.firstUnknown
	failure.RetryAfter = last.RetryAfter
	return &failure
}

// Apply makes attempts until one succeeds or no further attempt is allowed.
func (f *routeFilter) Apply(ctx context.Context, c *Call, _ Next) *result.Failure {
	f.server.RetryBudget.AddRequest(f.server.Clock.Now())
	p := &progress{call: c}
	for {
		failure, final := f.try(ctx, p)
		if failure == nil || final {
			return p.finalFailure(failure)
		}
		if failure.Outcome == result.Unknown && p.firstUnknown == nil {
			p.firstUnknown = failure
		}
		p.attempts++
		delay, refusal := f.decideRetry(p, failure)
		if refusal != nil {
			return p.finalFailure(refusal)
		}
		f.server.Metrics.CountRetry(failure)
		if !clock.Sleep(ctx, delay) {
			return p.finalFailure(failure)
		}
	}
}

func (f *routeFilter) decideRetry(p *progress, failure *result.Failure) (time.Duration, *result.Failure) {
	call := retry.Call{
		Repeatable: p.call.Repeatable,
		Streamed:   p.call.HeadSent,
		Attempts:   p.attempts,
		Deadline:   p.call.Deadline,
	}
	var decision retry.Decision
	f.server.Random.With(func(source *rand.Rand) {
		decision = f.server.RetryBudget.Decide(f.server.Clock.Now(), source, call, failure)
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

// try makes one attempt or one forward. It uses the current view, since the table may have
// changed while the request waited. A final failure must not be retried.
func (f *routeFilter) try(ctx context.Context, p *progress) (failure *result.Failure, final bool) {
	c := p.call
	c.View = f.server.Views.View()
	if !c.View.Allows(c.Workspace) {
		return notRun(result.StepRoute, result.PlaceForbidden), true
	}
	view, found := f.routeView(c)
	if !found {
		return notRun(result.StepRoute, result.NoUpstream), true
	}
	f.prepareRequest(p)
	var decision route.Decision
	f.server.Random.With(func(source *rand.Rand) {
		decision = route.Pick(f.server.Clock.Now(), source, view, &p.request)
	})
	switch d := decision.(type) {
	case *route.Attempt:
		return f.attempt(ctx, p, d), false
	case *route.Forward:
		defer view.SpillLimiter.Release(d.Region)
		return f.forward(ctx, p, d.Region), false
	case *route.Refuse:
		return f.server.Gates.addRetryAfter(c, d.Failure), true
	default:
		return notRun(result.StepRoute, result.NoUpstream), true
	}
}

func (f *routeFilter) routeView(c *Call) (*route.View, bool) {
	if c.Service != "" {
		return c.View.ServiceRoutes(c.Service)
	}
	return c.View.ModelRoutes(c.Model, c.Class)
}

// prepareRequest fills in the inputs of route.Pick. A keyed call stays in the region of its
// key's owner, and a forwarded request stays in this region.
func (f *routeFilter) prepareRequest(p *progress) {
	c := p.call
	r := &p.request
	r.Residency = residency{table: c.View.Table, workspace: c.Workspace, region: f.server.Region}
	r.Affinity = c.hints.Affinity
	r.PrefixHash = c.hints.PrefixHash
	r.MaxWait = max(1, c.View.Table.Policy().Classes[c.Class].MaxWait-c.queueTime)
	r.AdmissionFailure = c.admissionFailure
	if len(r.Visited) == 0 && (c.Via.Forwarded() || c.keyed()) {
		r.Visited = append(r.Visited, c.Via.Regions...)
		r.Visited = append(r.Visited, f.server.Region)
	}
}

// isAllowed reports whether the active table allows the data of a request on this instance
// and in the zone of an upstream.
func (f *routeFilter) isAllowed(c *Call, zone ident.Zone) bool {
	v := f.server.Views.View()
	at := residency{table: v.Table, workspace: c.Workspace, region: f.server.Region}
	return v.Allows(c.Workspace) && at.AllowsZone(zone)
}

func (f *routeFilter) newAttempt(c *Call, u *node.Upstream, version ident.Version) *invoke.Attempt {
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

// recordAttempt updates the state of an upstream with the result of an attempt.
func (f *routeFilter) recordAttempt(u *load.Upstream, started time.Time, report invoke.Report, failure *result.Failure) {
	now := f.server.Clock.Now()
	if !report.HeadSent {
		f.observeLoad(u, report.LoadHeader)
	}
	if report.Leaving {
		u.MarkLeaving()
	}
	u.End(now, attemptResultOf(failure), now.Sub(started), report.Frames)
}

// observeLoad updates the load of an upstream from a load header that has just arrived.
func (f *routeFilter) observeLoad(u *load.Upstream, header string) {
	now := f.server.Clock.Now()
	if l, ok := parseLoad(header, now); ok {
		u.Observe(now, l)
	}
}

func attemptResultOf(failure *result.Failure) load.AttemptResult {
	if failure == nil {
		return load.Answered
	}
	switch failure.Reason {
	case result.CallerGone, result.DeadlinePassed, result.AnswerMemory:
		return load.Cancelled
	case result.UpstreamRefused, result.UpstreamLeaving:
		return load.Refused
	default:
		return load.Failed
	}
}

// parseLoad parses a load header such as "running=3 waiting=1 slots=8".
func parseLoad(text string, now time.Time) (load.Report, bool) {
	report := load.Report{AsOf: now}
	if text == "" {
		return report, false
	}
	n, err := fmt.Sscanf(strings.TrimSpace(text), "running=%d waiting=%d slots=%d", &report.Running, &report.Waiting, &report.Slots)
	return report, err == nil && n == 3 && report.Running >= 0 && report.Waiting >= 0 && report.Slots > 0
}

// forward sends the request to an instance of another region. If that instance does not
// accept it, the retry stays in this region.
func (f *routeFilter) forward(ctx context.Context, p *progress, region ident.Region) *result.Failure {
	p.request.Visited = append(p.request.Visited, f.server.Region, region)
	t, found := f.pickContact(p.call, region)
	if !found {
		return notRun(result.StepForward, result.PeerUnreachable)
	}
	return f.forwarder.forward(ctx, p.call, t)
}

// pickContact returns a random instance among the region's contacts in allowed zones.
func (f *routeFilter) pickContact(c *Call, region ident.Region) (target, bool) {
	summary, found := c.View.Members.Region(region)
	if !found {
		return target{}, false
	}
	at := residency{table: c.View.Table, workspace: c.Workspace, region: region}
	var targets []target
	for _, contact := range summary.Contacts {
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
	return targets[f.server.Random.Uint64()%uint64(len(targets))], true
}
