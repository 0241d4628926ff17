package proxy

import (
	"arbutustrestle/core/clock"
	"arbutustrestle/core/memory"
	"arbutustrestle/io/http1"
	"arbutustrestle/io/link"
	"arbutustrestle/io/unread"
)

// relaySink passes on an answer that another instance sends. While its caller reads nothing, what
// still arrives stays in the buffer of the link, up to a window that the other end has been granted and
// that can't be taken back. If there is no memory for that, the caller who has read nothing for the longest
// time, yield.Patience at least, loses its answer, or else the one for whom there is none; others don't
// notice.
type relaySink struct {
	Sink
	budget *memory.Budget
	unread *unread.Writes
	clock  clock.Clock
}

// EndUnread makes callers of relayed answers who don't read them give their memory to others. It is the MakeRoom
// hook of AnswerMemory.
func (p *Proxy) EndUnread(needed, _ int64) bool {
	return p.unread.MakeRoom(p.Clock.Now(), needed)
}

// Write writes a part of the body.
func (s *relaySink) Write(p []byte) (n int, err error) {
	share := s.budget.NewShare()
	defer share.Release()
	w := &unread.Write{Clock: s.clock, Share: share, Bytes: link.MaxBufferBytes, Abort: s.Abort}
	if s.unread.Do(w, func() { n, err = s.Sink.Write(p) }) {
		return n, http1.ErrNoMemory
	}
	return n, err
}
