package feed

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/table"
)

// farRetry is the time between two questions to the same entry of another region.
const farRetry = time.Second

// far holds what a starting instance without peers learns from other regions. Their
// summaries may come too late: they are sent some seconds apart, and not to an
// instance that was just found dead.
type far struct {
	// names are the entries that are asked.
	names []ident.Instance
	// askedAt is when they were asked last.
	askedAt time.Time
	// answered is set once one of them has answered.
	answered bool
	// peers are those that gave a newer table.
	peers []Peer
}

// planFar asks entries of other regions for a newer table, during the start of an
// instance that is alone in its region.
func (s *State) planFar() {
	if s.ready || !s.alone || s.now.Sub(s.far.askedAt) < farRetry {
		return
	}
	s.far.askedAt = s.now
	for _, name := range s.far.names {
		s.counts.PeerQuestions++
		s.act(AskPeer{Instance: name, Key: ManifestKey, After: s.mine(watchManifest)})
	}
}

// farAnswered notes an answer of an entry of another region. One that has a newer
// table is asked for its pages, too.
func (s *State) farAnswered(e PeerAnswered) {
	if !slices.Contains(s.far.names, e.Instance) || e.Key != ManifestKey {
		return
	}
	s.far.answered = true
	if !e.Found {
		return
	}
	manifest, err := table.ParseManifest(e.Value.Data)
	if err != nil {
		return
	}
	s.far.peers = slices.DeleteFunc(s.far.peers, func(p Peer) bool { return p.Instance == e.Instance })
	s.far.peers = append(s.far.peers, Peer{
		Instance: e.Instance,
		Usable:   true,
		Remote:   true,
		Held:     member.Held{Table: manifest.Revision},
	})
	s.addFar()
}

// addFar puts the entries of other regions among the peers, as long as it starts.
func (s *State) addFar() {
	if s.ready {
		return
	}
	for _, p := range s.far.peers {
		known := slices.ContainsFunc(s.peers, func(other Peer) bool { return other.Instance == p.Instance })
		if !known {
			s.peers = append(slices.Clip(s.peers), p)
		}
	}
}
