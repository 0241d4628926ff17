package link

import (
	"slices"
	"sync"

	"arbutustrestle/core/ident"
)

// defaultMaxLinks is MaxLinks where the server sets none: several times the instances of a large installation,
// which each have one link, and another while the first isn't answered.
const defaultMaxLinks = 4096

// acceptedLinks holds the sessions that peers have opened. An instance needs one or two, so that the number is bounded,
// and one of the instance that has the most gives way. Its zero value is ready to use.
type acceptedLinks struct {
	mu sync.Mutex
	// byPeer holds the sessions of each instance, the oldest first.
	byPeer map[ident.Instance][]*session
	count  int
}

// add closes a session if there are more than a number: the oldest one of the instance that has the most.
func (l *acceptedLinks) add(s *session, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byPeer == nil {
		l.byPeer = map[ident.Instance][]*session{}
	}
	peer := s.peer.Incarnation.Instance
	l.byPeer[peer] = append(l.byPeer[peer], s)
	l.count++
	if l.count <= most {
		return
	}
	for _, sessions := range l.byPeer {
		if len(sessions) > len(l.byPeer[peer]) {
			peer = sessions[0].peer.Incarnation.Instance
		}
	}
	oldest := l.byPeer[peer][0]
	l.removeLocked(oldest)
	go func() { _ = oldest.mux.Close() }()
}

// remove does nothing if the session has given way.
func (l *acceptedLinks) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(s)
}

func (l *acceptedLinks) removeLocked(s *session) {
	peer := s.peer.Incarnation.Instance
	place := slices.Index(l.byPeer[peer], s)
	if place < 0 {
		return
	}
	l.count--
	l.byPeer[peer] = slices.Delete(l.byPeer[peer], place, place+1)
	if len(l.byPeer[peer]) == 0 {
		delete(l.byPeer, peer)
	}
}
