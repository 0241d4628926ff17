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
	here := hops.LocalState{Instance: "entry-north-1", TableRevision: 7, MaxHops: 1}
	fmt.Println(via.CheckArrival(here, 7))
	fmt.Println(via.CheckArrival(here, 8).Reason)
	fmt.Println(via.Append("entry-north-1", "north").CheckArrival(hops.LocalState{Instance: "entry-west-1", TableRevision: 9, MaxHops: 3}, 7).Reason)
	// Output:
	// <nil>
	// older-table
	// hop-limit
}

// TestNoRequestCirculates sends requests on at random between instances that each
// have a table and a bound of their own and always forward. Without the via none
// of them would ever end.
func TestNoRequestCirculates(t *testing.T) {
	const instances, requests, bound = 9, 10_000, 3
	random := rand.New(rand.NewPCG(1, 1))
	for range requests {
		var via hops.Via
		revision := ident.Revision(1 + random.IntN(3))
		passed := map[ident.Instance]int{}
		at := ident.Instance(fmt.Sprint("entry-", random.IntN(instances)))
		for hop := 0; ; hop++ {
			passed[at]++
			if passed[at] > 1 || hop > bound {
				t.Fatalf("%v passed twice, or %d hops", via, hop)
			}
			table := max(revision, ident.Revision(1+random.IntN(3)))
			via = via.Append(at, "west")
			at = ident.Instance(fmt.Sprint("entry-", random.IntN(instances)))
			here := hops.LocalState{Instance: at, TableRevision: ident.Revision(random.IntN(4)), MaxHops: random.IntN(bound + 1)}
			failure := via.CheckArrival(here, table)
			if failure != nil && failure.Outcome != result.NotRun {
				t.Fatal(failure)
			}
			if failure != nil {
				break
			}
			revision = here.TableRevision
		}
	}
}

func BenchmarkArrive(b *testing.B) {
	via := hops.Via{}.Append("entry-west-1", "west")
	here := hops.LocalState{Instance: "entry-north-1", TableRevision: 7, MaxHops: 1}
	b.ReportAllocs()
	for b.Loop() {
		via.CheckArrival(here, 7)
	}
}
