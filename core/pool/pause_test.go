package pool

import (
	"testing"
	"time"

	"arbutustrestle/core/ident"
)

// TestNoSendAfterPause guards against requests that a process sends when it resumes after a
// pause, by what it held before: those that waited for a connection, and those that are
// chosen before the published values have been read again.
func TestNoSendAfterPause(t *testing.T) {
	p := newPool("entry-1", 2)
	p.SetRegion(start, []ident.Instance{"entry-1"}, true)
	waiting := pickMany(t, p, start, 2)
	resumed := start.Add(3 * time.Second)
	if countAdmitted(resumed, waiting) != 0 {
		t.Error("a waiting request is sent before the control loop runs")
	}
	if _, found := p.Pick(resumed, prompt("a", 0)); found {
		t.Error("a request is chosen before the control loop runs")
	}
	for _, lease := range waiting {
		lease.End(resumed, Cancelled)
	}
	p.Hold(resumed.Add(500 * time.Millisecond))
	p.SetRegion(resumed, []ident.Instance{"entry-1"}, true)
	if _, found := p.Pick(resumed, prompt("a", 0)); found {
		t.Error("a request is chosen before the values have been read")
	}
	p.Release()
	if countAdmitted(resumed, pickMany(t, p, resumed, 1)) != 1 {
		t.Error("a request isn't sent after the values have been read")
	}
	p.Hold(resumed.Add(500 * time.Millisecond))
	later := resumed.Add(500 * time.Millisecond)
	if countAdmitted(later, pickMany(t, p, later, 1)) != 1 {
		t.Error("a request isn't sent after the hold has ended")
	}
}
