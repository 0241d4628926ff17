// Package unread makes callers who don't read their answers give the memory that is held for them to others.
package unread

import (
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/yield"
)

// delay is how long a caller may read nothing before what it doesn't read takes memory.
const delay = 100 * time.Millisecond

// Writes holds the writes that wait for callers who don't read. Its zero value is ready to use.
type Writes struct {
	mu     sync.Mutex
	writes map[*Write]struct{}
}

// Write is a write of a part of an answer, which may have to wait for a caller who doesn't read.
type Write struct {
	Clock clock.Clock
	// Share is what is held for the caller; nil if that isn't bounded.
	Share *memory.Share
	// Bytes is what Share must hold while the caller reads nothing; zero for what it holds already.
	Bytes int64
	// Abort makes the write return.
	Abort func()

	since time.Time
	mu    sync.Mutex
	ended bool
	// aborted is set if there was no memory.
	aborted bool
}

// Do calls write, and reports whether it was aborted for want of memory.
func (u *Writes) Do(w *Write, write func()) (aborted bool) {
	w.since = w.Clock.Now()
	timer := time.AfterFunc(delay, func() {
		u.add(w)
		if !w.takeMemory() {
			u.remove(w)
		}
	})
	write()
	timer.Stop()
	aborted = w.end()
	u.remove(w)
	return aborted
}

// MakeRoom aborts the writes that have waited for the longest time and hold a number of bytes together. It
// reports false, and aborts none, if those that have waited for yield.Patience hold less.
func (u *Writes) MakeRoom(now time.Time, needed int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var old []*Write
	for w := range u.writes {
		if now.Sub(w.since) >= yield.Patience && w.Share.Held() > 0 {
			old = append(old, w)
		}
	}
	slices.SortFunc(old, func(a, b *Write) int { return a.since.Compare(b.since) })
	for i, w := range old {
		if needed -= w.Share.Held(); needed <= 0 {
			for _, chosen := range old[:i+1] {
				chosen.giveWay()
			}
			return true
		}
	}
	return false
}

// Len returns the number of writes that wait.
func (u *Writes) Len() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.writes)
}

func (u *Writes) add(w *Write) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.writes == nil {
		u.writes = map[*Write]struct{}{}
	}
	u.writes[w] = struct{}{}
}

func (u *Writes) remove(w *Write) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.writes, w)
}

// takeMemory takes what is held during the write, or aborts the write. It reports false if the write has
// ended.
func (w *Write) takeMemory() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	if !w.Share.Grow(w.Bytes) {
		w.aborted = true
		w.Abort()
	}
	return true
}

// giveWay aborts the write, so that others get its memory.
func (w *Write) giveWay() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && !w.aborted {
		w.aborted = true
		w.Share.Revoke()
		w.Abort()
	}
}

// end reports whether the write was aborted.
func (w *Write) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return w.aborted
}
