package share

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// PrepareHeartbeat updates the claims from the use since the last call, and returns the
// claims that the next heartbeat reports to the peers. Workspaces that are hardly used
// are left out. The peers are the other live instances of the region.
func (l *Limiter) PrepareHeartbeat(now time.Time, self ident.Instance, peers []ident.Instance) []WorkspaceClaims {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastHeartbeat).Seconds()
	if l.lastHeartbeat.IsZero() || elapsed <= 0 {
		elapsed = 1
	}
	l.lastHeartbeat = now
	rankingChanged := l.self != self || !slices.Equal(l.peers, peers)
	l.self = self
	l.peers = append(l.peers[:0], peers...)
	var reported []WorkspaceClaims
	for workspace, state := range l.workspaces {
		if state.inFlight == 0 && now.Sub(state.lastRequest) > idleTimeout {
			delete(l.workspaces, workspace)
			continue
		}
		if rankingChanged {
			state.ranksFirst = l.ranksFirst(workspace)
		}
		if claims, report := l.updateClaims(now, elapsed, workspace, state); report {
			reported = append(reported, claims)
		}
	}
	return reported
}

// updateClaims updates the claims of one workspace and returns whether they have to be
// reported to the peers.
func (l *Limiter) updateClaims(now time.Time, elapsed float64, workspace ident.Workspace, state *workspaceState) (WorkspaceClaims, bool) {
	claims := WorkspaceClaims{Workspace: workspace}
	report := false
	peers := l.peerTotals(workspace)
	for kind := range limitKindCount {
		limit := state.limits.value(kind)
		if limit == 0 {
			continue
		}
		s := &state.limitStates[kind]
		s.refill(now)
		s.updateWanted(kind, elapsed, float64(state.inFlight))
		l.updateAllowed(state, kind, peers[kind])
		*claims.claimFor(kind) = s.claim
		report = report || s.claim.Held > reportThreshold*limit
	}
	return claims, report
}

// wantedSmoothing is the weight of the last interval in the average of Claim.Wanted.
const wantedSmoothing = 0.8

// updateWanted adds the demand since the last heartbeat to the claim.
func (s *limitState) updateWanted(k limitKind, elapsed, running float64) {
	wanted := s.requested / elapsed
	if k == inFlight {
		wanted = running
		if s.requested > 0 && running+1 > s.allowed {
			wanted = running + s.requested
		}
	}
	if k == tokens && s.credit <= 0 {
		// The refused demand isn't known in tokens; doubling the claim finds it in
		// steps.
		wanted = max(wanted, 2*s.allowed)
	}
	s.requested = 0
	s.claim.Wanted += wantedSmoothing * (wanted - s.claim.Wanted)
	if wanted > s.claim.Wanted {
		s.claim.Wanted = wanted
	}
}

// updateAllowed sets the held part of the claim and the amount that may be used.
func (l *Limiter) updateAllowed(state *workspaceState, kind limitKind, peers PeerTotals) {
	s := &state.limitStates[kind]
	limit := state.limits.value(kind)
	s.claim.Held = NextHeld(limit, s.claim, peers)
	s.allowed = s.claim.Held + ExtraAllowance(limit, minUseful[kind], s.claim, peers, 1+len(l.peers), state.ranksFirst)
}

// reportThreshold is the part of a limit up to which a claim isn't reported.
const reportThreshold = 0.01

// SetPeerClaims stores the claims from a peer's heartbeat, in place of its earlier
// ones.
func (l *Limiter) SetPeerClaims(peer ident.Instance, claims []WorkspaceClaims) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peerClaims == nil {
		l.peerClaims = map[ident.Instance][]WorkspaceClaims{}
	}
	l.peerClaims[peer] = append(l.peerClaims[peer][:0], claims...)
	l.totalsStale = true
}

// RemovePeer removes the claims of a peer that has left or failed.
func (l *Limiter) RemovePeer(peer ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peerClaims, peer)
	l.totalsStale = true
}

// noTotals is the total for a workspace on which no peer has reported a claim.
var noTotals [limitKindCount]PeerTotals

// peerTotals returns the sums of the peers' claims on a workspace.
func (l *Limiter) peerTotals(workspace ident.Workspace) *[limitKindCount]PeerTotals {
	if l.totalsStale {
		l.sumPeerClaims()
	}
	if totals := l.totals[workspace]; totals != nil {
		return totals
	}
	return &noTotals
}

func (l *Limiter) sumPeerClaims() {
	l.totalsStale = false
	l.totals = map[ident.Workspace]*[limitKindCount]PeerTotals{}
	for _, list := range l.peerClaims {
		for i := range list {
			u := &list[i]
			s := l.totals[u.Workspace]
			if s == nil {
				s = new([limitKindCount]PeerTotals)
				l.totals[u.Workspace] = s
			}
			for k := range limitKindCount {
				s[k].Add(*u.claimFor(k))
			}
		}
	}
}
