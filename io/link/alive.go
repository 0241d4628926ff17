package link

import (
	"time"

	"github.com/hashicorp/yamux"
)

// A link on which a ping isn't answered in time gets no new exchanges: the next use dials
// another one. Those that run on it go on, since the peer may only be paused. The link is
// closed when they have ended, or if the peer answers on the other link and still not on
// this one: then it is the connection that is broken.

// watchSession pings the peer until a ping isn't answered, then retires the link.
func (p *Pool) watchSession(target *peer, s *session, interval time.Duration) {
	for answersAfter(s.mux, interval) {
	}
	target.retire(s)
	for !s.mux.IsClosed() && s.streams.count() > 0 {
		replaced := target.openSession.Load() != nil
		if !answersAfter(s.mux, interval) && replaced {
			break
		}
	}
	_ = s.mux.Close()
}

// answersAfter reports whether a ping is answered that is sent after an interval.
func answersAfter(mux *yamux.Session, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-mux.CloseChan():
		return false
	case <-timer.C:
	}
	_, err := mux.Ping()
	return err == nil
}

// retire makes the next use of the link dial another one.
func (p *peer) retire(s *session) {
	p.dialMu.Lock()
	if p.session == s {
		p.session = nil
		p.openSession.Store(nil)
	}
	p.dialMu.Unlock()
	p.controlMu.Lock()
	if p.controlSession == s && p.control != nil {
		p.control.Abort()
		p.control = nil
	}
	p.controlMu.Unlock()
}
