package cmds

import (
	"strings"
	"testing"
)

// sampleLog holds log lines of two instances. The last line is cut off.
const sampleLog = `{"level":"info","instance":"galle-2","zone":"galle-hall","revision":18,"time":"2026-07-09T08:48:36.270Z","message":"zone evacuated"}
   23.1 galle-2 {"level":"info","instance":"galle-2","upstream":"i-7f3d","draining":false,"cold":2997,"revision":34,"time":"2026-07-09T08:48:55.390Z","message":"upstream changed"}
{"level":"info","instance":"galle-2","upstream":"i-other","draining":true,"time":"2026-07-09T08:48:55.400Z","message":"upstream changed"}
{"level":"warn","instance":"galle-2","request-id":"cc99","peer":"i-7f3d","step":"stream","reason":"answer-cut","sends":1,"time":"2026-07-09T08:48:56.003Z","message":"request not answered"}
{"level":"info","instance":"kandy-1","member":"galle-2","alive":false,"start":1783673348596408123,"time":"2026-07-09T08:48:50.000Z","message":"member changed"}
{"level":"info","instance":"kandy-1","zone":"kandy-hall","time":"2026-07-09T08:48:50.000Z","message":"zone evacuated"}
{"level":"info","instance":"galle-2","request-id":"dd00","time":"2026-07-09T08:48:56.000Z","message":"request answered"}
{"level":"warn","instance":"galle-2","dependency":"platform","time":"2026-07-09T08:40:00.000Z","message":"dependency lost"}
{"level":"info","instance":"galle-2","request-id":"cc9`

// TestExplain checks which lines belong to the timeline of a request: its own lines, the
// changes of state at its instance, and those at any instance that concern the upstreams
// and instances involved. Lines of other requests, of other upstreams and from long
// before must be left out.
func TestExplain(t *testing.T) {
	lines, err := parseLog(strings.NewReader(sampleLog))
	if err != nil || len(lines) != 8 {
		t.Fatalf("%d lines, error %v", len(lines), err)
	}
	var got []string
	for _, l := range requestTimeline("cc99", lines) {
		got = append(got, l.String())
	}
	want := []string{
		"08:48:36.270 galle-2: zone evacuated revision=18 zone=galle-hall",
		"08:48:50.000 kandy-1: member changed alive=false member=galle-2 start=1783673348596408123",
		"08:48:55.390 galle-2: upstream changed cold=2997 draining=false revision=34 upstream=i-7f3d",
		"08:48:56.003 galle-2: request not answered peer=i-7f3d reason=answer-cut request-id=cc99 sends=1 step=stream",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("timeline:\n%s", strings.Join(got, "\n"))
	}
	if len(requestTimeline("unknown", lines)) != 0 {
		t.Error("an unknown request has a timeline")
	}
}
