package proxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/quota"
	"arbutustrestle/core/result"
	"arbutustrestle/io/logs"
	"arbutustrestle/io/wire"
)

// drawTimeout bounds a draw of tokens at one instance of the region.
const drawTimeout = 150 * time.Millisecond

// admitQuota takes the cost of a request from the quota of its workspace, before it is sent
// anywhere. It is called once for each request of a caller: neither retries nor relayed requests
// are counted again.
func (p *Proxy) admitQuota(ctx context.Context, call *Call) *result.Failure {
	if call.Workspace == nil || p.Quota == nil {
		return nil
	}
	cost := call.Workspace.Quota.Cost(call.PromptTokens, call.OutputTokens)
	decision := p.Quota.Take(p.Clock.Now(), call.Workspace.Name, cost)
	for {
		switch d := decision.(type) {
		case quota.Draw:
			decision = p.drawQuota(ctx, call, d)
		case quota.Refused:
			return p.refuseQuota(call, cost, d)
		default:
			return nil
		}
	}
}

// returnQuota gives back the cost of a request that was sent nowhere.
func (p *Proxy) returnQuota(call *Call, f *result.Failure) {
	if call.Workspace == nil || p.Quota == nil || f == nil || f.Outcome != result.NotRun || call.sends > 0 {
		return
	}
	p.Quota.Return(p.Clock.Now(), call.Workspace.Name, call.Workspace.Quota.Cost(call.PromptTokens, call.OutputTokens))
}

// drawQuota draws tokens at the first holder that answers.
func (p *Proxy) drawQuota(ctx context.Context, call *Call, d quota.Draw) quota.Decision {
	name := call.Workspace.Name
	var answer quota.Answer
	if d.After > 0 {
		p.Metrics.Events.Add("quota-draws-after-loans", 1)
		p.Loop.AskLoans(name)
		if !clock.Sleep(ctx, d.After) {
			return p.Quota.Settle(p.Clock.Now(), name, d, answer)
		}
	}
	for _, holder := range d.From {
		address, known := p.peerAddress(holder)
		if !known {
			continue
		}
		p.Metrics.Events.Add("quota-draws", 1)
		drawCtx, cancel := context.WithTimeout(ctx, drawTimeout)
		m, err := p.Links.DrawQuota(drawCtx, address, &wire.QuotaDraw{Workspace: string(name), Need: d.Need, Extra: d.Extra})
		cancel()
		if err == nil {
			answer = wire.QuotaAnswerFromWire(m)
			break
		}
		p.Metrics.Events.Add("quota-draws-failed", 1)
		p.Log.Info().Err(err).Str("request-id", logs.ShortID(call.ID)).Str("workspace", string(name)).Str("peer", string(holder)).Msg("quota tokens not drawn; the next instance in rank is asked")
	}
	return p.Quota.Settle(p.Clock.Now(), name, d, answer)
}

func (p *Proxy) peerAddress(id ident.Instance) (netip.AddrPort, bool) {
	for _, m := range p.Loop.View().Membership.Members {
		if m.ID == id {
			return m.PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}

// refuseQuota refuses a request with the time to come back, spread over a part of it.
func (p *Proxy) refuseQuota(call *Call, cost float64, r quota.Refused) *result.Failure {
	after := r.RetryAfter + time.Duration(rand.Float64()*retryAfterJitter*float64(r.RetryAfter))
	p.Log.Info().
		Str("request-id", logs.ShortID(call.ID)).
		Str("workspace", string(call.Workspace.Name)).
		Float64("cost", cost).
		Float64("quota-per-second", call.Workspace.Quota.PerSecond).
		Int64("retry-after-ms", after.Milliseconds()).
		Msg("request refused; its workspace is at its quota")
	return refuse(result.StepAdmit, result.WorkspaceLimit, after)
}
