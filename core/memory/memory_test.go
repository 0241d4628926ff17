package memory

import (
	"sync"
	"testing"
)

// TestBudget guards against a bound that a burst exceeds, and against bytes that are never given
// back.
func TestBudget(t *testing.T) {
	b := &Budget{Limit: 100}
	var work sync.WaitGroup
	for range 50 {
		work.Go(func() {
			for range 200 {
				s := b.NewShare()
				for size := int64(1); size <= 64 && s.Grow(size); size *= 2 {
					if b.Used() > 2*b.Limit {
						t.Error("more is used than the limit and one attempt of each")
					}
				}
				s.Release()
			}
		})
	}
	work.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes are never given back", b.Used())
	}
	first, second := b.NewShare(), b.NewShare()
	if !first.Grow(60) || second.Grow(41) || !second.Grow(40) || first.Grow(61) || !first.Grow(50) {
		t.Error("the limit isn't kept")
	}
	first.Release()
	if !second.Grow(100) {
		t.Error("what was given back can't be used")
	}
	none := (*Budget)(nil).NewShare()
	if !none.Grow(1 << 40) {
		t.Error("a bound without a budget")
	}
	none.Release()
}
