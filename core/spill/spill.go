// Package spill decides whether a request goes to another region: when its first
// answer is due there sooner than here, by more than the way costs. It answers peaks
// that move from region to region over capacity that differs between them.
package spill

import (
	"slices"
	"sync"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/member"
	"arbutustrestle/core/rank"
)

const (
	// crossing is the time that the way to another region and back adds to the first
	// answer.
	crossing = 130 * time.Millisecond
	// minMargin is what another region has to be better by, since reports are late and
	// bytes between regions are paid for.
	minMargin = 60 * time.Millisecond
	// marginSpread is added in part, by subject: the subjects that go away are then the
	// same for all entries and over time, and each is read in few regions.
	marginSpread = 200 * time.Millisecond
	// staleAfter is the age from which on a region's report isn't used.
	staleAfter = 3 * time.Second
)

// RegionLoad is what is known of another region for one service.
type RegionLoad struct {
	Name ident.Region
	// Waits are what its entries report by rank, the longest of them.
	Waits gossip.ByPriority[time.Duration]
	// TokensPerMilli is the prompt tokens that it reads in a millisecond, or 0.
	TokensPerMilli float64
	Upstreams      int
	// Instances can be asked; at least one.
	Instances []gossip.Record
}

// Table is what the other regions report. It is safe for concurrent use; its zero
// value knows no region.
type Table struct {
	mu      sync.Mutex
	regions map[ident.Service][]RegionLoad
	// sent counts what went to each region and may not be in its report yet.
	sent map[sentKey]*sent
}

type sentKey struct {
	region  ident.Region
	service ident.Service
}

// sent is a decaying count.
type sent struct {
	tokens float64
	at     time.Time
}

// reportDelay is the time after which what was sent shows in a region's reports.
const reportDelay = 600 * time.Millisecond

// Update takes in the membership.
func (t *Table) Update(now time.Time, v *gossip.View) {
	regions := map[ident.Service][]RegionLoad{}
	for _, m := range v.Members {
		if m.Region == v.Self.Region || !m.Alive || m.Phase != member.Ready || now.Sub(m.LastHeartbeat) > staleAfter {
			continue
		}
		for _, s := range m.ServiceLoads {
			regions[s.Service] = merge(regions[s.Service], m.Record, s)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regions = regions
}

func merge(list []RegionLoad, r gossip.Record, s gossip.ServiceLoad) []RegionLoad {
	for i := range list {
		if list[i].Name == r.Region {
			for rank, wait := range s.Waits {
				list[i].Waits[rank] = max(list[i].Waits[rank], wait)
			}
			list[i].Upstreams = max(list[i].Upstreams, s.Upstreams)
			list[i].TokensPerMilli = max(list[i].TokensPerMilli, s.TokensPerMilli)
			list[i].Instances = append(list[i].Instances, r)
			return list
		}
	}
	return append(list, RegionLoad{Name: r.Region, Waits: s.Waits, TokensPerMilli: s.TokensPerMilli, Upstreams: s.Upstreams, Instances: []gossip.Record{r}})
}

// Request is what the decision has to know of a request.
type Request struct {
	Service ident.Service
	// UncachedTokens is the part of the prompt that would have to be read.
	UncachedTokens int
	// LocalFirstByte is the projected time to the first answer here; Here is false when no
	// upstream here takes the request.
	LocalFirstByte time.Duration
	LocalAvailable bool
	// Priority is that of the route; zero is the most urgent.
	Priority int
	// PrefixKey names what requests share; empty for none.
	PrefixKey string
	// Allowed reports whether a region may serve the request.
	Allowed func(ident.Region) bool
	// Excluded regions have refused it.
	Excluded []ident.Region
}

// Choice is a region to send a request to.
type Choice struct {
	Region RegionLoad
	// FirstByte is the projected time to the first answer there, the way included, and Wait
	// the part of it until an upstream turns to the request.
	FirstByte time.Duration
	Wait      time.Duration
}

// Pick returns the region where the first answer is due soonest, when it is better
// than here.
func (t *Table) Pick(now time.Time, a Request) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best Choice
	found := false
	for _, r := range t.regions[a.Service] {
		if r.Upstreams == 0 || !a.Allowed(r.Name) || slices.Contains(a.Excluded, r.Name) {
			continue
		}
		c := t.project(now, a, r)
		if !found || c.FirstByte < best.FirstByte {
			best = c
			found = true
		}
	}
	if !found || a.LocalAvailable && best.FirstByte+margin(a.PrefixKey) >= a.LocalFirstByte {
		return Choice{}, false
	}
	return best, true
}

// margin returns what another region has to be better by for a subject.
func margin(subject string) time.Duration {
	part := float64(rank.Score("margin", subject)>>32) / (1 << 32)
	return minMargin + time.Duration(part*float64(marginSpread))
}

// project adds to a region's report the way, the prompt, and what was sent there
// since the report was made.
func (t *Table) project(now time.Time, a Request, r RegionLoad) Choice {
	wait := r.Waits[gossip.PriorityClass(a.Priority)] + crossing
	if r.TokensPerMilli <= 0 {
		return Choice{Region: r, FirstByte: wait, Wait: wait}
	}
	pending := t.pending(now, sentKey{r.Name, a.Service}) / r.TokensPerMilli
	wait += time.Duration(pending * float64(time.Millisecond))
	single := r.TokensPerMilli / float64(r.Upstreams)
	read := time.Duration(float64(a.UncachedTokens) / single * float64(time.Millisecond))
	return Choice{Region: r, FirstByte: wait + read, Wait: wait}
}

func (t *Table) pending(now time.Time, k sentKey) float64 {
	s := t.sent[k]
	if s == nil {
		return 0
	}
	s.decay(now)
	return s.tokens
}

func (s *sent) decay(now time.Time) {
	age := now.Sub(s.at)
	s.at = now
	left := max(0, 1-float64(age)/float64(reportDelay))
	s.tokens *= left
}

// RecordSent notes that a request went to a region.
func (t *Table) RecordSent(now time.Time, region ident.Region, service ident.Service, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == nil {
		t.sent = map[sentKey]*sent{}
	}
	k := sentKey{region, service}
	s := t.sent[k]
	if s == nil {
		s = &sent{at: now}
		t.sent[k] = s
	}
	s.decay(now)
	s.tokens += float64(tokens)
}
