// Package share enforces the limits of workspaces across all instances of a region,
// without shared counters. Each instance holds a claim on part of a limit and reports
// to its peers in heartbeats how much it holds and wants. An instance grows its claim
// only into the part that no peer has reported as held, and shrinks it immediately, so
// that the claims add up to little more than the limit while heartbeats are late or
// lost.
//
// The instance that ranks first for a workspace, to which its callers are normally
// sent, may also use the part that nobody claims.
package share

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/result"
)

// Limits holds the limits of a workspace over the whole region; zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	InFlight          float64
	TokensPerSecond   float64
}

// limitKind identifies one of the limits of a workspace.
type limitKind int

const (
	requests limitKind = iota
	inFlight
	tokens

	limitKindCount
)

// minUseful holds the smallest amount of each kind that is of use to one request.
var minUseful = [limitKindCount]float64{requests: 1, inFlight: 1, tokens: 200}

func (l Limits) value(k limitKind) float64 {
	switch k {
	case requests:
		return l.RequestsPerSecond
	case inFlight:
		return l.InFlight
	default:
		return l.TokensPerSecond
	}
}

// WorkspaceClaims holds an instance's claims on the limits of one workspace, as
// reported to its peers.
type WorkspaceClaims struct {
	Workspace ident.Workspace
	Requests  Claim
	InFlight  Claim
	Tokens    Claim
}

func (c *WorkspaceClaims) claimFor(k limitKind) *Claim {
	switch k {
	case requests:
		return &c.Requests
	case inFlight:
		return &c.InFlight
	default:
		return &c.Tokens
	}
}

const (
	// refusedRetryAfter is the Retry-After of a refused request: the claims have
	// adapted by then.
	refusedRetryAfter = 2 * time.Second
	// idleTimeout is the time for which the state of an unused workspace is kept.
	idleTimeout = time.Minute
	// burstWindow limits the unused part of a rate that can accumulate.
	burstWindow = time.Second
)

// Limiter holds one instance's claims. It is safe for concurrent use. Its zero value is
// an instance without peers.
type Limiter struct {
	mu sync.Mutex
	// workspaces holds the workspaces in use on this instance.
	workspaces map[ident.Workspace]*workspaceState
	// peerClaims holds the last claims of each peer. They stay valid while the peer
	// sends no heartbeats.
	peerClaims map[ident.Instance][]WorkspaceClaims
	// totals holds the sums of peerClaims by workspace; it is recomputed after each
	// change.
	totals map[ident.Workspace]*[limitKindCount]PeerTotals
	// totalsStale is set if totals is older than peerClaims.
	totalsStale   bool
	self          ident.Instance
	peers         []ident.Instance
	lastHeartbeat time.Time
}

// workspaceState is one workspace's use of this instance.
type workspaceState struct {
	limits   Limits
	inFlight int
	// ranksFirst is set if this instance ranks first for the workspace.
	ranksFirst bool
	// lastRequest is the time of the last request.
	lastRequest time.Time
	limitStates [limitKindCount]limitState
}

// limitState holds the claim on one limit and, for rates, the credit that may be used
// now.
type limitState struct {
	claim Claim
	// allowed is the amount that may be used: claim.Held plus the extra allowance.
	allowed float64
	// credit is in units of the limit times seconds. It never exceeds allowed times
	// burstWindow, or one, and falls below zero if a response was longer than the
	// credit that was left.
	credit float64
	at     time.Time
	// requested counts the demand since the last heartbeat.
	requested float64
}

// Admit counts a request of a workspace, or returns the failure with which it is
// refused.
func (l *Limiter) Admit(now time.Time, workspace ident.Workspace, limits Limits) *result.Failure {
	if limits == (Limits{}) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stateFor(now, workspace, limits)
	state.lastRequest = now
	state.limitStates[requests].requested++
	state.limitStates[inFlight].requested++
	for k := range limitKindCount {
		if limits.value(k) > 0 && !state.hasRoom(now, k) {
			return &result.Failure{
				Outcome:    result.NotRun,
				Step:       result.StepAdmit,
				Reason:     result.WorkspaceLimit,
				RetryAfter: refusedRetryAfter,
			}
		}
	}
	state.inFlight++
	state.limitStates[requests].credit--
	return nil
}

// hasRoom reports whether one more request fits into a limit.
func (s *workspaceState) hasRoom(now time.Time, k limitKind) bool {
	limit := &s.limitStates[k]
	switch k {
	case inFlight:
		return float64(s.inFlight+1) <= limit.allowed
	case requests:
		limit.refill(now)
		return limit.credit >= 1
	default:
		limit.refill(now)
		return limit.credit > 0
	}
}

// refill adds the credit for the time since the last call.
func (s *limitState) refill(now time.Time) {
	if now.After(s.at) {
		s.credit += s.allowed * now.Sub(s.at).Seconds()
		s.at = now
	}
	s.credit = min(s.credit, max(1, s.allowed*burstWindow.Seconds()))
}

// Release records the end of a request that Admit accepted.
func (l *Limiter) Release(workspace ident.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.workspaces[workspace]; state != nil && state.inFlight > 0 {
		state.inFlight--
	}
}

// AddTokens counts tokens that were generated for a workspace.
func (l *Limiter) AddTokens(now time.Time, workspace ident.Workspace, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.workspaces[workspace]
	if state == nil || state.limits.TokensPerSecond == 0 {
		return
	}
	limit := &state.limitStates[tokens]
	limit.refill(now)
	limit.credit -= float64(count)
	limit.requested += float64(count)
}

// stateFor returns the state of a workspace under its active limits.
func (l *Limiter) stateFor(now time.Time, workspace ident.Workspace, limits Limits) *workspaceState {
	state := l.workspaces[workspace]
	if state != nil && state.limits == limits {
		return state
	}
	if state == nil {
		state = &workspaceState{ranksFirst: l.ranksFirst(workspace)}
		if l.workspaces == nil {
			l.workspaces = map[ident.Workspace]*workspaceState{}
		}
		l.workspaces[workspace] = state
	}
	state.limits = limits
	peers := l.peerTotals(workspace)
	for k := range limitKindCount {
		limit := &state.limitStates[k]
		l.updateAllowed(state, k, peers[k])
		limit.at = now
		limit.credit = max(1, limit.allowed*burstWindow.Seconds())
	}
	return state
}

func (l *Limiter) ranksFirst(workspace ident.Workspace) bool {
	for _, p := range l.peers {
		if rank.Before(string(workspace), p, l.self) {
			return false
		}
	}
	return true
}
