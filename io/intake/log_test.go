package intake

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/clock"
)

// TestRefusalsAreLoggedOnceASecond guards against a crowd that fills the log: its refusals share a line a
// second, which counts all of them.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	var log bytes.Buffer
	c := clock.NewManual(time.Unix(1000, 0))
	e := &events{}
	g := &Gate{Clock: c, Log: zerolog.New(&log), Events: e}
	g.Start()
	for range 1000 {
		g.count(refusedHead)
		c.Advance(2 * time.Millisecond)
	}
	c.Advance(time.Second)
	g.count(closedIdle)
	if lines := strings.Count(log.String(), "\n"); lines != 3 {
		t.Errorf("%d lines in 3 s", lines)
	}
	if !strings.Contains(log.String(), `"idle":1,"memory-bytes":0`) || !strings.Contains(log.String(), `"head-too-large":500`) {
		t.Error(log.String())
	}
	if e.count(refusedHead) != 1000 {
		t.Errorf("%d counted", e.count(refusedHead))
	}
}
