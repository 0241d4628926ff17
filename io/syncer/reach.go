package syncer

import (
	"time"

	"arbutustrestle/core/gossip"
)

// learnReach passes on what the peers of the region say of their connections to upstreams, and
// which upstreams have told them that they are brittle.
func (l *Loop) learnReach(now time.Time, v *gossip.View) {
	l.opts.Reach.SetPeers(v.RegionReach())
	for _, u := range l.opts.Pool.SetPeerBrittle(now, v.RegionBrittle(now)) {
		l.opts.Metrics.Events.Add("brittle-changes-by-peers", 1)
		l.opts.Log.Info().
			Str("upstream", string(u.Upstream)).
			Bool("brittle", u.Named).
			Float64("rejections-per-second", u.PerSecond).
			Msg("brittleness of an upstream changed, as a peer was told")
	}
}
