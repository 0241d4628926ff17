// Package spill decides whether a request goes to another region: it does when the
// projected first byte there comes earlier than here by more than the cost of the
// transit. It lets regions share load peaks that move from region to region over unequal
// capacity.
package spill

import (
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/pool"
	"arbutustrestle/core/rank"
)

const (
	// regionTransit is the round trip to another region, which adds to the time to the
	// first byte.
	regionTransit = 130 * time.Millisecond
	// minMargin is the least advantage that another region must have, since reports are
	// late and traffic between regions is paid for.
	minMargin = 60 * time.Millisecond
	// marginSpread is added in part, depending on the prefix key: all instances then
	// spill the same prefixes over time, and each prefix is read in few regions.
	marginSpread = 200 * time.Millisecond
	// lateMargin is that advantage where the request would be late here and on time there.
	lateMargin = 10 * time.Millisecond
	// plainRequestTime is the time by which a request delays the next one at an upstream of
	// a plain service, which reports no rate: six slots of some 30 ms.
	plainRequestTime = 5 * time.Millisecond
	// usualReportAge is the age of the newest report of a region up to which nothing is added
	// to its wait, and ageWeight the part of the further age that is.
	usualReportAge = time.Second
	ageWeight      = 0.3
	// maxReportAge is the age from which on a region's report is ignored.
	maxReportAge = 3 * time.Second
)

// RegionLoad is the reported load of another region for one service.
type RegionLoad struct {
	Name ident.Region
	// Waits are the medians of the waits that the region's instances report, by priority
	// class. One instance that sees less than the others, or more, doesn't decide.
	Waits gossip.ByPriority[time.Duration]
	// TokensPerMilli is the number of prompt tokens that the region reads in a
	// millisecond, or 0 for a plain service.
	TokensPerMilli float64
	Upstreams      int
	// ReportedAt is when the newest report was made.
	ReportedAt time.Time
	// Rise is by how much the waits will have risen when a request arrives there, as far as
	// they rose during the last seconds.
	Rise gossip.ByPriority[time.Duration]
	// Versions are the versions of the software of the upstreams.
	Versions []string
	// Instances are the instances of the region that accept requests and to which this one
	// has links; at least one.
	Instances []gossip.Record
}

// Table holds the reports of the other regions. It is safe for concurrent use; its zero
// value holds no region.
type Table struct {
	mu      sync.Mutex
	regions map[ident.Service][]RegionLoad
	trends  map[regionService]*trend
	// senders is the number of instances of the own region that accept requests, this one
	// included.
	senders int
	// sent counts the tokens that were sent to each region and may not be in its report
	// yet.
	sent map[regionService]*sentTokens
}

type regionService struct {
	region  ident.Region
	service ident.Service
}

// sentTokens is a decaying count of tokens and requests.
type sentTokens struct {
	tokens   float64
	requests float64
	updated  time.Time
}

// reportDelay is the time after which sent requests are included in a region's reports, or
// have been read. With 600 ms, counted for all instances, a region at its limit sent too
// little to others (TestRegions with a region cut off).
const reportDelay = 300 * time.Millisecond

// Update replaces the reports by those of a membership view.
func (t *Table) Update(now time.Time, v *gossip.View) {
	instances := map[ident.Region][]gossip.Record{}
	for _, m := range v.Members {
		if m.Contact && receives(v, &m) {
			instances[m.Region] = append(instances[m.Region], m.Record)
		}
	}
	regions := map[ident.Service][]RegionLoad{}
	waits := map[regionService][]gossip.ByPriority[time.Duration]{}
	newest := map[regionService]time.Time{}
	for _, m := range v.Members {
		if !receives(v, &m) || now.Sub(m.LoadsAt) > maxReportAge || len(instances[m.Region]) == 0 {
			continue
		}
		for _, s := range m.ServiceLoads {
			regions[s.Service] = merge(regions[s.Service], m.Region, s)
			key := regionService{m.Region, s.Service}
			waits[key] = append(waits[key], s.Waits)
			if m.LoadsAt.After(newest[key]) {
				newest[key] = m.LoadsAt
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, list := range regions {
		for i := range list {
			key := regionService{list[i].Name, service}
			list[i].Instances = instances[list[i].Name]
			list[i].Waits = medians(waits[key])
			list[i].ReportedAt = newest[key]
			list[i].Rise = t.trendOf(key).add(now, list[i].Waits)
		}
	}
	t.regions = regions
	t.senders = countSenders(v)
	for key := range t.trends {
		if waits[key] == nil {
			delete(t.trends, key)
		}
	}
}

// countSenders returns the number of instances of the own region that accept requests.
func countSenders(v *gossip.View) int {
	n := 1
	for _, m := range v.Members {
		if m.Region == v.Self.Region && m.Alive && m.Phase == member.Ready {
			n++
		}
	}
	return n
}

// medians returns the median wait of each class; with an even number of reports, the longer
// of the two in the middle.
func medians(reports []gossip.ByPriority[time.Duration]) gossip.ByPriority[time.Duration] {
	var result gossip.ByPriority[time.Duration]
	list := make([]time.Duration, len(reports))
	for class := range result {
		for i, report := range reports {
			list[i] = report[class]
		}
		slices.Sort(list)
		result[class] = list[len(list)/2]
	}
	return result
}

// receives reports whether an instance of another region accepts requests.
func receives(v *gossip.View, m *gossip.Member) bool {
	return m.Region != v.Self.Region && m.Alive && m.Phase == member.Ready
}

func merge(list []RegionLoad, region ident.Region, s gossip.ServiceLoad) []RegionLoad {
	for i := range list {
		if list[i].Name == region {
			list[i].Upstreams = max(list[i].Upstreams, s.Upstreams)
			list[i].TokensPerMilli = max(list[i].TokensPerMilli, s.TokensPerMilli)
			list[i].Versions = mergeVersions(list[i].Versions, s.Versions)
			return list
		}
	}
	return append(list, RegionLoad{Name: region, TokensPerMilli: s.TokensPerMilli, Upstreams: s.Upstreams, Versions: s.Versions})
}

// mergeVersions returns the versions in either list, without changing them.
func mergeVersions(a, b []string) []string {
	merged := slices.Clone(a)
	for _, version := range b {
		if !slices.Contains(merged, version) {
			merged = append(merged, version)
		}
	}
	return merged
}

// Request holds the properties of a request that the decision depends on.
type Request struct {
	Service ident.Service
	// UncachedTokens is the part of the prompt that would have to be read.
	UncachedTokens int
	// CachedTokens returns the part of these that a region is expected to hold; nil if
	// nothing is known.
	CachedTokens func(ident.Region) int
	// LocalFirstByte is the projected time to the first byte (the first event of a
	// stream, or the answer) in this region. LocalAvailable is false when no upstream
	// here accepts the request.
	LocalFirstByte time.Duration
	LocalAvailable bool
	// OnTime is the time to the first byte with which the answer is of full use; zero if it
	// isn't known.
	OnTime time.Duration
	// Priority is the priority of the route; zero is the most urgent.
	Priority int
	// PrefixKey identifies the shared part of the prompt; empty if there is none.
	PrefixKey string
	// Allowed reports whether a region may serve the request.
	Allowed func(ident.Region) bool
	// Excluded lists regions that have rejected the request.
	Excluded []ident.Region
	// VersionBound is set for a request that goes on with a stream.
	VersionBound pool.VersionBound
}

// Choice is a region to send a request to.
type Choice struct {
	Region RegionLoad
	// FirstByte is the projected time to the first byte there, the transit included. Wait
	// is the part of it until an upstream begins to process the request.
	FirstByte time.Duration
	Wait      time.Duration
	// Transit is the part of both that the way there and back takes.
	Transit time.Duration
}

// Pick returns the region with the shortest projected time to the first byte, if it is
// better than the local region by the margin.
func (t *Table) Pick(now time.Time, req Request) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Choice
	found := false
	for _, r := range t.regions[req.Service] {
		if r.Upstreams == 0 || !req.Allowed(r.Name) || slices.Contains(req.Excluded, r.Name) {
			continue
		}
		if req.VersionBound.Unknown || req.VersionBound.Bound && !slices.Contains(r.Versions, req.VersionBound.Version) {
			continue
		}
		c := t.project(now, req, r)
		if !found || c.FirstByte < best.FirstByte {
			best = c
			found = true
		}
	}
	if !found || req.LocalAvailable && best.FirstByte+req.margin(best) >= req.LocalFirstByte {
		return Choice{}, false
	}
	return best, true
}

// margin returns the least advantage that another region must have.
func (r *Request) margin(there Choice) time.Duration {
	if r.LocalFirstByte > r.OnTime && there.FirstByte <= r.OnTime {
		return lateMargin
	}
	return margin(r.PrefixKey)
}

// margin returns the least advantage that another region must have for a prefix.
func margin(prefixKey string) time.Duration {
	fraction := float64(rank.Score("margin", prefixKey)>>32) / (1 << 32)
	return minMargin + time.Duration(fraction*float64(marginSpread))
}

// project adds to a region's report the transit, the time to read the prompt, and the
// tokens that were sent there since the report was made.
func (t *Table) project(now time.Time, req Request, r RegionLoad) Choice {
	class := gossip.PriorityClass(req.Priority)
	wait := r.Waits[class] + r.Rise[class] + ageCost(now.Sub(r.ReportedAt)) + regionTransit
	tokens, requests := t.pending(now, regionService{r.Name, req.Service})
	if r.TokensPerMilli <= 0 {
		wait += time.Duration(requests / float64(r.Upstreams) * float64(plainRequestTime))
		return Choice{Region: r, FirstByte: wait, Wait: wait, Transit: regionTransit}
	}
	wait += time.Duration(tokens / r.TokensPerMilli * float64(time.Millisecond))
	perUpstream := r.TokensPerMilli / float64(r.Upstreams)
	uncached := req.UncachedTokens
	if req.CachedTokens != nil {
		uncached -= req.CachedTokens(r.Name)
	}
	readTime := time.Duration(float64(uncached) / perUpstream * float64(time.Millisecond))
	return Choice{Region: r, FirstByte: wait + readTime, Wait: wait, Transit: regionTransit}
}

// ageCost returns what is added to the wait of a region whose newest report is old: it may be
// cut off.
func ageCost(age time.Duration) time.Duration {
	return time.Duration(ageWeight * float64(max(0, age-usualReportAge)))
}

// pending returns the tokens and requests that the instances of this region have sent to
// another one and that its reports don't include yet. Each sends about as much as this one.
func (t *Table) pending(now time.Time, k regionService) (tokens, requests float64) {
	s := t.sent[k]
	if s == nil {
		return 0, 0
	}
	s.decay(now)
	senders := float64(max(t.senders, 1))
	return s.tokens * senders, s.requests * senders
}

func (s *sentTokens) decay(now time.Time) {
	age := now.Sub(s.updated)
	s.updated = now
	remaining := max(0, 1-float64(age)/float64(reportDelay))
	s.tokens *= remaining
	s.requests *= remaining
}

// RecordSent records that a request was sent to a region.
func (t *Table) RecordSent(now time.Time, region ident.Region, service ident.Service, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = map[regionService]*sentTokens{}
	}
	k := regionService{region, service}
	s := t.sent[k]
	if s == nil {
		s = &sentTokens{updated: now}
		t.sent[k] = s
	}
	s.decay(now)
	s.tokens += float64(tokens)
	s.requests++
}
