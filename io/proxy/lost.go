package proxy

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/poison"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/reach"
	"arbutustrestle/core/result"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/syncer"
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

// recordLoss checks after a failed attempt whether its upstream has ended, and whether the request
// may have been the cause, by how far its answer had come. An upstream that can't be reached any more because
// this instance was cut off looks the same, so that another one must be reached.
func (p *Proxy) recordLoss(ctx context.Context, call *Call, lease *pool.Lease, attempt *reach.Attempt, f *result.Failure, progress poison.Progress) {
	if f == nil || !mayHaveEnded(f) || !p.hasEnded(ctx, lease, f) {
		return
	}
	if !attempt.ReachedSince() && !p.reachesOthers(ctx, lease.Upstream.ID) {
		p.Metrics.Events.Add("failures-without-reach", 1)
		return
	}
	lease.MarkEnded(p.Clock.Now())
	if progress == poison.Running {
		return
	}
	changes := p.Poison.RequestLost(p.Clock.Now(), poison.LossID(call.ID, lease.Upstream.ID), call.traits(), progress)
	syncer.RecordConvictions(p.Log, p.Metrics, changes)
	p.Metrics.Events.Add("requests-lost-before-answer", 1)
	p.Log.Warn().
		Str("request-id", logs.ShortID(call.ID)).
		Str("peer", string(lease.Upstream.ID)).
		Int64("waited-ms", p.Clock.Now().Sub(call.Arrived).Milliseconds()).
		Int("in-flight-there", lease.InFlight).
		Bool("begun", progress == poison.JustBegun).
		Str("fingerprint", call.loggedFingerprint()).
		Strs("shared-parts", call.loggedParts()).
		Msg("request lost: its upstream ended before its answer had outlasted its beginning")
}

// mayHaveEnded reports whether a failure leaves it open whether its upstream has ended by the
// request. One that wasn't sent can't have ended it.
func mayHaveEnded(f *result.Failure) bool {
	outcome := outcomeOf(f)
	return f.Outcome != result.NotRun && (outcome == pool.Broken || outcome == pool.Silent)
}

// hasEnded reports whether an upstream accepts no connections after an attempt there has
// failed. One that only broke off an answer accepts them.
func (p *Proxy) hasEnded(ctx context.Context, lease *pool.Lease, f *result.Failure) bool {
	return f.Reason == result.UpstreamFailed || p.refusesConnections(ctx, lease.Upstream.ID, lease.Upstream.Address)
}

// refusesConnections reports whether no connection to an upstream opens. All requests and
// connections that were there fail at once; one of them checks for all.
func (p *Proxy) refusesConnections(ctx context.Context, id ident.Upstream, address netip.AddrPort) bool {
	refuses, _, _ := p.endChecks.Do(string(id), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
		defer cancel()
		return !p.UpstreamClient.KeepsConnection(ctx, id, address), nil
	})
	return refuses == true
}

// ConnsClosed checks whether an upstream has ended after it has closed its connections here
// without notice. It may be back before the list shows that it has started again.
func (p *Proxy) ConnsClosed(id ident.Upstream, address netip.AddrPort) {
	ctx := context.Background()
	if !p.Pool.ExpectsRequests(id, address) || !p.refusesConnections(ctx, id, address) {
		return
	}
	if !p.reachesOthers(ctx, id) {
		p.Metrics.Events.Add("failures-without-reach", 1)
		return
	}
	if p.Pool.MarkEnded(p.Clock.Now(), id, address) {
		p.Metrics.Events.Add("upstreams-ended", 1)
		p.Log.Info().Str("peer", string(id)).Msg("upstream has ended: it closed its connections and takes no new one")
	}
}

// otherTargets is the number of further upstreams that show whether this instance is cut off.
const otherTargets = 3

// reachesOthers reports whether one of a few further upstreams of the region, of any service,
// accepts a connection. It is true if there are none: nothing tells then.
func (p *Proxy) reachesOthers(ctx context.Context, but ident.Upstream) bool {
	targets := p.Pool.OtherTargets(but, otherTargets)
	if len(targets) == 0 {
		return true
	}
	reached, _, _ := p.endChecks.Do("others", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
		defer cancel()
		results := make(chan bool, len(targets))
		for _, u := range targets {
			go func() { results <- p.UpstreamClient.CanConnect(ctx, u.ID, u.Address) }()
		}
		for range targets {
			if <-results {
				return true, nil
			}
		}
		return false, nil
	})
	return reached == true
}

// refusePoisoned refuses a request that ends upstreams, or with a prompt part that does.
func (p *Proxy) refusePoisoned(call *Call) *result.Failure {
	finding, refused := p.Poison.Check(p.Clock.Now(), call.traits())
	if !refused {
		return nil
	}
	if finding.Trait == call.traits().Fingerprint {
		failure := refuse(result.StepAdmit, result.PoisonedRequest, finding.RetryAfter)
		failure.Cause = errors.Errorf("request %s ended upstreams: it was lost %d times, the last time %s ago",
			call.loggedFingerprint(), finding.Losses, finding.Age.Round(time.Millisecond))
		return failure
	}
	failure := refuse(result.StepAdmit, result.PoisonedPrompt, finding.RetryAfter)
	failure.Cause = errors.Errorf("prompt part %q ended upstreams: %d requests with it were lost, the last one %s ago",
		call.partID(finding.Trait), finding.Losses, finding.Age.Round(time.Millisecond))
	return failure
}

// partID returns the id of a shared part with the given key, as it is logged.
func (c *Call) partID(key gossip.TraitKey) string {
	for _, part := range c.sharedParts() {
		if poison.PartKey(part.ID) == key {
			return part.ID[:min(len(part.ID), maxLoggedPartBytes)]
		}
	}
	return ""
}

// traits returns the keys of the request itself and of the shared parts of its prompt.
func (c *Call) traits() gossip.Traits {
	if c.evidenceTraits.Fingerprint != 0 {
		return c.evidenceTraits
	}
	c.evidenceTraits.Fingerprint = gossip.TraitKey(c.fingerprint())
	for _, part := range c.sharedParts() {
		c.evidenceTraits.Parts = append(c.evidenceTraits.Parts, poison.PartKey(part.ID))
	}
	return c.evidenceTraits
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
