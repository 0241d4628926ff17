// Package memory bounds the bytes that an instance holds for others: all requests together, not
// each by itself.
package memory

import "sync/atomic"

// Budget is a number of bytes that requests share. Its zero value has no bound. It is safe for
// concurrent use; Limit is set before.
type Budget struct {
	// Limit is in bytes; zero means none.
	Limit int64

	used atomic.Int64
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Share is the part of a budget that one request holds. It is used by one goroutine at a time;
// its zero value holds nothing and has no budget.
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
	more := bytes - s.held
	if s.budget == nil || more <= 0 {
		return true
	}
	if used := s.budget.used.Add(more); s.budget.Limit > 0 && used > s.budget.Limit {
		s.budget.used.Add(-more)
		return false
	}
	s.held = bytes
	return true
}

// Release gives all bytes back.
func (s *Share) Release() {
	if s.budget != nil {
		s.budget.used.Add(-s.held)
	}
	s.held = 0
}
