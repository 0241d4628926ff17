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

// TestFreeBytes guards against small shares that depend on what others hold, and against free bytes
// that are given back to the budget.
func TestFreeBytes(t *testing.T) {
	b := &Budget{Limit: 100, Free: 10}
	large, small := b.NewShare(), b.NewShare()
	if !large.Add(110) || large.Add(1) || b.Refused() != 1 {
		t.Error("the limit isn't kept")
	}
	if !small.Add(6) || !small.Add(4) || small.Add(1) {
		t.Error("a small share depends on a large one, or a free byte too many")
	}
	large.Sub(105)
	if b.Used() != 0 || !small.Add(100) || !large.Add(5) || large.Add(1) {
		t.Error("what was given back can't be used, or free bytes were given back")
	}
	large.Release()
	small.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes are never given back", b.Used())
	}
}
