package resume

import (
	"testing"
	"time"

	"arbutustrestle/core/gossip"
)

// TestUnprovedOriginIsTold guards against a stream that began at an unproved version and that an
// instance of another region takes up at the version that the list names, since it was told nothing: it
// takes itself for able to tell where streams began.
func TestUnprovedOriginIsTold(t *testing.T) {
	var table, peer Table
	key := table.BegunIn(start, "", "one", gossip.UnprovedOrigin("chat"), true)
	table.BegunIn(start, "", "two", first, false)
	report := table.Report(start.Add(time.Second), never)
	if len(report.Everywhere) != 1 || len(report.Everywhere[0].Keys) != 1 || report.Everywhere[0].Keys[0] != key {
		t.Fatalf("reported everywhere: %v", report.Everywhere)
	}
	peer.Learn(start.Add(time.Second), report.Everywhere)
	if origin, ownership := peer.LookupIn("", "one"); ownership != OwnStream || origin.IsProved() || origin.Service != "chat" {
		t.Errorf("at a peer: %v, %d", origin, ownership)
	}
}

// TestUnprovedOriginIsProvedLater guards against a stream that began at an unproved version and goes on
// nowhere for ever: each report of it counted as its beginning, or one of an instance that doesn't know
// that the version was proved since replaced what is known.
func TestUnprovedOriginIsProvedLater(t *testing.T) {
	var table Table
	groups := []gossip.BegunStreams{{Origin: gossip.UnprovedOrigin("chat"), Keys: []gossip.StreamKey{KeyOf("one")}}}
	for i := range 60 {
		table.Learn(start.Add(time.Duration(i)*time.Second), groups)
	}
	if at, known := table.KnownAt("a", "one"); !known || !at.Equal(start) {
		t.Errorf("known since %v, %t", at, known)
	}
	now := start.Add(time.Minute)
	table.BegunIn(now, "", "one", first, false)
	table.Learn(now.Add(time.Second), groups)
	if origin, _ := table.LookupIn("", "one"); origin != first {
		t.Errorf("began at %v", origin)
	}
	if _, known := table.KnownAt("", "two"); known {
		t.Error("a stream that never began is known")
	}
}
