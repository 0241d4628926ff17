// Package share holds workspaces to their limits over all entry instances of a
// region, without shared counters. Each instance holds a claim on part of a limit
// and tells its peers in heartbeats how much it holds and wants. An instance grows
// its claim only into what it has not heard anybody hold, and shrinks it at once,
// so that the claims add up to little more than the limit while heartbeats are
// late or lost.
//
// The instance that ranks first for a workspace, to which its callers are sent
// unless there is reason not to, may besides use whatever nobody claims.
package share

import (
	"sync"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/rank"
	"arbutustrestle/core/result"
)

// Limits are what a workspace may use in the whole region; zero is no limit.
type Limits struct {
	RequestsPerSecond float64
	InFlight          float64
	TokensPerSecond   float64
}

// kind is one of the limits of a workspace.
type kind int

const (
	requests kind = iota
	inFlight
	tokens

	kindCount
)

// units holds the least of each kind that is of use to one request.
var units = [kindCount]float64{requests: 1, inFlight: 1, tokens: 200}

func (l Limits) of(k kind) float64 {
	switch k {
	case requests:
		return l.RequestsPerSecond
	case inFlight:
		return l.InFlight
	default:
		return l.TokensPerSecond
	}
}

// WorkspaceClaims is what an instance tells its peers of one workspace.
type WorkspaceClaims struct {
	Workspace ident.Workspace
	Requests  Claim
	InFlight  Claim
	Tokens    Claim
}

func (u *WorkspaceClaims) claim(k kind) *Claim {
	switch k {
	case requests:
		return &u.Requests
	case inFlight:
		return &u.InFlight
	default:
		return &u.Tokens
	}
}

const (
	// refusedRetry is when the caller of a refused request may come back: claims have
	// moved by then.
	refusedRetry = 2 * time.Second
	// idleAfter is how long an unused workspace is remembered.
	idleAfter = time.Minute
	// burst is how much of a rate may be saved up.
	burst = time.Second
)

// Limiter holds one entry instance's claims. It is safe for concurrent use. Its zero
// value is an instance that has no peers.
type Limiter struct {
	mu sync.Mutex
	// accounts holds the workspaces in use here.
	accounts map[ident.Workspace]*account
	// heard holds the last claims of each peer. A silent peer keeps what it claimed.
	heard map[ident.Instance][]WorkspaceClaims
	// sums adds up heard by workspace; it is made anew after each change.
	sums map[ident.Workspace]*[kindCount]PeerTotals
	// stale is set when sums is older than heard.
	stale bool
	self  ident.Instance
	peers []ident.Instance
	beat  time.Time
}

// account is one workspace's use of this instance.
type account struct {
	limits   Limits
	inFlight int
	// first is set on the instance that ranks first for the workspace.
	first bool
	// used is the time of the last request.
	used    time.Time
	buckets [kindCount]bucket
}

// bucket holds one limit's claim and, for rates, what may be used now.
type bucket struct {
	claim Claim
	// allowed is what may be used: claim.Held, or more on the first instance.
	allowed float64
	// level is in units of the limit times seconds. It is never above allowed times
	// burst, and falls below zero when an answer was longer than there was room for.
	level float64
	at    time.Time
	// asked counts what was asked for since the last heartbeat.
	asked float64
}

// Admit counts a request of a workspace, or returns why it is refused.
func (l *Limiter) Admit(now time.Time, workspace ident.Workspace, limits Limits) *result.Failure {
	if limits == (Limits{}) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(now, workspace, limits)
	a.used = now
	a.buckets[requests].asked++
	a.buckets[inFlight].asked++
	for k := range kindCount {
		if limits.of(k) > 0 && !a.room(now, k) {
			return &result.Failure{
				Outcome:    result.NotRun,
				Step:       result.StepAdmit,
				Reason:     result.WorkspaceLimit,
				RetryAfter: refusedRetry,
			}
		}
	}
	a.inFlight++
	a.buckets[requests].level--
	return nil
}

// room reports whether one more request fits into a limit.
func (a *account) room(now time.Time, k kind) bool {
	b := &a.buckets[k]
	switch k {
	case inFlight:
		return float64(a.inFlight+1) <= b.allowed
	case requests:
		b.fill(now)
		return b.level >= 1
	default:
		b.fill(now)
		return b.level > 0
	}
}

// fill adds what time has brought since the last call.
func (b *bucket) fill(now time.Time) {
	if now.After(b.at) {
		b.level += b.allowed * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, max(1, b.allowed*burst.Seconds()))
}

// Release counts the end of a request that Admit let in.
func (l *Limiter) Release(workspace ident.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// AddTokens counts tokens that were generated for a workspace.
func (l *Limiter) AddTokens(now time.Time, workspace ident.Workspace, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil || a.limits.TokensPerSecond == 0 {
		return
	}
	b := &a.buckets[tokens]
	b.fill(now)
	b.level -= float64(count)
	b.asked += float64(count)
}

// account returns the state of a workspace under the limits now in force.
func (l *Limiter) account(now time.Time, workspace ident.Workspace, limits Limits) *account {
	a := l.accounts[workspace]
	if a != nil && a.limits == limits {
		return a
	}
	if a == nil {
		a = &account{first: l.ranksFirst(workspace)}
		if l.accounts == nil {
			l.accounts = map[ident.Workspace]*account{}
		}
		l.accounts[workspace] = a
	}
	a.limits = limits
	heard := l.heardOf(workspace)
	for k := range kindCount {
		b := &a.buckets[k]
		l.grow(a, k, heard[k])
		b.at = now
		b.level = max(1, b.allowed*burst.Seconds())
	}
	return a
}

func (l *Limiter) ranksFirst(workspace ident.Workspace) bool {
	for _, p := range l.peers {
		if rank.Before(string(workspace), p, l.self) {
			return false
		}
	}
	return true
}
