package invoke

import (
	"math"
	"sync/atomic"
	"time"
)

// idleTimer calls a function once when there was no progress for the timeout. Progress
// only records the time, since resetting a timer for each frame of each stream costs
// more than a timer that fires once per timeout: with a timeout of 30 s and a frame at
// 29 s, the timer that fires at 30 s is reset to 29 s.
type idleTimer struct {
	timeout  time.Duration
	onExpire func()
	started  time.Time
	// last is the time of the latest progress, in nanoseconds since started.
	last atomic.Int64
	// stopped prevents fire from resetting the timer after stop.
	stopped atomic.Bool
	timer   *time.Timer
}

// newIdleTimer starts a timer. The function is called in its own goroutine.
func newIdleTimer(timeout time.Duration, onExpire func()) *idleTimer {
	t := &idleTimer{timeout: timeout, onExpire: onExpire, started: time.Now()}
	// fire reads the field timer, so the timer must not fire before the field is set.
	t.timer = time.AfterFunc(math.MaxInt64, t.fire)
	t.timer.Reset(timeout)
	return t
}

// recordProgress records the time at which data arrived.
func (t *idleTimer) recordProgress() {
	t.last.Store(int64(time.Since(t.started)))
}

// stop stops the timer. It does not wait for a call that is already running.
func (t *idleTimer) stop() {
	t.stopped.Store(true)
	t.timer.Stop()
}

func (t *idleTimer) fire() {
	idle := time.Since(t.started) - time.Duration(t.last.Load())
	if idle >= t.timeout {
		t.onExpire()
		return
	}
	t.timer.Reset(t.timeout - idle)
	if t.stopped.Load() {
		t.timer.Stop()
	}
}
