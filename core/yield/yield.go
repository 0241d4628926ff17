// Package yield decides which connection of a caller gives way when the memory for requests, or the
// number of connections, is used up. A caller who sends and stops must not keep out those who send.
package yield

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

// Phase is what a connection is used for.
type Phase uint8

const (
	// Idle is the time between two requests.
	Idle Phase = iota
	// Silent is the time before the first byte of the first request.
	Silent
	// Head is the time from the first byte of a head to its end.
	Head
	// Body is the time in which a body is read.
	Body
	// Busy is the time from the end of a request to the end of its answer. The request may be at an
	// upstream, so that the connection never gives way.
	Busy
	// Unread is the part of that time in which the caller acknowledges nothing of its answer, though the
	// kernel takes no more of it.
	Unread
)

// Claim is what a connection holds.
type Claim struct {
	Phase Phase
	// Held is in bytes.
	Held int64
	// LastByte is when the last byte arrived; that of the accept for a silent connection, and of the last
	// byte that is known to be acknowledged in phase Unread.
	LastByte time.Time
	// Progress falls behind LastByte for a sender that is slower than MinRate; see Advance.
	Progress time.Time
}

const (
	// Moment is the time without a byte after which a sender counts as stopped. Packets that are
	// sent again come within it.
	Moment = 250 * time.Millisecond
	// Patience is the time without an acknowledged byte after which the reader of an answer counts as
	// stopped: it may have to read what came before, or be a device that was out of reach.
	Patience = 5 * time.Second
	// MinRate is the number of bytes per second from which on a sender doesn't count as slow.
	MinRate = 16 << 10
	// largeFactor is how many times the bytes of a request a sender that hasn't stopped must hold
	// to give way to it. It keeps requests of like size from ending each other.
	largeFactor = 8
)

// Advance returns the progress of a sender after further bytes.
func Advance(progress, now time.Time, bytes int) time.Time {
	progress = progress.Add(time.Duration(bytes) * time.Second / MinRate)
	if progress.After(now) {
		return now
	}
	return progress
}

// rank orders those that may give way; the lowest one goes first.
type rank uint8

const (
	rankIdle rank = iota
	rankSilent
	rankStopped
	rankSlow
	rankUnread
	rankLarge
	rankNever
)

// ForMemory returns the connections that give their memory, at least the bytes that are needed, to a
// request that will hold a number of bytes. It returns none if they are too few. Idle connections go first,
// then those that have stopped for the longest time, then slow ones, then those whose answer nobody reads,
// then the largest of those that hold far more than the request.
func ForMemory[K any](now time.Time, needed, bytes int64, claims iter.Seq2[K, Claim]) []K {
	var all []candidate[K]
	for k, c := range claims {
		if r := rankForMemory(now, bytes, c); r < rankNever {
			all = append(all, candidate[K]{k, r, c})
		}
	}
	slices.SortFunc(all, func(a, b candidate[K]) int { return compare(a.rank, a.claim, b.rank, b.claim) })
	var chosen []K
	for _, c := range all {
		chosen = append(chosen, c.key)
		if needed -= c.claim.Held; needed <= 0 {
			return chosen
		}
	}
	return nil
}

type candidate[K any] struct {
	key   K
	rank  rank
	claim Claim
}

func rankForMemory(now time.Time, bytes int64, c Claim) rank {
	r := rankOf(now, c)
	switch {
	case c.Held == 0:
		return rankNever
	case r == rankNever && c.Phase != Busy && c.Phase != Unread && c.Held/largeFactor >= bytes:
		return rankLarge
	default:
		return r
	}
}

// ForConn returns the connection that is closed for a new one. It reports false if none is. Idle ones go
// first, then silent ones, then those that have stopped or are slow, then those whose answer nobody reads.
func ForConn[K any](now time.Time, claims iter.Seq2[K, Claim]) (best K, found bool) {
	bestRank, bestClaim := rankNever, Claim{}
	for k, c := range claims {
		if r := rankOf(now, c); r < rankNever && (!found || compare(r, c, bestRank, bestClaim) < 0) {
			best, bestRank, bestClaim, found = k, r, c, true
		}
	}
	return best, found
}

func rankOf(now time.Time, c Claim) rank {
	stopped := now.Sub(c.LastByte) >= Moment
	switch {
	case c.Phase == Idle:
		return rankIdle
	case c.Phase == Silent && stopped:
		return rankSilent
	case c.Phase == Unread && now.Sub(c.LastByte) >= Patience:
		return rankUnread
	case c.Phase == Busy || c.Phase == Unread || c.Phase == Silent:
		return rankNever
	case stopped:
		return rankStopped
	case now.Sub(c.Progress) >= Moment:
		return rankSlow
	default:
		return rankNever
	}
}

// compare orders those that may give way.
func compare(r rank, c Claim, otherRank rank, other Claim) int {
	switch {
	case r != otherRank:
		return cmp.Compare(r, otherRank)
	case r == rankSlow:
		return c.Progress.Compare(other.Progress)
	case r == rankLarge:
		return cmp.Compare(other.Held, c.Held)
	default:
		return c.LastByte.Compare(other.LastByte)
	}
}
