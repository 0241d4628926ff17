package memory

import (
	"sync"
	"testing"
	"time"
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

// TestRevokedBytesAreAwaited guards against bytes that are held twice: by a request that was told to give
// way, until it notices, and by the one they are for.
func TestRevokedBytesAreAwaited(t *testing.T) {
	b := &Budget{Limit: 100}
	victim := b.NewShare()
	b.MakeRoom = func(needed, held int64) bool {
		if needed != 30 || held != 50 {
			t.Errorf("room for %d of %d", needed, held)
		}
		victim.Revoke()
		return true
	}
	if !victim.Grow(80) {
		t.Fatal("no bytes")
	}
	done := make(chan bool)
	next := b.NewShare()
	go func() { done <- next.Grow(50) }()
	select {
	case <-done:
		t.Fatal("granted before the bytes were given back")
	case <-time.After(50 * time.Millisecond):
	}
	if victim.Grow(81) {
		t.Error("a revoked share grows")
	}
	victim.Release()
	if !<-done || b.Used() != 50 {
		t.Errorf("%d bytes held", b.Used())
	}
	b.MakeRoom = func(int64, int64) bool { return false }
	if victim.Grow(51) || !victim.Grow(50) {
		t.Error("the limit isn't kept")
	}
	// A share that waits is revoked.
	b.MakeRoom = func(int64, int64) bool { victim.Revoke(); return true }
	if victim.Grow(60) {
		t.Error("a share grows by revoking itself")
	}
	victim.Release()
	next.Release()
	if b.Used() != 0 || b.revoked.Load() != 0 || b.waiting.Load() != 0 {
		t.Errorf("%d bytes held, %d revoked, %d wait", b.Used(), b.revoked.Load(), b.waiting.Load())
	}
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
