package proxy

import (
	"time"

	"arbutustrestle/core/pool"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/logs"
)

// recordSelfReport records what an answer says of its upstream. What can't be read changes
// nothing.
func (p *Proxy) recordSelfReport(call *Call, lease *pool.Lease, m http1.AnswerMeta) {
	if m.ColdFor > 0 {
		lease.MarkCold(p.Clock.Now(), m.ColdFor)
	}
	p.recordLimit(call, lease, m)
	p.recordBrittle(call, lease, m)
	p.recordLeaving(call, lease, m)
	p.recordPause(call, lease, m)
}

// recordLimit records what an answer says of the upstream's limit. What is no limit
// changes nothing. An answer that nothing ran for, or that the upstream did not make
// itself, doesn't lift a limit.
func (p *Proxy) recordLimit(call *Call, lease *pool.Lease, m http1.AnswerMeta) {
	if m.LimitError != nil {
		p.Metrics.Events.Add("limits-not-valid", 1)
		p.Log.Error().Err(m.LimitError).Str("request-id", logs.ShortID(call.ID)).Str("peer", string(lease.Upstream.ID)).Msg("limit of an upstream not read; the one before holds")
		return
	}
	if !m.Limit.Named && (m.NotRun || !m.Signed) {
		return
	}
	if !lease.ReportLimit(p.Clock.Now(), m.Limit) {
		return
	}
	p.Metrics.Events.Add("limit-changes", 1)
	p.Log.Info().
		Str("request-id", logs.ShortID(call.ID)).
		Str("peer", string(lease.Upstream.ID)).
		Bool("named", m.Limit.Named).
		Float64("limit-per-second", m.Limit.PerSecond).
		Msg("limit of an upstream changed")
}

// recordLeaving records that the upstream leaves, so that it gets no more requests from the
// instances of this region.
func (p *Proxy) recordLeaving(call *Call, lease *pool.Lease, m http1.AnswerMeta) {
	if m.LeavingError != nil {
		p.Metrics.Events.Add("leaving-not-valid", 1)
		p.Log.Error().Err(m.LeavingError).Str("request-id", logs.ShortID(call.ID)).Str("peer", string(lease.Upstream.ID)).Msg("whether an upstream leaves not read")
	}
	if !m.Leaving || !lease.ReportLeaving() {
		return
	}
	p.Metrics.Events.Add("upstreams-leaving", 1)
	p.Log.Info().Str("request-id", logs.ShortID(call.ID)).Str("peer", string(lease.Upstream.ID)).Msg("upstream says that it leaves")
}

// recordPause records how long an upstream that has refused a request wants none.
func (p *Proxy) recordPause(call *Call, lease *pool.Lease, m http1.AnswerMeta) {
	if m.PauseError != nil {
		p.Metrics.Events.Add("pauses-not-valid", 1)
		p.Log.Error().Err(m.PauseError).Str("request-id", logs.ShortID(call.ID)).Str("peer", string(lease.Upstream.ID)).Msg("pause of an upstream not read")
	}
	if m.PauseFor <= 0 {
		return
	}
	kept := lease.ReportPause(p.Clock.Now(), m.PauseFor)
	p.Metrics.Events.Add("upstream-pauses", 1)
	p.Log.Info().
		Str("request-id", logs.ShortID(call.ID)).
		Str("peer", string(lease.Upstream.ID)).
		Int64("pause-ms", kept.Milliseconds()).
		Bool("shortened", kept < m.PauseFor.Truncate(time.Millisecond)).
		Msg("upstream wants no requests for a while")
}
