package proxy

import (
	"testing"
	"time"
)

// TestDrainAdmits guards against accepting a request late in a drain that outlasts the
// process: it would be cut off, although its caller could have used another instance.
func TestDrainAdmits(t *testing.T) {
	term := time.Unix(1_800_000_000, 0)
	d := DrainSchedule{StrictAt: term.Add(3 * time.Second), ExitAt: term.Add(8 * time.Second)}
	cases := []struct {
		name     string
		drain    DrainSchedule
		at       time.Duration
		lifetime time.Duration
		want     bool
	}{
		{"no drain", DrainSchedule{}, 5 * time.Second, 15 * time.Second, true},
		{"long request right after the signal", d, time.Second, 15 * time.Second, true},
		{"long request after StrictAt", d, 4300 * time.Millisecond, 10 * time.Second, false},
		{"short request after StrictAt", d, 4300 * time.Millisecond, 3 * time.Second, true},
		{"short request before ExitAt", d, 6 * time.Second, 3 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := term.Add(c.at)
			if got := c.drain.Admits(now, now.Add(c.lifetime)); got != c.want {
				t.Errorf("Admits returned %v", got)
			}
		})
	}
}
