package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration on the machine's clock. It returns false if the context
// ended first. A duration of zero or less doesn't wait; Sleep then reports only
// whether the context is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
