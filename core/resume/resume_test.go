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

func never(ident.Service) bool { return false }

// TestStreamsOfPeers checks that a stream which began at one instance is known at another
// one, from a report, for as long as a caller may return, and no longer reported then.
func TestStreamsOfPeers(t *testing.T) {
	var a, b Table
	a.Begun(start, KeyOf("one"), first)
	a.Begun(start, KeyOf("two"), second)
	report := a.Report(start.Add(time.Second), always).Everywhere
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
	a.End(start.Add(time.Second), KeyOf("one"), true)
	a.End(start.Add(time.Second), KeyOf("two"), false)
	if report := a.Report(start.Add(2*time.Second), always).Everywhere; len(report) != 2 {
		t.Errorf("a moment later: reported %v", report)
	}
	if report := a.Report(start.Add(2*time.Second), never).InRegion; len(report) != 1 || report[0].Origin != second {
		t.Errorf("while peers can tell: reported %v", report)
	}
	if report := a.Report(start.Add(memory), always).Everywhere; len(report) != 1 || report[0].Origin != second {
		t.Errorf("one is whole, two has broken off: reported %v", report)
	}
	if report := a.Report(start.Add(memory+2*time.Second), always).Everywhere; len(report) != 0 {
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
	other.Learn(start, told.Report(start.Add(passOnTime/2), always).Everywhere)
	if origin, found := other.Lookup(KeyOf("one")); !found || origin != first {
		t.Errorf("began at %v, found %v", origin, found)
	}
	if report := told.Report(start.Add(passOnTime+time.Millisecond), always).Everywhere; len(report) != 0 {
		t.Errorf("still reported: %v", report)
	}
	if report := other.Report(start, always).Everywhere; len(report) != 0 {
		t.Errorf("passed on again: %v", report)
	}
	again := start.Add(passOnTime + time.Millisecond)
	told.PassOn(again, []gossip.BegunStreams{{Origin: first, Keys: []gossip.StreamKey{KeyOf("one")}}})
	if report := told.Report(again, always).Everywhere; len(report) != 0 {
		t.Errorf("a known stream is passed on: %v", report)
	}
}

// TestReportWhileUnderWay guards against streams that nobody knows of any more since they were reported
// only for a while after their beginning: what peers can tell by themselves may end at any moment.
func TestReportWhileUnderWay(t *testing.T) {
	var table Table
	table.Begun(start, KeyOf("one"), first)
	for age := time.Duration(0); age < lifeTime; age += 5 * time.Second {
		if report := table.Report(start.Add(age), never).InRegion; len(report) != 1 {
			t.Errorf("after %s: reported %v", age, report)
		}
	}
	table.End(start.Add(lifeTime), KeyOf("one"), true)
	if report := table.Report(start.Add(lifeTime), never).InRegion; len(report) != 0 {
		t.Errorf("whole, and reported: %v", report)
	}
}

// TestBounds checks that the memory and the reports stay bounded, however many streams begin,
// that the newest ones are kept, and that each is in some report.
func TestBounds(t *testing.T) {
	var table Table
	const streams = 5 * maxStreams
	for i := range streams {
		table.Begun(start, KeyOf(fmt.Sprint(i)), first)
	}
	if held := len(table.recent) + len(table.older); held > 2*maxStreams {
		t.Errorf("%d streams held", held)
	}
	// A peer gets one report in 1.6 s of those that are made each 0.1 s.
	told := map[gossip.StreamKey]struct{}{}
	const turns = 10
	for n := range int(turns * windowTime / (100 * time.Millisecond)) {
		report := table.Report(start.Add(time.Duration(n)*100*time.Millisecond), always).Everywhere
		if len(report) != 1 || len(report[0].Keys) != maxReported {
			t.Fatalf("%d groups reported", len(report))
		}
		for _, key := range report[0].Keys {
			if n%16 == 15 {
				told[key] = struct{}{}
			}
		}
	}
	if least := turns * maxReported * 9 / 10; len(told) < least {
		t.Errorf("%d streams told in %d turns", len(told), turns)
	}
	if _, found := table.Lookup(KeyOf(fmt.Sprint(streams - 1))); !found {
		t.Error("the newest stream is forgotten")
	}
}

// TestAnnouncedOnce guards against streams that peers are told of too late, when they become unable to
// tell by themselves where they began, and against telling at once again and again.
func TestAnnouncedOnce(t *testing.T) {
	var table Table
	table.BegunIn(start, "", "before", first, false)
	if r := table.Report(start, never); len(r.InRegion) != 1 || len(r.Everywhere)+len(r.AtOnce) != 0 {
		t.Errorf("while peers can tell: %+v", r)
	}
	table.BegunIn(start, "", "after", first, true)
	r := table.Report(start, always)
	if len(r.AtOnce) != 1 || len(r.AtOnce[0].Keys) != 1 || r.AtOnce[0].Keys[0] != KeyOf("before") {
		t.Errorf("announced: %v", r.AtOnce)
	}
	if len(r.Everywhere) != 1 || len(r.Everywhere[0].Keys) != 2 || len(r.InRegion) != 0 {
		t.Errorf("reported everywhere: %v, in the region: %v", r.Everywhere, r.InRegion)
	}
	if again := table.Report(start, always); len(again.AtOnce) != 0 {
		t.Errorf("announced again: %v", again.AtOnce)
	}
}
