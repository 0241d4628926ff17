package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutustrestle/core/result"
)

var start = time.Unix(1_000_000, 0)

func failure(outcome result.Outcome, reason result.Reason) *result.Failure {
	return &result.Failure{Outcome: outcome, Step: result.StepAttempt, Reason: reason, Peer: "engine-1"}
}

func TestDecide(t *testing.T) {
	notRun := failure(result.NotRun, result.UpstreamRefused)
	unknown := failure(result.Unknown, result.AnswerCut)
	for _, c := range []struct {
		name string
		call Call
		last *result.Failure
		want string
	}{
		{"not run, not repeatable", Call{Attempts: 1}, notRun, "again"},
		{"unknown, not repeatable", Call{Attempts: 1}, unknown, "answer-cut"},
		{"unknown, repeatable", Call{Attempts: 1, Repeatable: true}, unknown, "again"},
		{"part of the response has been sent", Call{Attempts: 1, Repeatable: true, Streamed: true}, unknown, "answer-cut"},
		{"attempts used up", Call{Attempts: 3, Repeatable: true}, notRun, "upstream-refused"},
		{"invalid request", Call{Attempts: 1, Repeatable: true}, failure(result.NotRun, result.BadRequest), "bad-request"},
		{"cancelled by its caller", Call{Attempts: 1, Repeatable: true}, failure(result.Unknown, result.CallerGone), "caller-gone"},
		{"past the deadline", Call{Attempts: 1, Deadline: start.Add(-1)}, notRun, "upstream-refused"},
		{"no time for a response", Call{Attempts: 1, Deadline: start.Add(time.Second), MinResponseTime: 2 * time.Second}, notRun, "upstream-refused"},
		{"backoff past the deadline", Call{Attempts: 2, Deadline: start.Add(time.Millisecond)}, notRun, "upstream-refused"},
	} {
		var b Budget
		got := "again"
		if stop, stopped := b.Decide(start, rand.New(rand.NewPCG(1, 1)), c.call, c.last).(Stop); stopped {
			got = stop.Failure.Reason.String()
			if stop.Failure.Outcome != c.last.Outcome {
				t.Errorf("%s: the outcome changed to %s", c.name, stop.Failure.Outcome)
			}
		}
		if got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// TestBudgetBoundsRetries lets every attempt fail for five minutes.
func TestBudgetBoundsRetries(t *testing.T) {
	for _, c := range []struct{ percent, perSecond int }{{0, 50}, {10, 4}, {10, 50}, {10, 1000}, {25, 100}} {
		var b Budget
		b.Configure(float64(c.percent), 3)
		random := rand.New(rand.NewPCG(1, 1))
		requests, retries := 0, 0
		for i := range 300 * c.perSecond {
			now := start.Add(time.Duration(i) * time.Second / time.Duration(c.perSecond))
			b.AddRequest(now)
			requests++
			for attempts := 1; ; attempts++ {
				if _, stopped := b.Decide(now, random, Call{Attempts: attempts}, failure(result.NotRun, result.ConnectFailed)).(Stop); stopped {
					break
				}
				retries++
			}
		}
		bound := requests*c.percent/100 + 301
		if c.percent == 0 {
			bound = 0
		}
		if retries > bound {
			t.Errorf("%d percent of %d per second: %d retries of %d requests", c.percent, c.perSecond, retries, requests)
		}
	}
}

func TestHedgesUseTheRetryBudget(t *testing.T) {
	var b Budget
	call := Call{Repeatable: true, Attempts: 1}
	if b.AllowHedge(start, Call{Attempts: 1}) || b.AllowHedge(start, Call{Attempts: 1, Repeatable: true, Streamed: true}) {
		t.Error("hedged a call that isn't repeatable, or one that is being streamed")
	}
	if !b.AllowHedge(start, call) || b.AllowHedge(start, call) {
		t.Error("the initial credit must permit exactly one hedge")
	}
	if _, stopped := b.Decide(start, rand.New(rand.NewPCG(1, 1)), call, failure(result.NotRun, result.ConnectFailed)).(Stop); !stopped {
		t.Error("the hedge was not taken from the budget")
	}
}

func ExampleBudget() {
	var b Budget
	b.AddRequest(start)
	lost := &result.Failure{Outcome: result.Unknown, Step: result.StepAttempt, Reason: result.AnswerCut}
	switch d := b.Decide(start, rand.New(rand.NewPCG(1, 1)), Call{Attempts: 1}, lost).(type) {
	case Again:
		fmt.Println("again after", d.After)
	case Stop:
		fmt.Println(d.Failure)
	}
	// Output: attempt: answer-cut (unknown)
}

func BenchmarkDecide(b *testing.B) {
	var budget Budget
	random := rand.New(rand.NewPCG(1, 1))
	last := failure(result.NotRun, result.UpstreamRefused)
	b.ReportAllocs()
	for b.Loop() {
		budget.AddRequest(start)
		budget.Decide(start, random, Call{Attempts: 1}, last)
	}
}
