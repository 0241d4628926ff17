package member_test

import (
	"fmt"
	"time"

	"arbutustrestle/core/member"
)

// Two instances of one region exchange heartbeats: the platform lists only the first
// one, and the second one is kept because it sends heartbeats.
func Example() {
	now := time.Unix(0, 0)
	west := member.Entry{ID: "entry-west-1", Region: "west-eu", Zone: "west-eu-a"}
	late := member.Entry{ID: "entry-west-2", Region: "west-eu", Zone: "west-eu-b"}
	first := member.New(member.Options{Self: west, Start: 11})
	second := member.New(member.Options{Self: late, Start: 22})
	listing := member.Listing{Revision: 7, Entries: []member.Entry{west}}
	first.Step(now, member.ListingRead{Listing: listing})
	second.Step(now, member.ListingRead{Listing: listing})
	for _, s := range []*member.State{first, second} {
		s.Step(now, member.LocalStateChanged{Phase: member.Ready})
	}
	states := map[string]*member.State{"entry-west-1": first, "entry-west-2": second}
	for range 12 {
		now = now.Add(member.TickInterval)
		for _, from := range []*member.State{first, second} {
			for _, action := range from.Step(now, member.Tick{}) {
				if send, ok := action.(member.SendHeartbeat); ok {
					states[string(send.To)].Step(now, member.HeartbeatArrived{Heartbeat: send.Heartbeat})
				}
			}
		}
	}
	other, _ := first.View().Member("entry-west-2")
	fmt.Println(other.Status, other.Phase, "usable:", other.Usable, "listed:", other.Listed)
	fmt.Println("callers are sent to", first.View().AvailableInstances())
	// Output:
	// alive ready usable: true listed: false
	// callers are sent to [entry-west-1 entry-west-2]
}
