package entry

import (
	"testing"

	"github.com/juju/errors"

	"arbutustrestle/core/load"
	"arbutustrestle/core/result"
	"arbutustrestle/core/route"
	"arbutustrestle/io/upcall"
)

// TestRaceFinish tells as what a request ends whose lanes ended as given.
func TestRaceFinish(t *testing.T) {
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
		r := &race{}
		for _, f := range c.failures {
			r.lanes = append(r.lanes, &lane{race: r, failure: f, decision: &route.Attempt{Upstream: &load.Upstream{ID: "engine-1"}}, cancel: func() {}})
		}
		if c.winner >= 0 {
			r.claim(r.lanes[c.winner])
		}
		if got := r.finish(&Call{}); got != c.want {
			t.Errorf("%v, winner %d: got %v", c.failures, c.winner, got)
		}
	}
}

// TestOnlyTheWinnerAnswers lets a second lane begin after the first has.
func TestOnlyTheWinnerAnswers(t *testing.T) {
	cancelled := 0
	r := &race{}
	first := &lane{race: r, cancel: func() {}}
	second := &lane{race: r, cancel: func() { cancelled++ }}
	r.lanes = []*lane{first, second}
	if !r.claim(first) || r.claim(second) || !r.claim(first) || r.open() || cancelled != 1 {
		t.Errorf("the second lane answers too, or was cancelled %d times", cancelled)
	}
	if err := second.Begin(upcall.Head{}); !errors.Is(err, errLost) {
		t.Errorf("the second lane began: %v", err)
	}
}
