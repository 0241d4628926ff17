package load

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/ident"
)

var start = time.Unix(1_000_000, 0)

// TestUpstream runs scripts of one event per line. The first word is the time in
// seconds since the start. Each "look" prints the estimate for a further request.
func TestUpstream(t *testing.T) {
	datadriven.RunTest(t, "testdata/upstream", func(t *testing.T, d *datadriven.TestData) string {
		u := &Upstream{ID: "engine-1"}
		u.Configure(Settings{Slots: 4, Instances: 2})
		var out strings.Builder
		for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
			var seconds float64
			var event string
			var a, b, c int
			if n, _ := fmt.Sscanf(line, "%f %s %d %d %d", &seconds, &event, &a, &b, &c); n < 2 {
				d.Fatalf(t, "can't read %q", line)
			}
			now := start.Add(time.Duration(seconds * float64(time.Second)))
			if event == "look" {
				fmt.Fprintf(&out, "%gs: %s\n", seconds, describe(now, u))
				continue
			}
			apply(now, u, event, a, b, c)
		}
		return out.String()
	})
}

func apply(now time.Time, u *Upstream, event string, a, b, c int) {
	switch event {
	case "begin":
		for range max(1, a) {
			u.Begin(now)
		}
	case "answered": // after a seconds, with b tokens in the response
		u.End(now, Answered, time.Duration(a)*time.Second, b)
	case "refused":
		u.End(now, Refused, 0, 0)
	case "failed":
		u.End(now, Failed, 0, 0)
	case "cancelled":
		u.End(now, Cancelled, 0, 0)
	case "first": // after a milliseconds
		u.ObserveFirstToken(now, time.Duration(a)*time.Millisecond)
	case "report": // a running, b waiting, measured c seconds ago
		u.Observe(now, Report{Running: a, Waiting: b, AsOf: now.Add(-time.Duration(c) * time.Second)})
	case "pace": // a running requests generate b tokens per second
		u.Observe(now, Report{Running: a, TokensPerSecond: float64(b), AsOf: now})
	case "leaving":
		u.Observe(now, Report{Leaving: true, AsOf: now.Add(-time.Duration(a) * time.Second)})
	case "return":
		u.MarkReturned(now)
	default:
		panic(event)
	}
}

func describe(now time.Time, u *Upstream) string {
	p, usable := u.Estimate(now)
	if !usable {
		return fmt.Sprintf("not usable, last resort %t", u.UsableAsLastResort(now))
	}
	total := Sum(now, []*Upstream{u})
	return fmt.Sprintf("wait %s total %s slots %.1f free %.1f", p.Wait.Round(time.Millisecond), p.ResponseTime.Round(time.Millisecond), total.Slots, total.FreeSlots)
}

func TestSumReservesLocalSlots(t *testing.T) {
	busy, idle, leaving := &Upstream{}, &Upstream{}, &Upstream{}
	busy.Observe(start, Report{Running: 8, Waiting: 4, Slots: 8, AsOf: start})
	idle.Observe(start, Report{Slots: 8, AsOf: start})
	leaving.MarkLeaving()
	total := Sum(start, []*Upstream{busy, idle, leaving})
	if total.UsableUpstreams != 2 || total.Slots != 16 || total.FreeSlots != 8 || total.Wait != 0 || math.Abs(total.SpareSlots()-5.6) > 1e-9 {
		t.Errorf("got %+v, spare %.1f", total, total.SpareSlots())
	}
}

func TestPrefixIndexIsBounded(t *testing.T) {
	c := PrefixIndex{MaxPrefixes: 2}
	for prefix := range uint64(3) {
		c.Add(prefix+1, "a")
	}
	c.Add(3, "b")
	c.Remove(2, "a")
	if c.Holds(1, "a") || c.Holds(2, "a") || !c.Holds(3, "a") || !c.Holds(3, "b") || c.Holds(3, "") {
		t.Error("the oldest prefix and the removed one must be absent, the last one present")
	}
	c.RemoveUpstream("a")
	if c.Holds(3, "a") || !c.Holds(3, "b") {
		t.Error("removing one upstream must keep the other")
	}
}

func ExampleUpstream() {
	u := Upstream{ID: "engine-1"}
	u.Observe(start, Report{Running: 8, Waiting: 3, Slots: 8, AsOf: start})
	u.Begin(start)
	p, usable := u.Estimate(start.Add(time.Second))
	fmt.Println(usable, p.Wait)
	// Output: true 3.125s
}

func BenchmarkSum(b *testing.B) {
	for _, size := range []int{3, 10, 40, 121, 1700} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			list := make([]*Upstream, size)
			for i := range list {
				list[i] = &Upstream{ID: ident.Upstream(fmt.Sprint(i))}
				list[i].Observe(start, Report{Running: 4, Slots: 8, AsOf: start})
			}
			b.ReportAllocs()
			for b.Loop() {
				Sum(start, list)
			}
		})
	}
}

func BenchmarkBeginEnd(b *testing.B) {
	u := &Upstream{}
	b.ReportAllocs()
	for b.Loop() {
		u.Begin(start)
		u.End(start, Answered, time.Second, 100)
	}
}
