package pool

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutustrestle/core/ident"
	"arbutustrestle/core/prefix"
	"arbutustrestle/core/rank"
)

// constantAffinity is the choice before core/prefix: the first upstream in the ranking is
// assumed to hold 0.8 of a prefix, a sent part to stay for a minute within 300,000 tokens,
// and the time to read again counts four times.
type constantAffinity struct {
	caches map[ident.Upstream]*constantCache
	req    Request
	// preferred is the first upstream in the ranking.
	preferred ident.Upstream
}

// constantCache holds when each part was sent to an upstream.
type constantCache struct {
	parts map[string]cachedPart
	total int
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// useConstantAffinity makes a pool choose as before core/prefix.
func useConstantAffinity(p *Pool) {
	caches := map[ident.Upstream]*constantCache{}
	p.newAffinity = func(_ time.Time, req Request) affinity {
		a := &constantAffinity{caches: caches, req: req}
		if len(req.Parts) < 2 {
			return a
		}
		key := req.Parts[len(req.Parts)-2].ID
		for id, r := range p.replicas {
			if r.Service == req.Service && !r.Draining && !r.leaving && (a.preferred == "" || rank.Before(key, id, a.preferred)) {
				a.preferred = id
			}
		}
		return a
	}
}

func (a *constantAffinity) at(now time.Time, p *Pool, r *replica) (prefix.Estimate, float64) {
	shared := 0
	for _, part := range a.req.Parts[:max(0, len(a.req.Parts)-1)] {
		shared += part.Tokens
	}
	cached := 0
	if c := a.caches[r.ID]; c != nil {
		cached = c.cached(now, a.req.Parts)
	}
	if r.ID == a.preferred {
		cached = max(cached, int(float64(shared)*0.8))
	}
	reread := float64(max(0, shared-cached)) / p.promptRate * 4
	return prefix.Estimate{Tokens: float64(cached), Shared: shared}, reread
}

// sent records that the request was sent to an upstream.
func (a *constantAffinity) sent(now time.Time, p *Pool, _ Request, chosen candidate) {
	c := a.caches[chosen.replica.ID]
	if c == nil {
		c = &constantCache{parts: map[string]cachedPart{}}
		a.caches[chosen.replica.ID] = c
	}
	for _, part := range a.req.Parts {
		if _, found := c.parts[part.ID]; !found {
			c.total += part.Tokens
		}
		c.parts[part.ID] = cachedPart{part.Tokens, now}
	}
	if c.total > 300_000 {
		c.evict(225_000, p.settings.Random)
	}
}

func (c *constantCache) cached(now time.Time, parts []PromptPart) int {
	tokens := 0
	for _, part := range parts {
		held, found := c.parts[part.ID]
		if !found || now.Sub(held.lastUsed) > time.Minute {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// evict removes the least recently used parts, in random order those that were used together.
func (c *constantCache) evict(limit int, random *rand.Rand) {
	ids := slices.Sorted(maps.Keys(c.parts))
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	slices.SortStableFunc(ids, func(a, b string) int { return c.parts[a].lastUsed.Compare(c.parts[b].lastUsed) })
	for _, id := range ids {
		if c.total <= limit {
			return
		}
		c.total -= c.parts[id].tokens
		delete(c.parts, id)
	}
}
