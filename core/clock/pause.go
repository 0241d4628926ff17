package clock

import (
	"context"
	"time"
)

// Sleep waits by the machine's clock. It returns false when the context ended first; a
// wait that isn't above zero only asks whether it has.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
