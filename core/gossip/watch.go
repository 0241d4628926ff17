package gossip

import (
	"time"

	"arbutustrestle/core/member"
	"arbutustrestle/core/rank"
)

const (
	// wantedWatchers is the number of instances of a region that watch the platform for
	// all instances there. Each response of the platform is paid for, and it is the same
	// for each instance. With two watchers, one may stop without a gap.
	wantedWatchers = 2
	// watcherTimeout is the time without a heartbeat after which a watcher is no longer
	// relied on: two and a half heartbeat intervals. Changes may take 3 s to arrive, of
	// which a read takes 1.2 s.
	watcherTimeout = time.Second
	// takeoverStep staggers the instances that replace a missing watcher while the other
	// one still watches. It covers a response of the platform and a heartbeat.
	takeoverStep = 500 * time.Millisecond
	// restDelay is how long enough others have to watch before an instance rests.
	restDelay = 2 * time.Second

	watchKey = "watch"
)

// WatcherElection decides whether an instance watches the platform itself or relies on
// other instances of its region. There is no leader: the instances that rank first and
// get responses watch, and so does an instance that receives heartbeats from no watcher.
// The zero value watches.
type WatcherElection struct {
	resting bool
	// tooFewSince and enoughSince are when the number of other watchers became too low or
	// sufficient; one of them is zero.
	tooFewSince time.Time
	enoughSince time.Time
}

// ShouldWatch decides for the moment of a view. It is called every TickInterval.
func (e *WatcherElection) ShouldWatch(now time.Time, v *View) bool {
	ahead, aheadWatching, watching := countWatchers(now, v)
	if aheadWatching >= wantedWatchers {
		e.tooFewSince = time.Time{}
		setIfZero(&e.enoughSince, now)
		if now.Sub(e.enoughSince) >= restDelay {
			e.resting = true
		}
		return !e.resting
	}
	e.enoughSince = time.Time{}
	setIfZero(&e.tooFewSince, now)
	// Instances that rank before this one and don't watch yet take over first.
	if watching == 0 || now.Sub(e.tooFewSince) >= takeoverStep*time.Duration(ahead-aheadWatching) {
		e.resting = false
	}
	return !e.resting
}

// countWatchers counts the instances of the region with a recent heartbeat: the ones that
// rank before this one, the watchers among them, and all watchers.
func countWatchers(now time.Time, v *View) (ahead, aheadWatching, watching int) {
	for _, m := range v.Members {
		if !m.Alive || m.Region != v.Self.Region || m.Phase != member.Ready || now.Sub(m.LastHeartbeat) > watcherTimeout {
			continue
		}
		if m.WatchesPlatform {
			watching++
		}
		if !rank.Before(watchKey, m.ID, v.Self.ID) {
			continue
		}
		ahead++
		if m.WatchesPlatform {
			aheadWatching++
		}
	}
	return ahead, aheadWatching, watching
}

// setIfZero sets a time that is zero.
func setIfZero(at *time.Time, now time.Time) {
	if at.IsZero() {
		*at = now
	}
}
