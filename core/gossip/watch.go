package gossip

import (
	"time"

	"arbutustrestle/core/member"
	"arbutustrestle/core/rank"
)

const (
	// watchers is the number of entries of a region that watch the platform for all
	// there. Each answer of the platform is paid for, and it says the same to each
	// entry. With two, one may stop without a gap.
	watchers = 2
	// turnQuiet is the silence after which a watching entry is no longer relied on: two
	// beats and a half. Word of a change may take 3 s, of which a read takes 1.2 s.
	turnQuiet = time.Second
	// turnStep staggers those who take over a missing watcher's place while the other
	// one still watches, by an answer of the platform and a beat.
	turnStep = 500 * time.Millisecond
	// turnRest is how long enough others have to be watching before an entry rests.
	turnRest = 2 * time.Second

	turnKey = "watch"
)

// WatcherElection decides whether an entry watches the platform itself or relies on others of its
// region. No entry is special: those that rank first and are answered do it, and who
// hears of none of them does it too. Its zero value watches.
type WatcherElection struct {
	resting bool
	// lacking and enough are since when too few others, or enough of them, watch; one
	// of them is zero.
	lacking time.Time
	enough  time.Time
}

// ShouldWatch decides for the moment of a view. It is called every Tick.
func (t *WatcherElection) ShouldWatch(now time.Time, v *View) bool {
	ahead, able, any := countWatchers(now, v)
	if able >= watchers {
		t.lacking = time.Time{}
		since(&t.enough, now)
		if now.Sub(t.enough) >= turnRest {
			t.resting = true
		}
		return !t.resting
	}
	t.enough = time.Time{}
	since(&t.lacking, now)
	// Those ahead that don't watch yet come first.
	if any == 0 || now.Sub(t.lacking) >= turnStep*time.Duration(ahead-able) {
		t.resting = false
	}
	return !t.resting
}

// countWatchers counts the entries of the region that were heard just now: those that
// rank before this one, those of them that watch, and all that watch.
func countWatchers(now time.Time, v *View) (ahead, able, any int) {
	for _, m := range v.Members {
		if !m.Alive || m.Region != v.Self.Region || m.Phase != member.Ready || now.Sub(m.LastHeartbeat) > turnQuiet {
			continue
		}
		if m.WatchesPlatform {
			any++
		}
		if !rank.Before(turnKey, m.ID, v.Self.ID) {
			continue
		}
		ahead++
		if m.WatchesPlatform {
			able++
		}
	}
	return ahead, able, any
}

// since sets a time that isn't set yet.
func since(at *time.Time, now time.Time) {
	if at.IsZero() {
		*at = now
	}
}
