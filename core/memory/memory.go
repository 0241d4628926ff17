// Package memory bounds the bytes that an instance holds for others: those of all requests, or of
// all answers, together, not of each by itself.
package memory

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// roomTimeout bounds the wait for bytes that revoked shares still hold. Their requests only have to
// notice, which takes longer while the processors are busy.
const roomTimeout = time.Second

// Budget is a number of bytes that requests or answers share. Its zero value has no bound. It is
// safe for concurrent use; Limit, Free and MakeRoom are set before.
type Budget struct {
	// Limit is in bytes; zero means none.
	Limit int64
	// Free is the number of bytes that each share holds beside the budget, so that what is small
	// doesn't depend on what others hold.
	Free int64
	// MakeRoom revokes shares of others that hold a number of bytes, for a share that will hold a
	// number of bytes in all. It reports false, and revokes nothing, if too few may be revoked. A nil
	// one revokes none.
	MakeRoom func(needed, held int64) bool

	used    atomic.Int64
	refused atomic.Int64
	// revoked is the part of used that revoked shares still hold.
	revoked atomic.Int64

	// waiting is the number of waiters.
	waiting atomic.Int64
	mu      sync.Mutex
	waiters []*waiter
}

// waiter waits for bytes.
type waiter struct {
	bytes int64
	// done is closed when the wait ends; granted is set before if the bytes were taken.
	done    chan struct{}
	granted bool
}

// Used returns the bytes that are held, without the free ones.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Refused returns how often a share couldn't grow.
func (b *Budget) Refused() int64 {
	return b.refused.Load()
}

// charged returns the part of a share's bytes that it takes from the budget.
func (b *Budget) charged(bytes int64) int64 {
	return max(0, bytes-b.Free)
}

// take takes bytes from the budget if it has them. The bytes of a share that gets none never count, or
// several that come at once would keep each other out.
func (b *Budget) take(bytes int64) bool {
	for {
		used := b.used.Load()
		if b.Limit > 0 && used+bytes > b.Limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// give gives bytes back, to those who wait if there are any.
func (b *Budget) give(bytes int64) {
	b.used.Add(-bytes)
	if b.waiting.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grant()
}

// grant serves the waiters whose bytes there are, in their order. Small ones don't wait for large ones.
func (b *Budget) grant() {
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if !b.take(w.bytes) {
			return false
		}
		w.granted = true
		close(w.done)
		return true
	})
	b.waiting.Store(int64(len(b.waiters)))
}

// enqueue adds a waiter and returns the bytes that must be revoked for all of them.
func (b *Budget) enqueue(w *waiter) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = append(b.waiters, w)
	// Bytes that are given back from here on wait for the lock.
	b.waiting.Store(int64(len(b.waiters)))
	b.grant()
	wanted := int64(0)
	for _, other := range b.waiters {
		wanted += other.bytes
	}
	return wanted - max(0, b.Limit-b.used.Load()) - b.revoked.Load()
}

// dequeue ends a wait and reports whether the bytes were taken.
func (b *Budget) dequeue(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	b.waiting.Store(int64(len(b.waiters)))
	return w.granted
}

// fail ends a wait without the bytes.
func (b *Budget) fail(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.waiters)
	b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
	if len(b.waiters) < before {
		close(w.done)
	}
	b.waiting.Store(int64(len(b.waiters)))
}

// Share is the part of a budget that one request or answer holds. A nil or zero share has no budget. It
// is safe for concurrent use, but for Grow and Add, which are called by one goroutine at a time.
type Share struct {
	budget *Budget

	mu   sync.Mutex
	held int64
	// revoked is set if the bytes are to be given to another request.
	revoked bool
	// waiter is set while Grow waits.
	waiter *waiter
}

// NewShare returns a share that holds nothing yet. A nil budget has no bound.
func (b *Budget) NewShare() *Share {
	return &Share{budget: b}
}

// Grow makes the share hold a number of bytes, if it holds less. It waits for those who give way. It
// reports false, and changes nothing, if the budget doesn't have the bytes and nobody gives way, or if this
// share was revoked.
func (s *Share) Grow(bytes int64) bool {
	if s == nil || s.budget == nil {
		return true
	}
	if !s.grow(bytes) {
		s.budget.refused.Add(1)
		return false
	}
	return true
}

// Add makes the share hold further bytes, as Grow does.
func (s *Share) Add(bytes int64) bool {
	return s.Grow(s.Held() + bytes)
}

// Sub gives some of the bytes back.
func (s *Share) Sub(bytes int64) {
	if s == nil || s.budget == nil {
		return
	}
	s.mu.Lock()
	before := s.budget.charged(s.held)
	s.held -= bytes
	freed := before - s.budget.charged(s.held)
	if s.revoked {
		s.budget.revoked.Add(-freed)
	}
	s.mu.Unlock()
	s.budget.give(freed)
}

func (s *Share) grow(bytes int64) bool {
	s.mu.Lock()
	if s.revoked || bytes <= s.held {
		defer s.mu.Unlock()
		return !s.revoked
	}
	more := s.budget.charged(bytes) - s.budget.charged(s.held)
	if more == 0 || s.budget.take(more) {
		defer s.mu.Unlock()
		s.held = bytes
		return true
	}
	if s.budget.MakeRoom == nil || more > s.budget.Limit {
		defer s.mu.Unlock()
		return false
	}
	w := &waiter{bytes: more, done: make(chan struct{})}
	s.waiter = w
	s.mu.Unlock()
	return s.keep(s.await(w, bytes), bytes)
}

// await waits for bytes, and reports whether they were taken.
func (s *Share) await(w *waiter, bytes int64) bool {
	b := s.budget
	if needed := b.enqueue(w); needed > 0 && !b.MakeRoom(needed, bytes) {
		return b.dequeue(w)
	}
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	return b.dequeue(w)
}

// keep ends Grow after a wait. Bytes that come after the share was revoked go back.
func (s *Share) keep(taken bool, bytes int64) bool {
	s.mu.Lock()
	more := s.budget.charged(bytes) - s.budget.charged(s.held)
	s.waiter = nil
	kept := taken && !s.revoked
	if kept {
		s.held = bytes
	}
	s.mu.Unlock()
	if taken && !kept {
		s.budget.give(more)
	}
	return kept
}

// Held returns the bytes that the share holds.
func (s *Share) Held() int64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Revoke makes Grow fail until Release, which is due at once. The bytes are held until then.
func (s *Share) Revoke() {
	if s == nil || s.budget == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revoked {
		return
	}
	s.revoked = true
	s.budget.revoked.Add(s.budget.charged(s.held))
	if s.waiter != nil {
		s.budget.fail(s.waiter)
	}
}

// Release gives all bytes back. The share can be used again.
func (s *Share) Release() {
	if s == nil || s.budget == nil {
		return
	}
	s.mu.Lock()
	charged := s.budget.charged(s.held)
	if s.revoked {
		s.budget.revoked.Add(-charged)
	}
	s.held = 0
	s.revoked = false
	s.mu.Unlock()
	if charged > 0 {
		s.budget.give(charged)
	}
}
