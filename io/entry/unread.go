package entry

import (
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/memory"
	"arbutustrestle/core/result"
	"arbutustrestle/io/invoke"
	"arbutustrestle/io/unread"
)

// pastDeadline is a deadline that makes writes fail at once.
var pastDeadline = time.Unix(1, 0)

// Abort makes a write that waits for the caller return.
func (s *httpSink) Abort() {
	_ = s.controller.SetWriteDeadline(pastDeadline)
}

// Abort makes a write that waits for the peer return.
func (s *peerSink) Abort() {
	s.frames.stream.SetWriteDeadline(pastDeadline)
}

// EndUnread makes callers who don't read their answers give their memory to others. It is the MakeRoom hook of
// AnswerMemory.
func (s *Server) EndUnread(needed, _ int64) bool {
	return s.unread.MakeRoom(s.Clock.Now(), needed)
}

// write passes on a part of an answer for which share holds memory: what it holds already, or bytes while the
// caller reads nothing. A caller who reads nothing while there is no memory loses the answer.
func (s *Server) write(sink invoke.Sink, share *memory.Share, bytes int64, p []byte) (err error) {
	abortable, ok := sink.(interface{ Abort() })
	if !ok {
		return sink.Write(p)
	}
	w := &unread.Write{Clock: s.Clock, Share: share, Bytes: bytes, Abort: abortable.Abort}
	if s.unread.Do(w, func() { err = sink.Write(p) }) {
		return invoke.ErrAnswerMemory
	}
	return err
}

// writeReason returns the reason of a failed write.
func writeReason(err error) result.Reason {
	if errors.Is(err, invoke.ErrAnswerMemory) {
		return result.AnswerMemory
	}
	return result.CallerGone
}
