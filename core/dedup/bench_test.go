package dedup_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/result"
)

func BenchmarkBeginEnd(b *testing.B) {
	for _, size := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			now := time.Unix(0, 0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := dedup.NewRecords(incarnation("a"), now, dedup.Limits{MaxRecords: 1 << 20, MaxBytes: 1 << 30})
			runCall := func(k dedup.Key, outcome result.Outcome) {
				r.Begin(now, dedup.Call{Key: k, Workspace: "w"})
				r.End(now, k, dedup.Answer{Outcome: outcome, Status: 201})
			}
			for i := range size {
				runCall(key(fmt.Sprintf("a/0.%032d", i)), result.Done)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			newKey := key("a/0.fresh")
			b.ReportAllocs()
			for b.Loop() {
				runCall(newKey, result.NotRun)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "held-B/record")
			runtime.KeepAlive(r)
		})
	}
}
