package main

import (
	"os"
	"testing"
	"time"
)

func TestProcesses(t *testing.T) {
	got, err := parseStat("12 (my (prog) x) S 1 12 12 0 -1 4 5 0 0 0 150 30 0 0 20 0 1 0 9")
	if err != nil || got != 1800*time.Millisecond {
		t.Errorf("got %s, %v", got, err)
	}
	for _, line := range []string{"", "12 (prog) S 1", "12 (prog) S 1 12 12 0 -1 4 5 0 0 0 x 30 0"} {
		if _, err := parseStat(line); err == nil {
			t.Errorf("%q was accepted", line)
		}
	}
	self := processes{"self": os.Getpid()}
	before, err := self.times()
	if err != nil {
		t.Fatal(err)
	}
	after := map[string]time.Duration{"self": before["self"] + time.Second}
	if got := newProcessorReport(before, after, time.Second, 1000).MicrosPerToken; got != 2000 {
		t.Errorf("got %f us per token", got)
	}
	if self.Set("entry") == nil || self.Set("entry=x") == nil || self.Set("entry=7,engine=8") != nil || len(self) != 2 {
		t.Error(self)
	}
}
