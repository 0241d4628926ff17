package gossip

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutustrestle/core/clock"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// A duty that one instance of a region has at a time, such as to send to an upstream that
// is cold, is assigned by rendezvous over the instances of the region. Instances with
// different views would assign it to several. An instance therefore performs such a duty
// only while its region agrees: while all instances in its view have announced, in their
// heartbeats, the digest of the same view.
//
// An instance whose view changes announces no digest for settleTime, which is longer than
// an announcement counts. Two instances whose regions agree at the same time therefore
// have the same view, or views that share no instance. Of the latter, at most one holds
// the majority of the instances that the region had before it was partitioned, until the
// others are forgotten (forgetTimeout).

const (
	// announcementTimeout is how long an announced digest counts after its arrival. In
	// the largest regions, each instance gets a heartbeat from each other one in 1.6 s.
	announcementTimeout = 2200 * time.Millisecond
	// settleTime is how long the view must stay the same before its digest is announced.
	// The difference from announcementTimeout is how late a heartbeat may arrive.
	settleTime = 3 * time.Second
	// aloneSettleTime is how long an instance must hold only itself before that counts as
	// agreement. One that has just started may not have found the others yet, which takes a
	// few seconds.
	aloneSettleTime = 10 * time.Second
	// maxSuspension is the suspension of the machine, or the step of its wall clock, after
	// which the view counts as changed.
	maxSuspension = time.Second
)

// regionDigest tracks the view of the region that an instance holds.
type regionDigest struct {
	// value identifies the instances and their incarnations; it is never zero once set.
	value uint64
	// changedAt is when the value last changed.
	changedAt time.Time
	// updatedAt is when the value was last computed.
	updatedAt time.Time
}

// update records the digest of the instances that the region has now.
func (d *regionDigest) update(now time.Time, value uint64) {
	suspended := !d.updatedAt.IsZero() && clock.Suspension(d.updatedAt, now) > maxSuspension
	d.updatedAt = now
	if value == d.value && !suspended {
		return
	}
	d.value = value
	d.changedAt = now
}

// announced returns the digest that heartbeats carry; zero while it has not settled.
func (d *regionDigest) announced(now time.Time) uint64 {
	if now.Sub(d.changedAt) < settleTime {
		return 0
	}
	return d.value
}

// regionPeers returns the alive instances of the region that accept traffic or soon will,
// sorted by name, without this one.
func (s *State) regionPeers(now time.Time) []*peerState {
	var list []*peerState
	for _, id := range s.ids {
		if p := s.peers[id]; p.alive(now) && p.servesRegion(s.self.Region) {
			list = append(list, p)
		}
	}
	return list
}

// updateDigest computes the digest of the region and sets the one that is announced. It
// returns the peers of the region.
func (s *State) updateDigest(now time.Time) []*peerState {
	region := s.regionPeers(now)
	s.digest.update(now, s.digestOf(region))
	s.self.RegionDigest = s.digest.announced(now)
	return region
}

// digestOf returns the digest of a sorted list of peers and of this instance, unless it is
// leaving.
func (s *State) digestOf(region []*peerState) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var buffer [64]byte
	write := func(id ident.Instance, incarnation uint64) {
		text := append(append(buffer[:0], id...), 0)
		_, _ = digest.Write(binary.BigEndian.AppendUint64(text, incarnation))
	}
	written := s.self.Phase > member.Ready
	for _, p := range region {
		if !written && s.self.ID < p.ID {
			written = true
			write(s.self.ID, s.self.Incarnation)
		}
		write(p.ID, p.Incarnation)
	}
	if !written {
		write(s.self.ID, s.self.Incarnation)
	}
	return max(1, digest.Sum64())
}

// regionAgrees reports whether all instances of the region have announced the digest that
// this one holds, and are the majority of those that it remembers.
func (s *State) regionAgrees(now time.Time) bool {
	region := s.updateDigest(now)
	if s.self.RegionDigest == 0 || s.self.Phase > member.Ready {
		return false
	}
	if len(region) == 0 && now.Sub(s.digest.changedAt) < aloneSettleTime {
		return false
	}
	for _, p := range region {
		if !p.announced(now, s.self.RegionDigest) {
			return false
		}
	}
	return 2*(len(region)+1) > s.rememberedInstances()
}

// announced reports whether a recent heartbeat from the instance itself carried a digest.
func (p *peerState) announced(now time.Time, digest uint64) bool {
	return p.RegionDigest == digest && now.Sub(p.lastDirect) < announcementTimeout
}

// rememberedInstances counts the instances of the region, silent ones included, that have
// not announced that they leave.
func (s *State) rememberedInstances() int {
	count := 1
	for _, p := range s.peers {
		if p.servesRegion(s.self.Region) {
			count++
		}
	}
	return count
}
