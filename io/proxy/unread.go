package proxy

import (
	"sync"
	"time"

	"arbutustrestle/core/memory"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
)

// unreadDelay is how long a caller may read nothing before what it doesn't read takes memory from the
// budget.
const unreadDelay = 100 * time.Millisecond

// relaySink passes on an answer that another instance sends. While its caller reads nothing, what
// still arrives stays in the buffer of the link, up to a window that the other end has been granted and
// that can't be taken back. A caller that reads nothing while there is no memory for that loses the
// answer; others don't notice.
type relaySink struct {
	Sink
	budget *memory.Budget
}

// Write writes a part of the body.
func (s *relaySink) Write(p []byte) (int, error) {
	w := &unreadWrite{share: s.budget.NewShare(), abort: s.Abort}
	timer := time.AfterFunc(unreadDelay, w.takeMemory)
	n, err := s.Sink.Write(p)
	timer.Stop()
	if w.end() {
		return n, http1.ErrNoMemory
	}
	return n, err
}

// unreadWrite is a write that may have to wait for a caller who doesn't read.
type unreadWrite struct {
	abort func()

	mu    sync.Mutex
	share *memory.Share
	ended bool
	// aborted is set if there was no memory.
	aborted bool
}

// takeMemory takes what the link may hold during the write, or aborts the write.
func (w *unreadWrite) takeMemory() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && !w.share.Grow(link.MaxBufferBytes) {
		w.aborted = true
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
