package pool

import (
	"net/netip"
	"time"

	"arbutustrestle/core/gossip"
	"arbutustrestle/core/ident"
)

// Upstream is what an upstream says of itself in the published list.
type Upstream struct {
	ID ident.Upstream
	// StartTime is when this run of the upstream started; zero if it doesn't say.
	StartTime time.Time
	Service   ident.Service
	Address   netip.AddrPort
	Zone      ident.Zone
	Region    ident.Region
	// Slots is the number of requests that it serves at once.
	Slots int
	// Draining is set when it takes no new work.
	Draining bool
	// WarmupLeft is how long it stays cold, from the moment at which this was read.
	WarmupLeft time.Duration
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// foreign is what the other entries of the region have in flight at an upstream.
type foreign struct {
	inFlight int
	tokens   gossip.ByPriority[int]
	// reading holds the prompts that are read first, one of each entry.
	reading []gossip.Prefill
}

// replica is one run of an upstream, and what is believed of it.
type replica struct {
	Upstream

	// inFlight counts this entry's own requests that have not ended, and waiting holds
	// those without a first answer, in the order in which they were sent.
	inFlight int
	waiting  []*waiting
	others   foreign

	// coldUntil is zero while it is warm.
	coldUntil time.Time
	// coldSent is when a request was last sent while it was cold.
	coldSent time.Time

	// avoidUntil is when a failed upstream is tried again.
	avoidUntil time.Time
	// failures counts the failures since the last success.
	failures int
	// trouble is the moving average of failed requests, 0 to 1.
	trouble float64
	// slow is the moving average of the time to the first event, or to the answer of a
	// plain service, against what was expected; 1 is as expected.
	slow float64
	// hold is the moving average of the time that a request holds its slot.
	hold time.Duration
	// heard is when the upstream last answered anything, or when a request was sent while
	// none waited; turned is when it last gave a first answer.
	heard  time.Time
	turned time.Time

	prompts promptCache
}

// waiting is a request without a first answer.
type waiting struct {
	rank int
	// tokens is the part of its prompt that has to be read.
	tokens int
	sent   time.Time
}

const (
	// averageStep is the weight of the newest request in moving averages.
	averageStep = 0.15
	// firstAvoid doubles with each further failure in a row, up to maxAvoid.
	firstAvoid = 400 * time.Millisecond
	maxAvoid   = 3 * time.Second
	// silentAfter is the silence of an upstream at which requests wait after which it
	// gets no new ones.
	silentAfter = 1200 * time.Millisecond
	// defaultHold is taken before any request has ended.
	defaultHold = 300 * time.Millisecond
)

func newReplica(l Upstream) *replica {
	return &replica{Upstream: l, slow: 1, hold: defaultHold}
}

func (r *replica) isCold(now time.Time) bool {
	return now.Before(r.coldUntil)
}

// chill makes the upstream count as cold for at least the given time.
func (r *replica) chill(now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// failed notes a failure that speaks against the upstream.
func (r *replica) failed(now time.Time) {
	r.failures++
	r.trouble += averageStep * (1 - r.trouble)
	avoid := firstAvoid << min(r.failures-1, 3)
	r.avoidUntil = now.Add(min(avoid, maxAvoid))
}

// silent reports whether requests wait there and nothing has been heard for long.
func (r *replica) silent(now time.Time) bool {
	return len(r.waiting) > 0 && now.Sub(r.heard) > silentAfter
}

func (r *replica) succeeded() {
	r.failures = 0
	r.trouble -= averageStep * r.trouble
	r.avoidUntil = time.Time{}
}

// promptCache is a guess at the prompt parts that an upstream keeps: those that this
// entry has sent it, least recently used first out.
type promptCache struct {
	used  map[string]*cachedPart
	total int
	// limit is in tokens; zero takes defaultCacheTokens.
	limit int
}

type cachedPart struct {
	tokens int
	at     time.Time
}

// defaultCacheTokens is below the memory of the smallest engines in use, since running
// requests take part of it.
const defaultCacheTokens = 300_000

// cacheTime is how long a part that isn't used again is believed to be kept.
const cacheTime = 60 * time.Second

// cached returns the tokens of a prompt's leading parts that are believed kept.
func (c *promptCache) cached(now time.Time, parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		known := c.used[p.ID]
		if known == nil || now.Sub(known.at) > cacheTime {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// touch notes that the parts were read. Parts that only this request has aren't
// told apart; they age out.
func (c *promptCache) touch(now time.Time, parts []PromptPart) {
	if c.used == nil {
		c.used = map[string]*cachedPart{}
	}
	for _, p := range parts {
		known := c.used[p.ID]
		if known == nil {
			known = &cachedPart{tokens: p.Tokens}
			c.used[p.ID] = known
			c.total += p.Tokens
		}
		known.at = now
	}
	limit := c.limit
	if limit == 0 {
		limit = defaultCacheTokens
	}
	if c.total > limit {
		c.evict(limit * 3 / 4)
	}
}

// evict drops the least recently used parts until the rest fits.
func (c *promptCache) evict(limit int) {
	for c.total > limit {
		oldest := ""
		for id, p := range c.used {
			if oldest == "" || p.at.Before(c.used[oldest].at) {
				oldest = id
			}
		}
		c.total -= c.used[oldest].tokens
		delete(c.used, oldest)
	}
}
