// Package memory bounds the bytes that an instance holds for others: those of all requests, or of
// all answers, together, not of each by itself.
package memory

import "sync/atomic"

// Budget is a number of bytes that requests or answers share. Its zero value has no bound. It is
// safe for concurrent use; Limit and Free are set before.
type Budget struct {
	// Limit is in bytes; zero means none.
	Limit int64
	// Free is the number of bytes that each share holds beside the budget, so that what is small
	// doesn't depend on what others hold.
	Free int64

	used    atomic.Int64
	refused atomic.Int64
}

// Used returns the bytes that are held, without the free ones.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Refused returns how often a share couldn't grow.
func (b *Budget) Refused() int64 {
	return b.refused.Load()
}

// take changes the bytes that are held. It reports false, and changes nothing, if the budget
// doesn't have them.
func (b *Budget) take(bytes int64) bool {
	if used := b.used.Add(bytes); bytes > 0 && b.Limit > 0 && used > b.Limit {
		b.used.Add(-bytes)
		b.refused.Add(1)
		return false
	}
	return true
}

// Share is the part of a budget that one request or answer holds. It is used by one goroutine at a
// time; its zero value holds nothing and has no budget.
type Share struct {
	budget *Budget
	held   int64
}

// NewShare returns a share that holds nothing yet. A nil budget has no bound.
func (b *Budget) NewShare() Share {
	return Share{budget: b}
}

// Grow makes the share hold a number of bytes, if it holds less. It reports false, and changes
// nothing, if the budget doesn't have them.
func (s *Share) Grow(bytes int64) bool {
	return bytes <= s.held || s.resize(bytes)
}

// Add makes the share hold further bytes. It reports false, and changes nothing, if the budget
// doesn't have them.
func (s *Share) Add(bytes int64) bool {
	return s.resize(s.held + bytes)
}

// Sub gives some of the bytes back.
func (s *Share) Sub(bytes int64) {
	s.resize(s.held - bytes)
}

// Release gives all bytes back.
func (s *Share) Release() {
	s.resize(0)
}

func (s *Share) resize(bytes int64) bool {
	if s.budget != nil {
		free := s.budget.Free
		more := max(0, bytes-free) - max(0, s.held-free)
		if more != 0 && !s.budget.take(more) {
			return false
		}
	}
	s.held = bytes
	return true
}
