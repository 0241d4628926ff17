package hops_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"arbutustrestle/core/hops"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

func Example() {
	var via hops.Via
	via = via.Append("entry-west-1", "west")
	local := hops.LocalState{Instance: "entry-north-1", TableRevision: 7, MaxHops: 1}
	fmt.Println(via.CheckArrival(local, 7))
	fmt.Println(via.CheckArrival(local, 8).Reason)
	fmt.Println(via.Append("entry-north-1", "north").CheckArrival(hops.LocalState{Instance: "entry-west-1", TableRevision: 9, MaxHops: 3}, 7).Reason)
	// Output:
	// <nil>
	// older-table
	// hop-limit
}

// TestForwardingTerminates forwards requests at random between instances, each of which
// has its own table revision and hop limit and always forwards. Without the via list,
// no request would ever stop.
func TestForwardingTerminates(t *testing.T) {
	const instances, requests, bound = 9, 10_000, 3
	random := rand.New(rand.NewPCG(1, 1))
	for range requests {
		var via hops.Via
		revision := ident.Revision(1 + random.IntN(3))
		passed := map[ident.Instance]int{}
		current := ident.Instance(fmt.Sprint("entry-", random.IntN(instances)))
		for hop := 0; ; hop++ {
			passed[current]++
			if passed[current] > 1 || hop > bound {
				t.Fatalf("%v: an instance is visited twice, or more hops than the limit: %d", via, hop)
			}
			table := max(revision, ident.Revision(1+random.IntN(3)))
			via = via.Append(current, "west")
			current = ident.Instance(fmt.Sprint("entry-", random.IntN(instances)))
			local := hops.LocalState{Instance: current, TableRevision: ident.Revision(random.IntN(4)), MaxHops: random.IntN(bound + 1)}
			failure := via.CheckArrival(local, table)
			if failure != nil && failure.Outcome != result.NotRun {
				t.Fatal(failure)
			}
			if failure != nil {
				break
			}
			revision = local.TableRevision
		}
	}
}

func BenchmarkArrive(b *testing.B) {
	via := hops.Via{}.Append("entry-west-1", "west")
	local := hops.LocalState{Instance: "entry-north-1", TableRevision: 7, MaxHops: 1}
	b.ReportAllocs()
	for b.Loop() {
		via.CheckArrival(local, 7)
	}
}
