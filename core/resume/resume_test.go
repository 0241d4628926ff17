package resume

import (
	"fmt"
	"testing"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

var (
	start  = time.Unix(1_000_000, 0)
	first  = gossip.StreamOrigin{Service: "chat", Version: "v1"}
	second = gossip.StreamOrigin{Service: "chat", Version: "v2"}
)

func always(ident.Service) bool { return true }

// TestStreamsOfPeers checks that a stream which began at one instance is known at another
// one, from a report, for as long as a caller may return, and no longer reported then.
func TestStreamsOfPeers(t *testing.T) {
	var a, b Table
	a.Begun(start, KeyOf("one"), first)
	a.Begun(start, KeyOf("two"), second)
	report := a.Report(start.Add(time.Second), always)
	if len(report) != 2 {
		t.Fatalf("reported %v", report)
	}
	b.Learn(start.Add(time.Second), report)
	for id, want := range map[string]gossip.StreamOrigin{"one": first, "two": second} {
		if got, found := b.Lookup(KeyOf(id)); !found || got != want {
			t.Errorf("%s began at %v, found %v", id, got, found)
		}
	}
	if _, found := b.Lookup(KeyOf("three")); found {
		t.Error("a stream that never began is known")
	}
	if report := a.Report(start.Add(reportTime+time.Second), always); len(report) != 0 {
		t.Errorf("still reported: %v", report)
	}
	b.Begun(start.Add(memory), KeyOf("late"), first)
	if _, found := b.Lookup(KeyOf("one")); !found {
		t.Error("forgotten early")
	}
}

// TestPassOn checks that an instance which was told of a stream tells others for a moment, so
// that they know of it though the instance where it began has ended.
func TestPassOn(t *testing.T) {
	var told, other Table
	told.PassOn(start, []gossip.BegunStreams{{Origin: first, Keys: []gossip.StreamKey{KeyOf("one")}}})
	other.Learn(start, told.Report(start.Add(passOnTime/2), always))
	if origin, found := other.Lookup(KeyOf("one")); !found || origin != first {
		t.Errorf("began at %v, found %v", origin, found)
	}
	if report := told.Report(start.Add(passOnTime+time.Millisecond), always); len(report) != 0 {
		t.Errorf("still reported: %v", report)
	}
	if report := other.Report(start, always); len(report) != 0 {
		t.Errorf("passed on again: %v", report)
	}
	again := start.Add(passOnTime + time.Millisecond)
	told.PassOn(again, []gossip.BegunStreams{{Origin: first, Keys: []gossip.StreamKey{KeyOf("one")}}})
	if report := told.Report(again, always); len(report) != 0 {
		t.Errorf("a known stream is passed on: %v", report)
	}
}

// TestReportOnlyAmbiguous checks that streams cost nothing in heartbeats while every instance
// can tell where they began.
func TestReportOnlyAmbiguous(t *testing.T) {
	var table Table
	table.Begun(start, KeyOf("one"), first)
	table.Begun(start, KeyOf("two"), gossip.StreamOrigin{Service: "mixed", Version: "v1"})
	report := table.Report(start, func(s ident.Service) bool { return s == "mixed" })
	if len(report) != 1 || report[0].Origin.Service != "mixed" {
		t.Errorf("reported %v", report)
	}
}

// TestBounds checks that the memory and the reports stay bounded, however many streams begin,
// and that the newest ones are kept.
func TestBounds(t *testing.T) {
	var table Table
	const streams = 5 * maxStreams
	for i := range streams {
		table.Begun(start, KeyOf(fmt.Sprint(i)), first)
	}
	if held := len(table.recent) + len(table.older); held > 2*maxStreams {
		t.Errorf("%d streams held", held)
	}
	report := table.Report(start, always)
	if len(report) != 1 || len(report[0].Keys) != maxReported {
		t.Errorf("%d groups reported", len(report))
	}
	if _, found := table.Lookup(KeyOf(fmt.Sprint(streams - 1))); !found {
		t.Error("the newest stream is forgotten")
	}
}
