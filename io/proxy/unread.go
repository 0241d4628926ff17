package proxy

import (
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/core/yield"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
)

// unreadDelay is how long a caller may read nothing before what it doesn't read takes memory from the
// budget.
const unreadDelay = 100 * time.Millisecond

// relaySink passes on an answer that another instance sends. While its caller reads nothing, what
// still arrives stays in the buffer of the link, up to a window that the other end has been granted and
// that can't be taken back. If there is no memory for that, the caller who has read nothing for the longest
// time, yield.Patience at least, loses its answer, or else the one for whom there is none; others don't
// notice.
type relaySink struct {
	Sink
	budget *memory.Budget
	unread *unreadWrites
	clock  clock.Clock
}

// unreadWrites holds the writes that wait for callers who don't read. Its zero value is ready to use.
type unreadWrites struct {
	mu     sync.Mutex
	writes map[*unreadWrite]struct{}
}

func (u *unreadWrites) add(w *unreadWrite) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.writes == nil {
		u.writes = map[*unreadWrite]struct{}{}
	}
	u.writes[w] = struct{}{}
}

func (u *unreadWrites) remove(w *unreadWrite) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.writes, w)
}

// makeRoom aborts the writes that have waited for the longest time and hold a number of bytes together. It
// reports false, and aborts none, if those that have waited for long enough hold less.
func (u *unreadWrites) makeRoom(now time.Time, needed int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var old []*unreadWrite
	for w := range u.writes {
		if now.Sub(w.since) >= yield.Patience && w.share.Held() > 0 {
			old = append(old, w)
		}
	}
	slices.SortFunc(old, func(a, b *unreadWrite) int { return a.since.Compare(b.since) })
	for i, w := range old {
		if needed -= w.share.Held(); needed <= 0 {
			for _, chosen := range old[:i+1] {
				chosen.giveWay()
			}
			return true
		}
	}
	return false
}

// EndUnread makes callers of relayed answers who don't read them give their memory to others. It is the MakeRoom
// hook of AnswerMemory.
func (p *Proxy) EndUnread(needed, _ int64) bool {
	return p.unread.makeRoom(p.Clock.Now(), needed)
}

// Write writes a part of the body.
func (s *relaySink) Write(p []byte) (int, error) {
	w := &unreadWrite{share: s.budget.NewShare(), abort: s.Abort, since: s.clock.Now()}
	timer := time.AfterFunc(unreadDelay, func() {
		s.unread.add(w)
		if !w.takeMemory() {
			s.unread.remove(w)
		}
	})
	n, err := s.Sink.Write(p)
	timer.Stop()
	aborted := w.end()
	s.unread.remove(w)
	if aborted {
		return n, http1.ErrNoMemory
	}
	return n, err
}

// unreadWrite is a write that may have to wait for a caller who doesn't read.
type unreadWrite struct {
	abort func()
	since time.Time

	mu    sync.Mutex
	share *memory.Share
	ended bool
	// aborted is set if there was no memory.
	aborted bool
}

// takeMemory takes what the link may hold during the write, or aborts the write. It reports false if the write
// has ended.
func (w *unreadWrite) takeMemory() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	if !w.share.Grow(link.MaxBufferBytes) {
		w.aborted = true
		w.abort()
	}
	return true
}

// giveWay aborts the write, so that others get its memory.
func (w *unreadWrite) giveWay() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && !w.aborted {
		w.aborted = true
		w.share.Revoke()
		w.abort()
	}
}

// end reports whether the write was aborted.
func (w *unreadWrite) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.share.Release()
	return w.aborted
}
