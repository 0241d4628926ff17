package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"arbutustrestle/core/result"
	"arbutustrestle/core/table"
)

var start = time.Unix(1_000_000, 0)

// TestGate runs scripts of one event per line. The first word is the time in seconds
// since the start. "drain 4" ends four service calls per second for ten seconds.
func TestGate(t *testing.T) {
	datadriven.RunTest(t, "testdata/gate", func(t *testing.T, d *datadriven.TestData) string {
		g := &Gate{}
		g.Configure(testPolicy())
		random := rand.New(rand.NewPCG(1, 1))
		var out strings.Builder
		for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
			var seconds, number float64
			var event, class, kind string
			if n, _ := fmt.Sscanf(line, "%f %s", &seconds, &event); n < 2 {
				d.Fatalf(t, "can't read %q", line)
			}
			rest := strings.Join(strings.Fields(line)[2:], " ")
			now := start.Add(time.Duration(seconds * float64(time.Second)))
			_, _ = fmt.Sscanf(rest, "%f", &number)
			_, _ = fmt.Sscanf(rest, "%s %s", &class, &kind)
			parsedClass, _ := table.ParseClass(class)
			switch event {
			case "resize":
				fmt.Fprintf(&out, "%s: granted %v\n", line, g.SetSlots(now, number))
			case "drain":
				for i := range int(10 * number) {
					g.Release(now.Add(time.Duration(float64(i)/number*float64(time.Second))), table.ServiceCall)
				}
			case "offer":
				v := g.Admit(now, random, Request{Class: parsedClass, Forwarded: kind == "forwarded"})
				fmt.Fprintf(&out, "%s: %s\n", line, describe(now, v))
			case "release":
				fmt.Fprintf(&out, "%s: granted %v\n", line, g.Release(now, parsedClass))
			case "expire":
				f := g.Expire(now, random, Ticket(number))
				fmt.Fprintf(&out, "%s: %t\n", line, f != nil && f.Reason == result.ClassFull && f.RetryAfter > 0)
			default:
				d.Fatalf(t, "unknown event %q", event)
			}
		}
		return out.String()
	})
}

// testPolicy returns a policy whose waits differ between the classes, independent of
// the defaults.
func testPolicy() *table.Policy {
	p := table.DefaultPolicy()
	p.Classes[table.Quick].MaxWait = 600 * time.Millisecond
	p.Classes[table.Plan].MaxWait = 1500 * time.Millisecond
	p.Classes[table.Session].MaxWait = 20 * time.Second
	return &p
}

func describe(now time.Time, v Decision) string {
	switch v := v.(type) {
	case Queued:
		return fmt.Sprintf("queued as %d until %s, expected %s", v.Ticket, v.ExpiresAt.Sub(now), v.ExpectedWait.Round(time.Millisecond))
	case Refused:
		return fmt.Sprintf("refused, %s, %s", v.Failure.Reason, v.Failure.Outcome)
	default:
		return "admitted"
	}
}

// TestRetryAfterSpreadsRefusedCallers refuses 300 callers at the same time.
func TestRetryAfterSpreadsRefusedCallers(t *testing.T) {
	for _, perSecond := range []int{2, 10, 50} {
		g := &Gate{}
		g.SetSlots(start, 1)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 10 * perSecond {
			g.Release(start.Add(time.Duration(i)*time.Second/time.Duration(perSecond)), table.Plan)
		}
		now := start.Add(10 * time.Second)
		var waits []time.Duration
		perBucket := map[time.Duration]int{}
		for range 300 {
			wait := g.RetryAfter(now, random)
			waits = append(waits, wait)
			perBucket[wait/time.Second]++
		}
		policy := table.DefaultPolicy()
		if slices.Min(waits) < policy.RetryAfterMin || slices.Max(waits) > policy.RetryAfterMax+policy.RetryAfterMin {
			t.Errorf("%d per second: retry times between %s and %s", perSecond, slices.Min(waits), slices.Max(waits))
		}
		// Retries that don't fit before the longest time are spread over its second
		// half.
		bound := 3*perSecond + 3*300/int(policy.RetryAfterMax.Seconds()/2)
		for at, count := range perBucket {
			if count > bound {
				t.Errorf("%d per second: %d of 300 retry in second %d", perSecond, count, at)
			}
		}
	}
}

// TestGuaranteedSharesUnderOverload offers three times the capacity, in every class.
func TestGuaranteedSharesUnderOverload(t *testing.T) {
	g := &Gate{}
	g.SetSlots(start, 40)
	random := rand.New(rand.NewPCG(1, 1))
	var running []table.Class
	waiting := map[Ticket]table.Class{}
	for step := range 4000 {
		now := start.Add(time.Duration(step) * 20 * time.Millisecond)
		for _, class := range []table.Class{table.Quick, table.Plan, table.Session} {
			switch v := g.Admit(now, random, Request{Class: class}).(type) {
			case Admitted:
				running = append(running, class)
			case Queued:
				waiting[v.Ticket] = class
			}
		}
		if len(running) == 0 {
			continue
		}
		i := random.IntN(len(running))
		granted := g.Release(now, running[i])
		running = slices.Delete(running, i, i+1)
		for _, ticket := range granted {
			running = append(running, waiting[ticket])
			delete(waiting, ticket)
		}
	}
	policy := table.DefaultPolicy()
	for _, class := range []table.Class{table.Quick, table.Plan, table.Session} {
		guaranteed := float64(policy.Classes[class].SharePercent) / 100 * 40
		if got := float64(g.InFlight(class)); got < guaranteed-1 {
			t.Errorf("%s has %.0f slots, %.0f are guaranteed", class, got, guaranteed)
		}
	}
}

// TestQuickRequestsFindReservedSlots keeps 4 of 40 slots in use by quick requests, and
// then offers more plan requests than fit.
func TestQuickRequestsFindReservedSlots(t *testing.T) {
	g := &Gate{}
	g.SetSlots(start, 40)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 500 {
		g.Admit(start, random, Request{Class: table.Quick})
		if i >= 4 {
			g.Release(start, table.Quick)
		}
	}
	for range 40 {
		g.Admit(start, random, Request{Class: table.Plan})
	}
	if _, ok := g.Admit(start, random, Request{Class: table.Quick}).(Admitted); !ok || g.InFlight(table.Plan) < 30 {
		t.Errorf("no slot for a quick request beside %d plan requests", g.InFlight(table.Plan))
	}
}

func ExampleGate() {
	g := &Gate{}
	g.SetSlots(start, 1)
	random := rand.New(rand.NewPCG(1, 1))
	for range 2 {
		switch v := g.Admit(start, random, Request{Class: table.Plan}).(type) {
		case Admitted:
			fmt.Println("admitted")
		case Queued:
			fmt.Println("queued as", v.Ticket)
		case Refused:
			fmt.Println(v.Failure.Reason)
		}
	}
	fmt.Println(g.Release(start, table.Plan))
	// Output:
	// admitted
	// class-full
	// []
}

func BenchmarkOfferRelease(b *testing.B) {
	for _, slots := range []float64{3, 37, 970, 13600} {
		b.Run(fmt.Sprintf("slots=%.0f", slots), func(b *testing.B) {
			g := &Gate{}
			g.SetSlots(start, slots)
			random := rand.New(rand.NewPCG(1, 1))
			for range int(slots) - 1 {
				g.Admit(start, random, Request{Class: table.Plan})
			}
			b.ReportAllocs()
			for b.Loop() {
				g.Admit(start, random, Request{Class: table.Plan})
				g.Release(start, table.Plan)
			}
		})
	}
}
