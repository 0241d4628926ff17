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
	// failTime is how long reads from other instances fail, where the first do.
	const failTime = 2 * member.TickInterval
	newer := member.Revisions{Table: 2, Entries: 7}
	cases := map[string]struct {
		members fetch.Membership
		// waits is set when the instance must not become ready before startTimeout.
		waits bool
		// failsFirst is set if the first reads from other instances fail.
		failsFirst bool
	}{
		"alone":                                            {fetch.Membership{}, false, false},
		"peer that is not usable yet":                      {fetch.Membership{ExpectedPeers: 1, Peers: []fetch.Peer{{Instance: "entry-2", Zone: "west-1", Revisions: newer}}}, true, false},
		"expected peer without a heartbeat":                {fetch.Membership{ExpectedPeers: 1}, true, false},
		"region without a fresh summary":                   {fetch.Membership{ListedRegions: 1}, true, false},
		"instance of another region without a newer table": {fetch.Membership{ListedRegions: 1, RemoteEntries: []ident.Instance{"south-1"}}, false, false},
		"instance of another region with a newer table":    {fetch.Membership{ListedRegions: 1, RemoteEntries: []ident.Instance{"north-1"}}, false, false},
		"region with a fresh summary":                      {fetch.Membership{ListedRegions: 1, FreshRegions: 1, Peers: []fetch.Peer{{Instance: "north-1", Zone: "north-1", Usable: true, Remote: true, Revisions: member.Revisions{Table: 2}}}}, false, false},
		"fresh summary from before the newer table":        {fetch.Membership{ListedRegions: 1, FreshRegions: 1, Peers: []fetch.Peer{{Instance: "north-1", Zone: "north-1", Usable: true, Remote: true, Revisions: member.Revisions{Table: 1}}}, RemoteEntries: []ident.Instance{"north-1"}}, false, true},
		"fresh summary, a silent instance of the region":   {fetch.Membership{ListedRegions: 1, FreshRegions: 1, Peers: []fetch.Peer{{Instance: "south-1", Zone: "south-1", Usable: true, Remote: true, Revisions: member.Revisions{Table: 1}}}, RemoteEntries: []ident.Instance{silent}}, false, false},
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
					if ask, ok := action.(fetch.ReadPeer); ok && ask.Instance != silent {
						answer := answerRemote(ask, north)
						if c.failsFirst && now.Sub(start) < failTime {
							answer = fetch.PeerFailed{Instance: ask.Instance, Key: ask.Key}
						}
						events = append(events, answer)
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

// silent is an instance that doesn't answer.
const silent = "silent-1"

// answerRemote answers a read from north-1 with its values; other peers have none.
func answerRemote(ask fetch.ReadPeer, north map[fetch.Key]fetch.Value) fetch.Event {
	value, found := north[ask.Key]
	if ask.Instance != "north-1" || !found {
		return fetch.PeerAnswered{Instance: ask.Instance, Key: ask.Key}
	}
	return fetch.PeerAnswered{Instance: ask.Instance, Key: ask.Key, Found: true, Value: value}
}
