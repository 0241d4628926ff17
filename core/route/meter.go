package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutustrestle/core/ident"
)

// spillWindow limits how long the unused part of a share can accumulate.
const spillWindow = 10 * time.Second

// SpillLimiter limits the share of an instance's requests that goes to each other
// region. Every instance applies the shares to its own requests, so they hold for the
// sum over the local region without any exchange between instances. It is safe for
// concurrent use; its zero value is empty.
type SpillLimiter struct {
	mu sync.Mutex
	// recentRequests is a decaying count of the requests of the last spillWindow.
	recentRequests float64
	at             time.Time
	credits        map[ident.Region]*spillCredit
}

// spillCredit tracks how many more requests may be sent to one region.
type spillCredit struct {
	// balance grows by the region's share with each request and falls by one with each
	// request sent there. It never exceeds the share of the recent requests, or one.
	balance float64
	// summaryAt is the arrival time of the summary that freeSlots is based on.
	summaryAt time.Time
	// freeSlots is the unused rest of this instance's part of the free slots in the
	// region; slotsInUse counts its requests that hold one of them.
	freeSlots  int
	slotsInUse int
}

// addRequest credits each region with its share of one more request.
func (l *SpillLimiter) addRequest(now time.Time, remotes []RemoteRegion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.at); age > 0 {
		l.recentRequests *= max(0, 1-float64(age)/float64(spillWindow))
		l.at = now
	}
	l.recentRequests++
	for i := range remotes {
		remote := &remotes[i]
		credit := l.creditFor(remote.Load.Region)
		credit.balance = min(credit.balance+remote.MaxShare, max(1, remote.MaxShare*l.recentRequests))
	}
}

// allows reports whether the region's share and its free slots permit one more request.
// Each sender takes an equal part of the free slots of the last summary; a fraction of
// a slot is rounded up with a probability equal to the fraction.
func (l *SpillLimiter) allows(random *rand.Rand, remote *RemoteRegion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	credit := l.creditFor(remote.Load.Region)
	if credit.summaryAt != remote.Load.AsOf {
		part := max(0, remote.Load.FreeSlots) / float64(max(1, remote.Senders))
		credit.summaryAt = remote.Load.AsOf
		credit.freeSlots = int(part + random.Float64())
		credit.slotsInUse = 0
	}
	return remote.MaxShare > 0 && credit.balance >= 1 && credit.freeSlots > 0
}

// recordSpill records that a request was sent to the region.
func (l *SpillLimiter) recordSpill(remote *RemoteRegion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	credit := l.creditFor(remote.Load.Region)
	credit.balance--
	credit.freeSlots--
	credit.slotsInUse++
}

// Release records the end of a request that was sent to a region, so that another one
// can use its slot there before the next summary. It has no effect for a request sent
// under an earlier summary: the newest one already counts its slot as free.
func (l *SpillLimiter) Release(region ident.Region) {
	l.mu.Lock()
	defer l.mu.Unlock()
	credit := l.creditFor(region)
	if credit.slotsInUse > 0 {
		credit.slotsInUse--
		credit.freeSlots++
	}
}

func (l *SpillLimiter) creditFor(region ident.Region) *spillCredit {
	if l.credits == nil {
		l.credits = map[ident.Region]*spillCredit{}
	}
	credit := l.credits[region]
	if credit == nil {
		credit = &spillCredit{}
		l.credits[region] = credit
	}
	return credit
}
