package proof

import (
	"fmt"
	"testing"
	"time"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
	"arbutustrestle/io/bench"
	"arbutustrestle/io/emul"
)

// TestPlaceTakenAwayFromAStream takes a workspace's place away while its plan is
// streamed there. The plan would last for minutes; it has to end with the table.
func TestPlaceTakenAwayFromAStream(t *testing.T) {
	t.Parallel()
	w := start(t, shape{entries: []string{"west-1", "north-1"}, engines: []string{"west-1", "north-1"}, engineFlags: []string{"-step-time", "100ms"}})
	ended := make(chan *result.Failure, 1)
	go func() {
		_, failure := w.client.Call(w.ctx, w.entry("west-1").Caller, &bench.Request{
			Workspace: "everywhere", Class: table.Session, Timeout: 10 * time.Minute,
			Model: "planner", Prompt: emul.WorkspaceMarker("everywhere"), MaxTokens: 6000,
		})
		ended <- failure
	}()
	streams := func(state emul.RunState) func() error {
		return func() error {
			for _, r := range w.runs("engine")["engine-west-1"] {
				if r.State == state {
					return nil
				}
			}
			return fmt.Errorf("no run is %s", state)
		}
	}
	w.until(func() error {
		status, err := w.status(w.entry("west-1"))
		if err == nil && status.InFlight == 0 {
			err = fmt.Errorf("nothing is in flight")
		}
		return err
	})
	w.until(streams(emul.Running))
	w.must(w.SetCell("workspaces", "everywhere", "home", "north-eu"))
	w.publish("workspaces", "everywhere", "places", "north-eu")
	failure := <-ended
	if failure == nil || failure.Outcome != result.Unknown || failure.Reason != result.PlaceForbidden {
		t.Errorf("the stream ended as %v", failure)
	}
	w.until(streams(emul.Cancelled))
}
