package proxy

import (
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/logs"
)

// recordEnd counts and logs the end of a request.
func (p *Proxy) recordEnd(call *Call, f *result.Failure) {
	p.endStreams(call, f == nil)
	now := p.Clock.Now()
	p.Metrics.CountRequest(f)
	elapsed := now.Sub(call.Arrived)
	level := zerolog.InfoLevel
	if f != nil && f.Reason != result.CallerGone {
		level = zerolog.WarnLevel
	}
	line := p.endLogger(call, f).WithLevel(level)
	p.waiting.recordTail(now, call, f)
	line = line.Str("request-id", logs.ShortID(call.ID)).Int64("took-ms", elapsed.Milliseconds()).Str("peer", call.peer)
	if call.upstreamVersion != "" {
		line = line.Str("upstream-version", call.upstreamVersion)
	}
	if call.ticket != nil {
		line = line.Int64("queued-ms", call.queued.Milliseconds())
	}
	if call.resumedAfter != "" {
		line = line.Str("resumed-after", logs.ShortID(call.resumedAfter)).Str("resumes", logs.ShortID(call.Resumes))
	}
	if call.Workspace != nil {
		line = line.Str("workspace", string(call.Workspace.Name))
	}
	if call.Route != nil {
		line = call.logDecision(line).Int64("left-ms", call.Deadline.Sub(now).Milliseconds())
		p.recordLatencies(call, elapsed)
	}
	if !call.firstByteAt.IsZero() {
		line = line.Int("status", call.status).Int64("first-ms", call.firstByteAt.Sub(call.Arrived).Milliseconds()).Int("bytes", call.bodyBytes).Int64("longest-pause-ms", call.longestPause.Milliseconds())
	}
	if call.framing != http1.FramingUnknown {
		line = line.Str("framing", call.framing.String()).Bool("inside-event", call.insideEvent).AnErr("connection-fault", call.connectionFault)
	}
	if call.callerFraming != http1.FramingUnknown {
		line = line.Str("caller-framing", call.callerFraming.String())
	}
	if f == nil {
		line.Str("outcome", result.Done.String()).Msg("request answered")
		return
	}
	line.Str("outcome", f.Outcome.String()).
		Str("step", f.Step.String()).
		Str("reason", f.Reason.String()).
		Int64("retry-after-ms", f.RetryAfter.Milliseconds()).
		Bool("begun", call.headSent).
		AnErr("cause", logs.ShortCause(f.Cause)).
		Msg("request not answered")
}

// endLogger returns the logger for the end of a request. Refusals that callers may cause in any number, by
// requests that no route takes, that are no requests or whose body doesn't come, are logged in part: each is counted by
// its reason.
func (p *Proxy) endLogger(call *Call, f *result.Failure) *zerolog.Logger {
	if f == nil || f.Step != result.StepIdentify && !call.bodyUnread {
		return &p.Log
	}
	sampled := p.Log.Sample(&p.refusalLines)
	return &sampled
}

// logDecision adds the route of a request and what its destination was decided on to a log line.
func (c *Call) logDecision(line *zerolog.Event) *zerolog.Event {
	return line.Str("route", c.Route.Name).
		Str("fingerprint", c.loggedFingerprint()).
		Str("service", string(c.Service)).
		Uint64("config-version", c.ConfigVersion).
		Int("sends", c.sends).
		Int64("projected-wait-ms", c.projection.Wait.Milliseconds()).
		Int64("projected-first-ms", c.projection.FirstByte.Milliseconds()).
		Int("prompt-tokens", c.PromptTokens).
		Int("uncached-tokens", c.uncachedTokens).
		Int("cached-tokens", c.cachedTokens).
		Str("cache", c.cache.String()).
		Ints("tokens-ahead", c.tokensAhead[:]).
		Int("in-flight-there", c.inFlight)
}

// recordLatencies records the latencies of a request that matched a route.
func (p *Proxy) recordLatencies(call *Call, took time.Duration) {
	kind := call.Route.Kind
	p.Latencies.record(wholeRequest, kind, took)
	if !call.firstByteAt.IsZero() {
		p.Latencies.record(firstByte, kind, call.firstByteAt.Sub(call.Arrived))
	}
	if call.longestPause > 0 {
		p.Latencies.record(longestPause, kind, call.longestPause)
	}
}

// recordCache records whether an answer came as fast as the cached prompt parts let expect.
func (p *Proxy) recordCache(call *Call, lease *pool.Lease) {
	call.cache = lease.Cache
	if lease.Cache != pool.CacheUnclear {
		p.Metrics.Events.Add("prompt-prefixes-"+lease.Cache.String(), 1)
	}
}
