package clock

import (
	"context"
	"testing"
	"time"
)

// Sleep returns when its duration or the context ends, whichever comes first.
func TestSleep(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Sleep(ctx, time.Millisecond) || !Sleep(ctx, 0) || !Sleep(ctx, -time.Hour) {
		t.Error("Sleep returned false although the context was active")
	}
	time.AfterFunc(10*time.Millisecond, cancel)
	if Sleep(ctx, time.Minute) || Sleep(ctx, 0) {
		t.Error("Sleep returned true after the context had ended")
	}
}
