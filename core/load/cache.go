package load

import (
	"sync"

	"arbutustrestle/core/ident"
)

// cacheHolders is the number of upstreams remembered for each prefix.
const cacheHolders = 2

// defaultCacheSize is the number of prefixes remembered.
const defaultCacheSize = 4096

// PrefixIndex remembers which upstreams said that they hold a prompt prefix. PrefixIndex
// events come late and with gaps, so what it returns may be wrong either way: it
// may bias a choice and must not decide it. It is safe for concurrent use.
type PrefixIndex struct {
	// MaxPrefixes bounds the prefixes that are remembered; zero is the default.
	MaxPrefixes int

	mu sync.RWMutex
	// holders has at most Size prefixes, each once in order.
	holders map[uint64][cacheHolders]ident.Upstream
	// order is a ring of the prefixes by age; next is its oldest.
	order []uint64
	next  int
}

// Add notes that an upstream holds a prefix.
func (c *PrefixIndex) Add(prefix uint64, upstream ident.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders == nil {
		c.holders = map[uint64][cacheHolders]ident.Upstream{}
	}
	list, known := c.holders[prefix]
	if !known {
		c.remember(prefix)
	}
	if list[0] != upstream {
		list[1] = list[0]
		list[0] = upstream
	}
	c.holders[prefix] = list
}

// remember puts a new prefix in the place of the oldest.
func (c *PrefixIndex) remember(prefix uint64) {
	size := c.MaxPrefixes
	if size == 0 {
		size = defaultCacheSize
	}
	if len(c.order) < size {
		c.order = append(c.order, prefix)
		return
	}
	delete(c.holders, c.order[c.next])
	c.order[c.next] = prefix
	c.next = (c.next + 1) % size
}

// Remove notes that an upstream no longer holds a prefix.
func (c *PrefixIndex) Remove(prefix uint64, upstream ident.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(prefix, upstream)
}

func (c *PrefixIndex) evict(prefix uint64, upstream ident.Upstream) {
	list, known := c.holders[prefix]
	if !known {
		return
	}
	for i, holder := range list {
		if holder == upstream {
			list[i] = ""
		}
	}
	c.holders[prefix] = list
}

// RemoveUpstream drops all that is known of an upstream: after a gap in its events, its
// restart or its departure.
func (c *PrefixIndex) RemoveUpstream(upstream ident.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for prefix := range c.holders {
		c.evict(prefix, upstream)
	}
}

// Holds reports whether the upstream said that it holds the prefix.
func (c *PrefixIndex) Holds(prefix uint64, upstream ident.Upstream) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	list, known := c.holders[prefix]
	return known && upstream != "" && (list[0] == upstream || list[1] == upstream)
}
