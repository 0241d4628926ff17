package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
)

// upstreamWatch ends an attempt whose upstream is unreachable. An upstream that has lost
// power closes no connection, so its requests would wait until their callers time out. A
// process that is only paused still accepts connections, and its attempts continue.
type upstreamWatch struct {
	// parts counts the parts of the answer that have arrived.
	parts atomic.Int64
	wait  time.Duration
	timer *time.Timer
}

// watchUpstream starts a watch of an attempt at an upstream of the region. After a long
// time without data it opens a connection to the upstream; if that fails and no part of
// the answer has arrived meanwhile, it cancels the attempt. Attempts that may be
// repeated elsewhere are mostly cancelled earlier, by the first-byte timer and the stall
// timer.
func (p *Proxy) watchUpstream(ctx context.Context, call *Call, lease *pool.Lease, cancel context.CancelCauseFunc) *upstreamWatch {
	w := &upstreamWatch{wait: max(stallTimeout(call.Route), lease.FirstByte)}
	w.timer = time.AfterFunc(time.Hour, func() {
		before := w.parts.Load()
		reached := p.UpstreamClient.CanConnect(ctx, lease.Upstream.ID, lease.Upstream.Address)
		if ctx.Err() != nil {
			return
		}
		if reached || w.parts.Load() != before {
			w.timer.Reset(w.wait)
			return
		}
		p.Metrics.Events.Add("upstream-gone-in-answer", 1)
		cancel(&result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: result.UpstreamFailed, Peer: string(lease.Upstream.ID)})
	})
	w.timer.Reset(w.wait)
	return w
}

// partReceived records that a part of the answer has arrived.
func (w *upstreamWatch) partReceived() {
	w.parts.Add(1)
	w.timer.Reset(w.wait)
}

// stop ends the watch.
func (w *upstreamWatch) stop() {
	w.timer.Stop()
}
