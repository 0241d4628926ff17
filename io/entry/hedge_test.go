package entry

import (
	"testing"

	"github.com/juju/errors"

	"arbutustrestle/core/load"
	"arbutustrestle/core/result"
	"arbutustrestle/core/route"
	"arbutustrestle/io/invoke"
)

// TestHedgedFinish guards against reporting "not run" for a request of which one attempt
// may have run, and against the failure of an attempt that was cancelled for the winner.
func TestHedgedFinish(t *testing.T) {
	notRun := &result.Failure{Outcome: result.NotRun, Reason: result.UpstreamRefused}
	unknown := &result.Failure{Outcome: result.Unknown, Reason: result.AnswerCut}
	gone := &result.Failure{Outcome: result.Unknown, Reason: result.CallerGone}
	for _, c := range []struct {
		failures []*result.Failure
		winner   int
		want     *result.Failure
	}{
		{[]*result.Failure{nil}, 0, nil},
		{[]*result.Failure{gone, nil}, 1, nil},
		{[]*result.Failure{unknown, gone}, 0, unknown},
		{[]*result.Failure{notRun, unknown}, -1, unknown},
		{[]*result.Failure{unknown, notRun}, -1, unknown},
		{[]*result.Failure{notRun, notRun}, -1, notRun},
	} {
		h := &hedgedCall{}
		for _, f := range c.failures {
			h.attempts = append(h.attempts, &hedgedAttempt{call: h, failure: f, decision: &route.Attempt{Upstream: &load.Upstream{ID: "engine-1"}}, cancel: func() {}})
		}
		if c.winner >= 0 {
			h.claim(h.attempts[c.winner])
		}
		if got := h.finish(&Call{}); got != c.want {
			t.Errorf("attempts %v, winner %d: request failed with %v", c.failures, c.winner, got)
		}
	}
}

// TestOnlyFirstAttemptAnswers guards against two attempts that both write to the caller:
// the second one begins after the first.
func TestOnlyFirstAttemptAnswers(t *testing.T) {
	cancelled := 0
	h := &hedgedCall{}
	first := &hedgedAttempt{call: h, cancel: func() {}}
	second := &hedgedAttempt{call: h, cancel: func() { cancelled++ }}
	h.attempts = []*hedgedAttempt{first, second}
	if !h.claim(first) || h.claim(second) || !h.claim(first) || h.undecided() || cancelled != 1 {
		t.Errorf("wrong claims, or the second attempt was cancelled %d times", cancelled)
	}
	if err := second.Begin(invoke.ResponseHead{}); !errors.Is(err, errSuperseded) {
		t.Errorf("Begin of the second attempt: got error %v", err)
	}
}
