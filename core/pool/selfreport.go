package pool

import (
	"time"

	"arbutustrestle/core/gossip"
)

// selfReport is what an upstream says of itself, in its answers or in the list. It belongs to one
// run of the upstream and ends with it. What it allows is asked in two places: when an
// upstream is chosen (usable) and where the request leaves (AdmitSend).
type selfReport struct {
	// coldUntil is zero while the upstream is warm.
	coldUntil time.Time
	// limit is shared with the instances of the region.
	limit limitReport
	// brittle is shared as well. Its rate is the number of rejections in a second that the
	// upstream tolerates.
	brittle limitReport
	// leaving is set once the upstream said that it leaves; a run can't take that back.
	// It is shared with the instances of the region.
	leaving bool
	// pausedUntil is when this instance may send there again. It holds for this instance
	// only, which the upstream has answered.
	pausedUntil time.Time
}

// maxPause bounds the time for which an upstream is believed that it wants no requests. One
// that meant a longer time says so again to the next request.
const maxPause = time.Hour

// refuses reports whether the upstream wants no request from this instance for a while.
func (s *selfReport) refuses(now time.Time) bool {
	return now.Before(s.pausedUntil)
}

// ReportLeaving records that the upstream said that it leaves. It reports whether that is
// news.
func (l *Lease) ReportLeaving() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	news := !l.replica.leaving
	l.replica.leaving = true
	return news
}

// ReportPause records that the upstream wants no request from this instance for the given
// time. It returns the time that is kept, which is at most maxPause.
func (l *Lease) ReportPause(now time.Time, d time.Duration) time.Duration {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	d = min(d, maxPause)
	l.replica.pausedUntil = latest(l.replica.pausedUntil, now.Add(d))
	return d
}

// LeavingUpstreams returns the upstreams that said that they leave, to this instance or to
// a peer.
func (p *Pool) LeavingUpstreams() []gossip.UpstreamRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []gossip.UpstreamRun
	for id, r := range p.replicas {
		if r.leaving {
			list = append(list, gossip.UpstreamRun{Upstream: id, StartTime: r.StartTime})
		}
	}
	return list
}

// SetPeerLeaving records the upstreams that said to peers that they leave. It returns those
// of which this instance did not know.
func (p *Pool) SetPeerLeaving(runs []gossip.UpstreamRun) []gossip.UpstreamRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	var news []gossip.UpstreamRun
	for _, run := range runs {
		r := p.replicas[run.Upstream]
		if r == nil || r.leaving || !r.StartTime.Equal(run.StartTime) {
			continue
		}
		r.leaving = true
		news = append(news, run)
	}
	return news
}

// PauseLeft returns the time until the first upstream of a service ends its pause, if all
// that would otherwise take requests have asked for one; zero if one takes requests now or
// there is none.
func (p *Pool) PauseLeft(now time.Time, req Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var left time.Duration
	for _, r := range p.replicas {
		if r.Service != req.Service || p.isClosed(r) {
			continue
		}
		pause := r.pausedUntil.Sub(now)
		if pause <= 0 {
			return 0
		}
		if left == 0 || pause < left {
			left = pause
		}
	}
	return left
}

// takeOver takes over what the same run said before it left the list, which its description
// there may not say.
func (s *selfReport) takeOver(before selfReport) {
	s.coldUntil = latest(s.coldUntil, before.coldUntil)
	s.limit = before.limit
	s.brittle = before.brittle
	s.leaving = before.leaving
	s.pausedUntil = before.pausedUntil
}
