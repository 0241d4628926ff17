package rank

import (
	"fmt"
	"testing"
)

func names(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("entry-%d", i)
	}
	return list
}

func TestRemovalMovesOnlyItsOwnKeys(t *testing.T) {
	all := names(9)
	fewer := append(append([]string{}, all[:4]...), all[5:]...)
	for i := range 1000 {
		key := fmt.Sprintf("key-%d", i)
		before, _ := First(key, all)
		after, _ := First(key, fewer)
		if before != all[4] && before != after {
			t.Fatalf("%s moved from %s to %s", key, before, after)
		}
	}
}

func TestTopAgreesWithFirst(t *testing.T) {
	all := names(9)
	for i := range 100 {
		key := fmt.Sprintf("key-%d", i)
		first, _ := First(key, all)
		top := Top(key, all, 3)
		if len(top) != 3 || top[0] != first || !Before(key, top[1], top[2]) {
			t.Fatalf("%s: first %s, top %v", key, first, top)
		}
	}
	if _, found := First[string]("key", nil); found {
		t.Fatal("found a candidate in an empty list")
	}
}

func BenchmarkFirst370(b *testing.B) {
	all := names(370)
	b.ReportAllocs()
	for b.Loop() {
		First("upstream-17", all)
	}
}
