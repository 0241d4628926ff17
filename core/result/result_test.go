package result

import "testing"

func TestNamesRoundTrip(t *testing.T) {
	seen := map[string]bool{}
	for _, r := range Reasons() {
		if r.String() == "" || seen[r.String()] || ParseReason(r.String()) != r {
			t.Errorf("reason %d has the name %q", r, r)
		}
		seen[r.String()] = true
	}
	for _, o := range []Outcome{Unknown, Done, NotRun} {
		if ParseOutcome(o.String()) != o {
			t.Errorf("outcome %d has the name %q", o, o)
		}
	}
	for s := StepNone; s <= StepStream; s++ {
		if ParseStep(s.String()) != s {
			t.Errorf("step %d has the name %q", s, s)
		}
	}
}

func TestZeroFailureIsUnknown(t *testing.T) {
	var f Failure
	if f.Outcome != Unknown || f.Error() != "none: none (unknown)" {
		t.Fatal(f.Error())
	}
}
