package drain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/drain"
	"arbutustrestle/core/ident"
)

func Example() {
	var d drain.Drain
	now := time.Unix(0, 0)
	d.Step(now, drain.InFlight{Requests: 1, LastDeadline: now.Add(20 * time.Second)})
	for _, e := range []drain.Event{drain.Stop{}, drain.Tick{}, drain.HandoverResult{Attempt: 1, Complete: true}, drain.InFlight{}} {
		for _, a := range d.Step(now, e) {
			fmt.Printf("%s %s %T\n", now.Sub(time.Unix(0, 0)), d.Phase(), a)
		}
		now = now.Add(3 * time.Second)
	}
	// Output:
	// 0s announced drain.Announce
	// 3s handing-over drain.RefuseNew
	// 3s handing-over drain.HandOver
	// 9s gone drain.Exit
}

// TestDrain runs operations such as "2s flight 3 1 60s": at 2 s, three requests are
// in flight, one of them keyed, with the last deadline at 60 s.
func TestDrain(t *testing.T) {
	datadriven.RunTest(t, "testdata/drain", func(t *testing.T, c *datadriven.TestData) string {
		var d drain.Drain
		var out []string
		for op := range strings.SplitSeq(strings.ReplaceAll(c.Input, "\n", ";"), ";") {
			f := strings.Fields(op)
			at, _ := time.ParseDuration(f[0])
			var e drain.Event = drain.Tick{}
			switch f[1] {
			case "stop":
				e = drain.Stop{}
			case "abort":
				e = drain.Abort{}
			case "handed-over":
				e = drain.HandoverResult{Attempt: int(f[2][0] - '0'), Complete: f[3] == "complete"}
			case "flight":
				var flight drain.InFlight
				var last string
				_, _ = fmt.Sscan(strings.Join(f[2:], " "), &flight.Requests, &flight.Keyed, &last)
				deadline, _ := time.ParseDuration(last)
				flight.LastDeadline = time.Unix(0, 0).Add(deadline)
				e = flight
			}
			actions := ""
			before := d.Phase()
			for _, a := range d.Step(time.Unix(0, 0).Add(at), e) {
				if r, ok := a.(drain.Report); ok {
					actions += fmt.Sprintf("Report{%d %s} ", r.Requests, r.LastDeadline.Sub(time.Unix(0, 0)))
					continue
				}
				actions += strings.TrimPrefix(fmt.Sprintf("%T%+v ", a, a), "drain.")
			}
			if actions != "" || d.Phase() != before {
				out = append(out, strings.TrimSpace(fmt.Sprintf("%s %s %s", f[0], d.Phase(), actions)))
			}
		}
		return strings.Join(out, "; ")
	})
}

// TestLeavingUpstreamExcludedDespiteStaleList checks that a leaving upstream gets no
// new requests while the published list still shows it as "live". The upstream
// leaves after 2 s; its load is polled every second with a timeout of 1 s.
func TestLeavingUpstreamExcludedDespiteStaleList(t *testing.T) {
	const maxDelay, tick, leavesAt = 5 * time.Second, 100 * time.Millisecond, 2 * time.Second
	for name, respond := range map[string]func(*drain.UpstreamTracker, time.Time, bool){
		"reports it in a load report": func(tracker *drain.UpstreamTracker, now time.Time, poll bool) {
			if poll {
				tracker.Observe(drain.SelfReport{Upstream: "u", Leaving: true, AsOf: now})
			}
		},
		"reports it in a header": func(tracker *drain.UpstreamTracker, _ time.Time, poll bool) {
			if !poll {
				tracker.Observe(drain.SelfReport{Upstream: "u", Leaving: true})
			}
		},
		"refuses connections": func(tracker *drain.UpstreamTracker, _ time.Time, _ bool) {
			tracker.Observe(drain.Unreachable{Upstream: "u"})
		},
		"hangs": func(tracker *drain.UpstreamTracker, now time.Time, poll bool) { // requests have a far longer timeout than polls
			if poll && now.After(time.Unix(0, 0).Add(leavesAt+time.Second)) { // the first poll has timed out

				tracker.Observe(drain.Unreachable{Upstream: "u"})
			}
		},
	} {
		var tracker drain.UpstreamTracker
		lastWork := time.Duration(0)
		tracker.Observe(drain.Listed{Upstream: "u"})
		for since := time.Duration(0); since < time.Minute; since += tick {
			now := time.Unix(0, 0).Add(since)
			if since%time.Second == 0 {
				tracker.Observe(drain.Listed{Upstream: "u"})
				if since <= leavesAt {
					tracker.Observe(drain.SelfReport{Upstream: "u", AsOf: now})
				} else {
					respond(&tracker, now, true)
				}
			}
			if tracker.Exclusion("u") == drain.NotExcluded {
				lastWork = since
				if since > leavesAt {
					respond(&tracker, now, false)
				}
			}
		}
		t.Logf("upstream %s: last new request %s after it left", name, lastWork-leavesAt)
		if lastWork-leavesAt > maxDelay {
			t.Errorf("upstream %s: new requests for %s after it left", name, lastWork-leavesAt)
		}
	}
}

func TestUpstreamTracker(t *testing.T) {
	var tracker drain.UpstreamTracker
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	for i, c := range []struct {
		observation drain.Observation
		want        drain.Exclusion
	}{
		{drain.Unreachable{Upstream: "other"}, drain.ExcludedByList},
		{drain.Listed{Upstream: "u"}, drain.NotExcluded},
		{drain.Unreachable{Upstream: "u"}, drain.NotExcluded},
		{drain.Unreachable{Upstream: "u"}, drain.ExcludedByFailure},
		{drain.SelfReport{Upstream: "u", AsOf: at(5)}, drain.NotExcluded},
		{drain.SelfReport{Upstream: "u", Leaving: true, AsOf: at(9)}, drain.ExcludedBySelfReport},
		{drain.SelfReport{Upstream: "u", AsOf: at(7)}, drain.ExcludedBySelfReport}, // arrives late
		{drain.SelfReport{Upstream: "u"}, drain.ExcludedBySelfReport},              // answer without the header
		{drain.Listed{Upstream: "u"}, drain.ExcludedBySelfReport},                  // stale list
		{drain.SelfReport{Upstream: "u", AsOf: at(11)}, drain.NotExcluded},         // replaced by an upstream with the same name
		{drain.Listed{Upstream: "u", Leaving: true}, drain.ExcludedByList},
		{drain.SelfReport{Upstream: "u", AsOf: at(12)}, drain.ExcludedByList},
		{drain.Delisted{Upstream: "u"}, drain.ExcludedByList},
	} {
		tracker.Observe(c.observation)
		if got := tracker.Exclusion("u"); got != c.want {
			t.Errorf("observation %d: got %s, want %s", i, got, c.want)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{100, 1700} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var tracker drain.UpstreamTracker
			names := make([]ident.Upstream, size)
			for i := range names {
				names[i] = ident.Upstream(fmt.Sprintf("engine-%d", i))
				tracker.Observe(drain.Listed{Upstream: names[i]})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tracker.Exclusion(names[i%size])
			}
		})
	}
}
