package invoke

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestIdleTimer checks that the timer expires exactly one timeout after the latest
// progress, to the nanosecond, however often it was reset before, and that it doesn't
// expire after stop.
func TestIdleTimer(t *testing.T) {
	const timeout = 30 * time.Second
	for _, c := range []struct {
		progress []time.Duration
		stop     time.Duration
		want     time.Duration
	}{
		{nil, 0, timeout},
		{[]time.Duration{1}, 0, timeout + 1},
		{[]time.Duration{29 * time.Second, 58 * time.Second, 58*time.Second + 1}, 0, 88*time.Second + 1},
		{[]time.Duration{timeout - 1, timeout - 1 + timeout - 1}, 0, 3*timeout - 2},
		{[]time.Duration{10 * time.Second}, 35 * time.Second, 0},
		{nil, 29 * time.Second, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			expired := time.Duration(0)
			idle := newIdleTimer(timeout, func() { expired += time.Since(started) })
			for _, at := range c.progress {
				time.Sleep(time.Until(started.Add(at)))
				idle.recordProgress()
			}
			if c.stop > 0 {
				time.Sleep(time.Until(started.Add(c.stop)))
				idle.stop()
			}
			time.Sleep(10 * timeout)
			synctest.Wait()
			if expired != c.want {
				t.Errorf("progress at %v, stop at %v: expired at %v, not %v", c.progress, c.stop, expired, c.want)
			}
		})
	}
}
