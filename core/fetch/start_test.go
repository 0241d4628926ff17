package fetch_test

import (
	"slices"
	"testing"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// TestStartWithStalePlatform starts an instance whose platform serves an old table
// while another instance may hold a newer one. It guards against becoming ready with
// the old table, and against waiting for startTimeout when no peer is expected or
// another region has answered.
func TestStartWithStalePlatform(t *testing.T) {
	const startTimeout = 4 * time.Second
	newer := member.Revisions{Table: 2, Entries: 7}
	cases := map[string]struct {
		members fetch.Membership
		// waits is set when the instance must not become ready before startTimeout.
		waits bool
	}{
		"alone":                                            {fetch.Membership{}, false},
		"peer that is not usable yet":                      {fetch.Membership{ExpectedPeers: 1, Peers: []fetch.Peer{{Instance: "entry-2", Zone: "west-1", Revisions: newer}}}, true},
		"expected peer without a heartbeat":                {fetch.Membership{ExpectedPeers: 1}, true},
		"region without a fresh summary":                   {fetch.Membership{ListedRegions: 1}, true},
		"instance of another region without a newer table": {fetch.Membership{ListedRegions: 1, RemoteEntries: []ident.Instance{"south-1"}}, false},
		"instance of another region with a newer table":    {fetch.Membership{ListedRegions: 1, RemoteEntries: []ident.Instance{"north-1"}}, false},
		"region with a fresh summary":                      {fetch.Membership{ListedRegions: 1, FreshRegions: 1, Peers: []fetch.Peer{{Instance: "north-1", Zone: "north-1", Usable: true, Remote: true, Revisions: member.Revisions{Table: 2}}}}, false},
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
						events = append(events, answerRemote(ask, north))
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
			if s.Status().Ready && (name == "region with a fresh summary" || slices.Contains(c.members.RemoteEntries, "north-1")) && s.Status().Active.Revision != newest {
				t.Errorf("%s: ready with revision %d", name, s.Status().Active.Revision)
			}
			if early := now.Sub(start) < startTimeout; s.Status().Ready && early == c.waits {
				t.Errorf("%s: ready after %s with revision %d", name, now.Sub(start), s.Status().Active.Revision)
			}
		}
	}
}

// answerRemote answers a read from north-1 with its values; other peers have none.
func answerRemote(ask fetch.ReadPeer, north map[fetch.Key]fetch.Value) fetch.Event {
	value, found := north[ask.Key]
	if ask.Instance != "north-1" || !found {
		return fetch.PeerAnswered{Instance: ask.Instance, Key: ask.Key}
	}
	return fetch.PeerAnswered{Instance: ask.Instance, Key: ask.Key, Found: true, Value: value}
}
