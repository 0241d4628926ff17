package pool

import (
	"slices"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// Room describes the upstreams that have room for a request.
type Room struct {
	Upstreams int
	// HoldTime is the mean time that requests occupy their slots there: a report that is
	// older tells nothing.
	HoldTime time.Duration
}

// Room returns the upstreams that accept a request and at which its projected wait is at most
// the limit.
func (p *Pool) Room(now time.Time, req Request, limit time.Duration) Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	var room Room
	for _, r := range p.eligible(now, req.Service) {
		if slices.Contains(req.Excluded, r.ID) || !p.allowsVersion(now, req.VersionBound, r) {
			continue
		}
		if p.estimate(now, req, r, nil).Wait <= limit {
			room.Upstreams++
			room.HoldTime += r.holdTime
		}
	}
	room.HoldTime /= time.Duration(max(room.Upstreams, 1))
	return room
}

// queueWaits holds how long requests wait at this instance before they are sent, which
// other regions have to know as well: it keeps the waits at upstreams short.
type queueWaits map[ident.Service]queueWait

type queueWait struct {
	waits gossip.ByPriority[time.Duration]
	at    time.Time
}

// queueWaitLife is how long a wait counts after it was set.
const queueWaitLife = 200 * time.Millisecond

// SetQueueWaits sets how long requests of a service wait at this instance, by priority class.
// It is to be called again as long as some wait.
func (p *Pool) SetQueueWaits(now time.Time, service ident.Service, waits gossip.ByPriority[time.Duration]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queueWaits == nil {
		p.queueWaits = queueWaits{}
	}
	p.queueWaits[service] = queueWait{waits, now}
}

func (q queueWaits) at(now time.Time, service ident.Service, class int) time.Duration {
	w, found := q[service]
	if !found || now.Sub(w.at) > queueWaitLife {
		return 0
	}
	return w.waits[class]
}
