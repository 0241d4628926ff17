package syncer

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/poison"
	"arbutustrestle/io/metric"
)

// mergeReports merges the evidence on lost requests and the begun streams of the members from
// which a heartbeat has arrived since.
func (l *Loop) mergeReports(now time.Time, v *gossip.View) {
	merged := make(map[ident.Instance]time.Time, len(v.Members))
	for i := range v.Members {
		m := &v.Members[i]
		merged[m.ID] = m.LastHeartbeat
		if m.LastHeartbeat.After(l.reportsAt[m.ID]) {
			RecordConvictions(l.opts.Log, l.opts.Metrics, l.opts.Poison.Merge(now, m.EvidenceAt(now), l.passesOn(v, m)))
			l.learnStreams(now, v, m)
		}
	}
	l.reportsAt = merged
}

// passesOn reports whether a member tells some instances of this region only, which then tell
// the others.
func (l *Loop) passesOn(v *gossip.View, m *gossip.Member) bool {
	return v.UsesContacts && m.Region != l.opts.Self.Region
}

// RecordConvictions counts and logs the traits that have been convicted or acquitted.
// The log has their keys; the requests that are lost or refused are logged with the ids.
func RecordConvictions(log zerolog.Logger, metrics *metric.Set, changes []poison.Change) {
	for _, c := range changes {
		line := log.Warn().Str("trait-key", strconv.FormatUint(uint64(c.Trait), 16))
		if c.Convicted {
			metrics.Events.Add("traits-convicted", 1)
			line.Int("requests-lost", c.Losses).Msg("requests with a trait refused: they end upstreams")
			continue
		}
		metrics.Events.Add("traits-acquitted", 1)
		line.Msg("requests with a trait served again")
	}
}
