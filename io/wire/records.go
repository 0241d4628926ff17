package wire

import (
	"math"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
)

// GossipRecordsToWire encodes the records of a gossip heartbeat.
func GossipRecordsToWire(records []gossip.Record) *Beat {
	b := &Beat{}
	for i := range records {
		b.Records = append(b.Records, recordToWire(&records[i]))
	}
	return b
}

func recordToWire(r *gossip.Record) *BeatRecord {
	m := &BeatRecord{
		Id:               string(r.ID),
		Start:            r.Incarnation,
		Sequence:         r.Sequence,
		Zone:             string(r.Zone),
		Region:           string(r.Region),
		Peer:             r.PeerAddress.String(),
		Caller:           r.CallerAddress.String(),
		Phase:            uint32(r.Phase),
		OperatorRevision: r.OperatorRevision,
		ListRevision:     r.UpstreamsRevision,
		AgeMs:            milliseconds(r.Age),
		Watches:          r.WatchesPlatform,
		RegionDigest:     r.RegionDigest,
		WantsRecords:     r.WantsRecords,
	}
	for _, h := range r.Heard {
		m.HeardKeys = append(m.HeardKeys, uint64(h.Key))
		m.HeardAgeMs = append(m.HeardAgeMs, milliseconds(h.Age))
	}
	loadsToWire(m, r)
	for _, l := range r.UpstreamLimits {
		m.Limits = append(m.Limits, limitToWire(l))
	}
	for _, l := range r.BrittleUpstreams {
		m.Brittle = append(m.Brittle, limitToWire(l))
	}
	reachToWire(m, r.Reach)
	for _, run := range r.LeavingUpstreams {
		m.Leaving = append(m.Leaving, &UpstreamRun{Upstream: string(run.Upstream), StartMs: startToWire(run.StartTime)})
	}
	for _, e := range r.EndedUpstreams {
		m.Ended = append(m.Ended, &UpstreamEnd{Upstream: string(e.Upstream), StartMs: startToWire(e.StartTime), Returned: e.Returned, AgeMs: milliseconds(e.Age)})
	}
	evidenceToWire(m, &r.LossEvidence)
	m.BegunStreams = StreamsToWire(r.BegunStreams)
	m.FollowedMs = milliseconds(r.VersionHistory.Followed)
	for _, use := range r.VersionHistory.InUse {
		m.Versions = append(m.Versions, &VersionUse{Service: string(use.Service), Version: use.Version, SinceListedMs: milliseconds(use.SinceListed)})
	}
	return m
}

// loadsToWire encodes the loads of upstreams and services.
func loadsToWire(m *BeatRecord, r *gossip.Record) {
	for _, l := range r.UpstreamLoads {
		m.Loads = append(m.Loads, &ReplicaLoad{
			Upstream:      string(l.Upstream),
			InFlight:      uint32(max(0, l.InFlight)),
			PromptTokens:  tokensToWire(l.PromptTokens),
			ReadingRank:   uint32(max(0, l.Prefill.Priority)),
			ReadingTokens: uint32(max(0, l.Prefill.Tokens)),
		})
	}
	for _, s := range r.ServiceLoads {
		m.Services = append(m.Services, &ServiceLoad{
			Service:     string(s.Service),
			WaitMs:      waitsToWire(s.Waits),
			Replicas:    uint32(max(0, s.Upstreams)),
			TokensPerMs: float32(s.TokensPerMilli),
			Versions:    s.Versions,
		})
	}
}

// GossipRecordsFromWire decodes the records of a gossip heartbeat. It returns a NotValid
// error for records that no instance sends.
func GossipRecordsFromWire(b *Beat) ([]gossip.Record, error) {
	records := make([]gossip.Record, 0, len(b.GetRecords()))
	for _, m := range b.GetRecords() {
		r, err := recordFromWire(m)
		if err != nil {
			return nil, errors.Annotatef(err, "record of %q", m.GetId())
		}
		records = append(records, r)
	}
	return records, nil
}

func recordFromWire(m *BeatRecord) (gossip.Record, error) {
	peer, err := netip.ParseAddrPort(m.GetPeer())
	if err != nil {
		return gossip.Record{}, errors.NewNotValid(err, "peer address")
	}
	caller, err := netip.ParseAddrPort(m.GetCaller())
	if err != nil {
		return gossip.Record{}, errors.NewNotValid(err, "caller address")
	}
	r := gossip.Record{
		ID:                ident.Instance(m.GetId()),
		Incarnation:       m.GetStart(),
		Sequence:          m.GetSequence(),
		Zone:              ident.Zone(m.GetZone()),
		Region:            ident.Region(m.GetRegion()),
		PeerAddress:       peer,
		CallerAddress:     caller,
		Phase:             member.Phase(min(m.GetPhase(), uint32(member.Stopped))),
		OperatorRevision:  m.GetOperatorRevision(),
		UpstreamsRevision: m.GetListRevision(),
		Age:               time.Duration(m.GetAgeMs()) * time.Millisecond,
		WatchesPlatform:   m.GetWatches(),
		RegionDigest:      m.GetRegionDigest(),
		WantsRecords:      m.GetWantsRecords(),
	}
	ages := m.GetHeardAgeMs()
	for i, key := range m.GetHeardKeys()[:min(len(m.GetHeardKeys()), len(ages))] {
		r.Heard = append(r.Heard, gossip.HeardInstance{Key: gossip.InstanceKey(key), Age: time.Duration(ages[i]) * time.Millisecond})
	}
	loadsFromWire(&r, m)
	for _, l := range m.GetLimits() {
		r.UpstreamLimits = append(r.UpstreamLimits, limitFromWire(l))
	}
	for _, l := range m.GetBrittle() {
		r.BrittleUpstreams = append(r.BrittleUpstreams, limitFromWire(l))
	}
	r.Reach = reachFromWire(m)
	for _, run := range m.GetLeaving() {
		r.LeavingUpstreams = append(r.LeavingUpstreams, gossip.UpstreamRun{Upstream: ident.Upstream(run.GetUpstream()), StartTime: startFromWire(run.GetStartMs())})
	}
	for _, e := range m.GetEnded() {
		r.EndedUpstreams = append(r.EndedUpstreams, gossip.UpstreamEnd{
			UpstreamRun: gossip.UpstreamRun{Upstream: ident.Upstream(e.GetUpstream()), StartTime: startFromWire(e.GetStartMs())},
			Returned:    e.GetReturned(),
			Age:         time.Duration(e.GetAgeMs()) * time.Millisecond,
		})
	}
	r.LossEvidence = evidenceFromWire(m)
	r.BegunStreams = StreamsFromWire(m.GetBegunStreams())
	r.VersionHistory.Followed = time.Duration(m.GetFollowedMs()) * time.Millisecond
	for _, use := range m.GetVersions() {
		r.VersionHistory.InUse = append(r.VersionHistory.InUse, gossip.VersionUse{
			Service:     ident.Service(use.GetService()),
			Version:     use.GetVersion(),
			SinceListed: time.Duration(use.GetSinceListedMs()) * time.Millisecond,
		})
	}
	return r, nil
}

// loadsFromWire decodes the loads of upstreams and services.
func loadsFromWire(r *gossip.Record, m *BeatRecord) {
	for _, l := range m.GetLoads() {
		r.UpstreamLoads = append(r.UpstreamLoads, gossip.UpstreamLoad{
			Upstream:     ident.Upstream(l.GetUpstream()),
			InFlight:     int(l.GetInFlight()),
			PromptTokens: tokensFromWire(l.GetPromptTokens()),
			Prefill:      gossip.Prefill{Priority: int(l.GetReadingRank()), Tokens: int(l.GetReadingTokens())},
		})
	}
	for _, s := range m.GetServices() {
		r.ServiceLoads = append(r.ServiceLoads, gossip.ServiceLoad{
			Service:        ident.Service(s.GetService()),
			Waits:          waitsFromWire(s.GetWaitMs()),
			Upstreams:      int(s.GetReplicas()),
			TokensPerMilli: float64(max(0, s.GetTokensPerMs())),
			Versions:       s.GetVersions(),
		})
	}
}

// StreamsToWire encodes streams that have begun.
func StreamsToWire(groups []gossip.BegunStreams) []*StreamGroup {
	var list []*StreamGroup
	for _, g := range groups {
		m := &StreamGroup{Service: string(g.Origin.Service), Version: g.Origin.Version}
		for _, key := range g.Keys {
			m.Keys = append(m.Keys, uint64(key))
		}
		list = append(list, m)
	}
	return list
}

// StreamsFromWire decodes streams that have begun.
func StreamsFromWire(list []*StreamGroup) []gossip.BegunStreams {
	var groups []gossip.BegunStreams
	for _, m := range list {
		g := gossip.BegunStreams{Origin: gossip.StreamOrigin{Service: ident.Service(m.GetService()), Version: m.GetVersion()}}
		for _, key := range m.GetKeys() {
			g.Keys = append(g.Keys, gossip.StreamKey(key))
		}
		groups = append(groups, g)
	}
	return groups
}

func evidenceToWire(m *BeatRecord, e *gossip.LossEvidence) {
	for _, l := range e.Lost {
		lost := &LostRequest{Id: l.ID, AgeMs: milliseconds(l.Age), Fingerprint: uint64(l.Traits.Fingerprint)}
		for _, part := range l.Traits.Parts {
			lost.Parts = append(lost.Parts, uint64(part))
		}
		if l.Begun {
			m.LostBegun = append(m.LostBegun, lost)
			continue
		}
		m.Lost = append(m.Lost, lost)
	}
	for _, b := range e.Sound {
		m.Sound = append(m.Sound, &SoundTrait{Trait: uint64(b.Trait), AgeMs: milliseconds(b.Age)})
	}
}

func evidenceFromWire(m *BeatRecord) gossip.LossEvidence {
	var e gossip.LossEvidence
	for _, lost := range m.GetLost() {
		e.Lost = append(e.Lost, lostFromWire(lost, false))
	}
	for _, lost := range m.GetLostBegun() {
		e.Lost = append(e.Lost, lostFromWire(lost, true))
	}
	for _, b := range m.GetSound() {
		e.Sound = append(e.Sound, gossip.SoundTrait{Trait: gossip.TraitKey(b.GetTrait()), Age: time.Duration(b.GetAgeMs()) * time.Millisecond})
	}
	return e
}

func lostFromWire(m *LostRequest, begun bool) gossip.LostRequest {
	l := gossip.LostRequest{ID: m.GetId(), Begun: begun, Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
	l.Traits.Fingerprint = gossip.TraitKey(m.GetFingerprint())
	for _, part := range m.GetParts() {
		l.Traits.Parts = append(l.Traits.Parts, gossip.TraitKey(part))
	}
	return l
}

func limitToWire(l gossip.UpstreamLimit) *UpstreamLimit {
	return &UpstreamLimit{
		Upstream:  string(l.Upstream),
		StartMs:   startToWire(l.StartTime),
		Named:     l.Named,
		PerSecond: l.PerSecond,
		AgeMs:     milliseconds(l.Age),
	}
}

// startToWire encodes the start of a run of an upstream; 0 if it isn't known.
func startToWire(start time.Time) int64 {
	if start.IsZero() {
		return 0
	}
	return start.UnixMilli()
}

func startFromWire(milliseconds int64) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milliseconds)
}

// limitFromWire decodes a limit. A rate that no upstream can name counts as zero.
func limitFromWire(m *UpstreamLimit) gossip.UpstreamLimit {
	l := gossip.UpstreamLimit{
		Upstream:  ident.Upstream(m.GetUpstream()),
		StartTime: startFromWire(m.GetStartMs()),
		RateLimit: gossip.RateLimit{Named: m.GetNamed()},
		Age:       time.Duration(m.GetAgeMs()) * time.Millisecond,
	}
	if rate := m.GetPerSecond(); rate > 0 && !math.IsInf(rate, 0) {
		l.PerSecond = rate
	}
	return l
}

func tokensToWire(tokens gossip.ByPriority[int]) []uint32 {
	list := make([]uint32, len(tokens))
	for priority, n := range tokens {
		list[priority] = uint32(max(0, n))
	}
	return list
}

func tokensFromWire(list []uint32) gossip.ByPriority[int] {
	var tokens gossip.ByPriority[int]
	for priority := range min(len(list), len(tokens)) {
		tokens[priority] = int(list[priority])
	}
	return tokens
}

func waitsToWire(waits gossip.ByPriority[time.Duration]) []uint32 {
	list := make([]uint32, len(waits))
	for priority, w := range waits {
		list[priority] = milliseconds(w)
	}
	return list
}

func waitsFromWire(list []uint32) gossip.ByPriority[time.Duration] {
	var waits gossip.ByPriority[time.Duration]
	for priority := range min(len(list), len(waits)) {
		waits[priority] = time.Duration(list[priority]) * time.Millisecond
	}
	return waits
}
