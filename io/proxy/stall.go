package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
)

// silence ends an attempt whose upstream is gone. An upstream that has lost its power
// closes nothing, so that its requests would wait until their callers give up. One that
// only stands still for a while takes connections all the same, and is left alone.
type silence struct {
	// parts counts what was heard of the answer.
	parts atomic.Int64
	wait  time.Duration
	timer *time.Timer
}

// listen watches any attempt at an upstream of the region. After a long silence it opens
// a connection there; when that fails, and nothing was heard meanwhile, it cancels the
// attempt. Of attempts that may be made elsewhere, patience and stall end most before.
func (c *Proxy) listen(ctx context.Context, call *Call, lease *pool.Lease, cancel context.CancelCauseFunc) *silence {
	s := &silence{wait: max(stallTime(call.Route), lease.FirstByte)}
	s.timer = time.AfterFunc(time.Hour, func() {
		before := s.parts.Load()
		reached := c.UpstreamClient.CanConnect(ctx, lease.Upstream.ID, lease.Upstream.Address)
		if ctx.Err() != nil {
			return
		}
		if reached || s.parts.Load() != before {
			s.timer.Reset(s.wait)
			return
		}
		c.Metrics.Events.Add("upstream-gone-in-answer", 1)
		cancel(&result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: result.UpstreamFailed, Peer: string(lease.Upstream.ID)})
	})
	s.timer.Reset(s.wait)
	return s
}

// heard notes that a part of the answer has come.
func (s *silence) heard() {
	s.parts.Add(1)
	s.timer.Reset(s.wait)
}

// stop ends the watch.
func (s *silence) stop() {
	s.timer.Stop()
}
