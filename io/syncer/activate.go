package syncer

import (
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/mirror"
)

// storeRevision writes a revision to a log line, as its era and the store's own number.
type storeRevision uint64

var _ zerolog.LogObjectMarshaler = storeRevision(0)

// MarshalZerologObject adds the fields "era" and "revision".
func (r storeRevision) MarshalZerologObject(e *zerolog.Event) {
	era, number := mirror.SplitRevision(uint64(r))
	e.Uint64("era", era).Uint64("revision", number)
}

// noticeReturn reports whether a revision is the first of a new era of the store: it has
// come back from a copy that may be older than the held values.
func (l *Loop) noticeReturn(now time.Time, g mirror.Group, revision uint64) bool {
	held := l.mirrors[g].Revision()
	if held == 0 || mirror.Era(revision) <= mirror.Era(held) {
		return false
	}
	// Upstreams that are missing in the copy have as long to register as after an outage.
	l.health[g].regainedAt = now
	l.postponePending(now, g)
	l.opts.Metrics.Events.Add("store-returns", 1)
	l.opts.Log.Warn().Str("group", g.String()).EmbedObject(storeRevision(revision)).Object("held", storeRevision(held)).Msg("the store has come back from an older copy")
	return true
}

// activate activates one published value. If it is of a listing that is the first one
// after a return of the store, it may be older than what is in force.
func (l *Loop) activate(now time.Time, item mirror.Item, returned bool) {
	change, err := l.opts.Decoder.Decode(item)
	if err != nil {
		l.opts.Metrics.Events.Add("value-refused", 1)
		l.opts.Log.Error().Err(err).Str("key", item.Key).EmbedObject(storeRevision(item.Revision)).Msg("published value refused; other values are unaffected")
	}
	switch c := change.(type) {
	case mirror.ConfigUpdated:
		if l.config != nil && c.Config.Version < l.config.Version {
			l.opts.Log.Info().Uint64("version", c.Config.Version).Uint64("version-in-force", l.config.Version).EmbedObject(storeRevision(item.Revision)).Msg("config not taken; it is older than the one in force")
			return
		}
		l.config = c.Config
		l.opts.Pool.SetServices(c.Config.Services)
		l.opts.Log.Info().Uint64("version", c.Config.Version).EmbedObject(storeRevision(item.Revision)).Int("routes", len(c.Config.Routes())).Msg("config in force")
	case mirror.UpstreamUpdated:
		delete(l.pendingRemovals, c.Upstream.ID)
		delete(l.pendingRelistings, c.Upstream.ID)
		if returned && l.opts.Pool.HoldsNewer(c.Upstream) {
			l.opts.Log.Info().Str("upstream", string(c.Upstream.ID)).Time("started", c.Upstream.StartTime).Uint64("sequence", c.Upstream.Sequence).EmbedObject(storeRevision(item.Revision)).Msg("description of an upstream not taken; it is older than the held one")
			return
		}
		if returned && l.opts.Pool.HasLeft(c.Upstream) {
			l.pendingRelistings[c.Upstream.ID] = relisting{change: c, revision: item.Revision, at: now.Add(leaseTimeout)}
			l.opts.Log.Info().Str("upstream", string(c.Upstream.ID)).Time("started", c.Upstream.StartTime).Uint64("sequence", c.Upstream.Sequence).EmbedObject(storeRevision(item.Revision)).Msg("upstream has left and is not used, unless its description does not expire")
			return
		}
		l.setUpstream(now, c, item.Revision)
	case mirror.UpstreamRemoved:
		delete(l.pendingRelistings, c.ID)
		if l.mayHaveLapsed(now) {
			l.pendingRemovals[c.ID] = now.Add(relistTimeout)
			return
		}
		if l.opts.Pool.RemoveUpstream(now, c.ID) {
			l.opts.Log.Info().Str("upstream", string(c.ID)).EmbedObject(storeRevision(item.Revision)).Msg("upstream gone")
		}
	case mirror.ZoneEvacuated:
		delete(l.pendingRestores, c.Zone)
		l.opts.Pool.EvacuateZone(c.Zone)
		l.opts.Log.Info().Str("zone", string(c.Zone)).EmbedObject(storeRevision(item.Revision)).Msg("zone evacuated")
	case mirror.ZoneRestored:
		if returned {
			l.pendingRestores[c.Zone] = now.Add(rewriteTimeout)
			return
		}
		l.restoreZone(now, c.Zone, item.Revision)
	}
}

func (l *Loop) setUpstream(now time.Time, c mirror.UpstreamUpdated, revision uint64) {
	if l.opts.Pool.SetUpstream(now, c.Upstream) {
		l.opts.Log.Info().Str("upstream", string(c.Upstream.ID)).Str("service", string(c.Upstream.Service)).Bool("draining", c.Upstream.Draining).Time("started", c.Upstream.StartTime).Dur("cold", c.Upstream.WarmupLeft).EmbedObject(storeRevision(revision)).Msg("upstream changed")
	}
}

func (l *Loop) restoreZone(now time.Time, zone ident.Zone, revision uint64) {
	delete(l.pendingRestores, zone)
	l.opts.Pool.RestoreZone(now, zone)
	l.opts.Log.Info().Str("zone", string(zone)).EmbedObject(storeRevision(revision)).Msg("zone returned")
}
