package share

import (
	"slices"
	"time"

	"arbutustrestle/core/ident"
)

// PrepareHeartbeat makes the claims anew from the use since the last call, and returns what
// the next heartbeat tells the peers. Workspaces that are hardly used are left
// out. The peers are the other live instances of the region.
func (l *Limiter) PrepareHeartbeat(now time.Time, self ident.Instance, peers []ident.Instance) []WorkspaceClaims {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.beat).Seconds()
	if l.beat.IsZero() || elapsed <= 0 {
		elapsed = 1
	}
	l.beat = now
	moved := l.self != self || !slices.Equal(l.peers, peers)
	l.self = self
	l.peers = append(l.peers[:0], peers...)
	var usages []WorkspaceClaims
	for workspace, a := range l.accounts {
		if a.inFlight == 0 && now.Sub(a.used) > idleAfter {
			delete(l.accounts, workspace)
			continue
		}
		if moved {
			a.first = l.ranksFirst(workspace)
		}
		if u, told := l.renew(now, elapsed, workspace, a); told {
			usages = append(usages, u)
		}
	}
	return usages
}

// renew makes the claims of one workspace anew and reports whether peers have to
// be told.
func (l *Limiter) renew(now time.Time, elapsed float64, workspace ident.Workspace, a *account) (WorkspaceClaims, bool) {
	u := WorkspaceClaims{Workspace: workspace}
	told := false
	heard := l.heardOf(workspace)
	for k := range kindCount {
		limit := a.limits.of(k)
		if limit == 0 {
			continue
		}
		b := &a.buckets[k]
		b.fill(now)
		b.want(k, elapsed, float64(a.inFlight))
		l.grow(a, k, heard[k])
		*u.claim(k) = b.claim
		told = told || b.claim.Held > quiet*limit
	}
	return u, told
}

// wantSmoothing is the weight of the last interval in what an instance wants.
const wantSmoothing = 0.8

// want takes what was asked for since the last heartbeat into the claim.
func (b *bucket) want(k kind, elapsed, running float64) {
	wanted := b.asked / elapsed
	if k == inFlight {
		wanted = running
		if b.asked > 0 && running+1 > b.allowed {
			wanted = running + b.asked
		}
	}
	if k == tokens && b.level <= 0 {
		// What was held back isn't known in tokens; asking for more finds out.
		wanted = max(wanted, 2*b.allowed)
	}
	b.asked = 0
	b.claim.Wanted += wantSmoothing * (wanted - b.claim.Wanted)
	if wanted > b.claim.Wanted {
		b.claim.Wanted = wanted
	}
}

// grow sets the claim and what may be used.
func (l *Limiter) grow(a *account, k kind, heard PeerTotals) {
	b := &a.buckets[k]
	limit := a.limits.of(k)
	b.claim.Held = NextHeld(limit, b.claim, heard)
	b.allowed = b.claim.Held + ExtraAllowance(limit, units[k], b.claim, heard, 1+len(l.peers), a.first)
}

// quiet is the part of a limit up to which a claim isn't told.
const quiet = 0.01

// SetPeerClaims takes in what a peer told in its heartbeat, in place of what it told before.
func (l *Limiter) SetPeerClaims(peer ident.Instance, usages []WorkspaceClaims) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard == nil {
		l.heard = map[ident.Instance][]WorkspaceClaims{}
	}
	l.heard[peer] = append(l.heard[peer][:0], usages...)
	l.stale = true
}

// RemovePeer drops the claims of a peer that has left or failed.
func (l *Limiter) RemovePeer(peer ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.heard, peer)
	l.stale = true
}

// none is what has been heard of a workspace that no peer has told of.
var none [kindCount]PeerTotals

// heardOf returns the sums of the peers' claims on a workspace.
func (l *Limiter) heardOf(workspace ident.Workspace) *[kindCount]PeerTotals {
	if l.stale {
		l.sum()
	}
	if s := l.sums[workspace]; s != nil {
		return s
	}
	return &none
}

func (l *Limiter) sum() {
	l.stale = false
	l.sums = map[ident.Workspace]*[kindCount]PeerTotals{}
	for _, usages := range l.heard {
		for i := range usages {
			u := &usages[i]
			s := l.sums[u.Workspace]
			if s == nil {
				s = new([kindCount]PeerTotals)
				l.sums[u.Workspace] = s
			}
			for k := range kindCount {
				s[k].Add(*u.claim(k))
			}
		}
	}
}
