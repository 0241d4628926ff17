package syncer

import (
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/mirror"
	"arbutustrestle/io/guard"
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
	change, err := l.decode(item)
	if err != nil {
		l.opts.Metrics.Events.Add("value-refused", 1)
		l.opts.Log.Error().Err(err).Str("key", item.Key).EmbedObject(storeRevision(item.Revision)).Msg("published value refused; other values are unaffected")
	}
	switch c := change.(type) {
	case mirror.ConfigUpdated:
		l.activateConfig(now, c, item.Revision)
	case mirror.UpstreamUpdated:
		l.activateUpstream(now, c, item.Revision, returned)
	case mirror.UpstreamRemoved:
		l.activateRemoval(now, c.ID, item.Revision)
	case mirror.ZoneEvacuated:
		delete(l.pendingRestores, c.Zone)
		l.opts.Pool.EvacuateZone(c.Zone)
		l.opts.Log.Info().Str("zone", string(c.Zone)).EmbedObject(storeRevision(item.Revision)).Msg("zone evacuated")
	case mirror.ZoneRestored:
		l.activateRestore(now, c.Zone, item.Revision, returned)
	}
}

// decode decodes a published value. One that the decoder panics on is refused like others that
// can't be read, so that those after it become active.
func (l *Loop) decode(item mirror.Item) (change mirror.Change, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			guard.Report(l.opts.Log, l.opts.Metrics.Events, "decoding of "+item.Key, cause)
			change, err = nil, errors.Errorf("decode %s: %v", item.Key, cause)
		}
	}()
	return l.opts.Decoder.Decode(item)
}

func (l *Loop) activateConfig(now time.Time, c mirror.ConfigUpdated, revision uint64) {
	if l.config != nil && c.Config.Version < l.config.Version {
		l.opts.Log.Info().Uint64("version", c.Config.Version).Uint64("version-in-force", l.config.Version).EmbedObject(storeRevision(revision)).Msg("config not taken; it is older than the one in force")
		return
	}
	if l.config != nil {
		c.Config.Follow(l.config, now)
	}
	l.config = c.Config
	l.opts.Pool.SetServices(c.Config.Services)
	l.opts.Quota.Configure(now, l.opts.QuotaBounds, c.Config.Workspaces())
	l.opts.Log.Info().Uint64("version", c.Config.Version).EmbedObject(storeRevision(revision)).Int("routes", len(c.Config.Routes())).Msg("config in force")
}

func (l *Loop) activateUpstream(now time.Time, c mirror.UpstreamUpdated, revision uint64, returned bool) {
	id := c.Upstream.ID
	delete(l.pendingRemovals, id)
	delete(l.pendingRelistings, id)
	if returned && l.opts.Pool.HoldsNewer(c.Upstream) {
		l.opts.Log.Info().Str("upstream", string(id)).Time("started", c.Upstream.StartTime).Uint64("sequence", c.Upstream.Sequence).EmbedObject(storeRevision(revision)).Msg("description of an upstream not taken; it is older than the held one")
		return
	}
	if returned && l.opts.Pool.HasLeft(c.Upstream) {
		l.pendingRelistings[id] = relisting{change: c, revision: revision, at: now.Add(leaseTimeout)}
		l.opts.Log.Info().Str("upstream", string(id)).Time("started", c.Upstream.StartTime).Uint64("sequence", c.Upstream.Sequence).EmbedObject(storeRevision(revision)).Msg("upstream has left and is not used for now; the copy still lists it")
		return
	}
	l.setUpstream(now, c, revision)
}

func (l *Loop) activateRemoval(now time.Time, id ident.Upstream, revision uint64) {
	if _, pending := l.pendingRelistings[id]; pending {
		delete(l.pendingRelistings, id)
		return
	}
	if l.mayHaveLapsed(now) {
		l.pendingRemovals[id] = now.Add(relistTimeout)
		l.opts.Log.Info().Str("upstream", string(id)).EmbedObject(storeRevision(revision)).Dur("for", relistTimeout).Msg("upstream is missing and stays in use for now; it may have expired")
		return
	}
	if l.opts.Pool.RemoveUpstream(now, id) {
		l.opts.Log.Info().Str("upstream", string(id)).EmbedObject(storeRevision(revision)).Msg("upstream gone")
	}
}

// activateRestore makes a zone usable that is not evacuated any more, or whose evacuation
// the older copy lacks, from which the store came back.
func (l *Loop) activateRestore(now time.Time, zone ident.Zone, revision uint64, returned bool) {
	if returned {
		l.pendingRestores[zone] = now.Add(rewriteTimeout)
		l.opts.Log.Info().Str("zone", string(zone)).EmbedObject(storeRevision(revision)).Dur("for", rewriteTimeout).Msg("zone stays evacuated for now; the copy may lack its evacuation")
		return
	}
	l.restoreZone(now, zone, revision)
}

func (l *Loop) setUpstream(now time.Time, c mirror.UpstreamUpdated, revision uint64) {
	if l.opts.Pool.IsLateWrite(now, c.Upstream) {
		l.opts.Metrics.Events.Add("entries-of-earlier-runs", 1)
		l.opts.Log.Info().Str("upstream", string(c.Upstream.ID)).Time("started", c.Upstream.StartTime).EmbedObject(storeRevision(revision)).Msg("description of an upstream not taken; it is of an earlier run than the held one")
		return
	}
	sends := l.opts.Pool.SendsSince(c.Upstream.ID, c.Upstream.StartTime)
	if l.opts.Pool.SetUpstream(now, c.Upstream) {
		if c.Upstream.WarmupLeft > 0 {
			l.opts.Metrics.Events.Add("sends-before-cold-known", int64(sends))
		}
		l.opts.Log.Info().Int("requests-since-start", sends).Str("upstream", string(c.Upstream.ID)).Str("service", string(c.Upstream.Service)).Str("upstream-version", c.Upstream.Version).Bool("draining", c.Upstream.Draining).Time("started", c.Upstream.StartTime).Dur("cold", c.Upstream.WarmupLeft).EmbedObject(storeRevision(revision)).Msg("upstream changed")
	}
}

func (l *Loop) restoreZone(now time.Time, zone ident.Zone, revision uint64) {
	delete(l.pendingRestores, zone)
	l.opts.Pool.RestoreZone(now, zone)
	l.opts.Log.Info().Str("zone", string(zone)).EmbedObject(storeRevision(revision)).Msg("zone returned")
}
