package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"arbutustrestle/core/pool"
	"arbutustrestle/core/result"
	"arbutustrestle/core/spec"
)

const (
	// stallFactor is the time without data, in multiples of the route's event gap
	// objective, after which a resumable stream is resumed at another upstream.
	stallFactor = 5
	// minStallTimeout is the lower bound of that time.
	minStallTimeout = 1500 * time.Millisecond
)

// stallTimeout returns the time without data after which a stream counts as stalled.
func stallTimeout(r *spec.Route) time.Duration {
	return max(stallFactor*r.EventGapObjective, minStallTimeout)
}

// eventTimeout returns the time without a whole event after which a stream counts as stalled,
// though bytes arrive: callers give up soon after.
func eventTimeout(r *spec.Route) time.Duration {
	return stallTimeout(r) * 3 / 2
}

// stallTimer cancels an attempt at a resumable stream after a long time without data or without
// a whole event, so that the stream goes on at another upstream. Its zero value does nothing.
type stallTimer struct {
	timer       *time.Timer
	data, event time.Duration
	// events is the number of whole events, and lastEvent when the last one was passed on.
	events    int
	lastEvent time.Time
}

// startStallTimer starts the timer of an attempt if another one may follow.
func (p *Proxy) startStallTimer(call *Call, cancel context.CancelCauseFunc) *stallTimer {
	if !call.Route.Resumable || call.sends >= call.Route.MaxAttempts {
		return &stallTimer{}
	}
	t := &stallTimer{data: stallTimeout(call.Route), event: eventTimeout(call.Route), lastEvent: p.Clock.Now()}
	t.timer = time.AfterFunc(t.data, func() {
		cancel(&result.Failure{Outcome: result.Unknown, Step: result.StepStream, Reason: result.IdleTimeout})
	})
	return t
}

// reset starts the wait for the next data. events is the number of whole events so far.
func (t *stallTimer) reset(now time.Time, events int) {
	if t.timer == nil {
		return
	}
	if events > t.events {
		t.events, t.lastEvent = events, now
	}
	t.timer.Reset(min(t.data, t.lastEvent.Add(t.event).Sub(now)))
}

func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

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
