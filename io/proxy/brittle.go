package proxy

import (
	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/logs"
)

// recordBrittle records what an answer says of the upstream's brittleness. Like a limit, it
// doesn't end by an answer that nothing ran for, or that the upstream did not make itself.
func (p *Proxy) recordBrittle(call *Call, lease *pool.Lease, m http1.AnswerMeta) {
	if m.BrittleError != nil {
		p.Metrics.Events.Add("brittle-not-valid", 1)
		p.Log.Error().Err(m.BrittleError).Str("request-id", logs.ShortID(call.ID)).Str("peer", string(lease.Upstream.ID)).Msg("whether an upstream is brittle not read; what it said before holds")
		return
	}
	if !m.Brittle.Named && (m.NotRun || !m.Signed) {
		return
	}
	if !lease.ReportBrittle(p.Clock.Now(), m.Brittle) {
		return
	}
	p.Metrics.Events.Add("brittle-changes", 1)
	p.Log.Info().
		Str("request-id", logs.ShortID(call.ID)).
		Str("peer", string(lease.Upstream.ID)).
		Bool("brittle", m.Brittle.Named).
		Float64("rejections-per-second", m.Brittle.PerSecond).
		Msg("brittleness of an upstream changed")
}

// maxBrittleRejections is how often one request may be rejected by brittle upstreams: a
// rejection is tried again once.
const maxBrittleRejections = 2

// mayRetryRejection reports whether a request may be tried again after a failed attempt as far
// as its service is brittle. It counts the rejections.
func (p *Proxy) mayRetryRejection(call *Call, f *result.Failure) bool {
	if f.Reason != result.UpstreamRefused || !p.Pool.IsBrittle(call.Service) {
		return true
	}
	call.brittleRejections++
	p.Metrics.Events.Add("brittle-rejections", 1)
	return call.brittleRejections < maxBrittleRejections
}
