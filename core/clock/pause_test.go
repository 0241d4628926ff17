package clock

import (
	"context"
	"testing"
	"time"
)

// A pause ends with its time or with the context, whichever comes first.
func TestPause(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Sleep(ctx, time.Millisecond) || !Sleep(ctx, 0) || !Sleep(ctx, -time.Hour) {
		t.Error("ended early")
	}
	time.AfterFunc(10*time.Millisecond, cancel)
	if Sleep(ctx, time.Minute) || Sleep(ctx, 0) {
		t.Error("went on after the context")
	}
}
