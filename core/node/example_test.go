package node_test

import (
	"fmt"
	"slices"
	"time"

	"arbutustrestle/core/fetch"
	"arbutustrestle/core/member"
	"arbutustrestle/core/node"
)

// A program passes events to a node and carries out its actions. This example answers
// the first read of the platform and prints the resulting view.
func ExampleNode() {
	f := newFixture()
	f.list(fetch.EntriesKey, 1, []string{"west-1", "west-2"})
	now := time.Unix(1_800_000_000, 0)
	n := node.New(node.Options{Self: entryOf("west-1"), Start: 1, Codec: fakeCodec{}})
	for n.View().Members.ListingRevision == 0 {
		now = now.Add(member.TickInterval)
		for _, action := range slices.Clone(n.Step(now, node.Tick{})) {
			read, ok := action.(node.ReadPlatform)
			if !ok {
				continue
			}
			fmt.Println("read", read.Key)
			answer := fetch.PlatformAnswered{Key: read.Key, Answer: fetch.Found, Value: f.values[read.Key]}
			n.Step(now, node.FetchAnswered{Event: answer, AskedAt: now})
		}
	}
	fmt.Println(n.View().Phase, len(n.View().Members.Members()), "entries, revision", n.View().Members.ListingRevision)
	// Output:
	// read list/entries
	// starting 2 entries, revision 1
}
