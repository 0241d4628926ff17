package invoke

import (
	"math"
	"sync/atomic"
	"time"
)

// idleTimer calls a function once when nothing has made progress for a limit.
// Progress only notes the time, since moving a timer for each frame of each stream
// costs more than waking up once in a limit: with a limit of 30 s, and a frame at
// 29 s, the timer that fires at 30 s is set again for 29 s.
type idleTimer struct {
	limit   time.Duration
	expired func()
	started time.Time
	// last is the time of the last progress, in nanoseconds since started.
	last atomic.Int64
	// stopped keeps fire from setting the timer again after stop.
	stopped atomic.Bool
	timer   *time.Timer
}

// newIdleTimer starts a timer. The function is called in a goroutine of its own.
func newIdleTimer(limit time.Duration, expired func()) *idleTimer {
	t := &idleTimer{limit: limit, expired: expired, started: time.Now()}
	// The timer may fire only once its own field is set, which fire reads.
	t.timer = time.AfterFunc(math.MaxInt64, t.fire)
	t.timer.Reset(limit)
	return t
}

// progress notes that something arrived.
func (t *idleTimer) progress() {
	t.last.Store(int64(time.Since(t.started)))
}

// stop ends the timer. A call that has begun goes on.
func (t *idleTimer) stop() {
	t.stopped.Store(true)
	t.timer.Stop()
}

func (t *idleTimer) fire() {
	idle := time.Since(t.started) - time.Duration(t.last.Load())
	if idle >= t.limit {
		t.expired()
		return
	}
	t.timer.Reset(t.limit - idle)
	if t.stopped.Load() {
		t.timer.Stop()
	}
}
