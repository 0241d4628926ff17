package clock

import (
	"context"
	"testing"
	"time"
)

// A pause ends with its time or with the context, whichever comes first.
func TestPause(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if !Pause(ctx, time.Millisecond) || !Pause(ctx, 0) || !Pause(ctx, -time.Hour) {
		t.Error("ended early")
	}
	time.AfterFunc(10*time.Millisecond, cancel)
	if Pause(ctx, time.Minute) || Pause(ctx, 0) {
		t.Error("went on after the context")
	}
}
