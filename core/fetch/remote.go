package fetch

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/table"
)

const (
	// remoteRetry is the time between two reads from the same instance of another region.
	remoteRetry = time.Second
	// remoteAnswerTime is how long a start waits for the answer of another region whose summary
	// has arrived. A summary that was under way may be older than the table of its region.
	remoteAnswerTime = 2 * remoteRetry
)

// remoteState holds the answers of other regions to a starting instance without peers.
// Their summaries may arrive too late: they are sent some seconds apart, and not to an
// instance to which a send has just failed.
type remoteState struct {
	// instances are the instances to read from.
	instances []ident.Instance
	// readAt is when they were last read.
	readAt time.Time
	// answered is set once one of them has answered.
	answered bool
	// peers are the instances that returned a newer table.
	peers []Peer
}

// readRemotes reads a newer table from instances of other regions, during the start of
// an instance that is alone in its region.
func (s *State) readRemotes() {
	if s.ready || !s.alone || s.now.Sub(s.remote.readAt) < remoteRetry {
		return
	}
	s.remote.readAt = s.now
	for _, name := range s.remote.instances {
		s.counts.PeerReads++
		s.emit(ReadPeer{Instance: name, Key: ManifestKey, After: s.ownRevision(watchManifest)})
	}
}

// recordRemoteAnswer records an answer of an instance of another region. An instance
// that has a newer table also becomes a source of its pages.
func (s *State) recordRemoteAnswer(e PeerAnswered) {
	if !slices.Contains(s.remote.instances, e.Instance) || e.Key != ManifestKey {
		return
	}
	s.remote.answered = true
	if !e.Found {
		return
	}
	manifest, err := table.ParseManifest(e.Value.Data)
	if err != nil {
		return
	}
	s.remote.peers = slices.DeleteFunc(s.remote.peers, func(p Peer) bool { return p.Instance == e.Instance })
	s.remote.peers = append(s.remote.peers, Peer{
		Instance:  e.Instance,
		Usable:    true,
		Remote:    true,
		Revisions: member.Revisions{Table: manifest.Revision},
	})
	s.addRemotePeers()
}

// addRemotePeers adds the instances of other regions to the peers during the start, with the
// revisions that they answered. The summary of a region may have named one with an older table.
func (s *State) addRemotePeers() {
	if s.ready {
		return
	}
	s.peers = slices.Clone(s.peers)
	for _, p := range s.remote.peers {
		i := slices.IndexFunc(s.peers, func(other Peer) bool { return other.Instance == p.Instance })
		if i < 0 {
			s.peers = append(s.peers, p)
		} else if s.peers[i].Revisions.Table < p.Revisions.Table {
			s.peers[i] = p
		}
	}
}

// regionsAnswered reports whether other regions have told the revision of their table, if there are any.
func (s *State) regionsAnswered() bool {
	waits := s.alone && len(s.remote.instances) > 0 && s.now.Sub(s.startedAt) < remoteAnswerTime
	return s.remote.answered || s.regionsFresh && !waits
}
