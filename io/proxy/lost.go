package proxy

import (
	"context"
	"time"

	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
)

const (
	// endCheckTimeout bounds the check whether an upstream has ended. One that doesn't
	// even refuse a connection in this time counts as ended.
	endCheckTimeout = 250 * time.Millisecond
	// maxLoggedParts and maxLoggedPartBytes bound the prompt parts in a log line: callers
	// choose them.
	maxLoggedParts     = 16
	maxLoggedPartBytes = 64
)

// recordLoss checks after a failed attempt whether the request was lost: its upstream ended
// before its answer began.
func (p *Proxy) recordLoss(ctx context.Context, call *Call, lease *pool.Lease, f *result.Failure, begun bool) {
	if f == nil || begun || outcomeOf(f) != pool.Broken || !p.hasEnded(ctx, lease, f) {
		return
	}
	p.Metrics.Events.Add("requests-lost-before-answer", 1)
	p.Log.Warn().
		Str("request-id", call.ID).
		Str("peer", string(lease.Upstream.ID)).
		Int64("waited-ms", p.Clock.Now().Sub(call.Arrived).Milliseconds()).
		Int("in-flight-there", lease.InFlight).
		Strs("shared-parts", call.loggedParts()).
		Msg("request lost: its upstream ended before its answer began")
}

// hasEnded reports whether an upstream accepts no connections after an attempt there has
// failed. One that only broke off an answer accepts them.
func (p *Proxy) hasEnded(ctx context.Context, lease *pool.Lease, f *result.Failure) bool {
	if f.Reason == result.UpstreamFailed {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
	defer cancel()
	return !p.UpstreamClient.CanConnect(ctx, lease.Upstream.ID, lease.Upstream.Address)
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last, which is specific to the request.
func (c *Call) sharedParts() []pool.PromptPart {
	if len(c.Parts) == 0 {
		return nil
	}
	return c.Parts[:len(c.Parts)-1]
}

func (c *Call) loggedParts() []string {
	parts := c.sharedParts()
	var ids []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPartBytes)])
	}
	return ids
}
