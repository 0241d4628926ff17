package feed_test

import (
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/feed"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// TestStartUnderStalePlatform starts an instance whose platform shows an old table
// while somebody else is known to hold a newer one, and tells when it gets ready.
func TestStartUnderStalePlatform(t *testing.T) {
	const startWait = 4 * time.Second
	newer := member.Held{Table: 2, Entries: 7}
	cases := map[string]struct {
		members feed.Members
		// waits is set when the instance must not get ready before startWait.
		waits bool
	}{
		"alone": {feed.Members{}, false},
		"peer that may not hear this instance yet":      {feed.Members{Expected: 1, Peers: []feed.Peer{{Instance: "entry-2", Zone: "west-1", Held: newer}}}, true},
		"peer that is not heard":                        {feed.Members{Expected: 1}, true},
		"region that is not heard":                      {feed.Members{Regions: 1}, true},
		"entry of another region that has no newer one": {feed.Members{Regions: 1, RemoteEntries: []ident.Instance{"south-1"}}, false},
		"entry of another region that has a newer one":  {feed.Members{Regions: 1, RemoteEntries: []ident.Instance{"north-1"}}, false},
		"region that is heard":                          {feed.Members{Regions: 1, Heard: 1, Peers: []feed.Peer{{Instance: "north-1", Zone: "north-1", Usable: true, Remote: true, Held: member.Held{Table: 2}}}}, false},
	}
	for name, c := range cases {
		platform := map[feed.Key]feed.Value{}
		publish(platform, 0, "family-peeters")
		north := map[feed.Key]feed.Value{}
		publish(north, 1, "family-peeters", "friends-oslo")
		const newest = 2
		platform[feed.EntriesKey] = feed.Value{Revision: 7, Data: []byte("[]")}
		s := feed.New(feed.Options{Instance: "entry-1", Zone: "west-1", Region: "west"})
		start := time.Unix(0, 0)
		c.members.Fleet, c.members.Readers = 3, 3
		for now := start; !s.Status().Ready && now.Sub(start) < time.Minute; now = now.Add(member.TickInterval) {
			events := []feed.Event{c.members, feed.Tick{}}
			for len(events) > 0 {
				event := events[0]
				events = events[1:]
				for _, action := range s.Step(now, event) {
					if ask, ok := action.(feed.AskPeer); ok {
						events = append(events, answerOf(ask, north))
					}
					if read, ok := action.(feed.ReadPlatform); ok && read.Wait == 0 {
						value, found := platform[read.Key]
						answer := feed.PlatformAnswered{Key: read.Key, Answer: feed.Absent}
						if found {
							answer = feed.PlatformAnswered{Key: read.Key, Answer: feed.Found, Value: value}
						}
						events = append(events, answer)
					}
				}
			}
			if s.Status().Ready && (name == "region that is heard" || slices.Contains(c.members.RemoteEntries, "north-1")) && s.Status().InForce.Revision != newest {
				t.Errorf("%s: ready with revision %d", name, s.Status().InForce.Revision)
			}
			if early := now.Sub(start) < startWait; s.Status().Ready && early == c.waits {
				t.Errorf("%s: ready after %s with revision %d", name, now.Sub(start), s.Status().InForce.Revision)
			}
		}
	}
}

// answerOf answers a question to north-1 with what it has; other peers have nothing.
func answerOf(ask feed.AskPeer, north map[feed.Key]feed.Value) feed.Event {
	value, found := north[ask.Key]
	if ask.Instance != "north-1" || !found {
		return feed.PeerAnswered{Instance: ask.Instance, Key: ask.Key}
	}
	return feed.PeerAnswered{Instance: ask.Instance, Key: ask.Key, Found: true, Value: value}
}
