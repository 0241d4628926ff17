package fetch_test

import (
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// TestStartUnderStalePlatform starts an instance whose platform shows an old table
// while somebody else is known to hold a newer one, and tells when it gets ready.
func TestStartUnderStalePlatform(t *testing.T) {
	const startWait = 4 * time.Second
	newer := member.Revisions{Table: 2, Entries: 7}
	cases := map[string]struct {
		members fetch.Membership
		// waits is set when the instance must not get ready before startWait.
		waits bool
	}{
		"alone": {fetch.Membership{}, false},
		"peer that may not hear this instance yet":      {fetch.Membership{ExpectedPeers: 1, Peers: []fetch.Peer{{Instance: "entry-2", Zone: "west-1", Revisions: newer}}}, true},
		"peer that is not heard":                        {fetch.Membership{ExpectedPeers: 1}, true},
		"region that is not heard":                      {fetch.Membership{ListedRegions: 1}, true},
		"entry of another region that has no newer one": {fetch.Membership{ListedRegions: 1, RemoteEntries: []ident.Instance{"south-1"}}, false},
		"entry of another region that has a newer one":  {fetch.Membership{ListedRegions: 1, RemoteEntries: []ident.Instance{"north-1"}}, false},
		"region that is heard":                          {fetch.Membership{ListedRegions: 1, FreshRegions: 1, Peers: []fetch.Peer{{Instance: "north-1", Zone: "north-1", Usable: true, Remote: true, Revisions: member.Revisions{Table: 2}}}}, false},
	}
	for name, c := range cases {
		platform := map[fetch.Key]fetch.Value{}
		publish(platform, 0, "family-peeters")
		north := map[fetch.Key]fetch.Value{}
		publish(north, 1, "family-peeters", "friends-oslo")
		const newest = 2
		platform[fetch.EntriesKey] = fetch.Value{Revision: 7, Data: []byte("[]")}
		s := fetch.New(fetch.Options{Instance: "entry-1", Zone: "west-1", Region: "west"})
		start := time.Unix(0, 0)
		c.members.FleetSize, c.members.FleetReaders = 3, 3
		for now := start; !s.Status().Ready && now.Sub(start) < time.Minute; now = now.Add(member.TickInterval) {
			events := []fetch.Event{c.members, fetch.Tick{}}
			for len(events) > 0 {
				event := events[0]
				events = events[1:]
				for _, action := range s.Step(now, event) {
					if ask, ok := action.(fetch.ReadPeer); ok {
						events = append(events, answerOf(ask, north))
					}
					if read, ok := action.(fetch.ReadPlatform); ok && read.Wait == 0 {
						value, found := platform[read.Key]
						answer := fetch.PlatformAnswered{Key: read.Key, Answer: fetch.Absent}
						if found {
							answer = fetch.PlatformAnswered{Key: read.Key, Answer: fetch.Found, Value: value}
						}
						events = append(events, answer)
					}
				}
			}
			if s.Status().Ready && (name == "region that is heard" || slices.Contains(c.members.RemoteEntries, "north-1")) && s.Status().Active.Revision != newest {
				t.Errorf("%s: ready with revision %d", name, s.Status().Active.Revision)
			}
			if early := now.Sub(start) < startWait; s.Status().Ready && early == c.waits {
				t.Errorf("%s: ready after %s with revision %d", name, now.Sub(start), s.Status().Active.Revision)
			}
		}
	}
}

// answerOf answers a question to north-1 with what it has; other peers have nothing.
func answerOf(ask fetch.ReadPeer, north map[fetch.Key]fetch.Value) fetch.Event {
	value, found := north[ask.Key]
	if ask.Instance != "north-1" || !found {
		return fetch.PeerAnswered{Instance: ask.Instance, Key: ask.Key}
	}
	return fetch.PeerAnswered{Instance: ask.Instance, Key: ask.Key, Found: true, Value: value}
}
