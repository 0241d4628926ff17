package fetch

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/table"
)

// remoteRetry is the time between two questions to the same entry of another region.
const remoteRetry = time.Second

// remoteState holds what a starting instance without peers learns from other regions. Their
// summaries may come too late: they are sent some seconds apart, and not to an
// instance that was just found dead.
type remoteState struct {
	// names are the entries that are asked.
	names []ident.Instance
	// askedAt is when they were asked last.
	askedAt time.Time
	// answered is set once one of them has answered.
	answered bool
	// peers are those that gave a newer table.
	peers []Peer
}

// askRemotes asks entries of other regions for a newer table, during the start of an
// instance that is alone in its region.
func (s *State) askRemotes() {
	if s.ready || !s.alone || s.now.Sub(s.remote.askedAt) < remoteRetry {
		return
	}
	s.remote.askedAt = s.now
	for _, name := range s.remote.names {
		s.counts.PeerReads++
		s.act(ReadPeer{Instance: name, Key: ManifestKey, After: s.mine(watchManifest)})
	}
}

// remoteAnswered notes an answer of an entry of another region. One that has a newer
// table is asked for its pages, too.
func (s *State) remoteAnswered(e PeerAnswered) {
	if !slices.Contains(s.remote.names, e.Instance) || e.Key != ManifestKey {
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
	s.addRemotes()
}

// addRemotes puts the entries of other regions among the peers, as long as it starts.
func (s *State) addRemotes() {
	if s.ready {
		return
	}
	for _, p := range s.remote.peers {
		known := slices.ContainsFunc(s.peers, func(other Peer) bool { return other.Instance == p.Instance })
		if !known {
			s.peers = append(slices.Clip(s.peers), p)
		}
	}
}
